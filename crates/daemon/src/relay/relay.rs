//! State of the relay, used only on the network thread.

use {
    super::{
        BatcherEvent, Dialect, DrainPhase, DrainState, RelaySettings, RetryLimits,
        batcher::{BatcherContext, Batchers},
        batcher_clients::BatcherClients,
        clock::time_since,
        crash_watch::CrashWatch,
        endpoint_checks::EndpointChecks,
        hand_over_mark::hand_over_mark,
        notices::Notices,
        placement::LoadGuard,
        progress::ProgressTable,
        reach_watch::ReachWatch,
        record::SeriesLabels,
        request::RelayRequest,
        rollouts::Rollouts,
        stream_recorder::StreamRecorder,
        upstream::Upstream,
        view::View,
    },
    crate::{
        event::Inbox, memory::Memory, rollout_handle::RolloutHandle, tables_clock::TablesClock,
    },
    coord::{
        ids::{EndpointName, NodeId, PoolName, StageName},
        limits::SharedGate,
        load::SharedLoad,
        relay::{Placer, QueueWaits, Shard, is_peer_cut},
        router::{Estimator, RetryBudget},
        tables::{Endpoint, Suspects, Tables},
        time::{Millis, Time},
    },
    hyper::header::HeaderValue,
    indexmap::IndexSet,
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, mpsc, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// How often expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Estimator key for the time of a relayed request at its endpoint, from
/// sending it to receiving the response head.
const RUN_STAGE: &str = "run";
/// Estimator key for the whole time of a streamed answer, by its route.
const STREAM_STAGE: &str = "stream";
/// Assumed run time until enough requests are measured: one long prompt at a
/// busy engine.
const RUN_TIME_DEFAULT: Millis = Millis(200);

/// Everything that the relay needs to start.
pub struct RelayContext {
    pub settings: RelaySettings,
    pub tables: watch::Receiver<Arc<Tables>>,
    /// Stage requests, cancellations and released results from peers.
    pub batcher_events: mpsc::UnboundedReceiver<BatcherEvent>,
    pub drain: Arc<DrainState>,
    /// The core loop's queue.
    pub inbox: Inbox,
    /// What endpoints have crashed under.
    pub suspects: watch::Receiver<Arc<Suspects>>,
    /// The pools whose streams are to be recorded.
    pub mixed: watch::Receiver<Arc<IndexSet<PoolName>>>,
    /// The instances that reach no endpoints.
    pub cut: watch::Receiver<Arc<IndexSet<NodeId>>>,
    /// The gate that sends to limited endpoints pass.
    pub gate: SharedGate,
    /// The gate that sends to pools with a rollout pass.
    pub rollouts: RolloutHandle,
    /// The load of endpoints as this instance knows it.
    pub load: SharedLoad,
    /// How old the tables are.
    pub clock: TablesClock,
    /// The origin of the times that the gate is given.
    pub start: Instant,
    /// The address at which peers reach this instance.
    pub peer: SocketAddr,
    pub secret: Arc<str>,
    pub memory: Memory,
}

/// The relay of one instance.
pub struct Relay {
    pub dialect: Arc<Dialect>,
    pub drain: Arc<DrainState>,
    pub upstream: Rc<Upstream>,
    pub batchers: Rc<Batchers>,
    pub batcher_clients: BatcherClients,
    pub series: Rc<SeriesLabels>,
    /// The unfinished requests, and what each waits for.
    pub requests: Rc<ProgressTable>,
    pub notices: Rc<Notices>,
    pub rollouts: Rc<Rollouts>,
    pub memory: Memory,
    pub crashes: CrashWatch,
    pub streams: Rc<StreamRecorder>,
    pub reach: Rc<ReachWatch>,
    /// Marks requests that are handed over between instances.
    pub mark: HeaderValue,
    pub peer: SocketAddr,
    /// How old the tables are.
    pub clock: TablesClock,
    placer: Rc<RefCell<Placer>>,
    counted: Counted,
    pub(super) load: SharedLoad,
    view: RefCell<Rc<View>>,
    reloaded: Notify,
    budgets: RefCell<HashMap<PoolName, RetryBudget>>,
    queue_waits: RefCell<QueueWaits>,
    run_times: RefCell<Estimator>,
    run_stage: StageName,
    retry_limits: RetryLimits,
    pub(super) start: Instant,
}

/// Measures how long a streamed answer takes.
pub struct RunTimer {
    relay: Rc<Relay>,
    pool: PoolName,
    stage: StageName,
    size: usize,
    began: Instant,
}

impl RunTimer {
    /// Starts with the head of an answer to a request with a body of `size` bytes.
    pub fn start(relay: &Rc<Relay>, request: &RelayRequest, size: usize) -> Self {
        let (relay, stage) = (relay.clone(), stream_stage(request));
        Self { relay, pool: request.pool.clone(), stage, size, began: Instant::now() }
    }

    /// Records a whole answer.
    pub fn close(self) {
        let took = Millis(self.began.elapsed().as_millis() as u64);
        self.relay.run_times.borrow_mut().record(&self.pool, &self.stage, self.size, took);
    }
}

/// Returns the estimator key of a request's streamed answer: routes of one pool may differ in
/// how long theirs are.
fn stream_stage(request: &RelayRequest) -> StageName {
    let name = format!("{STREAM_STAGE}-{}", request.route.name);
    let plain = || STREAM_STAGE.parse().expect("the name is valid");
    name.parse().unwrap_or_else(|_| plain())
}

/// The requests in flight at endpoints that are counted for rollouts.
type Counted = Rc<RefCell<HashMap<EndpointName, u32>>>;

/// Counts a request as in flight at an endpoint until dropped.
pub struct InFlightGuard {
    placer: Rc<RefCell<Placer>>,
    rollouts: Rc<Rollouts>,
    endpoint: EndpointName,
    load: LoadGuard,
    /// The numbers of requests counted for rollouts, if this is one of them.
    counted: Option<Counted>,
}

impl InFlightGuard {
    /// Records that the endpoint has answered.
    pub fn record_answer(&mut self) {
        self.placer.borrow_mut().answered(&self.endpoint);
        self.load.record_answer();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.placer.borrow_mut().end(&self.endpoint);
        let Some(counted) = &self.counted else {
            return self.rollouts.end_adopted(&self.endpoint);
        };
        let mut counted = counted.borrow_mut();
        match counted.get_mut(&self.endpoint) {
            Some(it) if *it > 1 => *it -= 1,
            _ => {
                counted.remove(&self.endpoint);
            }
        }
    }
}

impl Relay {
    /// Creates the relay and spawns its background tasks on the current
    /// `LocalSet`.
    pub fn start(context: RelayContext) -> Rc<Self> {
        let RelayContext {
            settings,
            mut tables,
            batcher_events,
            drain,
            inbox,
            suspects,
            mixed,
            cut,
            gate,
            rollouts,
            load,
            clock,
            start,
            peer,
            secret,
            memory,
        } = context;
        let names = &settings.dialect.headers;
        let notices = Rc::new(Notices::new(names, settings.leave_grace, gate, start));
        let rollouts = Rc::new(Rollouts::new(rollouts, start));
        let reach = ReachWatch::new(inbox.clone(), cut, start);
        let upstream =
            Rc::new(Upstream::new(notices.clone(), reach.clone(), memory.descriptors.clone()));
        let streams = StreamRecorder::start(inbox.clone(), mixed, start);
        let placer = Rc::new(RefCell::new(Placer::new(rand::random())));
        let checks = EndpointChecks::new(tables.clone(), notices.clone(), placer.clone());
        let crashes = CrashWatch::new(inbox, suspects, checks, peer);
        let relay = Rc::new(Self {
            batchers: Batchers::new(BatcherContext {
                dialect: settings.dialect.clone(),
                upstream: upstream.clone(),
                notices: notices.clone(),
                rollouts: rollouts.clone(),
                rooms: memory.answers.clone(),
                crashes: crashes.clone(),
                drain: drain.clone(),
                start,
            }),
            notices,
            rollouts,
            memory,
            crashes,
            streams,
            reach,
            mark: hand_over_mark(&secret),
            dialect: settings.dialect,
            drain,
            upstream,
            batcher_clients: BatcherClients::new(secret),
            series: Rc::default(),
            requests: Rc::default(),
            peer,
            clock,
            placer,
            counted: Rc::default(),
            load,
            view: RefCell::new(Rc::new(View::new(tables.borrow_and_update().clone()))),
            reloaded: Notify::new(),
            budgets: RefCell::default(),
            queue_waits: RefCell::default(),
            run_times: RefCell::default(),
            run_stage: RUN_STAGE.parse().expect("the name is valid"),
            retry_limits: settings.retry_limits,
            start,
        });
        relay.notices.reload(&relay.view().tables);
        relay.reload_rollouts(&relay.view().tables);
        relay.batchers.reload(&relay.view());
        tokio::task::spawn_local(relay.clone().watch_tables(tables));
        tokio::task::spawn_local(relay.batchers.clone().serve(batcher_events));
        tokio::task::spawn_local(relay.batchers.clone().watch_stop());
        tokio::task::spawn_local(relay.clone().sweep());
        tokio::task::spawn_local(relay.clone().watch_stop());
        let source = relay.clone();
        tokio::task::spawn_local(relay.reach.clone().run(move || source.view()));
        relay
    }

    /// Returns the index of the latest tables.
    pub fn view(&self) -> Rc<View> {
        self.view.borrow().clone()
    }

    /// Waits until the tables change after this call.
    pub async fn view_changed(&self) {
        self.reloaded.notified().await;
    }

    /// Whether the load balancer may send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.view().has_catalog() && self.drain.phase() == DrainPhase::Open
    }

    /// Returns the current time on the clock of `coord`'s decisions.
    pub fn now(&self) -> Time {
        time_since(self.start)
    }

    /// Borrows the load and failure state of the endpoints.
    pub fn placer(&self) -> std::cell::RefMut<'_, Placer> {
        self.placer.borrow_mut()
    }

    /// Counts a request as in flight at an endpoint until the guard is dropped. `is_counted`
    /// is whether it is counted for a rollout.
    pub fn begin_attempt(&self, endpoint: &Endpoint, is_counted: bool) -> InFlightGuard {
        self.placer().begin(&endpoint.name);
        let load = self.begin_load(endpoint);
        if is_counted {
            *self.counted.borrow_mut().entry(endpoint.name.clone()).or_default() += 1;
        }
        let (placer, rollouts) = (self.placer.clone(), self.rollouts.clone());
        let counted = is_counted.then(|| self.counted.clone());
        InFlightGuard { placer, rollouts, endpoint: endpoint.name.clone(), load, counted }
    }

    /// The requests in flight at an endpoint that are counted for a rollout.
    fn counted(&self, endpoint: &EndpointName) -> u32 {
        self.counted.borrow().get(endpoint).copied().unwrap_or(0)
    }

    /// Records how long a request with a body of `size` bytes took at a pool.
    pub fn record_run_time(&self, pool: &PoolName, size: usize, took: Duration) {
        let took = Millis(took.as_millis() as u64);
        self.run_times.borrow_mut().record(pool, &self.run_stage, size, took);
    }

    /// Estimates how long a request with a body of `size` bytes takes at a pool.
    pub fn expected_run_time(&self, pool: &PoolName, size: usize) -> Millis {
        self.run_times.borrow().typical_max(pool, &self.run_stage, size).unwrap_or(RUN_TIME_DEFAULT)
    }

    /// Estimates how long a request with a body of `size` bytes takes at its pool, to the end of
    /// its answer.
    pub fn expected_whole_time(&self, request: &RelayRequest, size: usize) -> Millis {
        let run = self.expected_run_time(&request.pool, size);
        if !request.route.retry.is_stream() {
            return run;
        }
        let times = self.run_times.borrow();
        let rest = times.typical_max(&request.pool, &stream_stage(request), size);
        run + rest.unwrap_or_default()
    }

    /// Records how long pieces of a priority wait in a shard's queue.
    pub fn record_wait(&self, shard: &Shard, priority: u8, wait: Millis) {
        self.queue_waits.borrow_mut().record(self.now(), shard, priority, wait);
    }

    /// Records that no endpoint of a shard answers, so that it is tried last for
    /// a while.
    pub fn record_down(&self, shard: &Shard) {
        self.queue_waits.borrow_mut().avoid(self.now(), shard);
    }

    /// Returns the shards of a pool in the order in which a request tries them.
    pub fn shards(&self, pool: &PoolName, request: &RelayRequest) -> Vec<Shard> {
        let shards = self.view().shards(pool).to_vec();
        let (domain, subject) = (request.preferred_domain.as_ref(), request.id.as_bytes());
        self.queue_waits.borrow().order(self.now(), shards, domain, request.priority, subject)
    }

    /// Whether the instance at a peer address reaches no endpoints, or the leader doesn't
    /// hear of it.
    pub fn is_peer_cut(&self, addr: SocketAddr) -> bool {
        is_peer_cut(&self.view().tables, &self.reach.cut_peers(), addr)
    }

    /// Waits until the instance at a peer address is of no use to others.
    pub async fn until_peer_cut(&self, addr: SocketAddr) {
        while !self.is_peer_cut(addr) {
            self.reach.peers_changed().await;
        }
    }

    /// Returns the expected queue time of a piece at a shard; zero without a
    /// recent report.
    pub fn expected_wait(&self, shard: &Shard, priority: u8) -> Millis {
        self.queue_waits.borrow().wait(self.now(), shard, priority)
    }

    /// Adds the retry tokens that a first attempt at a pool earns.
    pub fn earn_retry(&self, pool: &PoolName) {
        self.with_budget(pool, |it, _| it.earn());
    }

    /// Spends one retry token of a pool; false if there is none.
    pub fn spend_retry(&self, pool: &PoolName) -> bool {
        self.with_budget(pool, RetryBudget::spend)
    }

    fn with_budget<T>(&self, pool: &PoolName, act: impl FnOnce(&mut RetryBudget, Time) -> T) -> T {
        let now = self.now();
        let config = self.retry_limits.instance_budget(self.view().entry_count);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(pool.clone()).or_insert_with(|| RetryBudget::new(config, now));
        budget.reload(config);
        act(budget, now)
    }

    async fn watch_tables(self: Rc<Self>, mut tables: watch::Receiver<Arc<Tables>>) {
        while tables.changed().await.is_ok() {
            let latest = tables.borrow_and_update().clone();
            self.reload(latest);
        }
    }

    fn reload(&self, tables: Arc<Tables>) {
        let old = self.view();
        if old.catalog().version != tables.catalog.version {
            log::info!(
                catalog = tables.catalog.version.0, before = old.catalog().version.0,
                routes = tables.catalog.routes.len(), teams = tables.catalog.teams.len();
                "[relay] catalog in force"
            );
        }
        log_withheld(&old.tables, &tables);
        let view = Rc::new(View::new(tables));
        *self.view.borrow_mut() = view.clone();
        let known = |it: &EndpointName| view.tables.endpoints.contains_key(it);
        self.placer().retain(known);
        self.upstream.retain(known);
        self.notices.reload(&view.tables);
        self.reload_rollouts(&view.tables);
        self.batchers.reload(&view);
        self.reloaded.notify_waiters();
    }

    fn reload_rollouts(&self, tables: &Tables) {
        let uncounted =
            |it: &EndpointName| self.placer().in_flight(it).saturating_sub(self.counted(it));
        self.rollouts.reload(tables, uncounted);
    }

    /// Logs the requests that the end of a stop cuts off.
    async fn watch_stop(self: Rc<Self>) {
        self.drain.ended().await;
        self.requests.log_cut_off();
    }

    async fn sweep(self: Rc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.upstream.expire(Instant::now());
            self.notices.log_ended();
        }
    }
}

/// Logs what is withheld or released from now on: a part of prompts, or the digest of a
/// request.
fn log_withheld(old: &Tables, new: &Tables) {
    for it in new.withheld.difference(&old.withheld) {
        log::warn!(pool:% = it.pool, suspect:% = it.suspect; "[relay] requests withheld");
    }
    for it in old.withheld.difference(&new.withheld) {
        log::info!(pool:% = it.pool, suspect:% = it.suspect; "[relay] requests released");
    }
}
