//! The actor, its state and its periodic work.

use {
    super::{
        Context,
        proposals::{CommitNotice, Proposal, notify},
        renewals::{Renewals, SentRenewal},
        stop::Stop,
        streams::{Lookup, WaitingLookup},
    },
    crate::{
        callers::CallerReply,
        disk::{DiskWriter, Identity},
        endpoints::EndpointClient,
        event::Event,
        operators::OperatorCall,
        peers::{Outgoing, PeerCall, Responder},
        relay::DrainState,
        rollout_handle::RolloutHandle,
        settings::Settings,
        tables_clock::TablesClock,
        telemetry::Meters,
    },
    coord::{
        control::{
            Completion, Deregistrations, Envelope, LeaderSearch, LeaseHolder, PeerGuard,
            ProposalError, Token, Voter, first_voters,
        },
        ids::{Class, Index, NodeId, PoolName, RequestId, RouteName, TeamName, Term},
        limits::SharedGate,
        load::SharedLoad,
        raft::{Config, Role},
        router::{Limits, Router},
        tables::{Suspects, Tables},
        time::{Millis, Time, WallTime},
    },
    indexmap::{IndexMap, IndexSet},
    stakker::{CX, after, call},
    std::{
        net::SocketAddr,
        process::ExitCode,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{mpsc::UnboundedSender, watch},
};

/// The interval of the periodic work, such as timeouts and retries.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The interval at which the gauges are updated.
const GAUGE_INTERVAL: Millis = Millis(500);
/// The least time between two reports of what a leader sends.
const REPORT_INTERVAL: Millis = Millis(1000);
/// The maximum number of suspects of crashes that are logged in each interval.
const MAX_SUSPECT_LINES: usize = 4;
/// The least time without periodic work after which the process counts as having stood
/// still: half of the second that callers of the control interface wait.
const MIN_STALL: Millis = Millis(500);
/// How long after that requests may be read that were sent before.
const BACKLOG_TIME: Millis = Millis(200);

/// A caller whose request is unfinished.
pub(super) struct CallerRow {
    pub reply: UnboundedSender<CallerReply>,
    pub route: RouteName,
    pub team: TeamName,
    pub class: Class,
    /// When the request arrived.
    pub since: Time,
}

/// What to continue with when the answer to a token arrives.
pub(super) enum Pending {
    /// `to` is the leader, or `None` if this instance leads.
    Proposal {
        proposal: Box<Proposal>,
        to: Option<SocketAddr>,
    },
    Renewal(SentRenewal),
    Admin {
        call: Box<OperatorCall>,
        deadline: Time,
        to: SocketAddr,
    },
    Peer(Responder),
    Lookup {
        lookup: Box<Lookup>,
        to: SocketAddr,
    },
    Read(ReadHandler),
}

/// Continues with a read once this instance is known to have led after it came in, or not
/// to lead.
pub(super) type ReadHandler = Box<dyn FnOnce(&mut Core, Time, Result<(), ProposalError>)>;

/// A voter's view of its Raft group, as it is logged.
#[derive(PartialEq)]
struct VoterView {
    role: Role,
    term: Term,
    leader: Option<NodeId>,
    config: Config,
}

/// The core loop's state.
pub struct Core {
    pub(super) settings: Settings,
    pub(super) identity: Identity,
    pub(super) peer_addr: SocketAddr,
    /// Random for each process, so that peers detect a cloned identity.
    pub(super) nonce: u64,
    pub(super) voter: Option<Voter>,
    /// The last index of the log that was on the disk when the process started.
    pub(super) restored: Option<Index>,
    pub(super) disk: Option<DiskWriter>,
    pub(super) guard: Option<PeerGuard>,
    pub(super) holder: LeaseHolder,
    pub(super) router: Router,
    pub(super) renewals: Renewals,
    pub(super) callers: IndexMap<RequestId, CallerRow>,
    pub(super) pending: IndexMap<Token, Pending>,
    /// Proposals to retry, and when.
    pub(super) retries: Vec<(Time, Proposal)>,
    /// Deregistrations of endpoints that wait for more recent tables.
    pub(super) deregistrations: Deregistrations<CommitNotice>,
    /// Operators' requests to retry: when, and until when.
    pub(super) admin_retries: Vec<(Time, Box<OperatorCall>, Time)>,
    pub(super) peers: UnboundedSender<Outgoing>,
    pub(super) endpoints: EndpointClient,
    pub(super) meters: Meters,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) tables: watch::Sender<Arc<Tables>>,
    pub(super) suspects: watch::Sender<Arc<Suspects>>,
    /// The pools whose streams are recorded.
    pub(super) mixed: watch::Sender<Arc<IndexSet<PoolName>>>,
    /// The instances that reach no endpoints, or that the leader doesn't hear of.
    pub(super) cut: watch::Sender<Arc<IndexSet<NodeId>>>,
    /// Where this instance takes relayed requests.
    pub(super) relay_addr: Option<SocketAddr>,
    /// Questions what streams came from that wait.
    pub(super) lookups: Vec<WaitingLookup>,
    pub(super) gate: SharedGate,
    pub(super) rollouts: RolloutHandle,
    pub(super) load: SharedLoad,
    pub(super) clock: TablesClock,
    /// When sums that can't be used were last logged.
    pub(super) load_logged_at: Time,
    pub(super) drain: Arc<DrainState>,
    pub(super) stop: Option<Stop>,
    pub(super) exit: Option<ExitCode>,
    last_token: u64,
    syncing: bool,
    logged_view: Option<VoterView>,
    gauges_at: Time,
    reported_at: Time,
    /// When the periodic work last ran.
    ticked_at: Time,
    /// When the process last went on after it had stood still.
    resumed_at: Option<Time>,
    start: Instant,
}

impl Core {
    /// Starts the actor.
    pub fn init(cx: CX![], context: Context) -> Option<Self> {
        let now = Time(1);
        let (disk, restored) = context.disk.unzip();
        let limits = Limits {
            requests: context.settings.max_requests,
            queue: context.settings.max_queue,
            flow: context.settings.max_queue.div_ceil(2),
        };
        let (policy, own) = (context.settings.policy, context.peer_addr);
        let mut router = Router::new(policy, limits, own, now, context.seed);
        router.set_gate(context.gate.clone());
        let node = context.identity.node;
        let mut voter = restored.map(|it| Voter::new(node, it, now, context.seed));
        let restored = voter.as_ref().map(|it| it.raft().last_index());
        if let Some(voter) = &mut voter {
            voter.raft_mut().set_incarnation(node, context.identity.incarnation);
            voter.set_voter_repair(context.settings.mend_voters);
            voter.set_rollout_bounds(context.settings.rollouts);
            let founding =
                !context.settings.found_with.is_empty() && context.identity.system.is_some();
            if founding && voter.raft().last_index() == Index(0) {
                voter.raft_mut().bootstrap(first_voters(&context.settings.found_with));
                log::info!("[lease] The system is founded with the first voters.");
            }
        }
        let search = LeaderSearch::new(own, &context.settings.join, context.seed);
        let mut core = Self {
            guard: context.identity.system.map(PeerGuard::new),
            identity: context.identity,
            peer_addr: context.peer_addr,
            nonce: rand::random(),
            voter,
            restored,
            disk,
            holder: LeaseHolder::new(),
            router,
            renewals: Renewals::new(search),
            settings: context.settings,
            callers: IndexMap::new(),
            pending: IndexMap::new(),
            retries: Vec::new(),
            deregistrations: Deregistrations::default(),
            admin_retries: Vec::new(),
            peers: context.peers,
            endpoints: context.endpoints,
            meters: context.meters,
            ready: context.ready,
            tables: context.tables,
            suspects: context.suspects,
            mixed: context.mixed,
            cut: context.cut,
            relay_addr: context.relay_addr,
            lookups: Vec::new(),
            gate: context.gate,
            rollouts: context.rollouts,
            load: context.load,
            clock: context.clock,
            load_logged_at: Time(0),
            drain: context.drain,
            stop: None,
            exit: None,
            last_token: 0,
            syncing: false,
            logged_view: None,
            gauges_at: now,
            reported_at: now,
            ticked_at: now,
            resumed_at: None,
            start: context.start,
        };
        core.flush(now);
        call!([cx], tick());
        Some(core)
    }

    /// Handles an event.
    pub fn event(&mut self, cx: CX![], event: Event) {
        let now = self.time(cx.now());
        match event {
            Event::Submit { submission, reply } => self.submit(now, submission, reply),
            Event::CallerGone(id) => self.router.on_caller_gone(now, id),
            Event::Attempt { id, event } => self.router.on_attempt_event(now, id, event),
            Event::Peer { call, respond } => self.on_peer(now, *call, respond),
            Event::Hello { respond } => {
                let _ = respond.send(self.identity.system);
            }
            Event::FindLeader { respond } => {
                let _ = respond.send(self.leader_report(now));
            }
            Event::LeaderAnswered { from, answer } => self.on_leader_answer(now, from, answer),
            Event::PeerAnswered { token, answer } => self.on_peer_answer(now, token, answer),
            Event::HelloAnswered(system) => self.on_hello_answer(system),
            Event::Operator(call) => self.on_operator(now, call),
            Event::Announce { announcement, committed } => {
                self.on_announcement(now, *announcement, committed);
            }
            Event::Deregister { departure, committed } => {
                self.on_deregister(now, departure, committed);
            }
            Event::EndpointCrashed { report, at } => {
                let at = self.time(at);
                self.renewals.add_crash(at, report);
            }
            Event::SuspectsAnswered { pool, keys } => self.renewals.add_answered(pool, keys),
            Event::RecordStreams { records, committed } => {
                self.record_streams(now, records, committed);
            }
            Event::FindStream { query, respond } => self.find_stream(now, query, respond),
            Event::ReachChanged { is_cut } => self.renewals.set_cut(is_cut),
            Event::SeedsChanged(seeds) => {
                log::info!(seeds:? = seeds; "[settings] The addresses to join have changed.");
                self.renewals.search.set_seeds(&seeds);
            }
            Event::Synced(last) => {
                self.syncing = false;
                if let Some(voter) = &mut self.voter {
                    voter.synced(now, last);
                }
                self.send_after_sync();
            }
            Event::DiskFailed(err) => self.fatal(&format!("[disk] {err}.")),
            Event::Stop => self.begin_stop(now),
        }
        self.flush(now);
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, cx: CX![]) {
        let now = self.time(cx.now());
        if now.since(self.ticked_at) >= MIN_STALL {
            log::warn!(stood_still_ms = now.since(self.ticked_at).0; "[core] the process goes on");
            self.resumed_at = Some(now);
        }
        self.ticked_at = now;
        if let Some(voter) = &mut self.voter {
            voter.tick(now);
        }
        if self.holder.expire(now) {
            log::warn!("[lease] The lease has ended. No new requests are accepted.");
        }
        self.router.set_leased(self.holder.has_lease(now));
        self.router.tick(now);
        self.tick_proposals(now);
        for committed in self.deregistrations.expire(now) {
            notify(committed, false);
        }
        self.tick_admin(now);
        self.tick_lookups(now);
        self.tick_leader(now);
        self.tick_renewals(now);
        self.tick_stop(now);
        let ready = self.holder.has_lease(now) && self.stop.is_none();
        self.ready.store(ready, Ordering::Relaxed);
        self.tick_gauges(now);
        self.report_sent(now);
        self.report_rollouts();
        self.flush(now);
        if let Some(code) = self.exit {
            self.close_disk();
            crate::run::set_exit_code(code);
            cx.stop();
            return;
        }
        after!(TICK_INTERVAL, [cx], tick());
    }

    /// The milliseconds since the start, plus one.
    pub(super) fn time(&self, now: Instant) -> Time {
        Time(now.saturating_duration_since(self.start).as_millis() as u64 + 1)
    }

    /// Whether what has just been read may have been sent long ago, as the process stood
    /// still meanwhile.
    pub(super) fn is_after_stall(&self, now: Time) -> bool {
        now.since(self.ticked_at) >= MIN_STALL
            || self.resumed_at.is_some_and(|it| now.since(it) < BACKLOG_TIME)
    }

    pub(super) fn wall_time(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since_epoch.as_millis() as u64)
    }

    pub(super) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    /// Wraps a call for peers; `None` before this instance belongs to a system.
    pub(super) fn envelope(&self, body: PeerCall) -> Option<Box<Envelope<PeerCall>>> {
        let system = self.identity.system?;
        Some(Box::new(Envelope {
            system,
            from: self.identity.node,
            incarnation: self.identity.incarnation,
            nonce: self.nonce,
            last: self.voter.as_ref().map_or(Index(0), |it| it.raft().last_index()),
            restored: self.restored,
            body,
        }))
    }

    /// Sends a call to a peer, unless this instance belongs to no system yet.
    pub(super) fn call_peer(&self, to: SocketAddr, token: Option<Token>, body: PeerCall) {
        if let Some(envelope) = self.envelope(body) {
            let _ = self.peers.send(Outgoing::Call { to, token, envelope });
        }
    }

    /// Logs an error and makes the process exit with a failure code.
    pub(super) fn fatal(&mut self, text: &str) {
        log::error!("{text} The process exits.");
        eprintln!("mangobendd: {text}");
        self.exit = Some(ExitCode::FAILURE);
    }

    /// Carries out the actions that the voter and the router have queued.
    pub(super) fn flush(&mut self, now: Time) {
        if self.exit.is_some() {
            return;
        }
        self.flush_voter(now);
        self.flush_router(now);
        self.flush_voter(now);
        self.log_voter_change();
    }

    /// Logs this voter's view of its Raft group if it has changed.
    fn log_voter_change(&mut self) {
        let Some(raft) = self.voter.as_ref().map(Voter::raft) else {
            return;
        };
        let view = VoterView {
            role: raft.role(),
            term: raft.term(),
            leader: raft.leader(),
            config: raft.config().clone(),
        };
        if self.logged_view.as_ref() == Some(&view) {
            return;
        }
        log::info!(
            node:% = self.identity.node, role:? = view.role, term:% = view.term,
            leader:? = view.leader, voters:? = view.config.voters.values().collect::<Vec<_>>(),
            learners:? = view.config.learners.values().collect::<Vec<_>>(),
            commit:% = raft.commit_index(), last:% = raft.last_index();
            "[agreement] A voter's view has changed."
        );
        self.logged_view = Some(view);
    }

    fn flush_voter(&mut self, now: Time) {
        if self.voter.is_none() {
            return;
        }
        self.start_sync();
        self.send_ready();
        let done = self.voter.as_mut().map(Voter::take_completions).unwrap_or_default();
        for it in done {
            match it {
                Completion::Proposal(token, result) => self.on_proposal_done(now, token, result),
                Completion::Renewal(token, result) => self.on_renewal_done(now, token, *result),
                Completion::Read(token, result) => {
                    if let Some(Pending::Read(handle)) = self.pending.shift_remove(&token) {
                        handle(self, now, result);
                    }
                }
            }
        }
        self.start_sync();
        self.send_ready();
    }

    /// Hands the next Raft batch to the disk writer, one batch at a time.
    fn start_sync(&mut self) {
        if self.syncing {
            return;
        }
        let (Some(voter), Some(disk)) = (&mut self.voter, &self.disk) else {
            return;
        };
        if let Some(mut batch) = voter.raft_mut().take_batch() {
            self.renewals.after_sync = std::mem::take(&mut batch.after_sync);
            disk.commit(batch);
            self.syncing = true;
        }
    }

    fn send_ready(&mut self) {
        let ready = self.voter.as_mut().map(|it| it.raft_mut().take_ready()).unwrap_or_default();
        self.send_raft(ready);
    }

    /// Sends the messages that had to wait until their batch was durable.
    fn send_after_sync(&mut self) {
        let after = std::mem::take(&mut self.renewals.after_sync);
        self.send_raft(after);
    }

    fn send_raft(&mut self, messages: Vec<coord::raft::Outgoing>) {
        let Some(voter) = &self.voter else {
            return;
        };
        for it in messages {
            let config_addr = voter.raft().config().addr(it.to);
            let to = config_addr.or_else(|| self.renewals.addr(it.to));
            if let Some(to) = to {
                self.call_peer(to, None, PeerCall::Raft { to: it.to, message: it.message });
            }
        }
    }

    fn tick_gauges(&mut self, now: Time) {
        if now.since(self.gauges_at) >= GAUGE_INTERVAL {
            self.update_gauges(now);
        }
    }

    /// Logs and counts the updates that this leader has sent to instances, and the
    /// entries under way to other voters.
    fn report_sent(&mut self, now: Time) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        let it = voter.take_update_counts();
        if it.updates > 0 {
            log::info!(
                updates = it.updates, whole = it.whole, repeated = it.repeated,
                deltas = it.deltas, bytes = it.bytes.0, index:% = voter.applied();
                "[lease] updates sent"
            );
            self.meters.record_updates(&it);
        }
        let sends = voter.take_granted_sends();
        if sends > 0 {
            log::info!(sends = sends; "[lease] sends to limited endpoints granted");
        }
        for it in voter.suspect_figures(now).iter().take(MAX_SUSPECT_LINES) {
            log::info!(
                pool:% = it.key.pool, suspect:% = it.key.suspect, likely = it.likely,
                present = it.present, first_ms = now.since(it.first).0,
                waits_for = it.waits_for.map_or_else(String::new, |it| it.to_string());
                "[lease] evidence against a suspect of crashes"
            );
        }
        for (follower, entries, size) in voter.raft().unacknowledged() {
            log::info!(
                follower:% = follower, entries = entries, bytes = size.0;
                "[agreement] entries sent and not acknowledged"
            );
        }
    }

    /// Sets the gauges to the current values.
    pub(super) fn update_gauges(&mut self, now: Time) {
        self.gauges_at = now;
        let lease = self.holder.has_lease(now);
        self.meters.record_router(&self.router.stats(), self.router.len(), lease);
        let leads = self.voter.as_ref().is_some_and(|it| it.raft().has_committed_in_term());
        let claims = self.voter.as_ref().map_or(0, |it| it.state().claims.len());
        let version = self.holder.tables().version.0;
        self.meters.record_control(version, self.holder.index().0, leads, claims);
        self.update_load_gauges(now);
    }

    fn close_disk(&mut self) {
        if let Some(disk) = self.disk.take() {
            disk.close();
        }
    }
}
