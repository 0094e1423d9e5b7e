//! Renewals of the lease, and the search for the leader.

use {
    super::{
        Core,
        core::Waiting,
        proposals::{Origin, Proposal},
    },
    crate::peers::{Outgoing, PeerCall, PeerError},
    coord::{
        control::{
            EndpointFault, EndpointReport, PeerGuard, RenewError, RenewReply, RenewRequest, Token,
        },
        ids::{EndpointName, NodeId, SystemId},
        raft,
        tables::{Command, Member, Outcome, Tables},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    std::{fmt::Display, net::SocketAddr},
};

/// The least time between two renewals that go out early, and how much longer
/// it is for each instance in the roster, so that the leader isn't flooded.
const EARLY: Millis = Millis(30);
const EARLY_EACH: Millis = Millis(1);
/// How long to wait after a renewal that failed.
const AFTER_FAILURE: Millis = Millis(60);
/// A renewal unanswered for so long is sent anew.
const OVERDUE: Millis = Millis(1300);
/// How often an instance without a system greets the ones it is to join.
const GREET_EVERY: Millis = Millis(200);
/// How often the log tells that renewals fail, while they do.
const TELL_EVERY: Millis = Millis(1000);
/// How long a join is tried before it starts over.
const JOIN_BOUND: Millis = Millis(5000);

/// The instance's side of renewals.
pub struct Renewals {
    seq: u64,
    outstanding: Option<(Token, Time)>,
    next: Time,
    last: Time,
    reports: IndexMap<EndpointName, EndpointReport>,
    faults: Vec<EndpointFault>,
    leader: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    turn: usize,
    greeted: Time,
    known: IndexMap<NodeId, SocketAddr>,
    /// Since when renewals have failed, and when the log told it last.
    failing: Option<(Time, Time)>,
    pub joining: bool,
    /// Messages that wait for the sync under way.
    pub after_sync: Vec<raft::Outgoing>,
}

impl Renewals {
    /// The state at the start.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self {
            seq: 0,
            outstanding: None,
            next: Time(0),
            last: Time(0),
            reports: IndexMap::new(),
            faults: Vec::new(),
            leader: None,
            seeds: seeds.to_vec(),
            turn: 0,
            greeted: Time(0),
            known: IndexMap::new(),
            failing: None,
            joining: false,
            after_sync: Vec::new(),
        }
    }

    /// Takes in other addresses to join. Those of the agreed voters stay.
    pub fn reseed(&mut self, seeds: &[SocketAddr]) {
        let all: IndexSet<SocketAddr> = seeds.iter().chain(&self.seeds).copied().collect();
        self.seeds = all.into_iter().collect();
    }

    /// Keeps an endpoint's latest report for the next renewal.
    pub fn add_report(&mut self, report: EndpointReport) {
        self.reports.insert(report.endpoint.clone(), report);
    }

    /// Takes in who is said to lead.
    pub fn set_leader(&mut self, leader: Option<SocketAddr>) {
        self.leader = leader;
    }

    /// Notes that the leader doesn't answer.
    pub fn lose_leader(&mut self) {
        self.leader = None;
    }

    /// Notes that a renewal failed, and to whom it went.
    fn note_failure(&mut self, now: Time, reason: &dyn Display) {
        let (since, told) = self.failing.unwrap_or((now, Time(0)));
        let tells = self.failing.is_none() || now.since(told) >= TELL_EVERY;
        if tells {
            let leader = self.leader.map_or_else(|| "none".to_owned(), |it| it.to_string());
            log::info!(
                reason:% = reason, leader = leader.as_str(), failing_ms = now.since(since).0;
                "[lease] renewal failed"
            );
        }
        self.failing = Some((since, if tells { now } else { told }));
    }

    /// Notes that a renewal was answered with a lease.
    fn note_success(&mut self, now: Time) {
        if let Some((since, _)) = self.failing.take() {
            log::info!(failed_ms = now.since(since).0; "[lease] renewals are answered again");
        }
    }

    /// The address of an instance in the roster.
    pub fn addr(&self, id: NodeId) -> Option<SocketAddr> {
        self.known.get(&id).copied()
    }

    fn learn(&mut self, tables: &Tables) {
        self.known = tables.roster.values().map(|it| (it.id, it.peer)).collect();
        let disks = tables.roster.values().filter(|it| it.disk).map(|it| it.peer);
        let all: IndexSet<SocketAddr> = disks.chain(self.seeds.iter().copied()).collect();
        self.seeds = all.into_iter().collect();
    }

    /// Another instance to ask when the leader isn't known.
    fn guess(&mut self, own: SocketAddr) -> Option<SocketAddr> {
        let others: Vec<SocketAddr> = self.seeds.iter().copied().filter(|it| *it != own).collect();
        self.turn = self.turn.wrapping_add(1);
        others.get(self.turn % others.len().max(1)).copied()
    }
}

impl Core {
    /// The leader's address, or another instance that may know it.
    pub(super) fn leader_addr(&mut self) -> Option<SocketAddr> {
        let agreed = self.voter.as_ref().and_then(|it| it.leader_addr());
        if agreed.is_some() || self.renewals.leader.is_some() {
            return agreed.or(self.renewals.leader);
        }
        self.renewals.leader = self.renewals.guess(self.peer);
        self.renewals.leader
    }

    pub(super) fn tick_renewals(&mut self, now: Time) {
        if self.identity.system.is_none() {
            self.greet(now);
            return;
        }
        if self.stop.as_ref().is_some_and(|it| it.released) {
            return;
        }
        self.renewals.faults.extend(self.router.take_faults());
        let early = !self.renewals.faults.is_empty() || self.router.is_starved(now);
        let count = self.holder.tables().roster.len() as u64;
        let gap = Millis(EARLY.0 + count * EARLY_EACH.0);
        let early = early && now.since(self.renewals.last) >= gap;
        let due = match self.renewals.outstanding {
            Some((_, asked)) => now.since(asked) >= OVERDUE,
            None => now >= self.renewals.next,
        };
        if due || early && now >= self.renewals.next {
            self.renew(now, false);
        }
    }

    /// Sends a renewal to the leader.
    pub(super) fn renew(&mut self, now: Time, leaving: bool) {
        let local = self.leads();
        let to = if local { None } else { self.leader_addr() };
        if !local && to.is_none() {
            self.renewals.next = now + AFTER_FAILURE;
            return;
        }
        let faults = std::mem::take(&mut self.renewals.faults);
        let request = self.renewal(faults.clone(), leaving);
        let token = self.token();
        self.renewals.outstanding = Some((token, now));
        self.renewals.last = now;
        self.waiting.insert(token, Waiting::Renewal { asked: now, faults });
        match to {
            Some(to) => self.call_peer(to, Some(token), PeerCall::Renew(request)),
            None => {
                let voter = self.voter.as_mut().expect("a leader is a voter");
                voter.renew(now, token, request);
            }
        }
    }

    /// Takes in the answer to a renewal, own or a peer's, that was asked here.
    pub(super) fn on_renewal_done(
        &mut self,
        now: Time,
        token: Token,
        result: Result<RenewReply, RenewError>,
    ) {
        match self.waiting.shift_remove(&token) {
            Some(Waiting::Renewal { asked, faults }) => {
                self.on_renewal(now, token, asked, faults, Ok(result));
            }
            Some(Waiting::Peer(respond)) => {
                let _ = respond.send(crate::peers::PeerAnswer::Renew(result));
            }
            _ => {}
        }
    }

    /// Takes in the answer to an own renewal.
    pub(super) fn on_renewal(
        &mut self,
        now: Time,
        token: Token,
        asked: Time,
        faults: Vec<EndpointFault>,
        answer: Result<Result<RenewReply, RenewError>, PeerError>,
    ) {
        let latest = self.renewals.outstanding.is_some_and(|(it, _)| it == token);
        if latest {
            self.renewals.outstanding = None;
            self.renewals.next = now;
        }
        match answer {
            Ok(Ok(reply)) => {
                self.renewals.note_success(now);
                self.take_lease(now, asked, reply);
            }
            Ok(Err(RenewError::Superseded)) => {}
            Ok(Err(err)) => self.on_renewal_failure(now, latest, faults, Ok(err)),
            Err(err) => self.on_renewal_failure(now, latest, faults, Err(err)),
        }
    }

    /// Takes in the answer to a join.
    pub(super) fn on_joined(&mut self, outcome: &Outcome) {
        self.renewals.joining = false;
        if *outcome == Outcome::Stale {
            self.die("[lease] The roster knows a later start of this instance.");
        }
    }

    /// Takes in which system the instances to join belong to.
    pub(super) fn on_greeting(&mut self, system: Option<SystemId>) {
        if self.identity.system.is_none()
            && let Some(system) = system
        {
            self.enter(system);
            log::info!("[lease] This instance belongs to system {system}.");
        }
    }

    /// Makes this instance one of a system.
    pub(super) fn enter(&mut self, system: SystemId) {
        self.identity.system = Some(system);
        self.guard = Some(PeerGuard::new(system));
        if let Some(disk) = &self.disk {
            disk.save(self.identity.clone());
        }
    }

    fn renewal(&mut self, faults: Vec<EndpointFault>, leaving: bool) -> RenewRequest {
        self.renewals.seq += 1;
        let wants = self.holder.want_holdings() || self.renewals.seq == 1;
        RenewRequest {
            node: self.identity.node,
            incarnation: self.identity.incarnation,
            seq: self.renewals.seq,
            applied: self.holder.index(),
            version: self.holder.tables().version,
            grants_number: self.holder.grants_number(),
            excess: self.router.over_granted(),
            holdings: wants.then(|| self.router.holdings()),
            reports: std::mem::take(&mut self.renewals.reports).into_values().collect(),
            faults,
            healthy: self.router.take_succeeded(),
            demand: self.router.demand(),
            teams: self.router.team_usage(),
            leaving,
        }
    }

    fn take_lease(&mut self, now: Time, asked: Time, reply: RenewReply) {
        let had = self.holder.has_lease(now);
        let loads = reply.loads.clone();
        self.router.set_team_totals(&reply.teams);
        let change = self.holder.apply_reply(now, asked, reply);
        if change.tables {
            let tables = self.holder.tables().clone();
            self.renewals.learn(&tables);
            self.router.reload(tables.clone());
            self.tables.send_replace(tables);
            self.show(now);
        }
        if let Some(grants) = &change.grants {
            self.router.grant(grants, &loads);
        }
        let has = self.holder.has_lease(now);
        self.router.set_leased(has);
        if has && !had {
            let version = self.holder.tables().version;
            log::info!("[lease] A lease is held. The tables have number {version}.");
        }
        self.router.dispatch(now);
    }

    fn on_renewal_failure(
        &mut self,
        now: Time,
        latest: bool,
        faults: Vec<EndpointFault>,
        failure: Result<RenewError, PeerError>,
    ) {
        self.renewals.faults.extend(faults);
        if latest {
            self.renewals.next = now + AFTER_FAILURE;
        }
        match &failure {
            Ok(err) => self.renewals.note_failure(now, err),
            Err(err) => self.renewals.note_failure(now, err),
        }
        match failure {
            Ok(RenewError::NotLeader { leader }) => self.renewals.set_leader(leader),
            Ok(RenewError::NotMember) => self.join(now),
            Ok(RenewError::NotReady | RenewError::Superseded) => {}
            Err(_) => self.renewals.lose_leader(),
        }
    }

    fn join(&mut self, now: Time) {
        if std::mem::replace(&mut self.renewals.joining, true) {
            return;
        }
        let member = Member {
            id: self.identity.node,
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            peer: self.peer,
            incarnation: self.identity.incarnation,
            disk: self.disk.is_some(),
        };
        let proposal = Proposal::new(Origin::Join, Command::Join(member), now + JOIN_BOUND);
        self.propose(now, proposal);
    }

    fn greet(&mut self, now: Time) {
        if now.since(self.renewals.greeted) < GREET_EVERY {
            return;
        }
        self.renewals.greeted = now;
        if let Some(to) = self.renewals.guess(self.peer) {
            let _ = self.peers.send(Outgoing::Hello { to });
        }
    }
}
