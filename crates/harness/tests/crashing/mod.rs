//! Fixture: real instances in front of endpoints that crash under some requests.
#![allow(dead_code)]

use {
    coord::{catalog::RelayRoute, ids::Generation, tables::Endpoint},
    harness::{
        Cluster, ClusterSpec, LONG_TIMEOUT, RawResponse, connect, exchange, relay_catalog,
        relay_endpoint, wait_until,
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

pub const SIGKILL: i32 = 9;
pub const VOTERS: usize = 3;
pub const INSTANCES: usize = 6;
/// How long instances in touch have until what they learn together counts.
pub const CONTACT: Duration = Duration::from_secs(3);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

pub struct System {
    pub cluster: Cluster,
    /// The instances that callers and endpoints use.
    pub instances: Vec<usize>,
    pub endpoints: Vec<CrashingEndpoint>,
    /// The number of endpoints that run whole requests; the others run stages.
    count: usize,
}

/// A response to a caller, and when its request was sent.
pub struct Outcome {
    pub sent: Instant,
    pub response: RawResponse,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.complete
    }
}

impl System {
    /// Starts a system with `count` endpoints, and waits until each instance serves the
    /// request `warm`.
    pub fn start(count: usize, spec: &CrashSpec, route: RelayRoute, warm: &str) -> Self {
        Self::start_with_stage(count, 0, spec, route, warm)
    }

    /// As [`Self::start`], with `stages` more endpoints that run the route's stage.
    pub fn start_with_stage(
        count: usize,
        stages: usize,
        spec: &CrashSpec,
        route: RelayRoute,
        warm: &str,
    ) -> Self {
        let cluster = ClusterSpec {
            args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
            ..ClusterSpec::new(VOTERS, INSTANCES - VOTERS)
        };
        let cluster = cluster.start();
        let start = |_| CrashingEndpoint::start(spec.clone());
        let endpoints = (0..count + stages).map(start).collect();
        let posted =
            cluster.operator().post::<serde_json::Value>("/v1/catalog", &relay_catalog(route));
        posted.expect("the catalog is accepted");
        let system = Self { cluster, endpoints, count, instances: (0..INSTANCES).collect() };
        system.announce();
        wait_until("each instance serves", LONG_TIMEOUT, || {
            (0..INSTANCES).all(|it| system.call(it, warm).is_served())
        });
        system
    }

    /// Announces the endpoints that are up, each start of one as a new generation.
    pub fn announce(&self) {
        for (number, it) in self.endpoints.iter().enumerate().filter(|(_, it)| it.is_up()) {
            let generation = Generation(1 + it.crashes().len() as u64);
            let pool = if number < self.count { "app" } else { "stage" };
            let endpoint = relay_endpoint(&format!("e{number}"), pool, it.addr);
            let daemon = self.cluster.daemon(self.instances[number % self.instances.len()]);
            daemon.announce(&Endpoint { generation, ..endpoint });
        }
    }

    /// Sends a request to one instance.
    pub fn call(&self, instance: usize, request: &str) -> Outcome {
        let sent = Instant::now();
        let addr = self.cluster.daemon(instance).relay_addr();
        Outcome { sent, response: exchange(&mut connect(addr), request) }
    }

    /// Sends requests through all instances in turn, one `every`, until `stop`.
    pub fn send(
        &self,
        request: impl Fn(usize) -> String + Sync,
        every: Duration,
        stop: &AtomicBool,
    ) -> Vec<Outcome> {
        self.repeat(every, stop, |number, instance| self.call(instance, &request(number)))
    }

    /// Calls `act` with a number and an instance in turn, once `every`, each time in a
    /// thread of its own, until `stop`.
    pub fn repeat<T: Send>(
        &self,
        every: Duration,
        stop: &AtomicBool,
        act: impl Fn(usize, usize) -> T + Sync,
    ) -> Vec<T> {
        let outcomes = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (act, outcomes) = (&act, &outcomes);
                scope.spawn(move || {
                    let it = act(number, self.instances[number % self.instances.len()]);
                    outcomes.lock().expect("no thread panics while it holds the lock").push(it);
                });
                thread::sleep(every);
            }
        });
        outcomes.into_inner().expect("no thread panics while it holds the lock")
    }

    /// Runs `act` with a flag that ends what it starts, while endpoints announce
    /// themselves, for a time.
    pub fn run_for<T: Send>(&self, time: Duration, act: impl FnOnce(&AtomicBool) -> T + Send) -> T {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    self.announce();
                    thread::sleep(ANNOUNCE_INTERVAL);
                }
            });
            let result = scope.spawn(|| act(&stop));
            thread::sleep(time);
            stop.store(true, Ordering::Relaxed);
            result.join().expect("the requests end")
        })
    }

    /// The times of all crashes, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        let mut all: Vec<Instant> = self.endpoints.iter().flat_map(|it| it.crashes()).collect();
        all.sort();
        all
    }

    /// Checks that no more than `most` requests that crash endpoints have arrived later
    /// than [`CONTACT`] after crash number `crash`, from one.
    pub fn check_late_arrivals(&self, crash: usize, most: usize) {
        let crashes = self.crashes();
        if let Some(at) = crashes.get(crash - 1) {
            let bound = *at + CONTACT;
            let arrivals = self.endpoints.iter().flat_map(|it| it.arrivals());
            let late = arrivals.filter(|it| it.poison && it.at > bound).count();
            assert!(late <= most, "{late} more requests arrived; {} crashes", crashes.len());
        }
    }
}
