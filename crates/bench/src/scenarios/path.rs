//! Latency that one daemon adds to direct endpoint calls, and requests per second
//! of CPU time.

use {
    crate::report::{Report, Target, quantile},
    coord::{
        ids::{AttemptId, Class, RequestId},
        router::AttemptIdent,
        wire::{CallerRequest, RunRequest},
    },
    harness::{Cluster, ClusterSpec, Deployment, LONG_TIMEOUT, StandIns, cpu_seconds, wait_until},
    std::{
        io::Read,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const ROUNDS: usize = 60;
const ROUTE: &str = "fitting";
/// Most latency that the daemon may add to a request of four stages.
const MAX_ADDED_P50_MS: f64 = 10.0;
const MAX_ADDED_P99_MS: f64 = 40.0;

/// Alternates between a request through the daemon and the same four stage calls
/// made directly.
pub fn run(report: &mut Report, _seed: u64) {
    let cluster = ClusterSpec::new(1, 0).start();
    let deployment = Deployment::kilimo();
    let tables = Deployment::tables(std::slice::from_ref(&deployment));
    let text = serde_json::to_string(&tables).expect("tables serialize to JSON");
    assert!(cluster.operator().cli(&["tables", "replace"], &text).status.success());
    let stand_ins = StandIns::start(&deployment.endpoints, &cluster.announce_addrs());
    wait_until("all endpoints are in use", LONG_TIMEOUT, || {
        let status = cluster.operator().status();
        status.is_ok_and(|it| {
            it.endpoints.iter().filter(|e| e.granted.0 > 0).count() == deployment.endpoints.len()
        })
    });
    std::thread::sleep(Duration::from_secs(3));
    let caller = cluster.daemon(0).caller();
    let (mut daemon_ms, mut direct_ms, mut first_piece_ms) = (Vec::new(), Vec::new(), Vec::new());
    let stages = direct_stages(&deployment, &stand_ins);
    for _ in 0..ROUNDS {
        daemon_ms.push(elapsed_ms(|| assert!(caller.send(&new_request()).complete().is_some())));
        direct_ms.push(elapsed_ms(|| call_directly(&stages)));
    }
    for _ in 0..ROUNDS / 3 {
        first_piece_ms
            .extend(caller.stream(&new_request()).first_piece.map(|it| it.as_secs_f64() * 1000.0));
    }
    for (q, name, bound) in [(0.5, "p50", MAX_ADDED_P50_MS), (0.99, "p99", MAX_ADDED_P99_MS)] {
        let (with, without) = (quantile(&mut daemon_ms, q), quantile(&mut direct_ms, q));
        report.add("direct", name, without, "ms", Target::None);
        report.add("daemon", name, with, "ms", Target::None);
        report.add("daemon", &format!("added_{name}"), with - without, "ms", Target::AtMost(bound));
        report.add("daemon", &format!("ratio_{name}"), with / without, "ratio", Target::None);
    }
    let whole_ms = quantile(&mut daemon_ms, 0.5);
    let ratio = quantile(&mut first_piece_ms, 0.5) / whole_ms;
    report.add("daemon", "first_piece_of_whole", ratio, "ratio", Target::AtMost(0.5));
    add_requests_per_core_second(report, &cluster);
}

/// Adds the number of requests that the daemon completes per second of CPU time.
fn add_requests_per_core_second(report: &mut Report, cluster: &Cluster) {
    let pid = cluster.daemon(0).proc.id();
    let caller = cluster.daemon(0).caller();
    let before = cpu_seconds(pid);
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let caller = caller.clone();
            std::thread::spawn(move || {
                (0..60).filter(|_| caller.send(&new_request()).complete().is_some()).count()
            })
        })
        .collect();
    let done: usize =
        threads.into_iter().map(|it| it.join().expect("caller thread doesn't panic")).sum();
    let cpu_seconds_used = cpu_seconds(pid) - before;
    report.add(
        "daemon",
        "requests_per_core_second",
        done as f64 / cpu_seconds_used,
        "1/s",
        Target::AtLeast(100.0),
    );
}

fn elapsed_ms(work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_secs_f64() * 1000.0
}

fn new_request() -> CallerRequest {
    CallerRequest {
        route: ROUTE.parse().expect("valid name"),
        team: "desk".parse().expect("valid name"),
        class: Class::Interactive,
        deadline_ms: 4000,
        key: None,
        stream: false,
        input: "x".repeat(400),
    }
}

fn direct_stages(deployment: &Deployment, stand_ins: &StandIns) -> Vec<(String, SocketAddr)> {
    let route = deployment
        .routes
        .iter()
        .find(|it| it.name.as_str() == ROUTE)
        .expect("route is in the deployment");
    let stage = |it: &coord::tables::Stage| {
        let endpoint = deployment.endpoints_of(it.pool.as_str())[0];
        (it.name.to_string(), stand_ins.addr(&endpoint.name))
    };
    route.stages.iter().map(stage).collect()
}

fn call_directly(stages: &[(String, SocketAddr)]) {
    for (stage, addr) in stages {
        let ident = AttemptIdent {
            request: RequestId::generate(),
            stage: stage.parse().expect("valid name"),
            attempt: AttemptId(1),
        };
        let body = RunRequest {
            ident,
            class: Class::Interactive,
            deadline_ms: 4000,
            from_piece: 0,
            fence: None,
            input: "x".repeat(400),
        };
        let answer = ureq::post(format!("http://{addr}/run")).send_json(&body);
        let mut text = String::new();
        let answer = answer.expect("the stand-in answers").into_body();
        answer.into_reader().read_to_string(&mut text).expect("answer is readable UTF-8");
        assert!(text.contains("\"done\""));
    }
}
