//! Endpoints in a cold start, which take few requests a second from all instances together,
//! through several real instances.

mod limiting;

use {
    coord::{
        catalog::{Catalog, ColdBound, RelayStage, RetryPolicy},
        ids::{Bytes, Generation, Rate},
        tables::EndpointState,
        time::Millis,
    },
    harness::{Fault, relay_catalog, relay_route},
    limiting::{ENDPOINTS, Outcome, System, endpoints, instance_count, run_beside},
    standin::LimitedEndpoint,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const WINDOW: Duration = Duration::from_secs(1);
/// Requests a second that a cold endpoint takes, and what may arrive in a window.
const RATE: u64 = 4;
const BOUND: usize = 11;
/// A refusal that comes sooner was not waited for.
const AT_ONCE: Duration = Duration::from_millis(400);

fn catalog(stages: Vec<RelayStage>) -> Catalog {
    let mut route = relay_route(RetryPolicy::Idempotent);
    route.stages = stages;
    let mut catalog = relay_catalog(route);
    let cold_start = ColdBound { duration: Millis(4000), rate: Rate(RATE * 1000) };
    catalog.services.values_mut().for_each(|it| it.cold_start = cold_start);
    catalog
}

/// Starts the endpoint of a row anew, in a cold start.
fn return_cold(system: &mut System, at: usize) {
    let (row, _) = &mut system.endpoints[at];
    row.generation = Generation(row.generation.0 + 1);
    row.state = EndpointState::Cold;
    system.announce();
    // Each instance has the row, so that none sends to the start before.
    thread::sleep(Duration::from_millis(500));
}

fn most_in_window(endpoint: &LimitedEndpoint, from: Instant) -> usize {
    let times: Vec<Instant> = endpoint.arrivals().into_iter().filter(|it| *it >= from).collect();
    let count = |at: &Instant| times.iter().filter(|it| **it >= *at && **it < *at + WINDOW).count();
    times.iter().map(count).max().unwrap_or(0)
}

fn check_cold(system: &System, at: usize, from: Instant) {
    let (row, endpoint) = &system.endpoints[at];
    let most = most_in_window(endpoint, from);
    assert!(most <= BOUND, "{} got {most} requests in a second, allowed {BOUND}", row.name);
    assert!(most > 0, "{} got nothing", row.name);
}

/// Guards against an endpoint that returns cold, is preferred by all instances since nothing
/// runs there, and is overwhelmed.
#[test]
fn what_a_cold_endpoint_does_not_take_is_served_by_the_others() {
    let mut system = System::start(&catalog(Vec::new()), endpoints("app", ENDPOINTS));
    return_cold(&mut system, 0);
    let from = Instant::now();

    let outcomes = run_beside(&mut system, |_| thread::sleep(Duration::from_secs(5)));

    check_cold(&system, 0, from);
    let failed = outcomes.iter().filter(|it| it.response.status != 200).count();
    assert_eq!(failed, 0, "of {}", outcomes.len());
    system.endpoints[0].0.state = EndpointState::Warm;
    let warm = Instant::now();
    run_beside(&mut system, |_| thread::sleep(Duration::from_secs(3)));
    let most = most_in_window(&system.endpoints[0].1, warm);
    assert!(most > BOUND, "only {most} in a second once it is warm");
}

#[test]
fn what_a_pool_of_cold_endpoints_does_not_take_is_refused_at_once() {
    let mut system = System::start(&catalog(Vec::new()), endpoints("app", ENDPOINTS));
    (0..ENDPOINTS).for_each(|it| return_cold(&mut system, it));
    let from = Instant::now();

    let outcomes = run_beside(&mut system, |_| thread::sleep(Duration::from_secs(6)));

    (0..ENDPOINTS).for_each(|it| check_cold(&system, it, from));
    let refused: Vec<&Outcome> = outcomes.iter().filter(|it| it.response.status == 503).collect();
    assert!(!refused.is_empty(), "there is more than they take");
    for it in refused {
        assert!(it.took < AT_ONCE, "refused after {:?}", it.took);
        assert!(it.response.header("retry-after").is_some());
    }
    let served = outcomes.iter().filter(|it| it.response.status == 200).count();
    assert!(served >= ENDPOINTS * 6, "only {served} were served in 6 s");
}

#[test]
fn a_cold_start_is_kept_through_a_change_of_leader_a_cut_a_freeze_and_a_restart() {
    let mut system = System::start(&catalog(Vec::new()), endpoints("app", ENDPOINTS));
    (0..ENDPOINTS).for_each(|it| return_cold(&mut system, it));
    let from = Instant::now();

    run_beside(&mut system, |cluster| {
        thread::sleep(Duration::from_secs(2));
        let leader = cluster.leader();
        let others: Vec<usize> = (0..instance_count()).filter(|it| *it != leader).collect();
        cluster.set_fault(others[0], Fault { drop_in: true, drop_out: true, ..Fault::default() });
        cluster.daemon(others[1]).proc.signal(SIGSTOP);
        thread::sleep(Duration::from_secs(2));
        cluster.kill(leader);
        cluster.clear_fault(others[0]);
        cluster.daemon(others[1]).proc.signal(SIGCONT);
        thread::sleep(Duration::from_secs(4));
        cluster.start(leader);
        cluster.kill(others[2]);
        cluster.start(others[2]);
        thread::sleep(Duration::from_secs(4));
    });

    (0..ENDPOINTS).for_each(|it| check_cold(&system, it, from));
}

#[test]
fn calls_of_stages_and_freed_results_count_in_a_cold_start() {
    let stage = RelayStage {
        pool: "stage".parse().expect("a name"),
        after: Vec::new(),
        result_size: Bytes(1000),
    };
    let mut all = endpoints("app", 1);
    all.extend(endpoints("stage", ENDPOINTS));
    let mut system = System::start(&catalog(vec![stage]), all);
    (1..=ENDPOINTS).for_each(|it| return_cold(&mut system, it));
    let from = Instant::now();

    run_beside(&mut system, |_| thread::sleep(Duration::from_secs(6)));

    (1..=ENDPOINTS).for_each(|it| check_cold(&system, it, from));
}
