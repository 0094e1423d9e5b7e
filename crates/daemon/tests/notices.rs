//! Endpoints that say that they are leaving, or that ask for a pause.

mod relaying;

use {
    coord::{
        catalog::{RelayRoute, RetryPolicy},
        tables::Endpoint,
    },
    relaying::{
        Fixture, call, catalog, endpoint, healthy, request, route, scripted, signed_ok,
        signed_response, stage, start,
    },
    standin::{ReceivedRequest, ScriptedEndpoint, Step},
    std::{
        sync::Arc,
        thread::{sleep, spawn},
        time::{Duration, Instant},
    },
};

const PAUSE: Duration = Duration::from_secs(1);
/// How much earlier than the end of a pause a request may seem to come, since the
/// endpoint notes its answer before the relay reads it.
const CLOCK_SLACK: Duration = Duration::from_millis(20);

/// An answer that the endpoint has not run the request and wants a pause.
fn pause(seconds: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Busy\r\nmangobend-not-run: 1\r\nretry-after: {seconds}\r\n\
         content-length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn leaving_ok(seen: &ReceivedRequest, body: &str) -> Vec<u8> {
    let headers = format!("mangobend-leaving: 1\r\ncontent-length: {}\r\n", body.len());
    signed_response(seen, "200 OK", &headers, body)
}

fn relay_of(route: RelayRoute, endpoints: &[(&str, &ScriptedEndpoint)]) -> Fixture {
    let rows: Vec<Endpoint> =
        endpoints.iter().map(|(name, it)| endpoint(name, "app", it.addr)).collect();
    start(catalog(route), &rows)
}

fn statuses(relay: &Fixture, count: usize) -> Vec<u16> {
    (0..count).map(|it| call(relay, &request(&format!("id{it}"), "", "")).status).collect()
}

#[test]
fn an_endpoint_that_says_it_is_leaving_gets_no_new_requests() {
    let leaving = scripted(|seen, _| vec![Step::Send(leaving_ok(seen, "last"))]);
    let other = healthy("fine");
    let relay = relay_of(route(RetryPolicy::Once), &[("e", &leaving), ("f", &other)]);

    let got = statuses(&relay, 40);
    sleep(Duration::from_millis(100));

    assert_eq!(got, [200; 40]);
    assert_eq!(leaving.received().len(), 1, "only the answer with the notice");
    assert_eq!(leaving.disconnects().len(), 1, "the idle connection is closed");
}

#[test]
fn a_leaving_notice_counts_before_the_body_has_ended() {
    let leaving = scripted(|seen, _| {
        let head = "mangobend-leaving: 1\r\ncontent-length: 5\r\n";
        let part = signed_response(seen, "200 OK", head, "s");
        vec![
            Step::Send(part),
            Step::Wait(Duration::from_millis(1600)),
            Step::Send(b"tart".to_vec()),
        ]
    });
    let relay = Arc::new(relay_of(route(RetryPolicy::Stream), &[("e", &leaving)]));
    let first = {
        let relay = relay.clone();
        spawn(move || call(&relay, &request("id", "", "")))
    };
    sleep(Duration::from_millis(1300));

    let second = call(&relay, &request("late", "", ""));

    assert_eq!(second.status, 503);
    let first = first.join().expect("the caller doesn't panic");
    assert!(first.complete && first.text() == "start", "the stream is finished");
    assert_eq!(leaving.received().len(), 1);
}

#[test]
fn a_pool_whose_only_endpoint_is_leaving_is_served_for_a_while_then_refused_at_once() {
    let leaving = scripted(|seen, _| vec![Step::Send(leaving_ok(seen, "last"))]);
    let relay = relay_of(route(RetryPolicy::Once), &[("e", &leaving)]);

    let early = statuses(&relay, 3);
    sleep(Duration::from_millis(1100));
    let began = Instant::now();
    let late = call(&relay, &request("late", "", ""));

    assert_eq!(early, [200; 3]);
    assert_eq!(late.status, 503);
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    assert_eq!(leaving.received().len(), 3);
}

#[test]
fn a_new_incarnation_of_a_leaving_endpoint_is_used() {
    let leaving = scripted(|seen, _| vec![Step::Send(leaving_ok(seen, "last"))]);
    let next = healthy("new");
    let relay = relay_of(route(RetryPolicy::Once), &[("e", &leaving)]);
    statuses(&relay, 1);

    relay.tables.send_modify(|it| {
        let old = endpoint("e", "app", next.addr);
        let new = Endpoint { generation: coord::ids::Generation(2), ..old };
        Arc::make_mut(it).endpoints.insert(new.name.clone(), new);
    });
    sleep(Duration::from_millis(1200));

    assert_eq!(call(&relay, &request("id", "", "")).text(), "new");
}

#[test]
fn an_endpoint_gets_no_request_in_the_pause_that_it_asked_for() {
    let busy = scripted(|seen, number| match number {
        0 => vec![Step::Send(pause("1"))],
        _ => vec![Step::Send(signed_ok(seen, "back"))],
    });
    let other = healthy("fine");
    let relay = relay_of(route(RetryPolicy::Once), &[("e", &busy), ("f", &other)]);
    let began = Instant::now();

    let mut got = Vec::new();
    while began.elapsed() < PAUSE * 2 {
        got.extend(statuses(&relay, 1));
        sleep(Duration::from_millis(10));
    }

    assert!(got.iter().all(|it| *it == 200), "{got:?}");
    let received = busy.received();
    assert!(received.len() > 1, "it is used again after its pause");
    let gap = received[1].at.duration_since(received[0].at);
    assert!(gap + CLOCK_SLACK >= PAUSE, "{gap:?}");
}

#[test]
fn requests_wait_for_the_end_of_a_pause_that_their_deadline_allows() {
    let busy = scripted(|seen, number| match number {
        0 => vec![Step::Send(pause("0.5"))],
        _ => vec![Step::Send(signed_ok(seen, "back"))],
    });
    let relay = relay_of(route(RetryPolicy::Idempotent), &[("e", &busy)]);
    let refused = call(&relay, &request("first", "", ""));

    let got = call(&relay, &request("second", "", ""));

    assert_eq!(refused.status, 503, "the only endpoint refused it");
    assert_eq!(got.text(), "back");
    let received = busy.received();
    let gap = received[1].at.duration_since(received[0].at);
    assert!(gap + CLOCK_SLACK >= Duration::from_millis(500), "{gap:?}");
}

#[test]
fn requests_are_refused_at_once_with_the_end_of_a_pause_beyond_their_deadline() {
    let busy = scripted(|_, _| vec![Step::Send(pause("10"))]);
    let other = scripted(|_, _| vec![Step::Send(pause("20"))]);
    let relay = relay_of(route(RetryPolicy::Once), &[("e", &busy), ("f", &other)]);
    statuses(&relay, 1);

    let began = Instant::now();
    let got = call(&relay, &request("id", "", ""));

    assert_eq!(got.status, 503);
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    let after: f64 = got.header("retry-after").and_then(|it| it.parse().ok()).expect("a number");
    assert!((9.0..11.0).contains(&after), "{after}");
    assert_eq!(busy.received().len() + other.received().len(), 2);
}

#[test]
fn a_refusal_by_all_endpoints_passes_their_pause_on() {
    let busy = scripted(|_, _| vec![Step::Send(pause("2"))]);
    let relay = relay_of(route(RetryPolicy::Once), &[("e", &busy)]);

    let got = call(&relay, &request("id", "", ""));

    let after: f64 = got.header("retry-after").and_then(|it| it.parse().ok()).expect("a number");
    assert_eq!(got.status, 503);
    assert!((1.9..2.4).contains(&after), "{after}");
}

/// Starts a relay with a stage at one endpoint.
fn staged_relay(pieces: &ScriptedEndpoint, backend: &ScriptedEndpoint) -> Fixture {
    let mut staged = route(RetryPolicy::Once);
    staged.stages = vec![stage(&[])];
    let endpoints = [endpoint("e", "app", backend.addr), endpoint("s", "stage", pieces.addr)];
    start(catalog(staged), &endpoints)
}

const RESULT: &str = "{\"results\":[{\"Ok\":\"h\"}]}";

#[test]
fn pieces_wait_for_the_end_of_a_pause() {
    let pieces = scripted(|seen, number| match number {
        0 => vec![Step::Send(pause("1"))],
        _ => vec![Step::Send(signed_ok(seen, RESULT))],
    });
    let backend = healthy("fine");
    let relay = staged_relay(&pieces, &backend);

    let got = call(&relay, &request("id", "mangobend-pieces: 1\r\n", ""));

    assert_eq!(got.status, 200, "{}", got.text());
    let received = pieces.received();
    let gap = received[1].at.duration_since(received[0].at);
    assert!(gap + CLOCK_SLACK >= PAUSE, "{gap:?}");
}

#[test]
fn results_are_not_freed_in_a_pause() {
    let pieces = scripted(|seen, number| match number {
        0 => vec![Step::Send(signed_ok(seen, RESULT))],
        1 => vec![Step::Send(pause("5"))],
        _ => vec![Step::Send(signed_ok(seen, "{}"))],
    });
    let backend = scripted(|seen, _| {
        vec![Step::Wait(Duration::from_millis(400)), Step::Send(signed_ok(seen, "fine"))]
    });
    let relay = Arc::new(staged_relay(&pieces, &backend));
    let callers: Vec<_> = (0..2)
        .map(|it| {
            let relay = relay.clone();
            let send = move || call(&relay, &request("id", "mangobend-pieces: 1\r\n", ""));
            sleep(Duration::from_millis(100 * it));
            spawn(send)
        })
        .collect();

    let got: Vec<u16> = callers.into_iter().map(|it| it.join().expect("no panic").status).collect();
    sleep(Duration::from_millis(200));

    assert_eq!(got, [200, 503], "the second can't wait for its stage");
    assert_eq!(pieces.received().len(), 2, "the first's result isn't freed in the pause");
}

#[test]
fn a_leaving_stage_endpoint_gets_no_pieces_while_there_is_another() {
    let leaving = scripted(|seen, _| vec![Step::Send(leaving_ok(seen, RESULT))]);
    let other = scripted(|seen, _| vec![Step::Send(signed_ok(seen, RESULT))]);
    let backend = healthy("fine");
    let mut staged = route(RetryPolicy::Once);
    staged.stages = vec![stage(&[])];
    let endpoints = [
        endpoint("e", "app", backend.addr),
        endpoint("s", "stage", leaving.addr),
        endpoint("t", "stage", other.addr),
    ];
    let relay = start(catalog(staged), &endpoints);

    let got: Vec<u16> = (0..20)
        .map(|it| {
            let request = request(&format!("id{it}"), "mangobend-pieces: 1\r\n", "");
            call(&relay, &request).status
        })
        .collect();

    assert_eq!(got, [200; 20]);
    let calls = leaving.received();
    let runs = calls.iter().filter(|it| !it.head.contains("/free")).count();
    assert_eq!(runs, 1, "only the call whose answer has the notice");
}
