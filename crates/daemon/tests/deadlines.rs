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
/// When a request whose inputs live 1 s has seen them go twice.
const INPUTS_GONE: Duration = Duration::from_secs(3);
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

#[test]
fn a_request_whose_stage_waits_longer_than_its_inputs_live_is_answered_when_they_are_gone() {
    let pieces = scripted(|seen, number| {
        let body = String::from_utf8_lossy(&seen.body);
        let answer = match body.contains("\"stage\":0") {
            true => "200 OK\r\ncontent-length: 26\r\n\r\n{\"results\":[{\"Ok\":\"one\"}]}",
            false if number > 0 && body.contains("\"stage\":1") => {
                "503 Busy\r\nmangobend-not-run: 1\r\nretry-after: 8\r\ncontent-length: 0\r\n\r\n"
            }
            false => return Vec::new(),
        };
        vec![Step::Send(format!("HTTP/1.1 {answer}").into())]
    });
    let app = healthy("fine");
    let mut catalog = staged_catalog();
    catalog.routes[0].stages.push(stage(&[0]));
    catalog.routes[0].timeout = Millis(20_000);
    for batch in catalog.services.values_mut().filter_map(|it| it.batch.as_mut()) {
        batch.call_overhead = Millis(50);
        batch.result_ttl = Millis(1000);
    }
    let endpoints = [endpoint("e", "app", app.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(catalog, &endpoints);
    let headers = "mangobend-pieces: 1,1\r\nmangobend-source: doc\r\n";
    let text = request("id", headers, "").replace("deadline-ms: 2000", "deadline-ms: 12000");

    let began = Instant::now();
    let got = call(&relay, &text);

    let seen: Vec<_> =
        pieces.received().iter().map(|it| String::from_utf8_lossy(&it.body).into_owned()).collect();
    assert!(began.elapsed() < INPUTS_GONE, "took {:?}, {seen:?}", began.elapsed());
    assert_eq!(got.status, 503);
}

/// Guards against refusals by the time limit of stages where there are none.
#[test]
fn a_request_without_stages_is_sent_however_little_time_it_has() {
    let app = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", app.addr)]);

    let statuses: Vec<u16> = (0..20)
        .map(|it| {
            let text = request(&format!("id{it}"), "", "");
            call(&relay, &text.replace("deadline-ms: 2000", "deadline-ms: 150")).status
        })
        .collect();

    assert_eq!(statuses, [200; 20]);
}
