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
    harness::{
        Fault, LONG_TIMEOUT, announce, relay_catalog, relay_endpoint, relay_route, wait_until,
    },
    limiting::{ENDPOINTS, Outcome, System, endpoints, instance_count, run_beside},
    standin::{
        AnswerForm, CrashPoint, CrashSpec, CrashingEndpoint, LimitedEndpoint, Outage, Poison,
    },
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

/// The most of these times in a second.
fn most_in_second(times: &[Instant]) -> usize {
    let count = |at: &Instant| times.iter().filter(|it| **it >= *at && **it < *at + WINDOW).count();
    times.iter().map(count).max().unwrap_or(0)
}

fn most_in_window(endpoint: &LimitedEndpoint, from: Instant) -> usize {
    let times: Vec<Instant> = endpoint.arrivals().into_iter().filter(|it| *it >= from).collect();
    most_in_second(&times)
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

/// Guards against an endpoint that starts again under its name and gets, until it announces
/// itself, what the start before got, which was warm.
#[test]
fn an_endpoint_that_starts_again_counts_as_cold_before_it_is_announced() {
    let mut system = System::start(&catalog(Vec::new()), endpoints("app", ENDPOINTS));
    let again = CrashingEndpoint::start(CrashSpec {
        poison: Poison::Body("none".to_owned()),
        cut: None,
        form: AnswerForm::Plain,
        point: CrashPoint::BeforeHead,
        outage: Outage::Refused,
        prefill: Duration::from_millis(20),
        begin: Duration::ZERO,
        down: Duration::from_millis(300),
    });
    let row = relay_endpoint("again", "app", again.addr);
    let announced = || system.listeners.iter().any(|it| announce(*it, &row));
    wait_until("the endpoint is announced", LONG_TIMEOUT, announced);
    let listeners = system.listeners.clone();

    let mut crashed = Instant::now();
    run_beside(&mut system, |_| {
        thread::sleep(Duration::from_secs(2));
        crashed = Instant::now();
        again.crash();
        thread::sleep(Duration::from_millis(2000));
    });
    let unannounced = Instant::now();
    let most = most_of(&again, crashed, unannounced);
    assert!(most <= BOUND, "{most} requests in a second, allowed {BOUND}");

    // The start before announces itself again: it had never ended.
    run_beside(&mut system, |_| {
        for _ in 0..25 {
            listeners.iter().any(|it| announce(*it, &row));
            thread::sleep(Duration::from_millis(200));
        }
    });
    let most = most_of(&again, unannounced + Duration::from_secs(3), Instant::now());
    assert!(most > BOUND, "only {most} in a second of an endpoint that runs on");
}

/// The most arrivals at an endpoint in a second.
fn most_of(endpoint: &CrashingEndpoint, from: Instant, until: Instant) -> usize {
    let arrivals = endpoint.arrivals().into_iter().map(|it| it.at);
    let times: Vec<Instant> = arrivals.filter(|it| *it >= from && *it < until).collect();
    most_in_second(&times)
}
