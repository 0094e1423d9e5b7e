//! Instances that are replaced one after the other by those of another build, while both
//! serve.
//!
//! `MANGOBEND_OLD` names the program of an earlier build. Without it both builds are this one,
//! which leaves a planned restart of each instance.

use {
    coord::{catalog::RetryPolicy, ids::CatalogVersion, tables::Endpoint, time::Millis},
    harness::{
        Cluster, ClusterSpec, LONG_TIMEOUT, announce, relay_catalog, relay_endpoint, relay_request,
        relay_route, try_exchange, wait_until,
    },
    standin::{BREAK_HEADER, ScriptedEndpoint, Step, VersionedEndpoint, signed_response},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const OLD_VARIABLE: &str = "MANGOBEND_OLD";
const VOTERS: usize = 3;
const INSTANCES: usize = 6;
const ENDPOINTS: usize = 4;
const WORK_TIME: Duration = Duration::from_millis(20);
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// The time in which a change is in force at all instances in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// The share of requests at running instances that has to be served.
const MIN_SERVED: f64 = 0.9;

fn old_program() -> Option<PathBuf> {
    std::env::var_os(OLD_VARIABLE).map(PathBuf::from)
}

/// What became of a request: its status, 0 without a response.
struct Outcome {
    id: String,
    status: u16,
}

struct System {
    cluster: Cluster,
    rows: Vec<Endpoint>,
    endpoints: Vec<ScriptedEndpoint>,
}

fn start_cluster() -> Cluster {
    let spec = ClusterSpec {
        args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
        program: old_program(),
        ..ClusterSpec::new(VOTERS, INSTANCES - VOTERS)
    };
    spec.start()
}

fn relays(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.daemons().map(|it| it.relay_addr()).collect()
}

/// Posts a version of the catalog until an instance accepts it. Its route's timeout tells
/// versions apart.
fn post_catalog(cluster: &Cluster, version: u64, retry: RetryPolicy) {
    let mut catalog = relay_catalog(relay_route(retry));
    catalog.version = CatalogVersion(version);
    catalog.routes[0].timeout = Millis(3000 + version);
    wait_until("the catalog is accepted", LONG_TIMEOUT, || {
        cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog).is_ok()
    });
}

impl System {
    fn start() -> Self {
        let cluster = start_cluster();
        post_catalog(&cluster, 1, RetryPolicy::Once);
        let start = || {
            ScriptedEndpoint::start(Box::new(|seen, _| {
                let plain = signed_response(seen, "200 OK", "content-length: 4\r\n", "fine");
                vec![Step::Wait(WORK_TIME), Step::Send(plain)]
            }))
        };
        let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| start()).collect();
        let row = |(number, it): (usize, &ScriptedEndpoint)| {
            relay_endpoint(&format!("e{number}"), "app", it.addr)
        };
        let rows = endpoints.iter().enumerate().map(row).collect();
        let system = Self { cluster, rows, endpoints };
        announce_all(&system.rows, &system.cluster.announce_addrs());
        wait_until("each instance serves", LONG_TIMEOUT, || {
            let is_served = |it| send(it, "warm").status == 200;
            relays(&system.cluster).into_iter().all(is_served)
        });
        system
    }

    /// Sends requests to all instances in turn while `act` runs. Callers leave out the
    /// instance that is being replaced, as a load balancer does.
    fn run_beside(
        &mut self,
        act: impl FnOnce(&mut Cluster, &Mutex<Vec<SocketAddr>>),
    ) -> Vec<Outcome> {
        let stop = AtomicBool::new(false);
        let targets = Mutex::new(relays(&self.cluster));
        let outcomes = Mutex::new(Vec::new());
        let listeners = self.cluster.announce_addrs();
        let Self { cluster, rows, .. } = self;
        thread::scope(|scope| {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    announce_all(rows, &listeners);
                    thread::sleep(Duration::from_millis(300));
                }
            });
            scope.spawn(|| {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let target = {
                        let targets = targets.lock().expect("lock poisoned");
                        targets[number % targets.len()]
                    };
                    let outcomes = &outcomes;
                    scope.spawn(move || {
                        let it = send(target, &format!("r{number}"));
                        outcomes.lock().expect("lock poisoned").push(it);
                    });
                    thread::sleep(SEND_INTERVAL);
                }
            });
            act(cluster, &targets);
            stop.store(true, Ordering::Relaxed);
        });
        outcomes.into_inner().expect("lock poisoned")
    }

    /// Checks that each request ran once at most, and that what callers were told is true.
    fn check(&self, outcomes: &[Outcome]) {
        let mut arrivals: HashMap<String, usize> = HashMap::new();
        for seen in self.endpoints.iter().flat_map(ScriptedEndpoint::received) {
            let id = seen.header("mangobend-request").unwrap_or_default().to_owned();
            *arrivals.entry(id).or_default() += 1;
        }
        for it in outcomes {
            let runs = arrivals.get(&it.id).copied().unwrap_or(0);
            assert!(runs <= 1, "{} ran {runs} times", it.id);
            assert!(it.status != 503 || runs == 0, "{} was refused and has run", it.id);
            assert!(it.status != 200 || runs == 1, "{} was answered and hasn't run", it.id);
        }
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        outcomes.iter().for_each(|it| *statuses.entry(it.status).or_default() += 1);
        let served = statuses.get(&200).copied().unwrap_or(0);
        let share = served as f64 / outcomes.len() as f64;
        assert!(share >= MIN_SERVED, "requests by status: {statuses:?}");
    }
}

fn announce_all(rows: &[Endpoint], listeners: &[SocketAddr]) {
    for row in rows {
        listeners.iter().any(|it| announce(*it, row));
    }
}

fn send(addr: SocketAddr, id: &str) -> Outcome {
    let response = try_exchange(addr, &relay_request(id, "", ""));
    Outcome { id: id.to_owned(), status: response.map_or(0, |it| it.status) }
}

/// Replaces an instance, without new requests for it meanwhile.
fn replace(
    cluster: &mut Cluster,
    targets: &Mutex<Vec<SocketAddr>>,
    number: usize,
    program: Option<PathBuf>,
) {
    let addr = cluster.daemon(number).relay_addr();
    targets.lock().expect("lock poisoned").retain(|it| *it != addr);
    cluster.replace(number, program);
    targets.lock().expect("lock poisoned").push(cluster.daemon(number).relay_addr());
}

/// The version of the catalog that each instance reads back.
fn held_versions(cluster: &Cluster) -> Vec<Option<u64>> {
    let read = |it: &harness::Daemon| {
        let catalog = it.operator().get::<serde_json::Value>("/v1/catalog").ok()?;
        catalog["version"].as_u64()
    };
    cluster.daemons().map(read).collect()
}

fn check_version(cluster: &Cluster, version: u64) {
    wait_until("all hold the last catalog", CONTACT, || {
        held_versions(cluster).iter().all(|it| *it == Some(version))
    });
}

#[test]
fn nothing_is_lost_doubled_or_reverted_while_builds_are_replaced_one_by_one() {
    let mut system = System::start();

    let outcomes = system.run_beside(|cluster, targets| {
        for number in 0..INSTANCES {
            replace(cluster, targets, number, None);
            post_catalog(cluster, number as u64 + 2, RetryPolicy::Once);
        }
    });
    check_version(&system.cluster, INSTANCES as u64 + 1);

    system.check(&outcomes);
}

#[test]
fn a_change_of_leader_between_builds_loses_nothing_in_either_direction() {
    let mut system = System::start();

    let outcomes = system.run_beside(|cluster, targets| {
        replace(cluster, targets, 0, None);
        replace(cluster, targets, VOTERS, None);
        for round in 0..4 {
            post_catalog(cluster, 2 * round + 2, RetryPolicy::Once);
            let leader = cluster.leader();
            let program = cluster.instances[leader].spec.program.clone();
            replace(cluster, targets, leader, program);
            post_catalog(cluster, 2 * round + 3, RetryPolicy::Once);
        }
        replace(cluster, targets, 0, old_program());
    });
    check_version(&system.cluster, 9);

    system.check(&outcomes);
}

#[test]
fn all_that_was_accepted_survives_a_loss_of_power_while_two_builds_serve() {
    let mut system = System::start();
    let outcomes = system.run_beside(|cluster, targets| {
        replace(cluster, targets, 1, None);
        post_catalog(cluster, 2, RetryPolicy::Once);
    });

    (0..INSTANCES).for_each(|it| system.cluster.kill(it));
    (0..INSTANCES).for_each(|it| system.cluster.start(it));
    system.cluster.wait_ready();
    check_version(&system.cluster, 2);
    announce_all(&system.rows, &system.cluster.announce_addrs());

    system.check(&outcomes);
}

#[test]
fn streams_that_are_taken_up_at_another_build_stay_at_the_version_that_began_them() {
    let mut cluster = start_cluster();
    post_catalog(&cluster, 1, RetryPolicy::ResumableStream);
    let endpoint = |version: &str, number: usize| {
        let it = VersionedEndpoint::start(version, Duration::from_millis(20));
        let row = relay_endpoint(&format!("{version}-{number}"), "app", it.addr);
        (Endpoint { version: Some(version.parse().expect("a version")), ..row }, it)
    };
    let endpoints: Vec<_> = (0..ENDPOINTS).map(|it| endpoint(["v1", "v2"][it % 2], it)).collect();
    let rows: Vec<Endpoint> = endpoints.iter().map(|(row, _)| row.clone()).collect();
    announce_all(&rows, &cluster.announce_addrs());
    wait_until("each instance serves", LONG_TIMEOUT, || {
        relays(&cluster).into_iter().all(|it| send(it, "warm").status == 200)
    });
    let targets = Mutex::new(relays(&cluster));
    let mut whole = 0;
    let end = Instant::now() + CONTACT;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
        announce_all(&rows, &cluster.announce_addrs());
    }

    for round in 0..INSTANCES {
        replace(&mut cluster, &targets, round, None);
        announce_all(&rows, &cluster.announce_addrs());
        for number in 0..INSTANCES {
            let id = format!("s{round}-{number}");
            let relays = relays(&cluster);
            let broken = format!("{BREAK_HEADER}: 2\r\n");
            let first = try_exchange(relays[number], &relay_request(&id, &broken, ""));
            thread::sleep(Duration::from_millis(150));
            let resumes = format!("mangobend-resumes: {id}\r\nlast-event-id: 2\r\n");
            let other = relays[(number + 1) % INSTANCES];
            let again = try_exchange(other, &relay_request(&format!("{id}-1"), &resumes, ""));
            let texts: Vec<String> = [first, again]
                .into_iter()
                .flatten()
                .filter(|it| it.status == 200)
                .map(|it| it.text())
                .collect();
            let has = |version| texts.iter().any(|it| it.contains(&format!("data: {version}")));
            assert!(!(has("v1") && has("v2")), "{id} holds events of both versions");
            whole += usize::from(texts.len() == 2);
        }
    }

    let streams = INSTANCES * INSTANCES;
    assert!(whole * 2 >= streams, "{whole} of {streams} streams went on");
}
