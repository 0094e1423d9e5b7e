//! An HTTP client for the caller API.

use {
    coord::wire::{CallerAnswer, CallerError, CallerEvent, CallerRequest},
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    ureq::Agent,
};

/// The result of a request as seen by the caller.
#[derive(Debug, Clone)]
pub enum CallerResult {
    Complete(Box<CallerAnswer>),
    Failed(Box<CallerError>),
    /// The connection failed, or the answer couldn't be parsed.
    Broken(String),
}

/// The result of a streamed request as seen by the caller.
#[derive(Debug, Clone)]
pub struct StreamResult {
    /// The numbers and data of the pieces, in order of arrival.
    pub pieces: Vec<(u32, String)>,
    /// The time from sending the request to the first piece.
    pub first_piece: Option<Duration>,
    pub end: CallerResult,
}

/// A client of one instance's caller listener.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
    addr: SocketAddr,
}

impl Caller {
    /// Creates a client of the caller listener at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(Duration::from_secs(1)));
        Self { agent: config.build().new_agent(), addr }
    }

    /// Whether the instance reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = self.agent.get(format!("http://{}/ready", self.addr));
        let request = request.config().timeout_global(Some(Duration::from_secs(1))).build();
        request.call().is_ok_and(|it| it.status() == 200)
    }

    /// Sends a request and waits for the complete answer.
    pub fn send(&self, request: &CallerRequest) -> CallerResult {
        let mut answer = match self.post(request) {
            Ok(it) => it,
            Err(err) => return CallerResult::Broken(err.to_string()),
        };
        let status = answer.status().as_u16();
        match answer.body_mut().read_to_string() {
            Ok(body) => parse_result(status, &body),
            Err(err) => CallerResult::Broken(err.to_string()),
        }
    }

    /// Sends a request as a stream and reads it to its end.
    pub fn stream(&self, request: &CallerRequest) -> StreamResult {
        let began = Instant::now();
        let mut streamed = StreamResult {
            pieces: Vec::new(),
            first_piece: None,
            end: CallerResult::Broken("the stream ended early".into()),
        };
        let mut answer = match self.post(&CallerRequest { stream: true, ..request.clone() }) {
            Ok(it) => it,
            Err(err) => {
                return StreamResult { end: CallerResult::Broken(err.to_string()), ..streamed };
            }
        };
        let status = answer.status().as_u16();
        if status != 200 {
            let body = answer.body_mut().read_to_string().unwrap_or_default();
            return StreamResult { end: parse_result(status, &body), ..streamed };
        }
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let Ok(line) = line else {
                return streamed;
            };
            let Some(text) = line.strip_prefix("data: ") else {
                continue;
            };
            match serde_json::from_str(text) {
                Ok(CallerEvent::Piece { number, data }) => {
                    streamed.first_piece.get_or_insert(began.elapsed());
                    streamed.pieces.push((number, data));
                }
                Ok(CallerEvent::Done { answer, .. }) => {
                    streamed.end = CallerResult::Complete(Box::new(answer));
                }
                Ok(CallerEvent::Error(err)) => streamed.end = CallerResult::Failed(Box::new(err)),
                Err(err) => streamed.end = CallerResult::Broken(err.to_string()),
            }
        }
        streamed
    }

    fn post(
        &self,
        request: &CallerRequest,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let timeout =
            Duration::from_millis(request.deadline_ms.min(120_000)) + Duration::from_secs(2);
        let post = self.agent.post(format!("http://{}/v1/requests", self.addr));
        post.config().timeout_global(Some(timeout)).build().send_json(request)
    }
}

fn parse_result(status: u16, body: &str) -> CallerResult {
    if status == 200 {
        return match serde_json::from_str(body) {
            Ok(it) => CallerResult::Complete(Box::new(it)),
            Err(err) => CallerResult::Broken(err.to_string()),
        };
    }
    match serde_json::from_str(body) {
        Ok(it) => CallerResult::Failed(Box::new(it)),
        Err(err) => CallerResult::Broken(err.to_string()),
    }
}

impl CallerResult {
    /// The complete answer, if there is one.
    pub fn complete(&self) -> Option<&CallerAnswer> {
        match self {
            Self::Complete(it) => Some(it),
            _ => None,
        }
    }

    /// The error that the instance answered with, if any.
    pub fn failure(&self) -> Option<&CallerError> {
        match self {
            Self::Failed(it) => Some(it),
            _ => None,
        }
    }
}
