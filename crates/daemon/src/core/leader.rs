//! The search for the leader, and the calls that wait for its answer.

use {
    super::{Core, core::Pending, proposals::Proposal, streams::WaitingLookup},
    crate::peers::{LeaderAnswer, Outgoing},
    coord::{
        control::{LeaderReport, Token, Voter, VoterList},
        ids::{Index, SystemId},
        tables::Tables,
        time::{Millis, Time},
    },
    std::net::SocketAddr,
};

/// How long a renewal waits for its answer before others are asked who leads: the time for
/// which the leader delays a reply, and the time of a slow link or a stall on top of it.
const DOUBT_TIME: Millis = Millis(800);
/// How often an instance that belongs to no system asks the addresses to join for its
/// system.
const HELLO_INTERVAL: Millis = Millis(200);
/// The most addresses to join that are asked at a time.
const MAX_HELLOS: usize = 5;

impl Core {
    /// The leader's address, if one is known.
    pub(super) fn leader_addr(&self) -> Option<SocketAddr> {
        let raft_leader = self.voter.as_ref().and_then(|it| it.leader_addr());
        raft_leader.or(self.renewals.search.leader())
    }

    /// Continues the search for the leader, if none is known or the one that is known
    /// doesn't answer, and turns to one that was found.
    pub(super) fn tick_leader(&mut self, now: Time) {
        if self.identity.system.is_none() {
            self.send_hellos(now);
            return;
        }
        if let Some(voter) = &self.voter
            && let Some(leader) = voter.leader_addr()
        {
            // What was found before this instance voted must not come back in an election.
            self.renewals.search.confirm(now, leader, voter.raft().term());
        }
        let leader = if self.leads() { Some(self.peer_addr) } else { self.leader_addr() };
        if let Some(leader) = leader.filter(|_| leader != self.renewals.followed) {
            log::info!(leader:% = leader; "[lease] the leader is another one");
            self.renewals.turn_to(leader);
            self.redirect_calls(now, leader);
        }
        let follows = self.voter.as_ref().is_some_and(|it| it.raft().leader().is_some());
        if follows {
            return;
        }
        if self.renewals.waits_since().is_some_and(|it| now.since(it) >= DOUBT_TIME) {
            self.renewals.search.doubt(now, DOUBT_TIME);
        }
        for to in self.renewals.search.next_questions(now) {
            let _ = self.peers.send(Outgoing::FindLeader { to });
        }
    }

    /// Answers the question who leads.
    pub(super) fn leader_report(&self, now: Time) -> LeaderReport {
        let search = &self.renewals.search;
        let voter = self.voter.as_ref();
        let leads = voter.is_some_and(|it| it.can_grant(now));
        let voters = voter.map(|it| VoterList::of(it.raft()));
        // One that doesn't answer any more is of no use to others.
        let followed = search.leader().filter(|_| self.holder.has_lease(now));
        let known = voters.filter(|it| it.index > Index(0));
        LeaderReport {
            system: self.identity.system,
            term: voter.map_or(search.term(), |it| it.raft().term()),
            leads,
            leader: match leads {
                true => Some(self.peer_addr),
                false => voter.and_then(Voter::leader_addr).or(followed),
            },
            voters: known.unwrap_or_else(|| search.voters().clone()),
        }
    }

    /// Handles what became of the question who leads.
    pub(super) fn on_leader_answer(&mut self, now: Time, from: SocketAddr, answer: LeaderAnswer) {
        let search = &mut self.renewals.search;
        match answer {
            LeaderAnswer::Report(report) if report.system == self.identity.system => {
                search.on_report(now, from, report);
            }
            LeaderAnswer::Report(_) | LeaderAnswer::Failed => search.on_no_report(from),
            LeaderAnswer::UnknownQuestion => search.on_unknown_question(from),
        }
    }

    /// Sends calls that wait for an answer of another instance to the leader. They may be
    /// repeated.
    fn redirect_calls(&mut self, now: Time, leader: SocketAddr) {
        let is_elsewhere = |it: &Pending| it.sent_to().is_some_and(|to| to != leader);
        let tokens: Vec<Token> =
            self.pending.iter().filter(|(_, it)| is_elsewhere(it)).map(|(it, _)| *it).collect();
        for token in tokens {
            match self.pending.shift_remove(&token) {
                Some(Pending::Proposal { proposal, .. }) => {
                    self.retries.push((now, Proposal { sent: true, ..*proposal }));
                }
                Some(Pending::Admin { call, deadline, .. }) => {
                    self.admin_retries.push((now, call, deadline));
                }
                Some(Pending::Lookup { lookup, .. }) => {
                    self.lookups.push(WaitingLookup::Leader { lookup: *lookup, retry_at: now });
                }
                _ => {}
            }
        }
    }

    /// Records that an instance that was called as the leader doesn't lead.
    pub(super) fn on_denial(
        &mut self,
        now: Time,
        from: Option<SocketAddr>,
        leader: Option<SocketAddr>,
    ) {
        if let Some(from) = from {
            self.renewals.search.record_denial(now, from, leader);
        }
    }

    /// Records that a call to the leader had no answer.
    pub(super) fn on_call_failure(&mut self, now: Time, to: Option<SocketAddr>) {
        if let Some(to) = to {
            self.renewals.search.record_failure(now, to);
        }
    }

    /// Takes over from the roster which instances may know the leader.
    pub(super) fn update_search(&mut self, tables: &Tables) {
        let search = &mut self.renewals.search;
        search.set_members(tables.roster.values().map(|it| it.peer));
        if search.voters().index == Index(0) {
            // A leader of an earlier build doesn't tell the voters. Only instances with a
            // data folder can be some.
            let with_disk = tables.roster.values().filter(|it| it.disk).map(|it| it.peer);
            search.set_voters(VoterList { index: Index(0), addrs: with_disk.collect() });
        }
    }

    /// Handles an instance's answer about the system it belongs to.
    pub(super) fn on_hello_answer(&mut self, system: Option<SystemId>) {
        if self.identity.system.is_none()
            && let Some(system) = system
        {
            self.set_system(system);
            log::info!("[lease] This instance belongs to system {system}.");
        }
    }

    /// Asks some of the addresses to join which system they belong to.
    fn send_hellos(&mut self, now: Time) {
        if now.since(self.renewals.hello_at) < HELLO_INTERVAL {
            return;
        }
        self.renewals.hello_at = now;
        for to in self.renewals.search.draw_seeds(MAX_HELLOS) {
            let _ = self.peers.send(Outgoing::Hello { to });
        }
    }
}

impl Pending {
    /// The instance that a call was sent to as the leader, apart from renewals.
    fn sent_to(&self) -> Option<SocketAddr> {
        match self {
            Self::Proposal { to, .. } => *to,
            Self::Admin { to, .. } | Self::Lookup { to, .. } => Some(*to),
            Self::Renewal { .. } | Self::Peer(_) | Self::Read(_) => None,
        }
    }
}
