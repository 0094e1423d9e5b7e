//! The latency that one daemon adds, and its cost in processor time.

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
/// What the daemon may add to the median of a request of four stages.
const ADDED_P50_MS: f64 = 10.0;
const ADDED_P99_MS: f64 = 40.0;

/// Alternates a request through the daemon with the same four calls made
/// directly.
pub fn run(report: &mut Report, _seed: u64) {
    let cluster = ClusterSpec::new(1, 0).start();
    let user = Deployment::kilimo();
    let tables = Deployment::tables(std::slice::from_ref(&user));
    let text = serde_json::to_string(&tables).expect("tables are JSON");
    assert!(cluster.operator().cli(&["tables", "replace"], &text).status.success());
    let stand_ins = StandIns::start(&user.endpoints, &cluster.announce_addrs());
    wait_until("all endpoints are in use", LONG_TIMEOUT, || {
        let status = cluster.operator().status();
        status.is_ok_and(|it| {
            it.endpoints.iter().filter(|e| e.granted.0 > 0).count() == user.endpoints.len()
        })
    });
    std::thread::sleep(Duration::from_secs(3));
    let caller = cluster.daemon(0).caller();
    let (mut through, mut direct, mut first) = (Vec::new(), Vec::new(), Vec::new());
    let stages = direct_stages(&user, &stand_ins);
    for _ in 0..ROUNDS {
        through.push(timed(|| assert!(caller.send(&request()).complete().is_some())));
        direct.push(timed(|| call_directly(&stages)));
    }
    for _ in 0..ROUNDS / 3 {
        first.extend(caller.stream(&request()).first_piece.map(|it| it.as_secs_f64() * 1000.0));
    }
    for (part, name, bound) in [(0.5, "p50", ADDED_P50_MS), (0.99, "p99", ADDED_P99_MS)] {
        let (with, without) = (quantile(&mut through, part), quantile(&mut direct, part));
        report.add("direct", name, without, "ms", Target::None);
        report.add("daemon", name, with, "ms", Target::None);
        report.add("daemon", &format!("added_{name}"), with - without, "ms", Target::AtMost(bound));
        report.add("daemon", &format!("ratio_{name}"), with / without, "ratio", Target::None);
    }
    let whole = quantile(&mut through, 0.5);
    let part = quantile(&mut first, 0.5) / whole;
    report.add("daemon", "first_piece_of_whole", part, "ratio", Target::AtMost(0.5));
    processor(report, &cluster);
}

/// Requests a second that one core of the daemon would carry.
fn processor(report: &mut Report, cluster: &Cluster) {
    let pid = cluster.daemon(0).proc.id();
    let caller = cluster.daemon(0).caller();
    let before = cpu_seconds(pid);
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let caller = caller.clone();
            std::thread::spawn(move || {
                (0..60).filter(|_| caller.send(&request()).complete().is_some()).count()
            })
        })
        .collect();
    let done: usize = threads.into_iter().map(|it| it.join().expect("an end")).sum();
    let used = cpu_seconds(pid) - before;
    report.add(
        "daemon",
        "requests_per_core_second",
        done as f64 / used,
        "1/s",
        Target::AtLeast(100.0),
    );
}

fn timed(work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_secs_f64() * 1000.0
}

fn request() -> CallerRequest {
    CallerRequest {
        route: ROUTE.parse().expect("a name"),
        team: "desk".parse().expect("a name"),
        class: Class::Interactive,
        deadline_ms: 4000,
        key: None,
        stream: false,
        input: "x".repeat(400),
    }
}

fn direct_stages(user: &Deployment, stand_ins: &StandIns) -> Vec<(String, SocketAddr)> {
    let route = user.routes.iter().find(|it| it.name.as_str() == ROUTE).expect("the route");
    let stage = |it: &coord::tables::Stage| {
        let endpoint = user.endpoints_of(it.pool.as_str())[0];
        (it.name.to_string(), stand_ins.addr(&endpoint.name))
    };
    route.stages.iter().map(stage).collect()
}

fn call_directly(stages: &[(String, SocketAddr)]) {
    for (stage, addr) in stages {
        let ident = AttemptIdent {
            request: RequestId::generate(),
            stage: stage.parse().expect("a name"),
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
        answer.into_reader().read_to_string(&mut text).expect("an answer");
        assert!(text.contains("\"done\""));
    }
}
