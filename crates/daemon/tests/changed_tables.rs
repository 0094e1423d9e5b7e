//! What callers get whose requests wait for something when the tables change.

mod relaying;

use {
    coord::{
        catalog::RetryPolicy,
        tables::{Endpoint, Tables},
        time::Millis,
    },
    harness::{LONG_TIMEOUT, wait_until},
    relaying::{
        Fixture, call, catalog, connect, endpoint, healthy, read_response, request, route,
        scripted, start,
    },
    standin::{ScriptedEndpoint, Step},
    std::{
        io::Write,
        net::TcpStream,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How soon a caller must have an answer that is known at once.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Starts an endpoint that takes no requests for some seconds.
fn pausing() -> ScriptedEndpoint {
    let head = "mangobend-not-run: 1\r\nretry-after: 4\r\ncontent-length: 0\r\n";
    let text = format!("HTTP/1.1 503 Busy\r\n{head}\r\n");
    scripted(move |_, _| vec![Step::Send(text.clone().into())])
}

/// Returns a request that waits for the end of the pause.
fn patient_request(id: &str) -> String {
    request(id, "", "").replace("deadline-ms: 2000", "deadline-ms: 15000")
}

/// Starts a relay with a request that waits for the pause of the only endpoint.
fn start_waiting(app: &ScriptedEndpoint) -> (Fixture, TcpStream) {
    let mut patient = route(RetryPolicy::Once);
    patient.timeout = Millis(20_000);
    let relay = start(catalog(patient), &[endpoint("e", "app", app.addr)]);
    assert_eq!(call(&relay, &patient_request("first")).status, 503);
    let mut waiting = connect(&relay);
    waiting.write_all(patient_request("id").as_bytes()).expect("the request is sent");
    wait_until("the request is known", LONG_TIMEOUT, || relay.drain.active() == 1);
    (relay, waiting)
}

fn set_endpoints(relay: &Fixture, endpoints: &[Endpoint]) {
    let mut tables = Tables::clone(&relay.tables.borrow());
    tables.endpoints = endpoints.iter().map(|it| (it.name.clone(), it.clone())).collect();
    relay.tables.send_replace(Arc::new(tables));
}

#[test]
fn a_request_that_waits_for_a_pause_is_refused_once_its_endpoint_is_gone() {
    let app = pausing();
    let (relay, mut waiting) = start_waiting(&app);

    let began = Instant::now();
    set_endpoints(&relay, &[]);
    let got = read_response(&mut waiting);

    assert!(began.elapsed() < AT_ONCE, "took {:?}", began.elapsed());
    assert_eq!((got.status, got.text().as_str()), (503, "no_endpoint"));
    assert_eq!(app.received().len(), 1);
}

#[test]
fn a_request_that_waits_for_a_pause_is_served_once_there_is_another_endpoint() {
    let (paused, other) = (pausing(), healthy("fine"));
    let (relay, mut waiting) = start_waiting(&paused);

    let began = Instant::now();
    let endpoints = [endpoint("e", "app", paused.addr), endpoint("f", "app", other.addr)];
    set_endpoints(&relay, &endpoints);
    let got = read_response(&mut waiting);

    assert!(began.elapsed() < AT_ONCE, "took {:?}", began.elapsed());
    assert_eq!((got.status, got.text().as_str()), (200, "fine"));
}
