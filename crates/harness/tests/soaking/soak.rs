//! A system under load and faults.

use {
    super::{
        load::{Seen, ask_on, is_sound, operate},
        plan::{DOMAINS, EndpointFault, InstanceFault, OTHERS, Plan, Turn, VOTERS},
    },
    crate::fixture::{endpoints, tables},
    coord::{
        ids::Slots,
        tables::{Edit, Target},
    },
    harness::{Addrs, Cluster, ClusterSpec, Fault, Operator, StandIns, wait_until},
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

/// The system is whole again within this time of the end of a fault: the
/// users' bound on a core that comes back.
pub const RECOVERY: Duration = Duration::from_secs(15);
/// Callers of each route.
const CALLERS: u64 = 4;
const OPERATORS: u64 = 2;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const SIGTERM: i32 = 15;
/// A planned stop ends within this time: the deadline of what was taken in,
/// and a second.
const STOP_BOUND: Duration = Duration::from_secs(4);

/// A running system with its load.
pub struct Soak {
    pub cluster: Cluster,
    pub ledgers: StandIns,
    pub engines: Mutex<StandIns>,
    pub addrs: Vec<Addrs>,
    /// When which instance was stopped by a signal.
    pub frozen: Vec<(usize, Instant, Instant)>,
    pub findings: Vec<String>,
    ends: Arc<AtomicBool>,
    loads: Loads,
}

struct Loads {
    models: Vec<JoinHandle<Vec<super::load::Asked>>>,
    deposits: Vec<JoinHandle<Vec<super::load::Asked>>>,
    operators: Vec<JoinHandle<super::load::Operated>>,
}

fn specs(of_ledger: bool) -> Vec<EndpointSpec> {
    let all = endpoints(&DOMAINS).into_iter();
    all.filter(|it| (it.pool.as_str() == "ledger") == of_ledger).collect()
}

impl Soak {
    /// Starts a system and its load.
    pub fn start(seed: u64) -> Self {
        let mut spec = ClusterSpec::new(VOTERS, OTHERS);
        spec.args = ["--mend-voters", "on"].map(ToOwned::to_owned).to_vec();
        let cluster = spec.start();
        cluster.operator().edit(vec![tables()]).expect("the tables are accepted");
        let addrs: Vec<Addrs> = cluster.daemons().map(|it| it.addrs).collect();
        let ledgers = StandIns::start(&specs(true), &cluster.announce_addrs());
        let engines = StandIns::start(&specs(false), &cluster.announce_addrs());
        wait_until("the endpoints are granted", RECOVERY, || {
            let granted = cluster.operator().status().map(|it| it.endpoints);
            granted.is_ok_and(|it| it.iter().filter(|it| it.granted > Slots(0)).count() >= 15)
        });
        let ends = Arc::new(AtomicBool::new(false));
        let loads = Loads::start(seed, &addrs, &ends);
        let engines = Mutex::new(engines);
        Self { cluster, ledgers, engines, addrs, frozen: vec![], findings: vec![], ends, loads }
    }

    /// Plays all faults, lets the system recover and ends the load.
    pub fn play(mut self, plan: &Plan) -> Played {
        let (engines, ledgers) = (&self.engines, &self.ledgers);
        let (addrs, cluster) = (&self.addrs, &mut self.cluster);
        thread::scope(|scope| {
            scope.spawn(|| plan.endpoints.iter().for_each(|it| harm(it, engines, ledgers, addrs)));
            for turn in &plan.instances {
                thread::sleep(turn.calm);
                let found = disturb(cluster, turn, &mut self.frozen);
                self.findings.extend(found.err());
            }
        });
        let calm = Instant::now();
        thread::sleep(RECOVERY);
        self.ends.store(true, Ordering::Relaxed);
        let seen = self.loads.close();
        Played {
            cluster: self.cluster,
            ledgers: self.ledgers,
            engines: self.engines.into_inner().expect("no player panics"),
            frozen: self.frozen,
            findings: self.findings,
            calm,
            seen,
        }
    }
}

/// A system whose faults and load have ended.
pub struct Played {
    pub cluster: Cluster,
    pub ledgers: StandIns,
    pub engines: StandIns,
    pub frozen: Vec<(usize, Instant, Instant)>,
    pub findings: Vec<String>,
    /// When the last fault had ended.
    pub calm: Instant,
    pub seen: Seen,
}

impl Loads {
    fn start(seed: u64, addrs: &[Addrs], ends: &Arc<AtomicBool>) -> Self {
        let asking = |route: &'static str, first: u64| {
            let start = |i: u64| {
                let (addrs, ends) = (addrs.to_vec(), ends.clone());
                thread::spawn(move || ask_on(route, &addrs, seed * 1000 + i, &ends))
            };
            (first..first + CALLERS).map(start).collect()
        };
        let operating = |i: u64| {
            let (addrs, ends) = (addrs.to_vec(), ends.clone());
            thread::spawn(move || operate(&addrs, seed * 1000 + i, &ends))
        };
        Self {
            models: asking("notes", 0),
            deposits: asking("deposit", 100),
            operators: (200..200 + OPERATORS).map(operating).collect(),
        }
    }

    fn close(self) -> Seen {
        fn all<T>(loads: Vec<JoinHandle<T>>) -> Vec<T> {
            loads.into_iter().map(|it| it.join().expect("a load ends")).collect()
        }
        Seen {
            models: all(self.models).into_iter().flatten().collect(),
            deposits: all(self.deposits).into_iter().flatten().collect(),
            operated: all(self.operators),
        }
    }
}

/// Plays one fault of instances and waits until the system is whole again.
/// What it doesn't recover from is an error.
fn disturb(
    cluster: &mut Cluster,
    turn: &Turn<InstanceFault>,
    frozen: &mut Vec<(usize, Instant, Instant)>,
) -> Result<(), String> {
    match turn.fault {
        InstanceFault::Kill(i) => {
            cluster.kill(i);
            thread::sleep(turn.lasts);
            cluster.start(i);
        }
        InstanceFault::Wipe(i) => {
            cluster.kill(i);
            let data = cluster.instances[i].spec.data.clone().expect("a voter has a disk");
            fs::remove_dir_all(&data).map_err(|err| format!("{}: {err}", data.display()))?;
            // The founder was started without others to join.
            let others = cluster.instances.iter().map(|it| it.proxy.addr()).collect();
            cluster.instances[i].spec.join = others;
            thread::sleep(turn.lasts);
            cluster.start(i);
        }
        InstanceFault::KillAll => {
            let all = 0..cluster.instances.len();
            all.clone().for_each(|it| cluster.kill(it));
            all.for_each(|it| cluster.start(it));
        }
        InstanceFault::Freeze(i) => {
            let since = Instant::now();
            cluster.daemon(i).proc.signal(SIGSTOP);
            thread::sleep(turn.lasts);
            cluster.daemon(i).proc.signal(SIGCONT);
            frozen.push((i, since, Instant::now()));
        }
        InstanceFault::Stop(i) => {
            let instance = &mut cluster.instances[i];
            let mut daemon = instance.daemon.take().expect("the instance runs");
            daemon.proc.signal(SIGTERM);
            let ended = daemon.proc.wait(STOP_BOUND);
            if !ended.is_some_and(|it| it.success()) {
                return Err(format!("instance {i} ended a planned stop with {ended:?}"));
            }
            cluster.start(i);
        }
        InstanceFault::Cut(i) => isolate(cluster, turn, i, Fault { cut: true, ..NONE }),
        InstanceFault::Deaf(i) => isolate(cluster, turn, i, Fault { drop_in: true, ..NONE }),
        InstanceFault::Mute(i) => isolate(cluster, turn, i, Fault { drop_out: true, ..NONE }),
        InstanceFault::Delay(i) => isolate(cluster, turn, i, Fault { delay_ms: 100, ..NONE }),
        InstanceFault::Silence(i) => cluster.instances[i].proxy.blackhole_open(),
    }
    recover(cluster, turn)
}

const NONE: Fault = Fault { drop_in: false, drop_out: false, cut: false, delay_ms: 0 };

fn isolate(cluster: &Cluster, turn: &Turn<InstanceFault>, i: usize, fault: Fault) {
    cluster.set_fault(i, fault);
    thread::sleep(turn.lasts);
    cluster.clear_fault(i);
}

fn recover(cluster: &mut Cluster, turn: &Turn<InstanceFault>) -> Result<(), String> {
    let start = Instant::now();
    let fault = turn.fault;
    while start.elapsed() < RECOVERY {
        for (i, instance) in cluster.instances.iter_mut().enumerate() {
            if instance.daemon.as_mut().is_some_and(|it| it.proc.has_ended()) {
                return Err(format!("{fault:?}: instance {i} ended by itself"));
            }
        }
        let (instances, status) = (cluster.instances.len(), cluster.operator().status());
        if status.is_ok_and(|it| is_sound(&it, instances, VOTERS))
            && cluster.daemons().all(|it| it.caller().is_ready())
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let status = cluster.operator().status();
    Err(format!("{fault:?}: not whole after {RECOVERY:?}, {status:?}"))
}

/// Plays one fault of endpoints.
fn harm(
    turn: &Turn<EndpointFault>,
    engines: &Mutex<StandIns>,
    ledgers: &StandIns,
    addrs: &[Addrs],
) {
    thread::sleep(turn.calm);
    match &turn.fault {
        EndpointFault::Misbehave { pool, number, control } => {
            let name = format!("{pool}-{number}").parse().expect("a name");
            let set = |control: &Control| match *pool {
                "ledger" => ledgers.control(&name, control),
                _ => engines.lock().expect("no player panics").control(&name, control),
            };
            set(control);
            thread::sleep(turn.lasts);
            set(&Control::default());
        }
        EndpointFault::KillEngines => {
            let announce: Vec<_> = addrs.iter().map(|it| it.endpoint).collect();
            let mut running = engines.lock().expect("no player panics");
            let fresh = StandIns::start(&specs(false), &announce);
            std::mem::replace(&mut *running, fresh).proc.kill();
        }
        EndpointFault::TakeOut(domain) => {
            let target = Target::Domain(domain.parse().expect("a name"));
            settle(addrs, Edit::TakeOut(target.clone()));
            thread::sleep(turn.lasts);
            settle(addrs, Edit::BringBack(target));
        }
    }
}

/// Makes a change at whichever instance takes it.
fn settle(addrs: &[Addrs], edit: Edit) {
    let change = harness::new_change(None, vec![edit]);
    wait_until("a change is accepted", RECOVERY * 3, || {
        addrs.iter().any(|it| Operator::new(it.operator).change(&change).is_ok())
    });
}
