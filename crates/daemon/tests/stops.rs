//! What callers get whose requests wait for something when a graceful shutdown begins.

mod relaying;

use {
    coord::{
        catalog::{Catalog, RetryPolicy},
        time::Millis,
    },
    daemon::relay::DrainPhase,
    harness::{LONG_TIMEOUT, RawResponse, wait_until},
    relaying::{
        Fixture, call, catalog, connect, endpoint, healthy, read_response, request, route,
        scripted, signed_ok, stage, start,
    },
    socket2::{Domain, Socket, Type},
    standin::{ScriptedEndpoint, Step},
    std::{
        io::Write,
        net::TcpStream,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// From the start of a shutdown to its end; the deadline of the requests is longer.
const STOP_BOUND: Duration = Duration::from_millis(1500);
/// How long before its end a caller must have its answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// How soon a caller must have an answer that is known at once.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(30);

/// Returns a catalog with a route that has a long timeout and a stage, each call of which is
/// expected to take about `call`.
fn staged_catalog(call: Millis) -> Catalog {
    let mut route = route(RetryPolicy::Stream);
    route.timeout = Millis(20_000);
    route.stages = vec![stage(&[])];
    let mut catalog = catalog(route);
    for batch in catalog.services.values_mut().filter_map(|it| it.batch.as_mut()) {
        batch.call_overhead = call;
    }
    catalog
}

/// Returns a request with a deadline long after the end of the shutdown.
fn patient_request(id: &str, body: &str) -> String {
    request(id, "", body).replace("deadline-ms: 2000", "deadline-ms: 15000")
}

/// Starts an endpoint that answers nothing.
fn silent() -> ScriptedEndpoint {
    scripted(|_, _| vec![Step::Wait(NEVER)])
}

/// Starts an endpoint that takes no requests now.
fn pausing(retry_after: &'static str) -> ScriptedEndpoint {
    scripted(move |_, _| {
        let head =
            format!("mangobend-not-run: 1\r\nretry-after: {retry_after}\r\ncontent-length: 0\r\n");
        vec![Step::Send(format!("HTTP/1.1 503 Busy\r\n{head}\r\n").into())]
    })
}

/// Sends a request and waits until the relay has it.
fn send(relay: &Fixture, text: &str) -> TcpStream {
    let mut stream = connect(relay);
    stream.write_all(text.as_bytes()).expect("the request is sent");
    wait_until("the request is known", LONG_TIMEOUT, || relay.drain.active() == 1);
    stream
}

/// Opens a connection of a caller whose kernel takes few bytes that it hasn't read.
fn connect_with_buffer(relay: &Fixture, bytes: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(bytes).expect("a buffer size can be set");
    socket.connect(&relay.addr.into()).expect("the relay listens");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG_TIMEOUT)).expect("a timeout can be set");
    stream
}

/// Begins a shutdown and returns when it ends.
fn stop(relay: &Fixture) -> Instant {
    let end = Instant::now() + STOP_BOUND;
    relay.drain.end_at(end);
    relay.drain.enter(DrainPhase::Leaving);
    end
}

fn assert_refused(got: &RawResponse) {
    assert_eq!((got.status, got.header("retry-after")), (503, Some("0.00")), "{got:?}");
    assert_eq!(got.text(), "stopping");
    assert!(got.complete);
}

#[test]
fn a_request_whose_stages_outlast_a_stop_is_refused_before_its_end() {
    let (pieces, app) = (silent(), healthy("fine"));
    let endpoints = [endpoint("e", "app", app.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(staged_catalog(Millis(50)), &endpoints);
    let mut waiting = send(&relay, &patient_request("id", ""));
    wait_until("the stage is called", LONG_TIMEOUT, || !pieces.received().is_empty());

    let end = stop(&relay);
    let got = read_response(&mut waiting);

    assert!(Instant::now() + ANSWER_MARGIN < end, "answered too late");
    assert_refused(&got);
    assert!(app.received().is_empty());
}

#[test]
fn a_request_whose_body_outlasts_a_stop_is_refused_before_its_end() {
    let app = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", app.addr)]);
    let text = patient_request("id", "body");
    let mut waiting = send(&relay, &text[..text.len() - 2]);

    let end = stop(&relay);
    let got = read_response(&mut waiting);

    assert!(Instant::now() + ANSWER_MARGIN < end, "answered too late");
    assert_refused(&got);
    assert!(app.received().is_empty());
}

#[test]
fn a_request_whose_pause_outlasts_a_stop_is_refused_before_its_end() {
    let app = pausing("2");
    let mut slow = route(RetryPolicy::Once);
    slow.timeout = Millis(20_000);
    let relay = start(catalog(slow), &[endpoint("e", "app", app.addr)]);
    assert_eq!(call(&relay, &patient_request("first", "")).status, 503);
    let mut waiting = send(&relay, &patient_request("id", ""));

    let end = stop(&relay);
    let got = read_response(&mut waiting);

    assert!(Instant::now() + ANSWER_MARGIN < end, "answered too late");
    assert_refused(&got);
}

#[test]
fn a_request_whose_endpoint_outlasts_a_stop_is_told_that_its_outcome_is_unknown() {
    let app = silent();
    let mut slow = route(RetryPolicy::Once);
    slow.timeout = Millis(20_000);
    let relay = start(catalog(slow), &[endpoint("e", "app", app.addr)]);
    let mut waiting = send(&relay, &patient_request("id", ""));
    wait_until("the request is passed on", LONG_TIMEOUT, || !app.received().is_empty());

    let end = stop(&relay);
    let got = read_response(&mut waiting);

    assert!(Instant::now() + ANSWER_MARGIN < end, "answered too late");
    assert_eq!((got.status, got.text().as_str()), (502, "unknown"));
}

#[test]
fn a_request_whose_stages_can_not_be_done_before_a_stop_ends_is_refused_at_once() {
    let (pieces, app) = (silent(), healthy("fine"));
    let endpoints = [endpoint("e", "app", app.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(staged_catalog(Millis(2000)), &endpoints);
    stop(&relay);

    let began = Instant::now();
    let got = call(&relay, &patient_request("id", ""));

    assert!(began.elapsed() < AT_ONCE, "took {:?}", began.elapsed());
    assert_refused(&got);
    assert!(pieces.received().is_empty());
}

#[test]
fn a_request_that_waits_for_stages_is_refused_as_soon_as_a_stop_is_known_to_end_first() {
    let (pieces, app) = (silent(), healthy("fine"));
    let endpoints = [endpoint("e", "app", app.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(staged_catalog(Millis(4000)), &endpoints);
    let mut waiting = send(&relay, &patient_request("id", ""));
    wait_until("the stage is called", LONG_TIMEOUT, || !pieces.received().is_empty());

    let began = Instant::now();
    stop(&relay);
    let got = read_response(&mut waiting);

    assert!(began.elapsed() < AT_ONCE, "took {:?}", began.elapsed());
    assert_refused(&got);
}

/// Guards against streams that are begun though others of their route take longer than is left.
#[test]
fn a_stream_that_would_be_cut_by_a_stop_is_refused_at_once() {
    let app = scripted(|seen, _| {
        let text = "id: 1\ndata: a\n\n";
        let head =
            format!("content-type: text/event-stream\r\ncontent-length: {}\r\n", 2 * text.len());
        let first = standin::signed_response(seen, "200 OK", &head, text);
        vec![
            Step::Send(first),
            Step::Wait(Duration::from_millis(1200)),
            Step::Send(text.replace('1', "2").into()),
        ]
    });
    let relay = start(catalog(route(RetryPolicy::Stream)), &[endpoint("e", "app", app.addr)]);
    std::thread::scope(|scope| {
        for number in 0..12 {
            let relay = &relay;
            scope.spawn(move || {
                assert_eq!(call(relay, &request(&format!("id{number}"), "", "")).status, 200);
            });
        }
    });
    stop(&relay);

    let began = Instant::now();
    let got = call(&relay, &request("late", "", ""));

    assert!(began.elapsed() < AT_ONCE, "took {:?}", began.elapsed());
    assert_refused(&got);
    assert_eq!(app.received().len(), 12);
}

/// Guards against a shutdown that refuses what it has time for.
#[test]
fn requests_that_end_before_a_stop_does_are_served() {
    let app = scripted(|seen, _| {
        vec![Step::Wait(Duration::from_millis(200)), Step::Send(signed_ok(seen, "fine"))]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", app.addr)]);
    let mut waiting = send(&relay, &request("id1", "", ""));
    stop(&relay);

    let got = [read_response(&mut waiting), call(&relay, &request("id2", "", ""))];

    assert_eq!(
        got.map(|it| (it.status, it.text())),
        [(200, "fine".to_owned()), (200, "fine".to_owned())]
    );
}

#[test]
fn a_stop_waits_until_callers_have_taken_their_answers() {
    let size = 3 << 20;
    let app = scripted(move |seen, _| vec![Step::Send(signed_ok(seen, &"x".repeat(size)))]);
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", app.addr)]);
    let mut slow = connect_with_buffer(&relay, 4096);
    slow.write_all(request("id", "", "").as_bytes()).expect("the request is sent");
    wait_until("the request is passed on", LONG_TIMEOUT, || !app.received().is_empty());
    wait_until("the answer is there", LONG_TIMEOUT, || relay.drain.active() == 0);

    stop(&relay);
    relay.drain.enter(DrainPhase::Closed);
    let open = relay.drain.open();
    let got = read_response(&mut slow);

    assert_eq!(open, 1);
    assert_eq!((got.status, got.body.len(), got.complete), (200, size, true));
    wait_until("the connection has ended", LONG_TIMEOUT, || relay.drain.open() == 0);
}

#[test]
fn the_first_request_of_a_connection_is_answered_after_a_stop_refuses_new_ones() {
    let app = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", app.addr)]);
    let mut late = connect(&relay);
    assert_eq!(call(&relay, &request("id1", "", "")).status, 200);

    stop(&relay);
    relay.drain.enter(DrainPhase::Closed);
    sleep(Duration::from_millis(100));
    let sent = late.write_all(request("id2", "", "").as_bytes());
    let got = read_response(&mut late);

    assert!(sent.is_ok());
    assert_refused(&got);
    assert_eq!(app.received().len(), 1);
}
