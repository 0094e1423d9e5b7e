//! Endpoints that send bytes without end, in a head or in a body, before a real
//! daemon.

use {
    coord::catalog::RetryPolicy,
    harness::{
        Cluster, ClusterSpec, LONG_TIMEOUT, RawResponse, connect, exchange, relay_catalog,
        relay_endpoint, relay_request, relay_route, resident_mb, wait_until,
    },
    standin::{ScriptedEndpoint, Step, signed_response},
    std::{
        io::{Read, Write},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Memory of the smallest instance for which the system is built.
const MEMORY_LIMIT_MB: f64 = 160.0;
const CONNECTIONS: usize = 200;
/// The time that a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Allowed beyond the callers' time: the machine is busy with the bytes.
const SLACK: Duration = Duration::from_secs(4);

const STATUS_LINE: &[u8] = b"HTTP/1.1 200";
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Where an endpoint begins to send bytes without end.
#[derive(Debug, Clone, Copy)]
enum Endless {
    /// Without the beginning of a head, or a line's end.
    Bytes,
    Head,
    Body,
    Chunks,
    Stream,
}

impl Endless {
    fn steps(self, seen: &standin::ReceivedRequest) -> Vec<Step> {
        let answer = |headers: &str| signed_response(seen, "200 OK", headers, "");
        let block = vec![b'x'; 64 << 10];
        match self {
            Self::Bytes => vec![Step::SendForever(block)],
            Self::Head => {
                let line = [b"x-more: ", &block[..1 << 10], b"\r\n"].concat();
                vec![Step::Send(b"HTTP/1.1 200 OK\r\n".to_vec()), Step::SendForever(line)]
            }
            Self::Body => vec![Step::Send(answer("")), Step::SendForever(block)],
            Self::Chunks => {
                let chunk = [b"10000\r\n", &block[..], b"\r\n"].concat();
                vec![Step::Send(answer("transfer-encoding: chunked\r\n")), Step::SendForever(chunk)]
            }
            Self::Stream => vec![
                Step::Send(answer("content-type: text/event-stream\r\n")),
                Step::SendForever(block),
            ],
        }
    }
}

/// Starts a daemon whose route leads to an endpoint that answers wholly until the
/// switch is set.
fn start(endless: Endless) -> (Cluster, ScriptedEndpoint, Arc<AtomicBool>) {
    let spec = ClusterSpec {
        args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
        ..ClusterSpec::new(1, 0)
    };
    let cluster = spec.start();
    let switch = Arc::new(AtomicBool::new(false));
    let shared = switch.clone();
    let backend =
        ScriptedEndpoint::start(Box::new(move |seen, _| match shared.load(Ordering::Relaxed) {
            true => endless.steps(seen),
            false => {
                vec![Step::Send(signed_response(seen, "200 OK", "content-length: 2\r\n", "ok"))]
            }
        }));
    let retry = match endless {
        Endless::Stream => RetryPolicy::Stream,
        Endless::Bytes | Endless::Head | Endless::Body | Endless::Chunks => RetryPolicy::Once,
    };
    let catalog = relay_catalog(relay_route(retry));
    let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog);
    posted.expect("the catalog is accepted");
    wait_until("the relay serves", LONG_TIMEOUT, || {
        cluster.daemon(0).announce(&relay_endpoint("e", "app", backend.addr));
        call(&cluster).status == 200
    });
    (cluster, backend, switch)
}

fn call(cluster: &Cluster) -> RawResponse {
    exchange(&mut connect(cluster.daemon(0).relay_addr()), &relay_request("id1", "", ""))
}

/// Sends a request, drops the bytes of the response, and returns whether it was a
/// complete success.
fn call_and_drop(cluster: &Cluster) -> bool {
    let mut stream = connect(cluster.daemon(0).relay_addr());
    let sent = stream.write_all(relay_request("id1", "", "").as_bytes());
    sent.expect("the relay reads");
    let (mut first, mut last) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        if first.len() < STATUS_LINE.len() {
            first.extend_from_slice(&buffer[..count]);
        }
        last.extend_from_slice(&buffer[..count]);
        last.drain(..last.len().saturating_sub(LAST_CHUNK.len()));
        if !first.starts_with(STATUS_LINE) || last == LAST_CHUNK {
            break;
        }
    }
    first.starts_with(STATUS_LINE) && last == LAST_CHUNK
}

/// Sends requests at once to an endpoint that answers without end, and returns how
/// many had a complete success and the daemon's highest memory meanwhile.
fn flood(endless: Endless) -> (usize, f64) {
    let (cluster, _backend, switch) = start(endless);
    switch.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let mut peak: f64 = 0.0;
    let whole = thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CONNECTIONS).map(|_| scope.spawn(|| call_and_drop(&cluster))).collect();
        while callers.iter().any(|it| !it.is_finished()) {
            peak = peak.max(resident_mb(cluster.daemon(0).proc.id()));
            thread::sleep(Duration::from_millis(5));
        }
        callers.into_iter().map(|it| it.join().expect("no caller panics")).filter(|it| *it).count()
    });
    let took = began.elapsed();
    assert!(took < CALLER_TIMEOUT + SLACK, "{endless:?}: {took:?}");
    (whole, peak)
}

#[test]
fn endless_answers_neither_fill_the_memory_nor_count_as_complete() {
    let all = [Endless::Bytes, Endless::Head, Endless::Body, Endless::Chunks, Endless::Stream];
    for endless in all {
        let (whole, peak) = flood(endless);

        assert_eq!(whole, 0, "{endless:?}");
        assert!(peak < MEMORY_LIMIT_MB, "{endless:?}: {peak} MB");
        println!("{endless:?}: highest memory {peak:.1} MB");
    }
}
