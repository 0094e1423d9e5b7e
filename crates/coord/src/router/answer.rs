//! The result of a request: outcome, failure reason and cost.

use {
    crate::{
        ids::{EndpointName, PoolName, StageName, Tokens},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Whether a request ran, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Certainly no endpoint began a stage.
    NotRun,
    /// The request ran; repeating it would run it twice.
    Ran,
    /// The request may have run, in part or in full.
    Unknown,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    BadRequest,
    UnknownRoute,
    BadDeadline,
    KeyMissing,
    KeyReused,
    KeyExpired,
    KeyInFuture,
    KeysFull,
    /// The first request with the key is still running.
    InProgress,
    /// The outcome of the first request with the key is unknown.
    KeyUnknown,
    /// The instance holds no lease or cannot reach the voters.
    NoLease,
    /// The instance is shutting down.
    Stopping,
    /// The deadline cannot be met or has passed.
    Deadline,
    /// A limit on held or queued requests is reached.
    Overload,
    /// The request crashes endpoints and is withheld from them.
    Withheld,
    /// A stage failed and must not or cannot be retried.
    StageFailed,
    /// The caller disconnected.
    CallerGone,
}

/// The failure or refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    pub outcome: Outcome,
    pub reason: Reason,
    pub detail: String,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Millis>,
}

/// The cost of one stage of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageReport {
    pub stage: StageName,
    pub pool: PoolName,
    /// The endpoint whose answer was used, if any.
    pub endpoint: Option<EndpointName>,
    pub attempts: u32,
    /// The endpoint time of all attempts.
    pub busy: Millis,
    /// The part of `busy` spent on attempts whose result was not used.
    pub wasted: Millis,
    pub tokens: Tokens,
    pub wasted_tokens: Tokens,
    /// The time that the stage spent in the queue.
    pub queued: Millis,
}

/// The result of a request and the cost of its stages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    pub result: Result<String, Failure>,
    /// Whether the answer was stored under the key by an earlier request.
    pub stored: bool,
    pub stages: Vec<StageReport>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

impl Failure {
    /// A failure with [`Outcome::NotRun`] and no `retry_after`.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        let outcome = Outcome::NotRun;
        Self { outcome, reason, detail: detail.into(), retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(self, after: Millis) -> Self {
        Self { retry_after: Some(after), ..self }
    }
}
