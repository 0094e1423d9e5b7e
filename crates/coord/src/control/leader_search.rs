//! An instance's search for the leader: which instances it asks who leads, and whom it
//! believes.
//!
//! Several are asked at once, drawn at random, so that those that are gone delay nothing
//! and not all instances ask the same ones. Only an instance that says itself that it leads
//! is believed; one that others name is asked next.

use {
    super::VoterList,
    crate::{
        ids::{SystemId, Term},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The most voters asked in one round: with two of five gone, one at least is up.
const MAX_VOTERS_ASKED: usize = 3;
/// The most other instances asked in one round. They matter once all known voters are gone.
const MAX_OTHERS_ASKED: usize = 1;
/// The mean time between two rounds, a fraction of the time that an election takes.
const ROUND_INTERVAL: Millis = Millis(100);
/// How much longer it is for each instance in the roster, so that the questions of all
/// instances together don't grow faster than their number.
const INTERVAL_PER_INSTANCE: Millis = Millis(1);
/// The longest mean time between two rounds.
const MAX_ROUND_INTERVAL: Millis = Millis(500);
/// The least time between two rounds, however often the leader is lost and found.
const MIN_ROUND_INTERVAL: Millis = Millis(50);
/// How long an address isn't asked again while its answer is awaited. Longer than the time
/// limits of a connection and a question.
const MAX_WAIT: Millis = Millis(2000);

/// What an instance answers to the question who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderReport {
    pub system: Option<SystemId>,
    pub term: Term,
    /// Whether the answering instance leads, and can grant leases.
    pub leads: bool,
    /// The leader as far as the answering instance knows.
    pub leader: Option<SocketAddr>,
    pub voters: VoterList,
}

/// The search of one instance.
#[derive(Debug)]
pub struct LeaderSearch {
    own: SocketAddr,
    rng: StdRng,
    leader: Option<SocketAddr>,
    /// The latest term in which an instance has said that it leads.
    term: Term,
    /// Whether the leader hasn't answered for so long that others are asked, too.
    is_doubted: bool,
    /// When the leader last said that it leads.
    heard_at: Time,
    voters: VoterList,
    /// The addresses to join.
    seeds: IndexSet<SocketAddr>,
    /// All instances in the roster.
    members: IndexSet<SocketAddr>,
    /// Instances that others name as the leader, to be asked next.
    named: IndexSet<SocketAddr>,
    /// Who has been asked and hasn't answered, since when.
    asked: IndexMap<SocketAddr, Time>,
    /// When the last round was asked, and when the next one is due.
    asked_at: Time,
    round_at: Time,
}

impl LeaderSearch {
    /// The search of an instance that knows only addresses to join. `seed` is that of the
    /// choices among them.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], seed: u64) -> Self {
        Self {
            own,
            rng: StdRng::seed_from_u64(seed),
            leader: None,
            term: Term(0),
            is_doubted: false,
            heard_at: Time(0),
            voters: VoterList::default(),
            seeds: seeds.iter().copied().collect(),
            members: IndexSet::new(),
            named: IndexSet::new(),
            asked: IndexMap::new(),
            asked_at: Time(0),
            round_at: Time(0),
        }
    }

    /// Returns the leader, to which calls go.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Returns the latest term in which an instance has said that it leads.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the voters and learners as far as they are known.
    pub fn voters(&self) -> &VoterList {
        &self.voters
    }

    /// Replaces the addresses to join. An empty list tells nothing, and changes nothing.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        if !seeds.is_empty() {
            self.seeds = seeds.iter().copied().collect();
        }
    }

    /// Replaces the instances in the roster.
    pub fn set_members(&mut self, members: impl Iterator<Item = SocketAddr>) {
        self.members = members.collect();
    }

    /// Replaces the voters by those that the leader has told.
    pub fn set_voters(&mut self, voters: VoterList) {
        self.voters = voters;
    }

    /// Records that the leader has answered a renewal in its term.
    pub fn confirm(&mut self, now: Time, addr: SocketAddr, term: Term) {
        if term >= self.term {
            self.follow(now, addr, term);
        }
    }

    /// Asks others, too, if the leader hasn't said that it leads for this long.
    pub fn doubt(&mut self, now: Time, silence: Millis) {
        if !self.is_doubted && now.since(self.heard_at) >= silence {
            self.is_doubted = true;
            self.hasten_round(now);
        }
    }

    /// Records that a call to this address failed.
    pub fn record_failure(&mut self, now: Time, addr: SocketAddr) {
        if self.leader == Some(addr) {
            self.leader = None;
            self.hasten_round(now);
        }
    }

    /// Records that an instance has answered a call by saying that it doesn't lead, and
    /// whom it follows.
    pub fn record_denial(&mut self, now: Time, addr: SocketAddr, leader: Option<SocketAddr>) {
        self.record_failure(now, addr);
        if self.is_searching() {
            self.named.extend(leader);
        }
    }

    /// Returns whom to ask now.
    pub fn next_questions(&mut self, now: Time) -> Vec<SocketAddr> {
        if !self.is_searching() {
            return Vec::new();
        }
        self.asked.retain(|_, since| now.since(*since) < MAX_WAIT);
        let named = std::mem::take(&mut self.named);
        let mut next: IndexSet<SocketAddr> =
            named.into_iter().filter(|it| self.may_ask(*it)).collect();
        if now >= self.round_at {
            self.asked_at = now;
            self.round_at = now + self.draw_interval();
            next.extend(self.draw_round());
        }
        self.asked.extend(next.iter().map(|it| (*it, now)));
        next.into_iter().collect()
    }

    /// Draws some of the addresses to join.
    pub fn draw_seeds(&mut self, most: usize) -> Vec<SocketAddr> {
        let others = self.seeds.iter().copied().filter(|it| *it != self.own);
        others.choose_multiple(&mut self.rng, most)
    }

    /// Handles an answer to a question.
    pub fn on_report(&mut self, now: Time, from: SocketAddr, report: LeaderReport) {
        self.asked.swap_remove(&from);
        if report.voters.index >= self.voters.index && !report.voters.addrs.is_empty() {
            self.voters = report.voters;
        }
        if !report.leads {
            if self.is_searching() {
                self.named.extend(report.leader);
            }
            return;
        }
        // One that was deposed may not know it yet.
        let is_current = match self.leader {
            Some(leader) => report.term > self.term || leader == from && report.term == self.term,
            None => report.term >= self.term,
        };
        if is_current {
            self.follow(now, from, report.term);
        }
    }

    /// Handles an answer of an instance of an earlier build, which doesn't know the
    /// question. If there is no leader it is called as one, so that it names whom it follows.
    pub fn on_unknown_question(&mut self, from: SocketAddr) {
        self.asked.swap_remove(&from);
        self.leader.get_or_insert(from);
    }

    /// Handles the failure of a question.
    pub fn on_no_report(&mut self, from: SocketAddr) {
        self.asked.swap_remove(&from);
    }

    fn is_searching(&self) -> bool {
        self.leader.is_none() || self.is_doubted
    }

    fn follow(&mut self, now: Time, leader: SocketAddr, term: Term) {
        self.leader = Some(leader);
        self.term = term;
        self.is_doubted = false;
        self.heard_at = now;
        self.named.clear();
    }

    fn hasten_round(&mut self, now: Time) {
        self.round_at = now.max(self.asked_at + MIN_ROUND_INTERVAL);
    }

    /// Whether an address is worth a question: a doubted leader has a call to answer.
    fn may_ask(&self, addr: SocketAddr) -> bool {
        addr != self.own && self.leader != Some(addr) && !self.asked.contains_key(&addr)
    }

    /// Draws the addresses of one round: some voters, and one of the addresses to join or
    /// of the other instances. Without known voters all addresses to join count as such.
    fn draw_round(&mut self) -> Vec<SocketAddr> {
        let known = match self.voters.addrs.is_empty() {
            true => &self.seeds,
            false => &self.voters.addrs,
        };
        let others = match self.rng.random() {
            true => [&self.seeds, &self.members],
            false => [&self.members, &self.seeds],
        };
        let is_other = |it: &SocketAddr| self.may_ask(*it) && !known.contains(it);
        let others = others.map(|list| list.iter().copied().filter(is_other).collect::<Vec<_>>());
        let others = others.into_iter().find(|it| !it.is_empty()).unwrap_or_default();
        let voters: Vec<SocketAddr> =
            known.iter().copied().filter(|it| self.may_ask(*it)).collect();
        let mut round = voters.into_iter().choose_multiple(&mut self.rng, MAX_VOTERS_ASKED);
        round.extend(others.into_iter().choose_multiple(&mut self.rng, MAX_OTHERS_ASKED));
        round
    }

    /// Draws the time until the next round: half to one and a half of the mean, so that
    /// instances that lost the leader together don't stay in step.
    fn draw_interval(&mut self) -> Millis {
        let mean = ROUND_INTERVAL.0 + INTERVAL_PER_INSTANCE.0 * self.members.len() as u64;
        let mean = mean.min(MAX_ROUND_INTERVAL.0);
        Millis(self.rng.random_range(mean / 2..=mean * 3 / 2))
    }
}
