//! A system under load, and the injection of faults.

use {
    super::{
        load::{Traces, is_healthy, run_caller, run_operator},
        plan::{DOMAINS, EndpointFault, FaultWindow, InstanceFault, NON_VOTERS, Plan, VOTERS},
    },
    crate::{
        fixture::{endpoint_specs, tables_edit},
        relayed_load::{Load, LoadSpec, RelayedEndpoints, Route, relayed_catalog},
    },
    coord::{
        ids::Slots,
        tables::{Edit, Target},
    },
    harness::{Addrs, Cluster, ClusterSpec, Exchange, Fault, Operator, StandIns, wait_until},
    standin::{Control, EndpointSpec},
    std::{
        fs,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// The system has recovered within this time of the end of a fault: the bound that users
/// require for a restarted core.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(15);
/// The number of callers on each route.
const CALLERS_PER_ROUTE: u64 = 4;
const OPERATORS: u64 = 2;
/// The duration of a call of a relayed request's stage.
const STAGE_CALL: Duration = Duration::from_millis(20);
/// An instance that is lost counts as a sound voter for this long: its lease and its margin.
/// One that lost its disk has the name of the one before, so that no other fault may begin
/// until then.
const LEASE_END: Duration = Duration::from_millis(2700);
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const SIGTERM: i32 = 15;
/// A planned stop takes at most this time: the deadline of the accepted requests and one
/// second.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// A running system with its load.
pub struct Soak {
    pub cluster: Cluster,
    pub ledgers: StandIns,
    pub engines: Mutex<StandIns>,
    pub relayed: RelayedEndpoints,
    pub addrs: Vec<Addrs>,
    /// Which instance was suspended, from when until when.
    pub frozen: Vec<(usize, Instant, Instant)>,
    /// Each fault of instances, from when until the system had recovered.
    pub faults: Vec<(InstanceFault, Instant, Instant)>,
    pub findings: Vec<String>,
    stop: Arc<AtomicBool>,
    load: LoadThreads,
    relayed_load: Load,
}

struct LoadThreads {
    models: Vec<JoinHandle<Vec<super::load::RequestTrace>>>,
    deposits: Vec<JoinHandle<Vec<super::load::RequestTrace>>>,
    operators: Vec<JoinHandle<super::load::OperatorTrace>>,
}

fn specs(ledgers: bool) -> Vec<EndpointSpec> {
    let all = endpoint_specs(&DOMAINS).into_iter();
    all.filter(|it| (it.pool.as_str() == "ledger") == ledgers).collect()
}

impl Soak {
    /// Starts a system and its load.
    pub fn start(seed: u64) -> Self {
        let mut spec = ClusterSpec::new(VOTERS, NON_VOTERS);
        let args = ["--mend-voters", "on", "--relay-listen", "127.0.0.1:0"];
        spec.args = args.map(ToOwned::to_owned).to_vec();
        let cluster = spec.start();
        cluster.operator().edit(vec![tables_edit()]).expect("the tables are accepted");
        let catalog = relayed_catalog(STAGE_CALL);
        let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog);
        posted.expect("the catalog is accepted");
        let addrs: Vec<Addrs> = cluster.daemons().map(|it| it.addrs).collect();
        let ledgers = StandIns::start(&specs(true), &cluster.announce_addrs());
        let engines = StandIns::start(&specs(false), &cluster.announce_addrs());
        wait_until("the endpoints are granted", RECOVERY_BOUND, || {
            let granted = cluster.operator().status().map(|it| it.endpoints);
            granted.is_ok_and(|it| it.iter().filter(|it| it.granted > Slots(0)).count() >= 15)
        });
        let stop = Arc::new(AtomicBool::new(false));
        let load = LoadThreads::start(seed, &addrs, &stop);
        let relayed = RelayedEndpoints::start(STAGE_CALL, cluster.announce_addrs());
        let relays: Vec<_> = cluster.daemons().map(harness::Daemon::relay_addr).collect();
        let relayed_load = Load::start(&relayed_spec(seed), &relays);
        Self {
            cluster,
            ledgers,
            engines: Mutex::new(engines),
            relayed,
            addrs,
            frozen: vec![],
            faults: vec![],
            findings: vec![],
            stop,
            load,
            relayed_load,
        }
    }

    /// Injects all faults, lets the system recover and stops the load.
    pub fn run(mut self, plan: &Plan) -> FinishedSoak {
        let (engines, ledgers) = (&self.engines, &self.ledgers);
        let (addrs, cluster) = (&self.addrs, &mut self.cluster);
        thread::scope(|scope| {
            scope.spawn(|| {
                plan.endpoints
                    .iter()
                    .for_each(|it| inject_endpoint_fault(it, engines, ledgers, addrs))
            });
            for window in &plan.instances {
                thread::sleep(window.delay);
                let began = Instant::now();
                let result = inject_instance_fault(cluster, window, &mut self.frozen);
                self.faults.push((window.fault, began, Instant::now()));
                self.findings.extend(result.err());
            }
        });
        let faults_ended = Instant::now();
        thread::sleep(RECOVERY_BOUND);
        self.stop.store(true, Ordering::Relaxed);
        let traces = self.load.join();
        let exchanges = self.relayed_load.finish();
        FinishedSoak {
            cluster: self.cluster,
            ledgers: self.ledgers,
            engines: self.engines.into_inner().expect("lock poisoned"),
            relayed: self.relayed,
            frozen: self.frozen,
            faults: self.faults,
            findings: self.findings,
            faults_ended,
            traces,
            exchanges,
        }
    }
}

/// A system whose faults and load have ended.
pub struct FinishedSoak {
    pub cluster: Cluster,
    pub ledgers: StandIns,
    pub engines: StandIns,
    pub relayed: RelayedEndpoints,
    pub frozen: Vec<(usize, Instant, Instant)>,
    pub faults: Vec<(InstanceFault, Instant, Instant)>,
    pub findings: Vec<String>,
    /// When the last fault had ended.
    pub faults_ended: Instant,
    pub traces: Traces,
    /// Relayed requests that were sent whole.
    pub exchanges: Vec<Exchange>,
}

/// The load of relayed requests, whose deadlines are within those of the other requests.
fn relayed_spec(seed: u64) -> LoadSpec {
    LoadSpec {
        seed,
        callers: vec![(Route::Staged, 3), (Route::Plain, 1), (Route::Stream, 2)],
        max_gap: Duration::from_millis(200),
        max_deadline: 2000,
        max_stream: 1000,
    }
}

impl LoadThreads {
    fn start(seed: u64, addrs: &[Addrs], stop: &Arc<AtomicBool>) -> Self {
        let spawn_callers = |route: &'static str, first: u64| {
            let start = |i: u64| {
                let (addrs, stop) = (addrs.to_vec(), stop.clone());
                thread::spawn(move || run_caller(route, &addrs, seed * 1000 + i, &stop))
            };
            (first..first + CALLERS_PER_ROUTE).map(start).collect()
        };
        let spawn_operator = |i: u64| {
            let (addrs, stop) = (addrs.to_vec(), stop.clone());
            thread::spawn(move || run_operator(&addrs, seed * 1000 + i, &stop))
        };
        Self {
            models: spawn_callers("notes", 0),
            deposits: spawn_callers("deposit", 100),
            operators: (200..200 + OPERATORS).map(spawn_operator).collect(),
        }
    }

    fn join(self) -> Traces {
        fn join_all<T>(threads: Vec<JoinHandle<T>>) -> Vec<T> {
            threads.into_iter().map(|it| it.join().expect("the load doesn't panic")).collect()
        }
        Traces {
            models: join_all(self.models).into_iter().flatten().collect(),
            deposits: join_all(self.deposits).into_iter().flatten().collect(),
            operators: join_all(self.operators),
        }
    }
}

/// Injects one fault of instances and waits until the system has recovered.
///
/// # Errors
/// If the system doesn't recover, or an instance exits when it shouldn't.
fn inject_instance_fault(
    cluster: &mut Cluster,
    window: &FaultWindow<InstanceFault>,
    frozen: &mut Vec<(usize, Instant, Instant)>,
) -> Result<(), String> {
    match window.fault {
        InstanceFault::Kill(i) => {
            cluster.kill(i);
            thread::sleep(window.duration);
            cluster.start(i);
        }
        InstanceFault::Wipe(i) => {
            let lost_at = Instant::now();
            cluster.kill(i);
            let data = cluster.instances[i].spec.data.clone().expect("a voter has a data folder");
            fs::remove_dir_all(&data).map_err(|err| format!("{}: {err}", data.display()))?;
            // The first instance bootstrapped the system, so it has no addresses to join.
            cluster.instances[i].spec.join = cluster.other_addrs(i);
            thread::sleep(window.duration);
            cluster.start(i);
            thread::sleep(LEASE_END.saturating_sub(lost_at.elapsed()));
        }
        InstanceFault::KillAll => {
            let all = 0..cluster.instances.len();
            all.clone().for_each(|it| cluster.kill(it));
            all.for_each(|it| cluster.start(it));
        }
        InstanceFault::Freeze(i) => {
            let began = Instant::now();
            cluster.daemon(i).proc.signal(SIGSTOP);
            thread::sleep(window.duration);
            cluster.daemon(i).proc.signal(SIGCONT);
            frozen.push((i, began, Instant::now()));
        }
        InstanceFault::Stop(i) => {
            let instance = &mut cluster.instances[i];
            let mut daemon = instance.daemon.take().expect("the instance runs");
            daemon.proc.signal(SIGTERM);
            let status = daemon.proc.wait(STOP_TIMEOUT);
            if !status.is_some_and(|it| it.success()) {
                return Err(format!("instance {i} ended a planned stop with {status:?}"));
            }
            cluster.start(i);
        }
        InstanceFault::CutPeers(i) => {
            hold_network_fault(cluster, window, i, Fault { cut: true, ..Fault::NONE })
        }
        InstanceFault::DropInbound(i) => {
            hold_network_fault(cluster, window, i, Fault { drop_in: true, ..Fault::NONE })
        }
        InstanceFault::DropOutbound(i) => {
            hold_network_fault(cluster, window, i, Fault { drop_out: true, ..Fault::NONE })
        }
        InstanceFault::Delay(i) => {
            hold_network_fault(cluster, window, i, Fault { delay_ms: 100, ..Fault::NONE })
        }
        InstanceFault::Blackhole(i) => cluster.instances[i].proxy.blackhole_open(),
        InstanceFault::Replace(i) => replace(cluster, window, &[i])?,
        InstanceFault::ReplaceLeader => {
            let leader = cluster.leader();
            replace(cluster, window, &[leader])?;
        }
        InstanceFault::ReplacePair => {
            let leader = cluster.leader();
            replace(cluster, window, &[leader, (leader + 1) % VOTERS])?;
        }
    }
    wait_recovered(cluster, window)
}

/// Takes instances away for good and starts others in their place.
///
/// # Errors
/// If a change made meanwhile isn't in force in time.
fn replace(
    cluster: &mut Cluster,
    window: &FaultWindow<InstanceFault>,
    gone: &[usize],
) -> Result<(), String> {
    let loss = Instant::now();
    gone.iter().for_each(|it| cluster.remove(*it));
    let late = cluster.instances_late_after(loss);
    thread::sleep(window.duration.saturating_sub(loss.elapsed()));
    gone.iter().for_each(|it| cluster.start_successor(*it));
    match late.is_empty() {
        true => Ok(()),
        false => Err(format!("{:?}: {}", window.fault, late.join(", "))),
    }
}

fn hold_network_fault(
    cluster: &Cluster,
    window: &FaultWindow<InstanceFault>,
    i: usize,
    fault: Fault,
) {
    cluster.set_fault(i, fault);
    thread::sleep(window.duration);
    cluster.clear_fault(i);
}

fn wait_recovered(
    cluster: &mut Cluster,
    window: &FaultWindow<InstanceFault>,
) -> Result<(), String> {
    let start = Instant::now();
    let fault = window.fault;
    while start.elapsed() < RECOVERY_BOUND {
        for (i, instance) in cluster.instances.iter_mut().enumerate() {
            if instance.daemon.as_mut().is_some_and(|it| it.proc.has_ended()) {
                return Err(format!("{fault:?}: instance {i} exited unexpectedly"));
            }
        }
        let (instances, status) = (cluster.instances.len(), cluster.operator().status());
        if status.is_ok_and(|it| is_healthy(&it, instances, VOTERS))
            && cluster.is_mended()
            && cluster.daemons().all(|it| it.caller().is_ready())
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let status = cluster.operator().status();
    Err(format!("{fault:?}: not healthy after {RECOVERY_BOUND:?}, {status:?}"))
}

/// Injects one fault of endpoints, after the delay before it.
fn inject_endpoint_fault(
    window: &FaultWindow<EndpointFault>,
    engines: &Mutex<StandIns>,
    ledgers: &StandIns,
    addrs: &[Addrs],
) {
    thread::sleep(window.delay);
    match &window.fault {
        EndpointFault::Misbehave { pool, number, control } => {
            let name = format!("{pool}-{number}").parse().expect("a valid name");
            let set = |control: &Control| match *pool {
                "ledger" => ledgers.control(&name, control),
                _ => engines.lock().expect("lock poisoned").control(&name, control),
            };
            set(control);
            thread::sleep(window.duration);
            set(&Control::default());
        }
        EndpointFault::KillEngines => {
            let announce: Vec<_> = addrs.iter().map(|it| it.endpoint).collect();
            let mut engines = engines.lock().expect("lock poisoned");
            let replacements = StandIns::start(&specs(false), &announce);
            std::mem::replace(&mut *engines, replacements).proc.kill();
        }
        EndpointFault::TakeOut(domain) => {
            let target = Target::Domain(domain.parse().expect("a valid name"));
            apply_edit(addrs, Edit::TakeOut(target.clone()));
            thread::sleep(window.duration);
            apply_edit(addrs, Edit::BringBack(target));
        }
    }
}

/// Makes a change through any instance that answers it.
fn apply_edit(addrs: &[Addrs], edit: Edit) {
    let change = harness::new_change(None, vec![edit]);
    wait_until("the change is accepted", RECOVERY_BOUND * 3, || {
        addrs.iter().any(|it| Operator::new(it.operator).change(&change).is_ok())
    });
}
