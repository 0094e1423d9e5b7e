//! One call of an endpoint.

use {
    crate::event::{Event, Inbox},
    coord::{
        ids::AttemptId,
        router::{AttemptEvent, AttemptIdent, EndpointCall},
        wire::{CancelRequest, RefusalBody, RunLine, RunRequest},
    },
    std::{
        io::{BufRead, BufReader, ErrorKind, Read},
        net::SocketAddr,
        time::Duration,
    },
    ureq::{Agent, http::StatusCode},
};

/// How long connecting to an endpoint may take.
const CONNECT: Duration = Duration::from_millis(500);
/// How much longer than the deadline a call may take, for the last line.
const GRACE: Duration = Duration::from_millis(200);
/// How long a request to cancel may take.
const CANCEL: Duration = Duration::from_millis(500);
/// The longest line of an answer, in bytes.
const MAX_LINE: u64 = 4 * 1024 * 1024;
/// How long an idle connection may be used again.
const IDLE: Duration = Duration::from_secs(5);

/// The agents for calls: one that keeps connections, and one that opens a
/// fresh connection for each call that must not be repeated.
#[derive(Clone)]
pub struct Agents {
    kept: Agent,
    fresh: Agent,
}

impl Agents {
    /// Agents with all bounds set.
    pub fn new(connections: usize) -> Self {
        Self { kept: agent(connections, 16), fresh: agent(0, 0) }
    }
}

fn agent(idle: usize, per_host: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .timeout_connect(Some(CONNECT))
        .max_idle_connections(idle)
        .max_idle_connections_per_host(per_host)
        .max_idle_age(IDLE)
        .build()
        .new_agent()
}

/// Makes a call and reports what comes of it. The last event is never a piece.
pub fn run(agents: &Agents, send: EndpointCall, inbox: &Inbox) {
    let id = send.ident.attempt;
    let end = call(agents, send, inbox);
    inbox.send(Event::Attempt { id, event: end });
}

fn call(agents: &Agents, send: EndpointCall, inbox: &Inbox) -> AttemptEvent {
    let agent = if send.fence.is_some() { &agents.fresh } else { &agents.kept };
    let id = send.ident.attempt;
    let body = RunRequest {
        ident: send.ident,
        class: send.class,
        deadline_ms: send.remaining.0,
        from_piece: send.from_piece,
        fence: send.fence,
        input: send.input.to_string(),
    };
    let bound = Duration::from_millis(send.remaining.0) + GRACE;
    let request = agent.post(format!("http://{}/run", send.addr));
    let request = request.config().timeout_global(Some(bound)).build();
    let response = match request.send_json(&body) {
        Ok(it) => it,
        Err(err) => return broken(&err),
    };
    let status = response.status();
    let reader = BufReader::new(response.into_body().into_reader());
    match status {
        StatusCode::OK => read_lines(id, reader, inbox),
        StatusCode::SERVICE_UNAVAILABLE => read_refusal(reader),
        _ => failed(format!("the endpoint answered {status}")),
    }
}

/// Only a refused connection proves that nothing was sent.
fn broken(err: &ureq::Error) -> AttemptEvent {
    let refused = matches!(err, ureq::Error::Io(it) if it.kind() == ErrorKind::ConnectionRefused);
    let unconnected = matches!(err, ureq::Error::Timeout(ureq::Timeout::Connect));
    let sent = !refused && !unconnected;
    AttemptEvent::Failed { sent, detail: err.to_string() }
}

fn read_lines(id: AttemptId, mut reader: impl BufRead, inbox: &Inbox) -> AttemptEvent {
    loop {
        let mut text = String::new();
        match reader.by_ref().take(MAX_LINE).read_line(&mut text) {
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

fn read_refusal(reader: impl Read) -> AttemptEvent {
    match serde_json::from_reader::<_, RefusalBody>(reader.take(MAX_LINE)) {
        Ok(it) if it.outcome == "not_run" => AttemptEvent::Refused { cold: it.cold },
        _ => failed("the endpoint refused without saying that it began nothing".to_owned()),
    }
}

fn failed(detail: String) -> AttemptEvent {
    AttemptEvent::Failed { sent: true, detail }
}

/// Asks an endpoint to end a run.
pub fn cancel(agents: &Agents, ident: AttemptIdent, addr: SocketAddr) {
    let request = agents.kept.post(format!("http://{addr}/cancel"));
    let request = request.config().timeout_global(Some(CANCEL)).build();
    let _ = request.send_json(CancelRequest { ident });
}
