//! Growth of the control plane's cost. Each axis is measured at four points, to
//! which a straight line is fitted by least squares.

use {
    crate::report::{Report, Target},
    coord::{
        claims::{ClaimRequest, RequestDigest},
        control::{EndpointCapacity, ShareHolder, ShareTable},
        ids::{ClaimKey, Incarnation, Index, NodeId, RequestId, Slots},
        tables::{Command, Edit, Pool, PoolKind, State},
        time::{Time, WallTime},
    },
    harness::{Cluster, ClusterSpec, cpu_seconds, new_change, resident_mb},
    indexmap::IndexSet,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const VOTERS: usize = 3;
/// Instances beside the voters, at each point.
const NON_VOTERS: [usize; 4] = [1, 4, 8, 14];
const ENDPOINT_COUNTS: [usize; 4] = [20, 80, 160, 320];
/// Changes per second, at each point.
const CHANGE_RATES: [usize; 4] = [5, 10, 20, 40];
const CLAIM_COUNTS: [usize; 4] = [10_000, 20_000, 50_000, 100_000];
/// Share holders and endpoints, at each point.
const DIVISION_SIZES: [(u64, usize); 4] = [(50, 100), (100, 200), (200, 400), (410, 630)];
/// Time over which each point is measured.
const SAMPLE_DURATION: Duration = Duration::from_secs(5);
/// Deployment size that the users expect within two years.
const EXPECTED_INSTANCES: f64 = 410.0;
const EXPECTED_ENDPOINTS: f64 = 630.0;
const MAX_CORE_PERCENT: f64 = 2.9;
const MAX_MEMORY_MB: f64 = 64.0;
/// Most traffic that one more instance may add.
const MAX_TRAFFIC_KB_PER_S: f64 = 4.0;
/// Longest share division at the expected size; limits the part of a core that
/// the leader spends on divisions.
const MAX_DIVIDE_MS: f64 = 50.0;

/// Resources used by one process and its connections at one point.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// CPU time in percent of one core.
    core_percent: f64,
    /// Resident memory.
    memory_mb: f64,
    /// KB/s through its peer listener.
    traffic: f64,
}

/// The usage at one point of an axis, by role.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    leader: Usage,
    voter: Usage,
    other: Usage,
    /// KB/s through the peer listeners of all instances.
    total_traffic: f64,
}

pub fn run(report: &mut Report, _seed: u64) {
    measure_instances(report);
    measure_endpoints(report);
    measure_changes(report);
    measure_claims(report);
    measure_divisions(report);
}

fn measure_instances(report: &mut Report) {
    let points: Vec<(f64, Sample)> = NON_VOTERS
        .iter()
        .map(|others| {
            let cluster = ClusterSpec::new(VOTERS, *others).start();
            thread::sleep(Duration::from_secs(1));
            ((VOTERS + others) as f64, measure_usage(&cluster, || thread::sleep(SAMPLE_DURATION)))
        })
        .collect();
    add_role_figures(report, "instances", &points, Some(EXPECTED_INSTANCES));
    let series: Vec<(f64, f64)> = points.iter().map(|(x, it)| (*x, it.total_traffic)).collect();
    let per_instance = fit_line(&series).1;
    report.add(
        "instances",
        "traffic_of_one_more",
        per_instance,
        "KB/s",
        Target::AtMost(MAX_TRAFFIC_KB_PER_S),
    );
}

fn measure_endpoints(report: &mut Report) {
    let points: Vec<(f64, Sample)> = ENDPOINT_COUNTS
        .iter()
        .map(|count| {
            let cluster = ClusterSpec::new(VOTERS, 1).start();
            send_announcements(&cluster, *count, Duration::from_secs(2));
            (
                *count as f64,
                measure_usage(&cluster, || send_announcements(&cluster, *count, SAMPLE_DURATION)),
            )
        })
        .collect();
    add_role_figures(report, "endpoints", &points, None);
    let instances = (VOTERS + 1) as f64;
    let expected = EXPECTED_ENDPOINTS / EXPECTED_INSTANCES;
    let getters: [(&str, Getter); 2] =
        [("voter_core", |it| it.voter.core_percent), ("other_core", |it| it.other.core_percent)];
    for (name, get) in getters {
        let series: Vec<(f64, f64)> =
            points.iter().map(|(x, it)| (x / instances, get(it))).collect();
        add_fitted(
            report,
            "announcements_per_s",
            name,
            "percent",
            &series,
            Some(expected),
            Some(MAX_CORE_PERCENT),
        );
    }
}

fn measure_changes(report: &mut Report) {
    let points: Vec<(f64, Sample)> = CHANGE_RATES
        .iter()
        .map(|rate| {
            let cluster = ClusterSpec::new(VOTERS, 1).start();
            let operator = cluster.operator();
            let gap = Duration::from_secs(1) / *rate as u32;
            let work = || {
                let start = Instant::now();
                let mut i = 0;
                while start.elapsed() < SAMPLE_DURATION {
                    let name = format!("p{}", i % 30).parse().expect("valid name");
                    let edits = vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })];
                    let _ = operator.change(&new_change(None, edits));
                    i += 1;
                    thread::sleep((start + gap * i).saturating_duration_since(Instant::now()));
                }
            };
            (*rate as f64, measure_usage(&cluster, work))
        })
        .collect();
    add_role_figures(report, "changes_per_s", &points, None);
}

/// Announces each endpoint once per second, spread over all instances.
fn send_announcements(cluster: &Cluster, count: usize, time: Duration) {
    let to = cluster.announce_addrs();
    let start = Instant::now();
    let gap = Duration::from_secs(1) / count as u32;
    let mut i = 0;
    while start.elapsed() < time {
        let number = i % count;
        let body = serde_json::json!({
            "name": format!("e{number}"), "pool": "p", "domain": "north", "addr": "127.0.0.1:9",
            "generation": 1, "state": "warm", "slots": 8, "cold_slots": 2, "load": i % 7,
        });
        let url = format!("http://{}/v1/announce", to[i % to.len()]);
        let _ = ureq::post(url).send_json(&body);
        i += 1;
        thread::sleep((start + gap * i as u32).saturating_duration_since(Instant::now()));
    }
}

/// Runs `work` and returns the resources used during that time by the leader, one
/// other voter and one instance that doesn't vote.
fn measure_usage(cluster: &Cluster, work: impl FnOnce()) -> Sample {
    let leader = cluster.leader();
    let voter = (leader + 1) % VOTERS;
    let roles = [leader, voter, VOTERS];
    let pid = |i: usize| cluster.daemon(i).proc.id();
    let bytes = |i: usize| cluster.instances[i].proxy.forwarded_bytes() as f64;
    let before = roles.map(|i| (cpu_seconds(pid(i)), bytes(i)));
    let total_bytes = |cluster: &Cluster| {
        cluster.instances.iter().map(|it| it.proxy.forwarded_bytes() as f64).sum::<f64>()
    };
    let (start_bytes, start) = (total_bytes(cluster), Instant::now());
    work();
    let seconds = start.elapsed().as_secs_f64();
    let usage = |at: usize| Usage {
        core_percent: (cpu_seconds(pid(roles[at])) - before[at].0) / seconds * 100.0,
        memory_mb: resident_mb(pid(roles[at])),
        traffic: (bytes(roles[at]) - before[at].1) / seconds / 1024.0,
    };
    let total_traffic = (total_bytes(cluster) - start_bytes) / seconds / 1024.0;
    Sample { leader: usage(0), voter: usage(1), other: usage(2), total_traffic }
}

type Getter = fn(&Sample) -> f64;

fn add_role_figures(
    report: &mut Report,
    axis: &str,
    points: &[(f64, Sample)],
    expected: Option<f64>,
) {
    let figures: [(&str, &str, Getter, Option<f64>); 8] = [
        ("leader_core", "percent", |it| it.leader.core_percent, None),
        ("leader_memory", "MB", |it| it.leader.memory_mb, Some(MAX_MEMORY_MB)),
        ("leader_traffic", "KB/s", |it| it.leader.traffic, None),
        ("voter_core", "percent", |it| it.voter.core_percent, Some(MAX_CORE_PERCENT)),
        ("voter_memory", "MB", |it| it.voter.memory_mb, Some(MAX_MEMORY_MB)),
        ("other_core", "percent", |it| it.other.core_percent, Some(MAX_CORE_PERCENT)),
        ("other_memory", "MB", |it| it.other.memory_mb, Some(MAX_MEMORY_MB)),
        ("traffic_all", "KB/s", |it| it.total_traffic, None),
    ];
    for (name, unit, get, bound) in figures {
        let series: Vec<(f64, f64)> = points.iter().map(|(x, it)| (*x, get(it))).collect();
        add_fitted(report, axis, name, unit, &series, expected, bound);
    }
}

/// Adds the points, the slope and residual of the fitted line, and its value at
/// the expected size.
fn add_fitted(
    report: &mut Report,
    axis: &str,
    name: &str,
    unit: &str,
    points: &[(f64, f64)],
    expected: Option<f64>,
    bound: Option<f64>,
) {
    for (x, y) in points {
        report.add(axis, &format!("{name}_at_{x}"), *y, unit, Target::None);
    }
    let (intercept, slope, residual) = fit_line(points);
    report.add(axis, &format!("{name}_slope"), slope, unit, Target::None);
    report.add(axis, &format!("{name}_residual"), residual, unit, Target::None);
    if let Some(x) = expected {
        let target = bound.map_or(Target::None, Target::AtMost);
        report.add(axis, &format!("{name}_extended_to_{x}"), intercept + slope * x, unit, target);
    }
}

/// Returns the intercept, slope and root mean square residual of the least squares
/// line.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    (intercept, slope, (squares / count).sqrt())
}

/// Measures the memory and apply time of claims in a state machine within this
/// process.
fn measure_claims(report: &mut Report) {
    let pid = std::process::id();
    let (mut sizes, mut times) = (Vec::new(), Vec::new());
    for count in CLAIM_COUNTS {
        let mut state = State::default();
        let (before, start) = (resident_mb(pid), Instant::now());
        for i in 0..count {
            let command = Command::Claim(new_claim());
            state.apply(Index(i as u64 + 1), &command);
        }
        let us_per_claim = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        times.push((count as f64, us_per_claim));
        sizes.push((count as f64, resident_mb(pid) - before));
        assert_eq!(state.claims.len(), count);
    }
    add_fitted(report, "claims", "state_memory", "MB", &sizes, None, None);
    add_fitted(report, "claims", "apply_time", "us", &times, None, None);
}

fn new_claim() -> ClaimRequest {
    let key = ClaimKey::generate();
    let (route, team) =
        ("deposit".parse().expect("valid name"), "tills".parse().expect("valid name"));
    ClaimRequest {
        key,
        digest: RequestDigest::of(&route, &team, "x"),
        route,
        team,
        request: RequestId::generate(),
        owner: NodeId(1),
        incarnation: Incarnation(1),
        at: WallTime(key.time().0),
    }
}

/// Measures how long the leader takes to divide the slots of all endpoints among
/// the share holders, up to the expected size.
fn measure_divisions(report: &mut Report) {
    let mut points = Vec::new();
    for (holders, count) in DIVISION_SIZES {
        let endpoints: Vec<EndpointCapacity> = (0..count)
            .map(|i| EndpointCapacity {
                name: format!("e{i}").parse().expect("valid name"),
                pool: format!("p{}", i % 60).parse().expect("valid name"),
                allowed: Slots(8),
            })
            .collect();
        let live: IndexSet<ShareHolder> = (0..holders)
            .map(|i| ShareHolder { node: NodeId(i), incarnation: Incarnation(1) })
            .collect();
        let mut table = ShareTable::default();
        live.iter().for_each(|it| table.register(*it, 0, &[]));
        let start = Instant::now();
        table.allocate(Time(1), &endpoints, &live);
        let took = start.elapsed().as_secs_f64() * 1000.0;
        points.push((holders as f64 * count as f64, took));
    }
    let divide_ms = points[points.len() - 1].1;
    add_fitted(report, "instances_x_endpoints", "divide_time", "ms", &points, None, None);
    report.add("410_x_630", "divide_time", divide_ms, "ms", Target::AtMost(MAX_DIVIDE_MS));
}
