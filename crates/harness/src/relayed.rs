//! Relayed requests: a small catalog, a caller that reads raw bytes, and scripted
//! endpoints.

use {
    crate::Daemon,
    coord::{
        catalog::{
            BatchTerms, Catalog, CatalogLimits, ColdBound, RelayRoute, RetryPolicy, Service, Split,
        },
        ids::{Bytes, CatalogVersion, Generation, Slots},
        tables::{Endpoint, EndpointState},
        time::Millis,
        wire::Announcement,
    },
    standin::header,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    ureq::Agent,
};

/// Timeout of reads by callers; longer than any test response takes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A response as read from the connection.
#[derive(Debug)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    /// The bytes after the head, chunk sizes included.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing requires. Without a length or chunks,
    /// that is a close of the connection other than a reset.
    pub complete: bool,
}

/// Returns a route to pool `app` that needs no key.
pub fn relay_route(retry: RetryPolicy) -> RelayRoute {
    RelayRoute {
        name: "r".parse().expect("a name"),
        host: "app.example".to_owned(),
        prefix: "/a/".to_owned(),
        retry,
        timeout: Millis(3000),
        latency_target: Millis(300),
        priority: 1,
        split: vec![Split { pool: "app".parse().expect("a name"), weight: 1 }],
        max_attempts: 2,
        stages: Vec::new(),
        public: false,
        sticky: false,
        event_gap: None,
    }
}

/// Returns a catalog with one route and the services `app` and `stage`.
pub fn relay_catalog(route: RelayRoute) -> Catalog {
    let batch = BatchTerms {
        slots: Slots(1),
        queue_limit: 1,
        max_pieces: 4,
        call_overhead: Millis(50),
        piece_us: 10_000,
        result_capacity: Bytes(1 << 20),
        result_ttl: Millis(4000),
    };
    let service = |batch| Service {
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        cold_start: ColdBound::default(),
        engine: None,
        batch,
    };
    Catalog {
        version: CatalogVersion(1),
        routes: vec![route],
        services: [
            ("app".parse().expect("a name"), service(None)),
            ("stage".parse().expect("a name"), service(Some(batch))),
        ]
        .into_iter()
        .collect(),
        teams: Default::default(),
        limits: CatalogLimits::default(),
    }
}

/// Returns an endpoint of a pool at an address.
pub fn relay_endpoint(name: &str, pool: &str, addr: SocketAddr) -> Endpoint {
    Endpoint {
        name: name.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr,
        generation: Generation(1),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
        version: None,
    }
}

/// Returns a request to the route, with an id and more header lines.
pub fn relay_request(id: &str, headers: &str, body: &str) -> String {
    format!(
        "POST /a/x?q=1 HTTP/1.1\r\nhost: app.example\r\nmangobend-request: {id}\r\n\
         mangobend-deadline-ms: 2000\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Opens a caller's connection.
///
/// # Panics
/// If nothing listens at the address.
pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the relay listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout can be set");
    stream
}

/// Sends a request on a connection and reads the response.
///
/// # Panics
/// If the connection doesn't accept the request.
pub fn exchange(stream: &mut TcpStream, request: &str) -> RawResponse {
    stream.write_all(request.as_bytes()).expect("the relay reads");
    read_response(stream)
}

/// Reads a response until it or the connection ends.
pub fn read_response(stream: &mut TcpStream) -> RawResponse {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|it| it == b"\r\n\r\n") {
        if read_more(stream, &mut bytes) != ReadOutcome::Bytes {
            return RawResponse { status: 0, head: String::new(), body: bytes, complete: false };
        }
    }
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n").expect("a head") + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off(end);
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let length = header(&head, "content-length").and_then(|it| it.parse::<usize>().ok());
    let chunked = header(&head, "transfer-encoding").is_some();
    let is_framed = |body: &[u8]| match length {
        Some(length) => body.len() >= length,
        None => chunked && body.ends_with(b"0\r\n\r\n"),
    };
    let mut complete = is_framed(&body);
    while !complete {
        match read_more(stream, &mut body) {
            ReadOutcome::Bytes => complete = is_framed(&body),
            ReadOutcome::End => {
                complete = length.is_none() && !chunked;
                break;
            }
            ReadOutcome::Failed => break,
        }
    }
    RawResponse { status, head, body, complete }
}

#[derive(PartialEq, Eq)]
enum ReadOutcome {
    Bytes,
    End,
    Failed,
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> ReadOutcome {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(0) => ReadOutcome::End,
        Ok(count) => {
            bytes.extend_from_slice(&buffer[..count]);
            ReadOutcome::Bytes
        }
        Err(_) => ReadOutcome::Failed,
    }
}

impl RawResponse {
    /// Returns the value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Announces an endpoint once at the endpoints' listener of a daemon. Returns whether
/// the daemon accepted the announcement.
pub fn announce(addr: SocketAddr, endpoint: &Endpoint) -> bool {
    let config = Agent::config_builder().timeout_global(Some(ANNOUNCE_TIMEOUT)).proxy(None);
    let body = Announcement { endpoint: endpoint.clone(), load: 0 };
    let url = format!("http://{addr}/v1/announce");
    config.build().new_agent().post(url).send_json(&body).is_ok()
}

/// Sends a request on a new connection and reads the response; nothing if no relay
/// listens at the address or reads the request.
pub fn try_exchange(addr: SocketAddr, request: &str) -> Option<RawResponse> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(read_response(&mut stream))
}

impl Daemon {
    /// Announces an endpoint to the daemon once.
    ///
    /// # Panics
    /// If the daemon doesn't accept the announcement.
    pub fn announce(&self, endpoint: &Endpoint) {
        let accepted = announce(self.addrs.endpoint, endpoint);
        assert!(accepted, "the announcement is accepted");
    }

    /// The address of the relay's listener.
    ///
    /// # Panics
    /// If the daemon runs no relay.
    pub fn relay_addr(&self) -> SocketAddr {
        self.addrs.relay.expect("the daemon runs a relay")
    }
}
