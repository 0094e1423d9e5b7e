//! Endpoints of the routes, and the catalog with them.

use {
    super::{Route, load::stream_time},
    coord::{
        catalog::{Catalog, RelayRoute, RelayStage, RetryPolicy},
        ids::{Bytes, PoolName},
        tables::Endpoint,
        time::Millis,
    },
    harness::{announce, relay_catalog, relay_endpoint, relay_route},
    standin::{ReceivedRequest, ScriptedEndpoint, Step, signed_response},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// The time between two announcements of an endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// How long plain requests run.
const RUN_TIME: Duration = Duration::from_millis(30);
/// The time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(100);

/// Endpoints that are announced until they are dropped.
pub struct RelayedEndpoints {
    apps: Vec<ScriptedEndpoint>,
    pieces: Vec<ScriptedEndpoint>,
    done: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
}

/// Returns a route to a pool, with a long timeout.
fn route_to(route: Route, pool: &str, retry: RetryPolicy) -> RelayRoute {
    let mut found = relay_route(retry);
    found.name = route.name().parse().expect("a name");
    found.prefix = format!("/{}/", route.name());
    found.timeout = Millis(20_000);
    found.split[0].pool = pool.parse().expect("a name");
    found
}

/// Returns a catalog whose stages take `call` for each call.
pub fn relayed_catalog(call: Duration) -> Catalog {
    let stage = |after: &[usize]| RelayStage {
        pool: "stage".parse().expect("a name"),
        after: after.to_vec(),
        result_size: Bytes(1000),
    };
    let mut staged = route_to(Route::Staged, "app", RetryPolicy::Once);
    staged.stages = vec![stage(&[]), stage(&[0])];
    let mut catalog = relay_catalog(staged);
    catalog.routes.push(route_to(Route::Plain, "app", RetryPolicy::Once));
    catalog.routes.push(route_to(Route::Stream, "events", RetryPolicy::Stream));
    let pool = |it: &str| -> PoolName { it.parse().expect("a name") };
    let events = catalog.services[&pool("app")].clone();
    catalog.services.insert(pool("events"), events);
    for batch in catalog.services.values_mut().filter_map(|it| it.batch.as_mut()) {
        batch.call_overhead = Millis(call.as_millis() as u64);
    }
    catalog
}

/// Starts an endpoint that answers after a while.
fn start_app() -> ScriptedEndpoint {
    ScriptedEndpoint::start(Box::new(|seen, _| {
        let answer = signed_response(seen, "200 OK", "content-length: 4\r\n", "fine");
        vec![Step::Wait(RUN_TIME), Step::Send(answer)]
    }))
}

/// Returns the number of the last event of a stream.
fn last_event(id: &str) -> u128 {
    stream_time(id).as_millis() / EVENT_GAP.as_millis()
}

fn event_text(number: u128) -> String {
    format!("id: {number}\ndata: it\n\n")
}

/// Whether the last event of a stream is in what came of its body.
pub fn has_last_event(id: &str, body: &str) -> bool {
    body.contains(&event_text(last_event(id)))
}

/// Starts an endpoint that sends events for as long as the id of the request states.
fn start_events() -> ScriptedEndpoint {
    ScriptedEndpoint::start(Box::new(|seen, _| {
        let id = seen.header("mangobend-request").unwrap_or_default();
        let head = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        let mut steps = vec![Step::Send(signed_response(seen, "200 OK", head, ""))];
        for number in 0..=last_event(id) {
            let event = event_text(number);
            steps.push(Step::Wait(EVENT_GAP));
            steps.push(Step::Send(format!("{:x}\r\n{event}\r\n", event.len()).into()));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    }))
}

/// The ids of the requests in a call of pieces, one for each piece.
fn piece_requests(seen: &ReceivedRequest) -> Vec<String> {
    let body: serde_json::Value = serde_json::from_slice(&seen.body).unwrap_or_default();
    let pieces = body["pieces"].as_array().cloned().unwrap_or_default();
    let id = |it: &serde_json::Value| it["request"].as_str().unwrap_or_default().to_owned();
    pieces.iter().map(id).collect()
}

/// Starts an endpoint of stages whose calls take `time`.
fn start_pieces(time: Duration) -> ScriptedEndpoint {
    ScriptedEndpoint::start(Box::new(move |seen, number| {
        let ids = piece_requests(seen);
        let result = |piece| serde_json::json!({ "Ok": format!("{number}-{piece}") });
        let results: Vec<_> = (0..ids.len()).map(result).collect();
        let body = serde_json::json!({ "results": results }).to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let time = if ids.is_empty() { Duration::ZERO } else { time };
        vec![Step::Wait(time), Step::Send(head.into())]
    }))
}

impl RelayedEndpoints {
    /// Starts endpoints whose stages take `call` for each call, and announces them to
    /// instances in turn.
    pub fn start(call: Duration, instances: Vec<SocketAddr>) -> Self {
        Self::start_with(vec![start_app(), start_app()], call, instances)
    }

    /// The same with endpoints of plain requests.
    pub fn start_with(
        plain: Vec<ScriptedEndpoint>,
        call: Duration,
        instances: Vec<SocketAddr>,
    ) -> Self {
        let pieces: Vec<_> = (0..2).map(|_| start_pieces(call)).collect();
        let events: Vec<_> = (0..2).map(|_| start_events()).collect();
        let mut rows = Vec::new();
        for (pool, endpoints) in [("app", &plain), ("stage", &pieces), ("events", &events)] {
            for (number, it) in endpoints.iter().enumerate() {
                rows.push(Endpoint {
                    domain: format!("d{number}").parse().expect("a name"),
                    ..relay_endpoint(&format!("{pool}{number}"), pool, it.addr)
                });
            }
        }
        let done = Arc::new(AtomicBool::new(false));
        let shared = done.clone();
        let announcer = thread::spawn(move || {
            let mut turns = instances.iter().cycle();
            while !shared.load(Ordering::Relaxed) {
                for row in &rows {
                    // One that isn't accepted is repeated at the next instance.
                    let _ = turns.next().is_some_and(|it| announce(*it, row));
                }
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
        let apps = plain.into_iter().chain(events).collect();
        Self { apps, pieces, done, announcer: Some(announcer) }
    }

    /// How often a request has reached the endpoints that run requests.
    pub fn ran(&self, id: &str) -> usize {
        let seen = self.apps.iter().flat_map(ScriptedEndpoint::received);
        seen.filter(|it| it.header("mangobend-request") == Some(id)).count()
    }

    /// When requests have reached the endpoints that run requests, by their ids.
    pub fn arrivals(&self) -> HashMap<String, Vec<Instant>> {
        let mut arrivals: HashMap<String, Vec<Instant>> = HashMap::new();
        for seen in self.apps.iter().flat_map(ScriptedEndpoint::received) {
            let id = seen.header("mangobend-request").unwrap_or_default().to_owned();
            arrivals.entry(id).or_default().push(seen.at);
        }
        arrivals
    }

    /// When pieces of requests were called whose ids begin with `prefix`.
    pub fn called(&self, prefix: &str) -> Vec<Instant> {
        let calls = self.pieces.iter().flat_map(ScriptedEndpoint::received);
        let named = |it: &ReceivedRequest| {
            piece_requests(it).iter().filter(|it| it.starts_with(prefix)).count()
        };
        calls.flat_map(|it| vec![it.at; named(&it)]).collect()
    }
}

impl Drop for RelayedEndpoints {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Relaxed);
        if let Some(it) = self.announcer.take() {
            // A panic of the announcer shows in the output.
            let _ = it.join();
        }
    }
}
