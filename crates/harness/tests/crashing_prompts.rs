//! Prompts with a part that crashes each endpoint which begins to answer them, through
//! several real instances.

use {
    coord::{catalog::RetryPolicy, ids::Generation, tables::Endpoint},
    harness::{
        Cluster, ClusterSpec, LONG_TIMEOUT, RawResponse, connect, exchange, relay_catalog,
        relay_endpoint, relay_request, relay_route, wait_until,
    },
    standin::{CrashSpec, CrashingEndpoint},
    std::{
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SIGKILL: i32 = 9;
const POISON_PART: &str = "bad";
const VOTERS: usize = 3;
const INSTANCES: usize = 6;
const ENDPOINTS: usize = 10;
/// Crashes after which no more than `MAX_LATE` requests with the part may arrive that
/// were sent `CONTACT` later.
const MAX_CRASHES: usize = 5;
const MAX_LATE: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

struct System {
    cluster: Cluster,
    /// The instances that callers and endpoints use.
    instances: Vec<usize>,
    endpoints: Vec<CrashingEndpoint>,
}

/// A response to a caller, and when it was sent.
struct Outcome {
    sent: Instant,
    response: RawResponse,
}

impl System {
    fn start() -> Self {
        let spec = ClusterSpec {
            args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
            ..ClusterSpec::new(VOTERS, INSTANCES - VOTERS)
        };
        let cluster = spec.start();
        let spec = CrashSpec {
            poison_part: POISON_PART.to_owned(),
            prefill: Duration::from_millis(30),
            begin: Duration::from_millis(30),
            down: Duration::from_millis(1500),
        };
        let endpoints = (0..ENDPOINTS).map(|_| CrashingEndpoint::start(spec.clone())).collect();
        let mut route = relay_route(RetryPolicy::ResumableStream);
        route.sticky = true;
        let posted =
            cluster.operator().post::<serde_json::Value>("/v1/catalog", &relay_catalog(route));
        posted.expect("the catalog is accepted");
        let system = Self { cluster, endpoints, instances: (0..INSTANCES).collect() };
        system.announce();
        wait_until("each instance serves", LONG_TIMEOUT, || {
            (0..INSTANCES).all(|it| system.call(it, "warm", "one").response.status == 200)
        });
        system
    }

    /// Announces the endpoints that are up, each start of one as a new generation.
    fn announce(&self) {
        for (number, it) in self.endpoints.iter().enumerate().filter(|(_, it)| it.is_up()) {
            let generation = Generation(1 + it.crashes().len() as u64);
            let endpoint = relay_endpoint(&format!("e{number}"), "app", it.addr);
            let daemon = self.cluster.daemon(self.instances[number % self.instances.len()]);
            daemon.announce(&Endpoint { generation, ..endpoint });
        }
    }

    /// Sends a request whose prompt has a first part shared by all, a second, and one of
    /// its own.
    fn call(&self, instance: usize, part: &str, own: &str) -> Outcome {
        let sent = Instant::now();
        let parts = format!("mangobend-parts: first:100,{part}:50,own-{own}:10\r\n");
        let request = relay_request(own, &parts, "");
        let addr = self.cluster.daemon(instance).relay_addr();
        Outcome { sent, response: exchange(&mut connect(addr), &request) }
    }

    /// Sends requests with the given part from all instances in turn, each `every`, until
    /// `stop`.
    fn send(
        &self,
        part: impl Fn(usize) -> String + Sync,
        every: Duration,
        stop: &AtomicBool,
    ) -> Vec<Outcome> {
        let outcomes = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (part, outcomes) = (part(number), &outcomes);
                scope.spawn(move || {
                    let instance = self.instances[number % self.instances.len()];
                    let it = self.call(instance, &part, &format!("{part}-{number}"));
                    outcomes.lock().expect("no thread panics while it holds the lock").push(it);
                });
                thread::sleep(every);
            }
        });
        outcomes.into_inner().expect("no thread panics while it holds the lock")
    }

    fn crashes(&self) -> Vec<Instant> {
        let mut all: Vec<Instant> = self.endpoints.iter().flat_map(|it| it.crashes()).collect();
        all.sort();
        all
    }
}

/// Runs sound and poison requests side by side for a time; returns the outcomes of the
/// sound ones.
fn run_beside(system: &System, time: Duration, poison: bool) -> Vec<Outcome> {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                system.announce();
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
        if poison {
            scope.spawn(|| {
                system.send(|_| POISON_PART.to_owned(), Duration::from_millis(150), &stop)
            });
        }
        let sound = scope.spawn(|| {
            system.send(|it| format!("good{}", it % 7), Duration::from_millis(40), &stop)
        });
        thread::sleep(time);
        stop.store(true, Ordering::Relaxed);
        sound.join().expect("the sound requests end")
    })
}

/// Checks what reaches endpoints after the fifth crash, and that sound requests with the
/// same first part are served afterwards.
fn check_kept(system: &System, sound: &[Outcome]) {
    let crashes = system.crashes();
    if let Some(fifth) = crashes.get(MAX_CRASHES - 1) {
        let bound = *fifth + CONTACT;
        let arrivals = system.endpoints.iter().flat_map(|it| it.arrivals());
        let late = arrivals.filter(|it| it.poison && it.at > bound).count();
        assert!(late <= MAX_LATE, "{late} more requests arrived; {} crashes", crashes.len());
    }
    let last = *crashes.last().expect("the part crashes endpoints until it is known");
    let after: Vec<&Outcome> = sound.iter().filter(|it| it.sent > last + 2 * CONTACT).collect();
    let served = after.iter().filter(|it| it.response.status == 200 && it.response.complete);
    assert!(after.len() >= 20, "only {} sound requests came late enough", after.len());
    assert_eq!(served.count(), after.len(), "sound requests with the same first part");
}

#[test]
fn a_part_of_prompts_that_crashes_endpoints_is_kept_from_them_by_all_instances() {
    let system = System::start();

    let sound = run_beside(&system, Duration::from_secs(14), true);

    check_kept(&system, &sound);
}

#[test]
fn a_change_of_leader_does_not_forget_under_which_part_endpoints_crash() {
    let mut system = System::start();
    let leader = system.cluster.leader();
    system.instances.retain(|it| *it != leader);

    let sound = thread::scope(|scope| {
        scope.spawn(|| {
            wait_until("three crashes", LONG_TIMEOUT, || system.crashes().len() >= 3);
            system.cluster.daemon(leader).proc.signal(SIGKILL);
        });
        run_beside(&system, Duration::from_secs(16), true)
    });

    check_kept(&system, &sound);
}

#[test]
fn endpoints_that_crash_without_a_common_part_keep_no_prompt_from_being_served() {
    let system = System::start();
    let stop = AtomicBool::new(false);

    let sound = thread::scope(|scope| {
        scope.spawn(|| {
            for round in 0..8 {
                thread::sleep(Duration::from_millis(700));
                system.endpoints[round % ENDPOINTS].crash();
            }
            stop.store(true, Ordering::Relaxed);
        });
        run_beside(&system, Duration::from_secs(12), false)
    });

    let last = *system.crashes().last().expect("endpoints crashed");
    let after: Vec<&Outcome> =
        sound.iter().filter(|it| it.sent > last + Duration::from_secs(3)).collect();
    let served = after.iter().filter(|it| it.response.status == 200 && it.response.complete);
    assert!(after.len() >= 20, "only {} requests came late enough", after.len());
    assert_eq!(served.count(), after.len());
}
