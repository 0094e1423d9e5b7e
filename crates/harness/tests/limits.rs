//! Endpoints that name how many requests a second they take from all instances together,
//! through several real instances.

mod limiting;

use {
    coord::{
        catalog::{RelayRoute, RelayStage, RetryPolicy},
        ids::{Bytes, Generation},
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
/// From this long after an endpoint first names its limit, no more arrive in any window of
/// `WINDOW` than `FACTOR` times what the limit allows and `SLACK`.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// A refusal that comes sooner was not waited for.
const AT_ONCE: Duration = Duration::from_millis(400);

/// The most arrivals in a window that begins at `from` or later.
fn most_in_window(endpoint: &LimitedEndpoint, from: Instant, until: Instant) -> usize {
    let arrivals = endpoint.arrivals();
    let times: Vec<Instant> =
        arrivals.into_iter().filter(|it| *it >= from && *it < until).collect();
    let count = |at: &Instant| times.iter().filter(|it| **it >= *at && **it < *at + WINDOW).count();
    times.iter().map(count).max().unwrap_or(0)
}

/// Checks that no endpoint got more than its limit allows.
fn check_limits(system: &System, limit: f64, from: Instant, until: Instant) {
    let bound = (FACTOR * WINDOW.as_secs_f64() * limit + SLACK) as usize;
    for (row, endpoint) in &system.endpoints {
        let most = most_in_window(endpoint, from, until);
        assert!(most <= bound, "{} got {most} requests in 4 s, allowed {bound}", row.name);
        assert!(most > 0, "{} got nothing", row.name);
    }
}

#[test]
fn endpoints_get_no_more_than_their_limit_from_all_instances_together() {
    let mut system = System::plain(RetryPolicy::Idempotent);
    system.set_limits(Some("1.0"));
    let named = Instant::now();

    let outcomes = run_beside(&mut system, |_| thread::sleep(Duration::from_secs(13)));

    check_limits(&system, 1.0, named + CONTACT, Instant::now());
    let late: Vec<&Outcome> = outcomes.iter().filter(|it| it.sent > named + CONTACT).collect();
    let refused: Vec<&&Outcome> = late.iter().filter(|it| it.response.status == 503).collect();
    assert!(!refused.is_empty(), "there is more than the limits allow");
    for it in refused {
        assert!(it.took < AT_ONCE, "refused after {:?}", it.took);
        assert!(it.response.header("retry-after").is_some());
    }
    let served = late.iter().filter(|it| it.response.status == 200).count();
    assert!(served >= ENDPOINTS * 5, "only {served} were served in 10 s");
}

#[test]
fn what_a_limited_endpoint_does_not_take_is_served_by_the_others() {
    let mut system = System::plain(RetryPolicy::Once);
    system.endpoints[0].1.set_limit(Some("0.5"));
    let named = Instant::now();

    let outcomes = run_beside(&mut system, |_| thread::sleep(Duration::from_secs(9)));

    let most = most_in_window(&system.endpoints[0].1, named + CONTACT, Instant::now());
    assert!(most <= 8, "{most} requests in 4 s");
    let failed = outcomes.iter().filter(|it| it.response.status != 200).count();
    assert_eq!(failed, 0, "of {}", outcomes.len());
}

#[test]
fn a_limit_holds_through_a_change_of_leader_a_cut_a_freeze_and_a_restart() {
    let mut system = System::plain(RetryPolicy::Idempotent);
    system.set_limits(Some("2"));
    let named = Instant::now();

    run_beside(&mut system, |cluster| {
        thread::sleep(Duration::from_secs(4));
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
        thread::sleep(Duration::from_secs(6));
    });

    check_limits(&system, 2.0, named + CONTACT, Instant::now());
}

#[test]
fn a_limit_that_changes_ends_or_is_no_number_is_followed() {
    let mut system = System::plain(RetryPolicy::Idempotent);
    system.set_limits(Some("6"));
    let mut from = Vec::new();

    run_beside(&mut system, |_| thread::sleep(Duration::from_secs(7)));
    for limit in [Some("1"), Some("many"), None] {
        system.set_limits(limit);
        from.push(Instant::now());
        run_beside(&mut system, |_| thread::sleep(Duration::from_secs(8)));
    }
    let end = Instant::now();

    check_limits(&system, 1.0, from[0] + CONTACT, from[2]);
    let (_, first) = &system.endpoints[0];
    let most = most_in_window(first, from[2] + CONTACT, end);
    assert!(most > 40, "only {most} in 4 s after the limit has ended");
}

#[test]
fn a_new_start_of_an_endpoint_has_no_limit() {
    let mut system = System::plain(RetryPolicy::Idempotent);
    system.set_limits(Some("0"));
    run_beside(&mut system, |_| thread::sleep(Duration::from_secs(2)));
    system.set_limits(None);
    for (row, _) in &mut system.endpoints {
        row.generation = Generation(2);
    }
    let started = Instant::now();

    run_beside(&mut system, |_| thread::sleep(Duration::from_secs(4)));

    let arrivals = system.endpoints[0].1.arrivals();
    let after = arrivals.iter().filter(|it| **it > started).count();
    assert!(after > 40, "only {after} requests after the start");
}

#[test]
fn calls_of_stages_and_freed_results_count_against_a_limit() {
    let mut route: RelayRoute = relay_route(RetryPolicy::Idempotent);
    route.stages = vec![RelayStage {
        pool: "stage".parse().expect("a name"),
        after: Vec::new(),
        result_size: Bytes(1000),
    }];
    let mut all = endpoints("app", 1);
    all.extend(endpoints("stage", ENDPOINTS));
    let mut system = System::start(&relay_catalog(route), all);
    let stages = &system.endpoints[1..];
    stages.iter().for_each(|(_, it)| it.set_limit(Some("1")));
    let named = Instant::now();

    run_beside(&mut system, |_| thread::sleep(Duration::from_secs(10)));

    let bound = (FACTOR * WINDOW.as_secs_f64() + SLACK) as usize;
    for (row, endpoint) in &system.endpoints[1..] {
        let most = most_in_window(endpoint, named + CONTACT, Instant::now());
        assert!(most <= bound, "{} got {most} requests in 4 s, allowed {bound}", row.name);
    }
}
