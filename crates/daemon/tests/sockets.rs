//! Connections whose other side stops reading, or may have vanished.

mod relaying;

use {
    coord::{catalog::RetryPolicy, time::Millis},
    harness::{LONG_TIMEOUT, wait_until},
    relaying::{
        catalog, connect, endpoint, read_response, request, route, scripted, signed_ok, start,
    },
    standin::Step,
    std::{
        fs,
        io::Write,
        net::{SocketAddr, TcpStream},
        thread::sleep,
        time::Duration,
    },
};

/// More than the kernel of a caller that doesn't read takes.
const LONG: usize = 2 << 20;
/// Longer than an endpoint that has vanished stays unnoticed.
const READING_PAUSE: Duration = Duration::from_millis(3500);
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(30);
/// The mark of a connection that is probed while it is idle, as the kernel lists it.
const PROBED: &str = "02:";

/// Returns a request with a deadline long after the pause.
fn patient_request(id: &str) -> String {
    request(id, "", "").replace("deadline-ms: 2000", "deadline-ms: 15000")
}

/// Whether the other side of a client's connection probes it while it is idle.
fn is_probed(client: &TcpStream) -> bool {
    let entry = |addr: SocketAddr| format!("0100007F:{:04X}", addr.port());
    let own = entry(client.peer_addr().expect("it is connected"));
    let other = entry(client.local_addr().expect("it is connected"));
    let listed = fs::read_to_string("/proc/net/tcp").expect("the kernel lists connections");
    let mut rows = listed.lines().map(|it| it.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|it| it[1] == own && it[2] == other);
    row.is_some_and(|it| it[5].starts_with(PROBED))
}

#[test]
fn a_caller_that_stops_reading_for_some_seconds_gets_its_whole_answer() {
    let long = "x".repeat(LONG);
    let app = scripted(move |seen, _| vec![Step::Send(signed_ok(seen, &long))]);
    let mut patient = route(RetryPolicy::Once);
    patient.timeout = Millis(20_000);
    let relay = start(catalog(patient), &[endpoint("e", "app", app.addr)]);
    let mut caller = connect(&relay);
    caller.write_all(patient_request("id").as_bytes()).expect("the request is sent");

    sleep(READING_PAUSE);
    let got = read_response(&mut caller);

    assert_eq!((got.status, got.complete, got.body.len()), (200, true, LONG));
}

/// Guards against callers that vanish without a word and are waited for until their deadline.
#[test]
fn a_caller_that_waits_is_probed() {
    let app = scripted(|_, _| vec![Step::Wait(NEVER)]);
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", app.addr)]);
    let mut caller = connect(&relay);

    caller.write_all(patient_request("id").as_bytes()).expect("the request is sent");
    wait_until("the request is passed on", LONG_TIMEOUT, || !app.received().is_empty());

    wait_until("the caller is probed", Duration::from_secs(2), || is_probed(&caller));
}
