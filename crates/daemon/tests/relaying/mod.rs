//! Test fixture: a relay in this process, scripted endpoints behind it, and
//! callers that read raw bytes.
#![allow(dead_code, unused_imports)]

use {
    coord::{
        catalog::{ApiKey, Catalog, RelayStage, TeamEntry},
        ids::{Bytes, Incarnation, NodeId},
        limits::SharedGate,
        load::SharedLoad,
        memory::MemoryUse,
        streams::StreamOrigin,
        tables::{Endpoint, Member, Suspects, Tables},
        time::Time,
    },
    daemon::{
        event::{Event, Inbox},
        memory::{Memory, MemorySettings},
        relay::{BatcherEvent, DrainState, Relay, RelayContext, RelaySettings, serve},
        rollout_handle::RolloutHandle,
        tables_clock::TablesClock,
    },
    harness::RawResponse,
    standin::{ReceivedRequest, Script, ScriptedEndpoint, Step},
    std::{
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex, mpsc::sync_channel},
        thread,
        time::Instant,
    },
    tokio::{
        sync::{
            mpsc::{UnboundedSender, unbounded_channel},
            watch,
        },
        task::LocalSet,
    },
};

pub use {
    harness::{
        exchange, read_response, relay_catalog as catalog, relay_endpoint as endpoint,
        relay_request as request, relay_route as route,
    },
    standin::signed_response,
};

/// A running relay.
pub struct Fixture {
    pub addr: SocketAddr,
    pub drain: Arc<DrainState>,
    pub tables: watch::Sender<Arc<Tables>>,
    /// The gate that the relay's sends pass, and the origin of its times.
    pub rollouts: RolloutHandle,
    pub start: Instant,
    /// What the core says that taken-up streams came from.
    pub origin: Arc<Mutex<Option<StreamOrigin>>>,
    /// What endpoints have crashed under, as the leader would tell.
    pub suspects: watch::Sender<Arc<Suspects>>,
    /// Sends requests to the batchers as a peer would.
    pub batcher_events: UnboundedSender<BatcherEvent>,
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

/// Returns an instance in a domain, at an address without a listener.
pub fn member(id: u64, domain: &str) -> Member {
    Member {
        id: NodeId(id),
        name: format!("n{id}").parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        peer: ([127, 0, 0, 2], id as u16).into(),
        relay: None,
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
    let (rollouts, start) = (RolloutHandle::default(), Instant::now());
    let gate = rollouts.clone();
    let (batcher_events, received) = unbounded_channel();
    let origin: Arc<Mutex<Option<StreamOrigin>>> = Arc::default();
    let (events, core) = sync_channel(16);
    let (suspects, followed_suspects) = watch::channel(Arc::default());
    // The tables are always current.
    let clock = TablesClock::default();
    clock.set(Time(u64::MAX));
    let known = origin.clone();
    thread::spawn(move || {
        for event in core {
            if let Event::FindStream { respond, .. } = event {
                // The relay may have given up.
                let _ = respond.send(known.lock().expect("lock poisoned").clone());
            }
        }
    });
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let relaying = MemoryUse { relays: true, ..MemoryUse::default() };
        LocalSet::new().block_on(&runtime, async move {
            let relay = Relay::start(RelayContext {
                clock,
                memory: Memory::new(MemorySettings::default(), relaying),
                settings: RelaySettings::new(addr),
                tables: followed,
                batcher_events: received,
                drain: shared,
                inbox: Inbox::new(events),
                suspects: followed_suspects,
                mixed: watch::channel(Arc::default()).1,
                cut: watch::channel(Arc::default()).1,
                gate: SharedGate::default(),
                rollouts: gate,
                load: SharedLoad::default(),
                start,
                peer: addr,
                secret: "".into(),
            });
            serve(relay, listener, None).await;
        });
    });
    Fixture { addr, drain, tables, rollouts, start, origin, suspects, batcher_events }
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

/// Returns a response that states that the request has not run.
pub fn not_run(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nmangobend-not-run: 1\r\ncontent-length: 0\r\n\r\n").into_bytes()
}

/// Sends a request on a new connection and reads the response.
pub fn call(relay: &Fixture, request: &str) -> RawResponse {
    exchange(&mut connect(relay), request)
}

/// Opens a caller's connection.
pub fn connect(relay: &Fixture) -> TcpStream {
    harness::connect(relay.addr)
}
