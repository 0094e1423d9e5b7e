//! Connections whose other side stops reading, or may have vanished.

mod relaying;

use {
    coord::{
        catalog::RetryPolicy,
        memory::MemoryUse,
        tables::{Endpoint, Member},
        time::Millis,
    },
    daemon::{
        event::Inbox,
        memory::{Memory, MemorySettings},
        peers::serve,
    },
    harness::{LONG_TIMEOUT, wait_until},
    relaying::{
        call, catalog, connect, endpoint, member, read_response, request, route, scripted,
        signed_ok, start, start_with_members,
    },
    standin::{Step, header},
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc::sync_channel,
        thread::{self, sleep},
        time::Duration,
    },
    tokio::sync::mpsc::unbounded_channel,
};

/// More than the kernel of a side that doesn't read takes.
const LONG: usize = 2 << 20;
/// Longer than an endpoint that has vanished stays unnoticed.
const READING_PAUSE: Duration = Duration::from_millis(3500);
/// Longer than an instance waits for room for a body.
const ROOM_WAIT: Duration = Duration::from_millis(2500);
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

/// Returns the address of a listener that has ended.
fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener has an address")
}

/// Starts an instance that has no room for a body, and says so after a while.
fn start_full_instance() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the relay connects");
        stream.read_exact(&mut [0; 100]).expect("the request comes");
        sleep(ROOM_WAIT);
        let head = "HTTP/1.1 503 Busy\r\nretry-after: 1.00\r\ncontent-length: 9\r\n\r\n";
        // The relay may have given up.
        let _ = stream.write_all(format!("{head}no_memory").as_bytes());
        sleep(NEVER);
    });
    addr
}

/// Guards against refusals that are lost, so that the request counts as one that may have run.
#[test]
fn a_long_body_is_handed_to_an_instance_that_refuses_it_for_lack_of_room() {
    let other = Member { relay: Some(start_full_instance()), ..member(2, "d") };
    let rows: Vec<Endpoint> =
        ["e", "f"].map(|it| endpoint(it, "app", unused_addr())).into_iter().collect();
    let mut patient = route(RetryPolicy::Once);
    patient.timeout = Millis(20_000);
    let relay = start_with_members(&[other], catalog(patient), &rows);
    assert_eq!(call(&relay, &patient_request("first")).status, 503);
    // Longer than it takes to see that no endpoint is reached.
    sleep(Duration::from_secs(1));
    let text = patient_request("id");
    let long = text.replace("length: 0", &format!("length: {LONG}")) + &"x".repeat(LONG);

    let got = call(&relay, &long);

    assert_eq!((got.status, got.text().as_str()), (503, "no_memory"));
}

/// Guards against descriptors that are held for good for instances that have vanished.
#[test]
fn a_connection_from_another_instance_is_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let memory = Memory::new(MemorySettings::default(), MemoryUse::default());
    let (events, _core) = sync_channel(1);
    let (batchers, _received) = unbounded_channel();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.spawn(serve(listener, "secret".into(), Inbox::new(events), batchers, memory));

    let peer = TcpStream::connect(addr).expect("the instance listens");

    wait_until("the peer is probed", Duration::from_secs(2), || is_probed(&peer));
}

/// Starts an endpoint that reads the head of one request, and its body after a pause.
fn slow_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the relay connects");
        let mut bytes = Vec::new();
        let mut part = [0; 4096];
        while bytes.len() < LONG {
            match stream.read(&mut part) {
                Ok(1..) if bytes.is_empty() => sleep(READING_PAUSE),
                Ok(1..) => {}
                Ok(0) | Err(_) => return,
            }
            bytes.extend(part);
        }
        let head = String::from_utf8_lossy(&bytes[..4096]).into_owned();
        let id = header(&head, "mangobend-request").unwrap_or_default();
        let signature = "mangobend-signature: s\r\ncontent-length: 4\r\n";
        let answer = format!("HTTP/1.1 200 OK\r\nmangobend-request: {id}\r\n{signature}\r\nfine");
        // The relay may have given up.
        let _ = stream.write_all(answer.as_bytes());
        let _ = stream.read(&mut part);
    });
    addr
}

#[test]
fn an_endpoint_that_stops_reading_for_some_seconds_gets_a_long_body_whole() {
    let mut patient = route(RetryPolicy::Once);
    patient.timeout = Millis(20_000);
    let relay = start(catalog(patient), &[endpoint("e", "app", slow_endpoint())]);
    let mut caller = connect(&relay);
    let text = request("id", "", &"x".repeat(LONG));
    let text = text.replace("deadline-ms: 2000", "deadline-ms: 15000");
    caller.write_all(text.as_bytes()).expect("the request is sent");

    let got = read_response(&mut caller);

    assert_eq!((got.status, got.text().as_str()), (200, "fine"));
}
