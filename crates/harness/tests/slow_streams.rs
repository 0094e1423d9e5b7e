//! Streams that are slow but sound, and streams that stall without ending.

use {
    coord::catalog::RetryPolicy,
    harness::{
        Cluster, ClusterSpec, LONG_TIMEOUT, RawResponse, announce, relay_catalog, relay_endpoint,
        relay_request, relay_route, try_exchange, wait_until,
    },
    standin::{ReceivedRequest, ScriptedEndpoint, Step, header},
    std::time::{Duration, Instant},
};

/// The deadline of the requests, as the harness sets it.
const DEADLINE: Duration = Duration::from_millis(2000);
/// How much later than its deadline a request may end.
const LATENESS: Duration = Duration::from_millis(500);
const EVENT_PAUSE: Duration = Duration::from_millis(300);
const EVENTS: usize = 5;

fn stream_head(seen: &ReceivedRequest) -> Vec<u8> {
    let id = seen.header("mangobend-request").unwrap_or_default();
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    format!("{head}mangobend-signature: s\r\nmangobend-request: {id}\r\n\r\n").into_bytes()
}

fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes())
}

/// Events with long pauses between them, up to the end of the stream.
fn slow(seen: &ReceivedRequest) -> Vec<Step> {
    let event = |number| [Step::Wait(EVENT_PAUSE), chunk(&format!("id: {number}\ndata: x\n\n"))];
    let mut steps = vec![Step::Send(stream_head(seen))];
    steps.extend((1..=EVENTS).flat_map(event));
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}

/// One event, then a byte of the next now and then for a minute.
fn stalled(seen: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(seen)), chunk("id: 1\ndata: x\n\n")];
    steps.extend((0..200).flat_map(|_| [Step::Wait(EVENT_PAUSE), chunk(":")]));
    steps
}

fn start(script: fn(&ReceivedRequest) -> Vec<Step>) -> (Cluster, ScriptedEndpoint) {
    let spec = ClusterSpec {
        args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
        ..ClusterSpec::new(1, 0)
    };
    let cluster = spec.start();
    let catalog = relay_catalog(relay_route(RetryPolicy::Stream));
    let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog);
    posted.expect("the catalog is accepted");
    let endpoint = ScriptedEndpoint::start(Box::new(move |seen, _| script(seen)));
    let row = relay_endpoint("e", "app", endpoint.addr);
    wait_until("the endpoint is announced", LONG_TIMEOUT, || {
        announce(cluster.announce_addrs()[0], &row)
    });
    (cluster, endpoint)
}

fn send(cluster: &Cluster) -> (RawResponse, Duration) {
    let began = Instant::now();
    let mut response = None;
    wait_until("the stream begins", LONG_TIMEOUT, || {
        response = try_exchange(cluster.daemon(0).relay_addr(), &relay_request("r", "", ""));
        response.as_ref().is_some_and(|it| it.status == 200)
    });
    (response.expect("it has begun"), began.elapsed())
}

#[test]
fn a_slow_but_sound_stream_is_not_cut() {
    let (cluster, _endpoint) = start(slow);

    let (response, _) = send(&cluster);

    assert!(response.complete);
    assert_eq!(response.text().matches("data: x").count(), EVENTS);
    assert_eq!(header(&response.head, "transfer-encoding"), Some("chunked"));
}

#[test]
fn a_stalled_stream_ends_at_its_deadline_and_does_not_look_complete() {
    let (cluster, _endpoint) = start(stalled);

    let (response, took) = send(&cluster);

    assert!(!response.complete);
    assert!(took < DEADLINE + LATENESS, "it ended after {took:?}");
}
