//! Bodies exchanged with callers.

use {
    crate::{
        ids::{ClaimKey, Class, EndpointName, PoolName, RequestId, RouteName, StageName, TeamName},
        router::{Outcome, Reason, StageReport},
    },
    serde::{Deserialize, Serialize},
};

/// A caller's request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    pub route: RouteName,
    pub team: TeamName,
    #[serde(default)]
    pub class: Class,
    /// The time that the caller allows for the request, in milliseconds.
    pub deadline_ms: u64,
    /// The idempotency key. Required if a stage of the route has side effects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<ClaimKey>,
    #[serde(default)]
    pub stream: bool,
    pub input: String,
}

/// The cost of one stage, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageCost {
    pub stage: StageName,
    pub pool: PoolName,
    pub endpoint: Option<EndpointName>,
    pub attempts: u32,
    pub queued_ms: u64,
    pub busy_ms: u64,
    pub wasted_ms: u64,
    pub tokens: u64,
    pub wasted_tokens: u64,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAnswer {
    pub request: RequestId,
    pub outcome: Outcome,
    /// Whether this is the stored answer of an earlier request with the same key.
    pub stored: bool,
    pub output: String,
    pub stages: Vec<StageCost>,
}

/// A refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerError {
    pub request: Option<RequestId>,
    pub outcome: Outcome,
    pub reason: Reason,
    pub detail: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    pub stages: Vec<StageCost>,
}

/// An event of a streamed answer. The answer is complete only if it ends with
/// `done`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerEvent {
    Piece { number: u32, data: String },
    Done { pieces: u32, answer: CallerAnswer },
    Error(CallerError),
}

impl From<StageReport> for StageCost {
    fn from(it: StageReport) -> Self {
        Self {
            stage: it.stage,
            pool: it.pool,
            endpoint: it.endpoint,
            attempts: it.attempts,
            queued_ms: it.queued.0,
            busy_ms: it.busy.0,
            wasted_ms: it.wasted.0,
            tokens: it.tokens.0,
            wasted_tokens: it.wasted_tokens.0,
        }
    }
}
