//! Instances, endpoints and planned stops.

use {
    crate::relayed_load::{RelayedEndpoints, Route, relayed_catalog, request_text},
    coord::tables::Edit,
    harness::{Cluster, ClusterSpec, LONG_TIMEOUT, try_exchange, wait_until},
    standin::ScriptedEndpoint,
    std::{
        fs,
        net::SocketAddr,
        process::ExitStatus,
        thread,
        time::{Duration, Instant},
    },
};

const SIGTERM: i32 = 15;
/// The instances that relay and keep no data; instance 0 does.
pub const ENTRIES: [usize; 3] = [1, 2, 3];
pub const NOTICE: Duration = Duration::from_millis(500);
pub const STOP_BOUND: Duration = Duration::from_millis(3000);
/// Added to the bound for the last bytes and for a busy machine.
const EXIT_SLACK: Duration = Duration::from_millis(1000);
/// A running system.
pub struct System {
    pub cluster: Cluster,
    pub endpoints: RelayedEndpoints,
}

/// A planned stop of an instance.
#[derive(Debug)]
pub struct Stop {
    pub instance: usize,
    pub began: Instant,
    pub ended: Instant,
    pub status: Option<ExitStatus>,
    /// The lines that its process logged.
    pub log: String,
}

impl Stop {
    /// Checks that the process ended with success, within the bound.
    pub fn assert_in_time(&self) {
        assert!(self.is_in_time(), "instance {} ended with {:?}", self.instance, self.status);
    }

    /// Whether the process ended with success, within the bound.
    pub fn is_in_time(&self) -> bool {
        let took = self.ended - self.began;
        self.status.is_some_and(|it| it.success()) && took <= STOP_BOUND + EXIT_SLACK
    }
}

impl System {
    /// Starts a system with stages whose calls take `call`.
    pub fn start(call: Duration) -> Self {
        Self::start_all(call, |addr| RelayedEndpoints::start(call, vec![addr]))
    }

    /// Starts a system whose plain requests run at an endpoint.
    pub fn start_with_plain(app: ScriptedEndpoint) -> Self {
        let call = Duration::from_millis(100);
        let start = |addr| RelayedEndpoints::start_with(vec![app], call, vec![addr]);
        Self::start_all(call, start)
    }

    fn start_all(call: Duration, start: impl FnOnce(SocketAddr) -> RelayedEndpoints) -> Self {
        let millis = |it: Duration| it.as_millis().to_string();
        let (notice, bound) = (millis(NOTICE), millis(STOP_BOUND));
        let args = ["--relay-listen", "127.0.0.1:0", "--log-format", "json"];
        let stop = ["--stop-notice", &notice, "--stop-bound", &bound];
        let args = args.into_iter().chain(stop).map(ToOwned::to_owned).collect();
        let cluster = ClusterSpec { args, ..ClusterSpec::new(1, ENTRIES.len()) }.start();
        let posted =
            cluster.operator().post::<serde_json::Value>("/v1/catalog", &relayed_catalog(call));
        posted.expect("the catalog is accepted");
        let endpoints = start(cluster.daemon(0).addrs.endpoint);
        let system = Self { cluster, endpoints };
        wait_until("each instance serves", LONG_TIMEOUT, || {
            system.relay_addrs().iter().all(|it| is_served(*it))
        });
        system
    }

    /// The addresses at which callers reach the instances, the same after a restart.
    pub fn relay_addrs(&self) -> Vec<SocketAddr> {
        let addrs = self.cluster.instances.iter().map(|it| it.spec.addrs);
        addrs.map(|it| it.and_then(|it| it.relay).expect("it runs a relay")).collect()
    }

    /// Makes a change that may be repeated.
    pub fn edit(&self, edit: &Edit) {
        wait_until("the change is accepted", LONG_TIMEOUT, || {
            self.cluster.operator().edit(vec![edit.clone()]).is_ok()
        });
    }

    /// The index of the instance that gathers the stages of all.
    pub fn gatherer(&self) -> usize {
        let log = self.log(0);
        let instances = self.cluster.instances.iter();
        let addrs: Vec<String> = instances.map(|it| it.proxy.addr().to_string()).collect();
        let line = log.lines().rev().find(|it| it.contains("stage ended"));
        let found = line.and_then(|line| addrs.iter().position(|it| line.contains(it)));
        found.expect("a stage was gathered")
    }

    fn log(&self, instance: usize) -> String {
        let path = self.cluster.instances[instance].spec.log.as_ref().expect("it has a log");
        fs::read_to_string(path).expect("the log can be read")
    }

    /// Stops instances, each `gap` after the one before, and waits until their processes end.
    pub fn stop(&mut self, instances: &[usize], gap: Duration) -> Vec<Stop> {
        let logged: Vec<usize> = instances.iter().map(|it| self.log(*it).len()).collect();
        let mut began = Vec::new();
        for (number, it) in instances.iter().enumerate() {
            if number > 0 {
                thread::sleep(gap);
            }
            began.push(Instant::now());
            self.cluster.daemon(*it).proc.signal(SIGTERM);
        }
        let mut ended: Vec<Option<Instant>> = vec![None; instances.len()];
        let limit = Instant::now() + STOP_BOUND + EXIT_SLACK;
        while ended.iter().any(Option::is_none) && Instant::now() < limit {
            for (it, ended) in instances.iter().zip(&mut ended) {
                let daemon = self.cluster.instances[*it].daemon.as_mut().expect("it was started");
                if ended.is_none() && daemon.proc.has_ended() {
                    *ended = Some(Instant::now());
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        let stop = |(number, it): (usize, &usize)| {
            let daemon = self.cluster.instances[*it].daemon.take();
            let status = daemon.expect("it was started").proc.wait(Duration::from_millis(100));
            Stop {
                instance: *it,
                began: began[number],
                ended: ended[number].unwrap_or(limit),
                status,
                log: self.log(*it).split_off(logged[number]),
            }
        };
        instances.iter().enumerate().map(stop).collect()
    }

    /// Starts stopped instances on their previous addresses, and waits until they serve.
    pub fn start_again(&mut self, instances: &[usize]) {
        instances.iter().for_each(|it| self.cluster.start(*it));
        self.cluster.wait_ready();
    }
}

/// Whether an instance serves all routes.
fn is_served(addr: SocketAddr) -> bool {
    Route::ALL.into_iter().all(|it| {
        let id = format!("{}-warm-{}-0", it.name(), addr.port());
        let got = try_exchange(addr, &request_text(it, &id, 2000, 1));
        got.is_some_and(|it| it.status == 200)
    })
}
