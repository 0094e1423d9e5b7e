//! The actor, its tables and the systems that run on each tick.

use {
    super::{Context, proposals::Proposal, renewals::Renewals, stop::Stop},
    crate::{
        callers::CallerReply,
        disk::{DiskWriter, Identity},
        endpoints::EndpointCalls,
        event::Event,
        operators::OperatorCall,
        peers::{Outgoing, PeerCall, Responder},
        relay::DrainState,
        settings::Settings,
        telemetry::Meters,
    },
    coord::{
        control::{Done, Envelope, Guard, Holder, Token, Trouble, Voter, first_voters},
        ids::{Class, Index, NodeId, RequestId, RouteName, TeamName, Term},
        raft::{Config, Role},
        router::{Limits, Router},
        tables::Tables,
        time::{Millis, Time, WallTime},
    },
    indexmap::IndexMap,
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

/// How often the systems run.
const TICK: Duration = Duration::from_millis(10);
/// How often gauges are shown anew.
const SHOW_EVERY: Millis = Millis(500);

/// A caller that waits for its answer.
pub(super) struct CallerRow {
    pub reply: UnboundedSender<CallerReply>,
    pub route: RouteName,
    pub team: TeamName,
    pub class: Class,
    pub since: Time,
}

/// Who waits for the answer to a token.
pub(super) enum Waiting {
    Proposal(Box<Proposal>),
    Renewal { asked: Time, trouble: Vec<Trouble> },
    Admin { call: Box<OperatorCall>, until: Time },
    Peer(Responder),
}

/// What a voter believes of the agreement.
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
    pub(super) peer: SocketAddr,
    pub(super) nonce: u64,
    pub(super) voter: Option<Voter>,
    pub(super) disk: Option<DiskWriter>,
    pub(super) guard: Option<Guard>,
    pub(super) holder: Holder,
    pub(super) router: Router,
    pub(super) renewals: Renewals,
    pub(super) callers: IndexMap<RequestId, CallerRow>,
    pub(super) waiting: IndexMap<Token, Waiting>,
    pub(super) retries: Vec<(Time, Proposal)>,
    pub(super) admin_retries: Vec<(Time, Box<OperatorCall>, Time)>,
    pub(super) peers: UnboundedSender<Outgoing>,
    pub(super) endpoints: EndpointCalls,
    pub(super) meters: Meters,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) tables: watch::Sender<Arc<Tables>>,
    pub(super) drain: Arc<DrainState>,
    pub(super) stop: Option<Stop>,
    pub(super) exit: Option<ExitCode>,
    tokens: u64,
    syncing: bool,
    seen: Option<VoterView>,
    shown: Time,
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
        let router = Router::new(context.settings.policy, limits, now, context.seed);
        let node = context.identity.node;
        let mut voter = restored.map(|it| Voter::new(node, it, now, context.seed));
        if let Some(voter) = &mut voter {
            voter.set_mending(context.settings.mend_voters);
            let found =
                !context.settings.found_with.is_empty() && context.identity.system.is_some();
            if found && voter.raft().last_index() == Index(0) {
                voter.raft_mut().bootstrap(first_voters(&context.settings.found_with));
                log::info!("[lease] The system is founded with the first voters.");
            }
        }
        let mut core = Self {
            guard: context.identity.system.map(Guard::new),
            identity: context.identity,
            peer: context.peer,
            nonce: rand::random(),
            voter,
            disk,
            holder: Holder::new(),
            router,
            renewals: Renewals::new(&context.settings.join),
            settings: context.settings,
            callers: IndexMap::new(),
            waiting: IndexMap::new(),
            retries: Vec::new(),
            admin_retries: Vec::new(),
            peers: context.peers,
            endpoints: context.endpoints,
            meters: context.meters,
            ready: context.ready,
            tables: context.tables,
            drain: context.drain,
            stop: None,
            exit: None,
            tokens: 0,
            syncing: false,
            seen: None,
            shown: now,
            start: context.start,
        };
        core.flush(now);
        call!([cx], tick());
        Some(core)
    }

    /// Takes in an event.
    pub fn event(&mut self, cx: CX![], event: Event) {
        let now = self.time(cx.now());
        match event {
            Event::Submit { ask, reply } => self.submit(now, ask, reply),
            Event::Abandon(id) => self.router.on_caller_gone(now, id),
            Event::Attempt { id, event } => self.router.on_attempt_event(now, id, event),
            Event::Peer { call, respond } => self.on_peer(now, *call, respond),
            Event::Hello { respond } => {
                let _ = respond.send(self.identity.system);
            }
            Event::Answered { token, answer } => self.on_answer(now, token, answer),
            Event::Greeted(system) => self.on_greeting(system),
            Event::Operator(call) => self.on_operator(now, call),
            Event::Announce { announcement, heeded } => {
                self.on_announcement(now, *announcement, heeded);
            }
            Event::Farewell { endpoint, heeded } => self.on_farewell(now, &endpoint, heeded),
            Event::Reseed(seeds) => {
                log::info!(seeds:? = seeds; "[settings] The addresses to join have changed.");
                self.renewals.reseed(&seeds);
            }
            Event::Synced(last) => {
                self.syncing = false;
                if let Some(voter) = &mut self.voter {
                    voter.synced(now, last);
                }
                self.send_after_sync();
            }
            Event::DiskFailed(err) => self.die(&format!("[disk] {err}.")),
            Event::Stop => self.begin_stop(now),
        }
        self.flush(now);
    }

    /// Runs the systems.
    pub fn tick(&mut self, cx: CX![]) {
        let now = self.time(cx.now());
        if let Some(voter) = &mut self.voter {
            voter.tick(now);
        }
        if self.holder.lapse(now) {
            log::warn!("[lease] The lease has ended. No new work is taken.");
        }
        self.router.set_leased(self.holder.has_lease(now));
        self.router.tick(now);
        self.tick_proposals(now);
        self.tick_admin(now);
        self.tick_renewals(now);
        self.tick_stop(now);
        let ready = self.holder.has_lease(now) && self.stop.is_none();
        self.ready.store(ready, Ordering::Relaxed);
        self.tick_gauges(now);
        self.flush(now);
        if let Some(code) = self.exit {
            self.close_disk();
            crate::run::finish(code);
            cx.stop();
            return;
        }
        after!(TICK, [cx], tick());
    }

    pub(super) fn time(&self, now: Instant) -> Time {
        Time(now.saturating_duration_since(self.start).as_millis() as u64 + 1)
    }

    pub(super) fn wall(&self) -> WallTime {
        let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(passed.as_millis() as u64)
    }

    pub(super) fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    pub(super) fn envelope(&self, body: PeerCall) -> Option<Box<Envelope<PeerCall>>> {
        let system = self.identity.system?;
        Some(Box::new(Envelope {
            system,
            from: self.identity.node,
            incarnation: self.identity.incarnation,
            nonce: self.nonce,
            last: self.voter.as_ref().map_or(Index(0), |it| it.raft().last_index()),
            body,
        }))
    }

    pub(super) fn call_peer(&self, to: SocketAddr, token: Option<Token>, body: PeerCall) {
        if let Some(envelope) = self.envelope(body) {
            let _ = self.peers.send(Outgoing::Call { to, token, envelope });
        }
    }

    /// Ends the process after an error that must not be passed over.
    pub(super) fn die(&mut self, text: &str) {
        log::error!("{text} The process ends.");
        eprintln!("mangobendd: {text}");
        self.exit = Some(ExitCode::FAILURE);
    }

    /// Carries out what the parts decided.
    pub(super) fn flush(&mut self, now: Time) {
        if self.exit.is_some() {
            return;
        }
        self.flush_voter(now);
        self.flush_router(now);
        self.flush_voter(now);
        self.note_voter();
    }

    /// Logs what this voter believes of the agreement, when it has changed.
    fn note_voter(&mut self) {
        let Some(raft) = self.voter.as_ref().map(Voter::raft) else {
            return;
        };
        let view = VoterView {
            role: raft.role(),
            term: raft.term(),
            leader: raft.leader(),
            config: raft.config().clone(),
        };
        if self.seen.as_ref() == Some(&view) {
            return;
        }
        log::info!(
            node:% = self.identity.node, role:? = view.role, term:% = view.term,
            leader:? = view.leader, voters:? = view.config.voters.values().collect::<Vec<_>>(),
            learners:? = view.config.learners.values().collect::<Vec<_>>(),
            commit:% = raft.commit_index(), last:% = raft.last_index();
            "[agreement] A voter's view has changed."
        );
        self.seen = Some(view);
    }

    fn flush_voter(&mut self, now: Time) {
        if self.voter.is_none() {
            return;
        }
        self.start_sync();
        self.send_ready();
        let done = self.voter.as_mut().map(Voter::take_done).unwrap_or_default();
        for it in done {
            match it {
                Done::Proposal(token, result) => self.on_proposal_done(now, token, result),
                Done::Renewal(token, result) => self.on_renewal_done(now, token, *result),
            }
        }
        self.start_sync();
        self.send_ready();
    }

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

    fn send_after_sync(&mut self) {
        let after = std::mem::take(&mut self.renewals.after_sync);
        self.send_raft(after);
    }

    fn send_raft(&mut self, messages: Vec<coord::raft::Outgoing>) {
        let Some(voter) = &self.voter else {
            return;
        };
        for it in messages {
            let known = voter.raft().config().addr(it.to);
            let to = known.or_else(|| self.renewals.addr(it.to));
            if let Some(to) = to {
                self.call_peer(to, None, PeerCall::Raft { to: it.to, message: it.message });
            }
        }
    }

    fn tick_gauges(&mut self, now: Time) {
        if now.since(self.shown) >= SHOW_EVERY {
            self.show(now);
        }
    }

    /// Shows the gauges as they are now.
    pub(super) fn show(&mut self, now: Time) {
        self.shown = now;
        let lease = self.holder.has_lease(now);
        self.meters.router(&self.router.stats(), self.router.len(), lease);
        let leads = self.voter.as_ref().is_some_and(|it| it.raft().has_committed_in_term());
        let claims = self.voter.as_ref().map_or(0, |it| it.state().claims.len());
        let version = self.holder.tables().version.0;
        self.meters.control(version, self.holder.index().0, leads, claims);
    }

    fn close_disk(&mut self) {
        if let Some(disk) = self.disk.take() {
            disk.close();
        }
    }
}
