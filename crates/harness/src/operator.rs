//! An HTTP client for the operator API, and a runner for the command-line tool.

use {
    crate::Binaries,
    coord::{
        control::Status,
        ids::{ChangeId, Version},
        tables::{ChangeOutcome, Edit},
        wire::{ChangeAnswer, ChangeRequest, ClaimView, HistoryRow, OperatorError, TablesView},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io::Write,
        net::SocketAddr,
        process::{Command, Output, Stdio},
        time::Duration,
    },
    ureq::Agent,
};

/// A client of one instance's operator listener.
#[derive(Debug, Clone)]
pub struct Operator {
    agent: Agent,
    addr: SocketAddr,
}

impl Operator {
    /// Creates a client of the operator listener at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(12)))
            .http_status_as_error(false)
            .proxy(None);
        Self { agent: config.build().new_agent(), addr }
    }

    /// Creates a new system with this instance as its only voter.
    pub fn bootstrap(&self) -> Result<String, OperatorError> {
        self.post("/v1/found", &())
    }

    /// Submits a change to the tables and returns its outcome.
    ///
    /// # Errors
    /// The change was refused, or no answer arrived; in the latter case the
    /// outcome is unknown.
    pub fn change(&self, change: &ChangeRequest) -> Result<ChangeOutcome, OperatorError> {
        let url = format!("http://{}/v1/changes", self.addr);
        let sent = self.agent.post(&url).send_json(change);
        let mut answer = sent.map_err(transport_error)?;
        let body = answer.body_mut().read_to_string().map_err(transport_error)?;
        match serde_json::from_str::<ChangeAnswer>(&body) {
            Ok(it) => Ok(it.outcome),
            Err(_) => Err(parse_error(&body)),
        }
    }

    /// Submits the edits as a new change to the current version.
    pub fn edit(&self, edits: Vec<Edit>) -> Result<ChangeOutcome, OperatorError> {
        self.change(&new_change(None, edits))
    }

    /// The status of the system.
    pub fn status(&self) -> Result<Status, OperatorError> {
        self.get("/v1/status")
    }

    /// The current tables.
    pub fn tables(&self) -> Result<TablesView, OperatorError> {
        self.get("/v1/tables")
    }

    /// The change history, newest first.
    pub fn history(&self) -> Result<Vec<HistoryRow>, OperatorError> {
        self.get("/v1/changes")
    }

    /// The claims with an unknown outcome.
    pub fn unknown_claims(&self) -> Result<Vec<ClaimView>, OperatorError> {
        self.get("/v1/claims/unknown")
    }

    /// The metrics in text format; empty if the request fails.
    pub fn metrics(&self) -> String {
        let answer = self.agent.get(format!("http://{}/metrics", self.addr)).call();
        answer.ok().and_then(|mut it| it.body_mut().read_to_string().ok()).unwrap_or_default()
    }

    /// Runs the command-line tool against this instance with `input` on its
    /// standard input.
    ///
    /// # Panics
    /// If the tool can't be started.
    pub fn cli(&self, args: &[&str], input: &str) -> Output {
        let mut child = Command::new(&Binaries::build().cli)
            .args(["--at", &self.addr.to_string(), "--author", "harness"])
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the command-line tool can't be started");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().expect("waiting for the command-line tool failed")
    }

    /// Gets a path and parses the JSON answer.
    ///
    /// # Errors
    /// There is no answer, or not the one that is expected.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let sent = self.agent.get(format!("http://{}{path}", self.addr)).call();
        parse_answer(sent)
    }

    /// Posts a JSON body to a path and parses the JSON answer.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, OperatorError> {
        let sent = self.agent.post(format!("http://{}{path}", self.addr)).send_json(body);
        parse_answer(sent)
    }
}

/// A change with a new id and the harness as its author. `base` is the version
/// that it applies to, or `None` for the current one.
pub fn new_change(base: Option<Version>, edits: Vec<Edit>) -> ChangeRequest {
    ChangeRequest { id: ChangeId::generate(), base, author: "harness".to_owned(), edits }
}

fn parse_answer<T: DeserializeOwned>(
    sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, OperatorError> {
    let mut answer = sent.map_err(transport_error)?;
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(64 << 20)
        .read_to_string()
        .map_err(transport_error)?;
    match status {
        200 => serde_json::from_str(&body).map_err(|err| definite_error(err.to_string())),
        _ => Err(parse_error(&body)),
    }
}

fn parse_error(body: &str) -> OperatorError {
    serde_json::from_str(body).unwrap_or_else(|_| definite_error(body.to_owned()))
}

fn transport_error(err: ureq::Error) -> OperatorError {
    OperatorError { unknown: true, detail: err.to_string() }
}

fn definite_error(detail: String) -> OperatorError {
    OperatorError { unknown: false, detail }
}
