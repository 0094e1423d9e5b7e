//! HTTP calls to an endpoint.

use {
    crate::{
        answer_notices::{LEAVING_HEADER, LIMIT_HEADER, read_limit, read_notices},
        crash_check::{CHECK_DELAY, check_blocking},
        event::{Event, Inbox},
    },
    coord::{
        control::CrashReport,
        ids::{AttemptId, EndpointName, Generation, PoolName},
        limits::{LimitNotice, SharedGate},
        router::{AttemptEvent, AttemptIdent, EndpointCall, RequestOrigin},
        time::Millis,
        wire::{CancelRequest, RefusalBody, RunLine, RunRequest},
    },
    hyper::header::HeaderName,
    std::{
        io::{BufRead, BufReader, ErrorKind, Read},
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    ureq::{Agent, http::StatusCode},
};

/// How long connecting to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How much longer than its deadline a call may take, so that the endpoint's
/// last line still arrives.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// How long a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest line of a response.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;
/// How long an idle connection is kept for reuse.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// The HTTP agents for calls: one that reuses connections, and one that opens a
/// new connection for each call that must not be repeated.
#[derive(Clone)]
pub struct Agents {
    keep_alive: Agent,
    single_use: Agent,
}

impl Agents {
    /// Creates the agents; at most `connections` idle ones are kept.
    pub fn new(connections: usize) -> Self {
        Self { keep_alive: agent(connections, 16), single_use: agent(0, 0) }
    }
}

fn agent(max_idle: usize, max_idle_per_host: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle_per_host)
        .max_idle_age(MAX_IDLE_AGE)
        .build()
        .new_agent()
}

/// Makes a call and reports its events to the core loop, and a crash of the endpoint
/// under it. The last event of the attempt is never a piece.
pub fn make_call(agents: &Agents, call: EndpointCall, inbox: &Inbox, gate: &SharedGate) {
    let id = call.ident.attempt;
    let watched = WatchedCall {
        endpoint: call.endpoint.clone(),
        generation: call.generation,
        addr: call.addr,
        pool: call.pool.clone(),
        origin: call.origin.clone(),
        sent: Instant::now(),
    };
    let event = post_run(agents, call, inbox, gate);
    let is_lost = matches!(event, AttemptEvent::Failed { sent: true, .. });
    inbox.send(Event::Attempt { id, event });
    if is_lost {
        watched.report_crash(inbox);
    }
}

/// What a crash under a call is reported with.
struct WatchedCall {
    endpoint: EndpointName,
    generation: Generation,
    addr: SocketAddr,
    pool: PoolName,
    origin: RequestOrigin,
    sent: Instant,
}

impl WatchedCall {
    /// Reports a crash if the endpoint answers nothing on another connection.
    fn report_crash(self, inbox: &Inbox) {
        let at = Instant::now();
        thread::sleep(CHECK_DELAY);
        let result = check_blocking(self.addr, "/");
        result.count();
        let suspect = self.origin.suspect();
        let ran = Millis(at.duration_since(self.sent).as_millis() as u64);
        let event = match result.is_crash() {
            true => "[endpoints] an endpoint crashed under a call",
            false => "[endpoints] a call broke off at an endpoint that isn't known to have crashed",
        };
        log::info!(
            endpoint:% = self.endpoint, generation:% = self.generation, pool:% = self.pool,
            ran_ms = ran.0, check:% = result, digest:% = suspect;
            "{event}"
        );
        if !result.is_crash() {
            return;
        }
        let report = CrashReport {
            endpoint: self.endpoint,
            generation: self.generation,
            pool: self.pool,
            source: Some(suspect.clone()),
            suspects: vec![suspect],
            began: false,
            ran,
            age: Millis(0),
            presumed: result.is_presumed(),
        };
        inbox.offer(Event::EndpointCrashed { report, at });
    }
}

fn post_run(agents: &Agents, call: EndpointCall, inbox: &Inbox, gate: &SharedGate) -> AttemptEvent {
    let agent = if call.fence.is_some() { &agents.single_use } else { &agents.keep_alive };
    let (id, endpoint) = (call.ident.attempt, call.endpoint);
    let (ident, is_single) = (call.ident.clone(), call.fence.is_some());
    let body = RunRequest {
        ident: call.ident,
        class: call.class,
        deadline_ms: call.remaining.0,
        from_piece: call.from_piece,
        fence: call.fence,
        input: call.input.to_string(),
    };
    let bound = Duration::from_millis(call.remaining.0) + DEADLINE_GRACE;
    let request = agent.post(format!("http://{}/run", call.addr));
    let request = request.config().timeout_global(Some(bound)).build();
    let response = match request.send_json(&body) {
        Ok(it) => it,
        Err(err) => return send_failure(&err),
    };
    let limit = read_limit(&response, &HeaderName::from_static(LIMIT_HEADER));
    if limit != LimitNotice::Absent || gate.lock().limit(&endpoint).is_some() {
        inbox.send(Event::Attempt { id, event: AttemptEvent::Limit(limit) });
    }
    for notice in read_notices(&response, &HeaderName::from_static(LEAVING_HEADER)) {
        log::info!(endpoint:% = endpoint, notice:? = notice; "[endpoints] notice in an answer");
        inbox.send(Event::Attempt { id, event: AttemptEvent::Notice(notice) });
    }
    let status = response.status();
    let reader = BufReader::new(response.into_body().into_reader());
    match status {
        StatusCode::OK => read_lines(id, reader, inbox),
        StatusCode::SERVICE_UNAVAILABLE => read_refusal(reader, &ident, is_single),
        _ => failed(format!("the endpoint answered {status}")),
    }
}

/// Classifies an error of a request. Only a connection that was refused or not
/// established in time proves that nothing was sent.
fn send_failure(err: &ureq::Error) -> AttemptEvent {
    let refused = matches!(err, ureq::Error::Io(it) if it.kind() == ErrorKind::ConnectionRefused);
    let unconnected = matches!(err, ureq::Error::Timeout(ureq::Timeout::Connect));
    let sent = !refused && !unconnected;
    AttemptEvent::Failed { sent, detail: err.to_string() }
}

fn read_lines(id: AttemptId, mut reader: impl BufRead, inbox: &Inbox) -> AttemptEvent {
    loop {
        let mut text = String::new();
        match reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut text) {
            Ok(0) => return failed("the answer ended early".to_owned()),
            Ok(_) => {}
            Err(err) => return failed(err.to_string()),
        }
        match serde_json::from_str(&text) {
            Ok(RunLine::Piece { ident, number, data }) => {
                let event = AttemptEvent::Piece { ident, number, data };
                inbox.send(Event::Attempt { id, event });
            }
            Ok(RunLine::Done { ident, pieces, tokens }) if ident.attempt == id => {
                return AttemptEvent::Done { ident, pieces, tokens };
            }
            Ok(RunLine::Done { ident, pieces, tokens }) => {
                let event = AttemptEvent::Done { ident, pieces, tokens };
                inbox.send(Event::Attempt { id, event });
            }
            Err(err) => return failed(format!("a line can't be understood: {err}")),
        }
    }
}

/// Reads a refusal. One that doesn't name the attempt counts only on a connection of its
/// own (`is_single`).
fn read_refusal(reader: impl Read, ident: &AttemptIdent, is_single: bool) -> AttemptEvent {
    match serde_json::from_reader::<_, RefusalBody>(reader.take(MAX_LINE_BYTES)) {
        Ok(it) if it.outcome == "not_run" => match it.ident {
            Some(named) if named == *ident => AttemptEvent::Refused { cold: it.cold },
            None if is_single => AttemptEvent::Refused { cold: it.cold },
            _ => failed("the refusal doesn't name the attempt".to_owned()),
        },
        _ => failed("the endpoint refused without saying that it began nothing".to_owned()),
    }
}

fn failed(detail: String) -> AttemptEvent {
    AttemptEvent::Failed { sent: true, detail }
}

/// Asks an endpoint to cancel a run; errors are ignored.
pub fn cancel(agents: &Agents, ident: AttemptIdent, addr: SocketAddr) {
    let request = agents.keep_alive.post(format!("http://{addr}/cancel"));
    let request = request.config().timeout_global(Some(CANCEL_TIMEOUT)).build();
    let _ = request.send_json(CancelRequest { ident });
}
