//! Test fixture: a relay in this process, scripted endpoints behind it, and
//! callers that read raw bytes.

use {
    coord::{
        catalog::{
            ApiKey, BatchTerms, Catalog, CatalogLimits, ColdBound, RelayRoute, RelayStage,
            RetryPolicy, Service, Split, TeamEntry,
        },
        ids::{Bytes, CatalogVersion, Generation, Incarnation, NodeId, Slots},
        tables::{Endpoint, EndpointState, Member, Tables},
        time::Millis,
    },
    daemon::relay::{BatcherEvent, DrainState, Relay, RelayContext, RelaySettings, serve},
    standin::{ReceivedRequest, Script, ScriptedEndpoint, Step, header},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
    tokio::{
        sync::{
            mpsc::{UnboundedSender, unbounded_channel},
            watch,
        },
        task::LocalSet,
    },
};

/// Timeout of reads by callers; longer than any test response takes.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A running relay.
pub struct Fixture {
    pub addr: SocketAddr,
    pub drain: Arc<DrainState>,
    pub tables: watch::Sender<Arc<Tables>>,
    /// Sends requests to the batchers as a peer would.
    pub batcher_events: UnboundedSender<BatcherEvent>,
}

/// A response as read from the connection.
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing requires.
    pub complete: bool,
}

/// Returns a route to pool `app` that needs no key.
pub fn route(retry: RetryPolicy) -> RelayRoute {
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
pub fn catalog(route: RelayRoute) -> Catalog {
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

/// Returns a stage of pool `stage` that follows the stages at the given
/// positions.
pub fn stage(after: &[usize]) -> RelayStage {
    RelayStage {
        pool: "stage".parse().expect("a name"),
        after: after.to_vec(),
        result_size: Bytes(1000),
    }
}

/// Adds a team with one key to a catalog.
pub fn with_team(mut catalog: Catalog, team: &str, key: &str) -> Catalog {
    let entry = TeamEntry { keys: vec![ApiKey(key.to_owned())], priority: None };
    catalog.teams.insert(team.parse().expect("a name"), entry);
    catalog
}

/// Returns an endpoint of a pool at an address.
pub fn endpoint(name: &str, pool: &str, addr: SocketAddr) -> Endpoint {
    Endpoint {
        name: name.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr,
        generation: Generation(1),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
    }
}

/// Returns an instance in a domain, at an address without a listener.
pub fn member(id: u64, domain: &str) -> Member {
    Member {
        id: NodeId(id),
        name: format!("n{id}").parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        peer: ([127, 0, 0, 2], id as u16).into(),
        incarnation: Incarnation(1),
        disk: false,
    }
}

/// Starts a relay with the given endpoints.
pub fn start(catalog: Catalog, endpoints: &[Endpoint]) -> Fixture {
    start_with_members(&[], catalog, endpoints)
}

/// Starts a relay with the given endpoints and other members.
pub fn start_with_members(members: &[Member], catalog: Catalog, endpoints: &[Endpoint]) -> Fixture {
    let mut tables = Tables { catalog: Arc::new(catalog), ..Tables::default() };
    tables.endpoints = endpoints.iter().map(|it| (it.name.clone(), it.clone())).collect();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let own = Member { peer: addr, ..member(1, "d") };
    tables.roster = members.iter().chain([&own]).map(|it| (it.id, it.clone())).collect();
    let (tables, followed) = watch::channel(Arc::new(tables));
    let drain = Arc::new(DrainState::default());
    let shared = drain.clone();
    let (batcher_events, received) = unbounded_channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        LocalSet::new().block_on(&runtime, async move {
            let relay = Relay::start(RelayContext {
                settings: RelaySettings::new(addr),
                tables: followed,
                batcher_events: received,
                drain: shared,
                peer: addr,
                secret: "".into(),
            });
            serve(relay, listener, None).await;
        });
    });
    Fixture { addr, drain, tables, batcher_events }
}

/// Starts an endpoint that responds to each request with a body.
pub fn healthy(body: &'static str) -> ScriptedEndpoint {
    scripted(move |seen, _| vec![Step::Send(signed_ok(seen, body))])
}

/// Starts an endpoint that follows a script.
pub fn scripted(
    script: impl Fn(&ReceivedRequest, usize) -> Vec<Step> + Send + Sync + 'static,
) -> ScriptedEndpoint {
    let script: Script = Box::new(script);
    ScriptedEndpoint::start(script)
}

/// Returns a signed and complete response to a request.
pub fn signed_ok(seen: &ReceivedRequest, body: &str) -> Vec<u8> {
    signed_response(seen, "200 OK", &format!("content-length: {}\r\n", body.len()), body)
}

/// Returns a response that echoes the request's id and is signed.
pub fn signed_response(seen: &ReceivedRequest, status: &str, headers: &str, body: &str) -> Vec<u8> {
    let id = seen.header("mangobend-request").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status}\r\nmangobend-request: {id}\r\nmangobend-signature: s\r\n{headers}\r\n"
    );
    (head + body).into_bytes()
}

/// Returns a response that states that the request has not run.
pub fn not_run(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nmangobend-not-run: 1\r\ncontent-length: 0\r\n\r\n").into_bytes()
}

/// Returns a request to the route, with an id and more header lines.
pub fn request(id: &str, headers: &str, body: &str) -> String {
    format!(
        "POST /a/x?q=1 HTTP/1.1\r\nhost: app.example\r\nmangobend-request: {id}\r\n\
         mangobend-deadline-ms: 2000\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and reads the response.
pub fn call(relay: &Fixture, request: &str) -> Response {
    exchange(&mut connect(relay), request)
}

/// Opens a caller's connection.
pub fn connect(relay: &Fixture) -> TcpStream {
    let stream = TcpStream::connect(relay.addr).expect("the relay listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout can be set");
    stream
}

/// Sends a request on a connection and reads the response.
pub fn exchange(stream: &mut TcpStream, request: &str) -> Response {
    stream.write_all(request.as_bytes()).expect("the relay reads");
    read_response(stream)
}

/// Reads a response until it or the connection ends.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|it| it == b"\r\n\r\n") {
        if !read_more(stream, &mut bytes) {
            return Response { status: 0, head: String::new(), body: bytes, complete: false };
        }
    }
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n").expect("a head") + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off(end);
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let length = header(&head, "content-length").and_then(|it| it.parse::<usize>().ok());
    let is_complete = |body: &[u8]| match length {
        Some(length) => body.len() >= length,
        None => body.ends_with(b"0\r\n\r\n"),
    };
    while !is_complete(&body) && read_more(stream, &mut body) {}
    let complete = is_complete(&body);
    Response { status, head, body, complete }
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(count) if count > 0 => {
            bytes.extend_from_slice(&buffer[..count]);
            true
        }
        _ => false,
    }
}

impl Response {
    /// Returns the value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
