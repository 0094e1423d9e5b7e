//! How the cost of control grows. Each axis has four points and a straight
//! line fitted by least squares.

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
const OTHERS: [usize; 4] = [1, 4, 8, 14];
const ENDPOINTS: [usize; 4] = [20, 80, 160, 320];
const CHANGES: [usize; 4] = [5, 10, 20, 40];
const CLAIMS: [usize; 4] = [10_000, 20_000, 50_000, 100_000];
const DIVISIONS: [(u64, usize); 4] = [(50, 100), (100, 200), (200, 400), (410, 630)];
/// How long each point is measured.
const POINT: Duration = Duration::from_secs(5);
/// The size that the users expect within two years.
const INSTANCES_THEN: f64 = 410.0;
const ENDPOINTS_THEN: f64 = 630.0;
const CORE_PERCENT: f64 = 2.9;
const MEGABYTES: f64 = 64.0;
const KILOBYTES: f64 = 4.0;
/// The most of a core that the leader may spend on divisions.
const DIVIDE_MS: f64 = 50.0;

/// What one process and its links used at one point.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// Percent of a core.
    core: f64,
    megabytes: f64,
    /// Kilobytes a second over its peer listener.
    traffic: f64,
}

/// One point of an axis, by role.
#[derive(Debug, Clone, Copy, Default)]
struct Point {
    leader: Usage,
    voter: Usage,
    other: Usage,
    /// Kilobytes a second of all links together.
    all: f64,
}

pub fn run(report: &mut Report, _seed: u64) {
    instances(report);
    endpoints(report);
    changes(report);
    claims(report);
    divisions(report);
}

fn instances(report: &mut Report) {
    let points: Vec<(f64, Point)> = OTHERS
        .iter()
        .map(|others| {
            let cluster = ClusterSpec::new(VOTERS, *others).start();
            thread::sleep(Duration::from_secs(1));
            ((VOTERS + others) as f64, measure(&cluster, || thread::sleep(POINT)))
        })
        .collect();
    show_roles(report, "instances", &points, Some(INSTANCES_THEN));
    let line: Vec<(f64, f64)> = points.iter().map(|(x, it)| (*x, it.all)).collect();
    let more = fit(&line).1;
    report.add("instances", "traffic_of_one_more", more, "KB/s", Target::AtMost(KILOBYTES));
}

fn endpoints(report: &mut Report) {
    let points: Vec<(f64, Point)> = ENDPOINTS
        .iter()
        .map(|count| {
            let cluster = ClusterSpec::new(VOTERS, 1).start();
            announce(&cluster, *count, Duration::from_secs(2));
            (*count as f64, measure(&cluster, || announce(&cluster, *count, POINT)))
        })
        .collect();
    show_roles(report, "endpoints", &points, None);
    let instances = (VOTERS + 1) as f64;
    let then = ENDPOINTS_THEN / INSTANCES_THEN;
    let picks: [(&str, Pick); 2] =
        [("voter_core", |it| it.voter.core), ("other_core", |it| it.other.core)];
    for (name, pick) in picks {
        let line: Vec<(f64, f64)> =
            points.iter().map(|(x, it)| (x / instances, pick(it))).collect();
        show(report, "announcements_per_s", name, "percent", &line, Some(then), Some(CORE_PERCENT));
    }
}

fn changes(report: &mut Report) {
    let points: Vec<(f64, Point)> = CHANGES
        .iter()
        .map(|rate| {
            let cluster = ClusterSpec::new(VOTERS, 1).start();
            let operator = cluster.operator();
            let gap = Duration::from_secs(1) / *rate as u32;
            let work = || {
                let start = Instant::now();
                let mut i = 0;
                while start.elapsed() < POINT {
                    let name = format!("p{}", i % 30).parse().expect("a name");
                    let edits = vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })];
                    let _ = operator.change(&new_change(None, edits));
                    i += 1;
                    thread::sleep((start + gap * i).saturating_duration_since(Instant::now()));
                }
            };
            (*rate as f64, measure(&cluster, work))
        })
        .collect();
    show_roles(report, "changes_per_s", &points, None);
}

/// Announces endpoints once a second each, spread over all instances.
fn announce(cluster: &Cluster, count: usize, time: Duration) {
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

fn measure(cluster: &Cluster, work: impl FnOnce()) -> Point {
    let leader = cluster.leader();
    let voter = (leader + 1) % VOTERS;
    let roles = [leader, voter, VOTERS];
    let pid = |i: usize| cluster.daemon(i).proc.id();
    let bytes = |i: usize| cluster.instances[i].proxy.forwarded_bytes() as f64;
    let before = roles.map(|i| (cpu_seconds(pid(i)), bytes(i)));
    let sum = |cluster: &Cluster| {
        cluster.instances.iter().map(|it| it.proxy.forwarded_bytes() as f64).sum::<f64>()
    };
    let (all, start) = (sum(cluster), Instant::now());
    work();
    let seconds = start.elapsed().as_secs_f64();
    let usage = |at: usize| Usage {
        core: (cpu_seconds(pid(roles[at])) - before[at].0) / seconds * 100.0,
        megabytes: resident_mb(pid(roles[at])),
        traffic: (bytes(roles[at]) - before[at].1) / seconds / 1024.0,
    };
    let all = (sum(cluster) - all) / seconds / 1024.0;
    Point { leader: usage(0), voter: usage(1), other: usage(2), all }
}

type Pick = fn(&Point) -> f64;

fn show_roles(report: &mut Report, axis: &str, points: &[(f64, Point)], then: Option<f64>) {
    let figures: [(&str, &str, Pick, Option<f64>); 8] = [
        ("leader_core", "percent", |it| it.leader.core, None),
        ("leader_memory", "MB", |it| it.leader.megabytes, Some(MEGABYTES)),
        ("leader_traffic", "KB/s", |it| it.leader.traffic, None),
        ("voter_core", "percent", |it| it.voter.core, Some(CORE_PERCENT)),
        ("voter_memory", "MB", |it| it.voter.megabytes, Some(MEGABYTES)),
        ("other_core", "percent", |it| it.other.core, Some(CORE_PERCENT)),
        ("other_memory", "MB", |it| it.other.megabytes, Some(MEGABYTES)),
        ("traffic_all", "KB/s", |it| it.all, None),
    ];
    for (name, unit, pick, bound) in figures {
        let line: Vec<(f64, f64)> = points.iter().map(|(x, it)| (*x, pick(it))).collect();
        show(report, axis, name, unit, &line, then, bound);
    }
}

/// Prints the points, the fitted line and its value at the expected size.
fn show(
    report: &mut Report,
    axis: &str,
    name: &str,
    unit: &str,
    points: &[(f64, f64)],
    then: Option<f64>,
    bound: Option<f64>,
) {
    for (x, y) in points {
        report.add(axis, &format!("{name}_at_{x}"), *y, unit, Target::None);
    }
    let (start, slope, residual) = fit(points);
    report.add(axis, &format!("{name}_slope"), slope, unit, Target::None);
    report.add(axis, &format!("{name}_residual"), residual, unit, Target::None);
    if let Some(x) = then {
        let target = bound.map_or(Target::None, Target::AtMost);
        report.add(axis, &format!("{name}_extended_to_{x}"), start + slope * x, unit, target);
    }
}

/// The start, slope and root mean square residual of a fitted line.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let over: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = over / under;
    let start = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - start - slope * x).powi(2)).sum();
    (start, slope, (squares / count).sqrt())
}

/// The memory and time of claims in the state machine, in this process.
fn claims(report: &mut Report) {
    let own = std::process::id();
    let (mut sizes, mut times) = (Vec::new(), Vec::new());
    for count in CLAIMS {
        let mut state = State::default();
        let (before, start) = (resident_mb(own), Instant::now());
        for i in 0..count {
            let command = Command::Claim(claim());
            state.apply(Index(i as u64 + 1), &command);
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        times.push((count as f64, each));
        sizes.push((count as f64, resident_mb(own) - before));
        assert_eq!(state.claims.len(), count);
    }
    show(report, "claims", "state_memory", "MB", &sizes, None, None);
    show(report, "claims", "apply_time", "us", &times, None, None);
}

fn claim() -> ClaimRequest {
    let key = ClaimKey::generate();
    let (route, team) = ("deposit".parse().expect("a name"), "tills".parse().expect("a name"));
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

/// The leader's division of endpoints, at up to the expected size.
fn divisions(report: &mut Report) {
    let mut points = Vec::new();
    for (holders, count) in DIVISIONS {
        let endpoints: Vec<EndpointCapacity> = (0..count)
            .map(|i| EndpointCapacity {
                name: format!("e{i}").parse().expect("a name"),
                pool: format!("p{}", i % 60).parse().expect("a name"),
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
    let last = points[points.len() - 1].1;
    show(report, "instances_x_endpoints", "divide_time", "ms", &points, None, None);
    report.add("410_x_630", "divide_time", last, "ms", Target::AtMost(DIVIDE_MS));
}
