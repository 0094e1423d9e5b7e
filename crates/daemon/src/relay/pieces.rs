//! Messages between instances about the pieces of stages.

use {
    super::PieceInput,
    coord::{
        ids::{Bytes, DomainName, EndpointName},
        relay::Shard,
        tables::Suspect,
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
    tokio::sync::oneshot,
};

/// Identifies a result at the endpoint that holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Handle(pub String);

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Requests all pieces of one stage of a relayed request from a batcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRequest {
    /// Random id, which also identifies the request in a cancellation.
    pub id: u64,
    pub shard: Shard,
    #[serde(rename = "request")]
    pub request_id: String,
    /// The request itself, as a suspect; earlier builds don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<Suspect>,
    /// Whether another instance or batcher may have counted the request already; earlier
    /// builds don't send it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub repeated: bool,
    /// Position of the stage in its route.
    pub stage: usize,
    pub count: u32,
    pub input: PieceInput,
    pub priority: u8,
    /// Approximate size of one result.
    pub size: Bytes,
    /// Total size of the inputs and results of all pieces.
    #[serde(rename = "moved")]
    pub transfer_size: Bytes,
    /// Failure domain in which the pieces should preferably run.
    #[serde(rename = "home")]
    pub preferred_domain: Option<DomainName>,
    /// Time left, from sending, in which the results still let the request meet its
    /// target.
    pub target: Millis,
    /// Time left, from sending, after which the results are useless.
    #[serde(rename = "due")]
    pub deadline: Millis,
}

/// A result and the endpoint that holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    pub handle: Handle,
    pub endpoint: EndpointName,
}

/// Result of one piece.
pub type PieceResult = Result<Handle, PieceError>;

/// One result per piece, in order.
pub type StageOutcome = Result<Vec<StoredResult>, PieceError>;

/// Reply to a [`StageRequest`], with the state of the batcher's queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageReply {
    pub answer: StageOutcome,
    /// Expected wait of a new piece of the same priority.
    pub wait: Millis,
}

impl StageReply {
    /// Creates a failure reply that doesn't come from a queue, with no wait.
    pub fn failed(err: PieceError) -> Self {
        Self { answer: Err(err), wait: Millis(0) }
    }
}

/// Why a stage has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceError {
    #[snafu(display("it can't be done in time"))]
    Late,
    #[snafu(display("an input is gone"))]
    Gone,
    #[snafu(display("the endpoint has no room for the result"))]
    Room,
    #[snafu(display("the endpoint failed"))]
    Failed,
    #[snafu(display("no endpoint answers"))]
    Down,
    #[snafu(display("nobody gathers for the pool"))]
    Unreachable,
}

/// A peer's message to the batchers of this instance.
pub enum BatcherEvent {
    Submit { request: Box<StageRequest>, respond: oneshot::Sender<StageReply> },
    Cancel(u64),
    Free { shard: Shard, results: Vec<StoredResult> },
}
