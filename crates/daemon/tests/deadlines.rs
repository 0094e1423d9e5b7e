//! Requests whose deadline passes while they wait for something.

mod relaying;

use {
    coord::{
        catalog::{Catalog, RetryPolicy},
        time::Millis,
    },
    relaying::{call, catalog, endpoint, healthy, request, route, scripted, stage, start},
    standin::Step,
    std::time::{Duration, Instant},
};

/// The deadline of the requests, as the fixture sets it.
const DEADLINE: Duration = Duration::from_millis(2000);
/// How much later than its deadline a request may end.
const LATENESS: Duration = Duration::from_millis(300);
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(30);

/// Returns a catalog with a route that has a stage, whose calls may take longer than a request
/// has time.
fn staged_catalog() -> Catalog {
    let mut route = route(RetryPolicy::Once);
    route.stages = vec![stage(&[])];
    let mut catalog = catalog(route);
    for batch in catalog.services.values_mut().filter_map(|it| it.batch.as_mut()) {
        batch.call_overhead = Millis(1200);
    }
    catalog
}

/// Guards against requests that wait for the end of a call instead of their own.
#[test]
fn a_request_whose_stage_outlasts_its_deadline_is_refused_then() {
    let pieces = scripted(|_, _| vec![Step::Wait(NEVER)]);
    let app = healthy("fine");
    let endpoints = [endpoint("e", "app", app.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(staged_catalog(), &endpoints);

    let began = Instant::now();
    let got = call(&relay, &request("id", "", ""));

    assert!(began.elapsed() < DEADLINE + LATENESS, "took {:?}", began.elapsed());
    assert_eq!((got.status, got.text().as_str()), (503, "too_late"));
    assert_eq!(pieces.received().len(), 1);
    assert!(app.received().is_empty());
}

/// Guards against requests that wait for the time limit of a question instead of their own.
#[test]
fn a_stream_whose_origin_is_not_known_by_its_deadline_is_refused_then() {
    let app = healthy("fine");
    let relay =
        start(catalog(route(RetryPolicy::ResumableStream)), &[endpoint("e", "app", app.addr)]);
    let core = relay.origin.lock().expect("lock poisoned");
    let text = request("id", "last-event-id: 1\r\nmangobend-resumes: a\r\n", "");

    let began = Instant::now();
    let got = call(&relay, &text.replace("deadline-ms: 2000", "deadline-ms: 50"));

    let took = began.elapsed();
    drop(core);
    assert!(took < Duration::from_millis(300), "took {took:?}");
    assert_eq!((got.status, got.text().as_str()), (503, "unresumable"));
    assert!(app.received().is_empty());
}
