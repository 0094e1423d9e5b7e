//! Lease renewals.

use {
    super::{
        Core,
        core::Pending,
        proposals::{Origin, Proposal},
    },
    crate::{
        peers::{PeerCall, PeerError},
        relay::log_limit,
    },
    coord::{
        control::{
            CRASH_WINDOW, CrashReport, EndpointFault, EndpointReport, LeaderSearch, PeerGuard,
            RenewError, RenewReply, RenewRequest, Token,
        },
        ids::{EndpointName, NodeId, PoolName, SystemId},
        raft,
        tables::{Command, Member, Outcome, Suspect, SuspectKey, Suspects, Tables},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, fmt::Display, net::SocketAddr, sync::Arc},
};

/// The least time from a renewal to one that is sent early. It grows with each
/// instance in the roster, so that early renewals don't overload the leader.
const EARLY_GAP: Millis = Millis(30);
const EARLY_GAP_PER_INSTANCE: Millis = Millis(1);
/// The delay after a failed renewal.
const RETRY_DELAY: Millis = Millis(60);
/// A renewal without an answer for this long is followed by another.
const RENEWAL_TIMEOUT: Millis = Millis(1300);
/// The interval of log lines while renewals fail.
const FAILURE_LOG_INTERVAL: Millis = Millis(1000);
/// How long a join is retried before it starts over.
const JOIN_TIMEOUT: Millis = Millis(5000);

/// The most reports of crashes, and of answered suspects, kept for the next renewal, and
/// of crashes kept for the next leader.
const MAX_REPORTS: usize = 256;

/// What a renewal reports once. It is reported again if the renewal fails.
#[derive(Debug, Clone, Default)]
pub struct Unsettled {
    faults: Vec<EndpointFault>,
    crashes: Vec<Crash>,
    answered: IndexSet<SuspectKey>,
    answered_pools: IndexSet<PoolName>,
}

/// A renewal that has been sent.
pub struct SentRenewal {
    pub sent_at: Time,
    /// The leader; `None` if this instance leads.
    pub to: Option<SocketAddr>,
    pub unsettled: Unsettled,
}

/// A report of a crash, and when the request's connection ended.
#[derive(Debug, Clone)]
struct Crash {
    at: Time,
    report: CrashReport,
}

impl Unsettled {
    /// Adds what a failed renewal has reported.
    fn restore(&mut self, other: Self) {
        self.faults.extend(other.faults);
        self.crashes.extend(other.crashes);
        self.crashes.truncate(MAX_REPORTS);
        self.answered.extend(other.answered);
        self.answered.truncate(MAX_REPORTS);
        self.answered_pools.extend(other.answered_pools);
    }

    /// Whether the leader should learn of it at once.
    fn is_urgent(&self) -> bool {
        !self.faults.is_empty() || !self.crashes.is_empty() || !self.answered.is_empty()
    }
}

/// This instance's state for renewals and for the search for the leader.
pub struct Renewals {
    seq: u64,
    /// The latest renewal without an answer, and when it was sent.
    outstanding: Option<(Token, Time)>,
    /// The earliest time of the next renewal.
    next_at: Time,
    /// When the latest renewal was sent.
    sent_at: Time,
    reports: IndexMap<EndpointName, EndpointReport>,
    unsettled: Unsettled,
    /// The latest crashes, which a new leader is told again.
    crashes: VecDeque<Crash>,
    pub search: LeaderSearch,
    /// The leader that calls were last sent to.
    pub followed: Option<SocketAddr>,
    /// When the addresses to join were last asked which system they belong to.
    pub hello_at: Time,
    peer_addrs: IndexMap<NodeId, SocketAddr>,
    /// Whether this instance reaches no endpoints, and the leader isn't told of a change.
    cut: bool,
    cut_unreported: bool,
    /// When renewals started to fail, when that was last logged, and of which leader.
    failing: Option<(Time, Time, Option<SocketAddr>)>,
    /// Whether a join is pending.
    pub joining: bool,
    /// Raft messages to send once the current sync is complete.
    pub after_sync: Vec<raft::Outgoing>,
}

impl Renewals {
    /// The state at the start.
    pub fn new(search: LeaderSearch) -> Self {
        Self {
            seq: 0,
            outstanding: None,
            next_at: Time(0),
            sent_at: Time(0),
            reports: IndexMap::new(),
            unsettled: Unsettled::default(),
            crashes: VecDeque::new(),
            search,
            followed: None,
            hello_at: Time(0),
            peer_addrs: IndexMap::new(),
            cut: false,
            cut_unreported: false,
            failing: None,
            joining: false,
            after_sync: Vec::new(),
        }
    }

    /// Sets whether this instance reaches no endpoints, for the next renewal.
    pub fn set_cut(&mut self, is_cut: bool) {
        self.cut_unreported |= self.cut != is_cut;
        self.cut = is_cut;
    }

    /// Keeps an endpoint's latest load report for the next renewal.
    pub fn add_report(&mut self, report: EndpointReport) {
        self.reports.insert(report.endpoint.clone(), report);
    }

    /// Keeps the report of a crash for the next renewal and for the next leader.
    pub fn add_crash(&mut self, at: Time, report: CrashReport) {
        let crash = Crash { at, report };
        if self.unsettled.crashes.len() < MAX_REPORTS {
            self.unsettled.crashes.push(crash.clone());
        }
        if self.crashes.len() >= MAX_REPORTS {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
    }

    /// Keeps for the next renewal that a pool has answered a request with these suspects.
    pub fn add_answered(&mut self, pool: PoolName, keys: Vec<SuspectKey>) {
        for it in &mut self.crashes {
            let is_answered = |suspect: &Suspect| keys.iter().any(|it| it.suspect == *suspect);
            if it.report.pool == pool {
                it.report.suspects.retain(|it| !is_answered(it));
            }
        }
        self.unsettled.answered.extend(keys);
        self.unsettled.answered.truncate(MAX_REPORTS);
        self.unsettled.answered_pools.insert(pool);
    }

    /// Returns all crashes that still count, for a leader that doesn't know them.
    fn known_crashes(&mut self, now: Time) -> Vec<Crash> {
        self.crashes.retain(|it| now.since(it.at) <= CRASH_WINDOW);
        self.crashes.iter().filter(|it| !it.report.suspects.is_empty()).cloned().collect()
    }

    /// When the renewal that waits for its answer was sent.
    pub fn waits_since(&self) -> Option<Time> {
        self.outstanding.map(|(_, sent_at)| sent_at)
    }

    /// Sends the next renewal to another leader, without waiting for the answer to the
    /// latest one.
    pub fn turn_to(&mut self, leader: SocketAddr) {
        self.followed = Some(leader);
        self.outstanding = None;
    }

    /// Records that a renewal failed, and logs it with the leader's address: the first
    /// failure at each address in turn, and then one an interval.
    fn record_failure(
        &mut self,
        now: Time,
        sent_at: Time,
        to: Option<SocketAddr>,
        reason: &dyn Display,
    ) {
        let (since, logged, asked) = self.failing.unwrap_or((now, Time(0), None));
        let should_log =
            self.failing.is_none() || asked != to || now.since(logged) >= FAILURE_LOG_INTERVAL;
        if should_log {
            let leader = to.map_or_else(|| "none".to_owned(), |it| it.to_string());
            log::info!(
                reason:% = reason, leader = leader.as_str(), failing_ms = now.since(since).0,
                waited_ms = now.since(sent_at).0;
                "[lease] renewal failed"
            );
        }
        self.failing = Some((since, if should_log { now } else { logged }, to));
    }

    /// Records that a renewal succeeded, and logs the end of a series of failures.
    fn record_success(&mut self, now: Time) {
        if let Some((since, ..)) = self.failing.take() {
            log::info!(failed_ms = now.since(since).0; "[lease] renewals are answered again");
        }
    }

    /// The address of an instance in the roster.
    pub fn addr(&self, id: NodeId) -> Option<SocketAddr> {
        self.peer_addrs.get(&id).copied()
    }

    /// Takes the peers' addresses from the roster.
    fn update_peers(&mut self, tables: &Tables) {
        self.peer_addrs = tables.roster.values().map(|it| (it.id, it.peer)).collect();
    }
}

impl Core {
    /// Sends a renewal if the latest one is answered or timed out. One is sent early,
    /// while another is unanswered, to report faults or to ask for slots for a pool that
    /// has queued requests and no free slot.
    pub(super) fn tick_renewals(&mut self, now: Time) {
        if self.identity.system.is_none() {
            return;
        }
        if self.stop.as_ref().is_some_and(|it| it.released) {
            return;
        }
        self.renewals.unsettled.faults.extend(self.router.take_faults());
        for (pool, keys) in self.router.take_answered() {
            self.renewals.add_answered(pool, keys);
        }
        let early = self.renewals.unsettled.is_urgent()
            || self.renewals.cut_unreported
            || !self.deregistrations.is_empty()
            || self.router.is_starved(now)
            || self.gate.lock().has_news()
            || self.rollouts.gate().is_some_and(|it| it.has_news(now));
        let count = self.holder.tables().roster.len() as u64;
        let gap = Millis(EARLY_GAP.0 + count * EARLY_GAP_PER_INSTANCE.0);
        let early = early && now.since(self.renewals.sent_at) >= gap;
        let due = match self.renewals.outstanding {
            Some((_, sent_at)) => now.since(sent_at) >= RENEWAL_TIMEOUT,
            None => now >= self.renewals.next_at,
        };
        if due || early && now >= self.renewals.next_at {
            self.renew(now, false);
        }
    }

    /// Sends a renewal to the leader.
    pub(super) fn renew(&mut self, now: Time, leaving: bool) {
        let local = self.leads();
        let to = if local { None } else { self.leader_addr() };
        if !local && to.is_none() {
            self.renewals.next_at = now + RETRY_DELAY;
            return;
        }
        let unsettled = std::mem::take(&mut self.renewals.unsettled);
        let request = self.renewal_request(now, unsettled.clone(), leaving);
        let token = self.next_token();
        self.renewals.outstanding = Some((token, now));
        self.renewals.sent_at = now;
        self.pending.insert(token, Pending::Renewal(SentRenewal { sent_at: now, to, unsettled }));
        match to {
            Some(to) => self.call_peer(to, Some(token), PeerCall::Renew(Box::new(request))),
            None => {
                let voter = self.voter.as_mut().expect("a leader is a voter");
                voter.renew(now, token, request);
            }
        }
    }

    /// Handles the result of a renewal that this instance processed as the leader,
    /// its own or a peer's.
    pub(super) fn on_renewal_done(
        &mut self,
        now: Time,
        token: Token,
        result: Result<RenewReply, RenewError>,
    ) {
        match self.pending.shift_remove(&token) {
            Some(Pending::Renewal(sent)) => self.on_renewal(now, token, sent, Ok(result)),
            Some(Pending::Peer(respond)) => {
                let _ = respond.send(crate::peers::PeerAnswer::Renew(Box::new(result)));
            }
            _ => {}
        }
    }

    /// Handles the answer to a renewal of this instance.
    pub(super) fn on_renewal(
        &mut self,
        now: Time,
        token: Token,
        sent: SentRenewal,
        answer: Result<Result<RenewReply, RenewError>, PeerError>,
    ) {
        let latest = self.renewals.outstanding.is_some_and(|(it, _)| it == token);
        if latest {
            self.renewals.outstanding = None;
            self.renewals.next_at = now;
        }
        match answer {
            Ok(Ok(reply)) => {
                self.renewals.record_success(now);
                if let Some(to) = sent.to {
                    self.renewals.search.confirm(now, to, reply.term);
                }
                self.apply_reply(now, sent.sent_at, reply);
            }
            Ok(Err(RenewError::Superseded)) => {}
            Ok(Err(err)) => self.on_renewal_failure(now, latest, sent, Ok(err)),
            Err(err) => self.on_renewal_failure(now, latest, sent, Err(err)),
        }
    }

    /// Handles the outcome of a join.
    pub(super) fn on_joined(&mut self, outcome: &Outcome) {
        self.renewals.joining = false;
        if *outcome == Outcome::Stale {
            self.fatal("[lease] The roster has a later incarnation of this instance.");
        }
    }

    /// Makes this instance part of a system, and stores that on disk.
    pub(super) fn set_system(&mut self, system: SystemId) {
        self.identity.system = Some(system);
        self.guard = Some(PeerGuard::new(system));
        if let Some(disk) = &self.disk {
            disk.save_identity(self.identity.clone());
        }
    }

    fn renewal_request(&mut self, now: Time, unsettled: Unsettled, leaving: bool) -> RenewRequest {
        self.renewals.seq += 1;
        self.renewals.cut_unreported = false;
        let wants_holdings = self.holder.want_holdings() || self.renewals.seq == 1;
        let limits = self.gate.lock().request(now, self.renewals.seq, wants_holdings);
        let rollouts = self.rollouts.take_reports(now);
        let crashes = match wants_holdings {
            true => self.renewals.known_crashes(now),
            false => unsettled.crashes,
        };
        let with_age = |it: Crash| CrashReport { age: now.since(it.at), ..it.report };
        RenewRequest {
            node: self.identity.node,
            incarnation: self.identity.incarnation,
            seq: self.renewals.seq,
            applied: self.holder.index(),
            version: self.holder.tables().version,
            grants_number: self.holder.grants_number(),
            excess: self.router.over_granted(),
            holdings: wants_holdings.then(|| self.router.holdings()),
            reports: std::mem::take(&mut self.renewals.reports).into_values().collect(),
            faults: unsettled.faults,
            healthy: self.router.take_succeeded(),
            demand: self.router.demand(),
            teams: self.router.team_usage(),
            crashes: crashes.into_iter().map(with_age).collect(),
            answered: unsettled.answered.into_iter().collect(),
            answered_pools: unsettled.answered_pools.into_iter().collect(),
            limits: Some(limits),
            load: Some(self.load.lock().request(now)),
            packed: true,
            packed_tables: true,
            cut: self.renewals.cut,
            reads_rollouts: rollouts.is_some(),
            rollouts: rollouts.unwrap_or_default(),
            voters: Some(self.renewals.search.voters().index),
            leaving,
        }
    }

    /// Applies the leader's reply: the lease, the tables and the granted shares.
    fn apply_reply(&mut self, now: Time, sent_at: Time, mut reply: RenewReply) {
        let had_lease = self.holder.has_lease(now);
        let loads = reply.loads.clone();
        let suspects = Suspects {
            all: reply.suspects.iter().cloned().collect(),
            trials: reply.trials.iter().cloned().collect(),
        };
        if **self.suspects.borrow() != suspects {
            log::info!(
                suspects = suspects.all.len(), on_trial = suspects.trials.len();
                "[lease] suspects of crashes"
            );
            let suspects = Arc::new(suspects);
            self.router.set_suspects(suspects.clone());
            self.suspects.send_replace(suspects);
        }
        if **self.mixed.borrow() != reply.mixed {
            self.mixed.send_replace(Arc::new(std::mem::take(&mut reply.mixed)));
        }
        if **self.cut.borrow() != reply.cut {
            let nodes: Vec<String> = reply.cut.iter().map(ToString::to_string).collect();
            log::info!(nodes = nodes.join(","); "[lease] instances that reach no endpoints");
            self.cut.send_replace(Arc::new(std::mem::take(&mut reply.cut)));
        }
        self.router.set_team_totals(&reply.teams);
        let (seq, limits, index) = (reply.seq, reply.limits.take(), reply.index);
        let grants = std::mem::take(&mut reply.rollouts);
        let load = reply.load.take();
        let is_current = reply.term >= self.renewals.search.term();
        if let Some(voters) = reply.voters.take().filter(|_| is_current) {
            self.renewals.search.set_voters(voters);
        }
        if is_current {
            self.router.set_shares_at(reply.shares_in.map(|it| now + it));
        }
        let change = self.holder.apply_reply(now, sent_at, reply);
        self.clock.set(self.holder.renewed_at());
        if let Some(reason) = &change.failure {
            log::warn!(reason = reason.as_str(); "[lease] update not applied; asking for whole tables");
        }
        if change.tables {
            let tables = self.holder.tables().clone();
            self.reload_rollouts(now, &tables);
            self.renewals.update_peers(&tables);
            self.update_search(&tables);
            self.router.reload(tables.clone());
            self.load.lock().reload(&tables);
            self.tables.send_replace(tables);
            self.update_gauges(now);
        }
        if self.holder.has_lease(now) && self.holder.index() >= index {
            self.refresh_deregistrations(now, sent_at);
        }
        self.apply_load(now, sent_at, load.as_ref());
        if let Some(limits) = limits {
            let changes = self.gate.lock().apply(now, sent_at, seq, limits);
            changes.iter().for_each(|(name, it)| log_limit(name, it, "leader"));
        }
        if let Some(mut gate) = self.rollouts.gate() {
            gate.apply(now, sent_at, &grants);
        }
        if let Some(grants) = &change.grants {
            self.router.grant(grants, &loads);
        }
        let has_lease = self.holder.has_lease(now);
        self.router.set_leased(has_lease);
        if has_lease && !had_lease {
            let version = self.holder.tables().version;
            log::info!("[lease] A lease is held. The tables have version {version}.");
        }
        self.router.dispatch(now);
    }

    fn on_renewal_failure(
        &mut self,
        now: Time,
        latest: bool,
        sent: SentRenewal,
        failure: Result<RenewError, PeerError>,
    ) {
        let SentRenewal { sent_at, to, unsettled } = sent;
        self.renewals.unsettled.restore(unsettled);
        if latest {
            self.renewals.next_at = now + RETRY_DELAY;
            let reason: &dyn Display = match &failure {
                Ok(err) => err,
                Err(err) => err,
            };
            self.renewals.record_failure(now, sent_at, to, reason);
        }
        match failure {
            Ok(RenewError::NotLeader { leader }) => self.on_denial(now, to, leader),
            Ok(RenewError::NotMember) => self.join(now),
            // It may have been deposed.
            Ok(RenewError::NotReady) => self.renewals.search.doubt(now, Millis(0)),
            Ok(RenewError::Superseded) => {}
            Err(_) => self.on_call_failure(now, to),
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
            peer: self.peer_addr,
            relay: self.relay_addr,
            incarnation: self.identity.incarnation,
            disk: self.disk.is_some(),
        };
        let proposal = Proposal::new(Origin::Join, Command::Join(member), now + JOIN_TIMEOUT);
        self.propose(now, proposal);
    }
}
