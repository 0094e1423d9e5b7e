//! An HTTP client for the operator API of an instance.

use {
    crate::error::{
        CliError, ConflictSnafu, NotAcceptedSnafu, OutcomeUnknownSnafu, ParseSnafu, RefusedSnafu,
        UnreachableSnafu,
    },
    coord::{
        tables::{ChangeOutcome, OrderOutcome, RolloutOrder},
        wire::{ChangeAnswer, ChangeRequest, OperatorError},
    },
    serde::{Serialize, de::DeserializeOwned},
    snafu::ResultExt,
    std::time::Duration,
    ureq::Agent,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The limit of attempts for a change whose answer is lost, including the first.
const MAX_CHANGE_ATTEMPTS: u32 = 3;

/// A client of one instance.
pub struct Client {
    agent: Agent,
    addr: String,
    secret: String,
}

struct Reply {
    status: u16,
    body: String,
}

impl Client {
    /// Creates a client for the operator listener at `addr`, with the operators'
    /// secret.
    pub fn new(addr: &str, secret: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self { agent: config.new_agent(), addr: addr.to_owned(), secret: secret.to_owned() }
    }

    /// Sends a GET request and decodes the JSON answer.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let url = self.url(path);
        let sent = self.agent.get(&url).header("Authorization", self.bearer()).call();
        decode(self.read_reply(url, sent)?)
    }

    /// Sends a POST request with a JSON body and decodes the JSON answer.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        decode(self.send(path, body)?)
    }

    /// Sends a change, and sends it again if its answer is lost. The change keeps its
    /// identifier, so it takes effect at most once.
    pub fn change(&self, change: &ChangeRequest) -> Result<ChangeOutcome, CliError> {
        with_retries(|| self.change_once(change))
    }

    /// Orders a rollout, and orders it again if the answer is lost. The same order changes
    /// nothing while the rollout is in progress and for a minute after it.
    pub fn order(&self, order: &RolloutOrder) -> Result<OrderOutcome, CliError> {
        with_retries(|| self.post("/v1/rollouts", order))
    }

    fn change_once(&self, change: &ChangeRequest) -> Result<ChangeOutcome, CliError> {
        let reply = self.send("/v1/changes", change)?;
        let answer: ChangeAnswer = match reply.status {
            200 | 409 | 410 | 422 => serde_json::from_str(&reply.body).context(ParseSnafu)?,
            _ => return decode(reply),
        };
        match answer.outcome {
            ChangeOutcome::Conflict { version } => ConflictSnafu { version }.fail(),
            it @ ChangeOutcome::Accepted { .. } => Ok(it),
            outcome => NotAcceptedSnafu { outcome }.fail(),
        }
    }

    fn send(&self, path: &str, body: &impl Serialize) -> Result<Reply, CliError> {
        let url = self.url(path);
        let sent = self.agent.post(&url).header("Authorization", self.bearer()).send_json(body);
        self.read_reply(url, sent)
    }

    fn read_reply(
        &self,
        url: String,
        sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Reply, CliError> {
        let mut response = sent.map_err(Box::new).context(UnreachableSnafu { url: &url })?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string();
        let body = body.map_err(Box::new).context(UnreachableSnafu { url })?;
        Ok(Reply { status, body })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.secret)
    }
}

/// Sends something that can be repeated until its answer isn't lost.
fn with_retries<T>(send: impl Fn() -> Result<T, CliError>) -> Result<T, CliError> {
    let mut attempts = 1;
    loop {
        match send() {
            Err(CliError::OutcomeUnknown { .. } | CliError::Unreachable { .. })
                if attempts < MAX_CHANGE_ATTEMPTS =>
            {
                attempts += 1;
            }
            other => return other,
        }
    }
}

fn decode<T: DeserializeOwned>(reply: Reply) -> Result<T, CliError> {
    if reply.status == 200 {
        return serde_json::from_str(&reply.body).context(ParseSnafu);
    }
    let status = reply.status;
    match serde_json::from_str::<OperatorError>(&reply.body) {
        Ok(it) if it.unknown => OutcomeUnknownSnafu { detail: it.detail }.fail(),
        Ok(it) => RefusedSnafu { status, detail: it.detail }.fail(),
        Err(_) => RefusedSnafu { status, detail: reply.body }.fail(),
    }
}
