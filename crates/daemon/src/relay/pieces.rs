//! What instances tell each other about pieces of stages.

use {
    super::PieceInput,
    coord::{
        ids::{Bytes, DomainName, EndpointName},
        relay::Shard,
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
    tokio::sync::oneshot,
};

/// Names a result at the endpoint that made it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Handle(pub String);

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// All pieces of one stage of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRequest {
    /// Drawn at random; names the ask when it is cancelled.
    pub id: u64,
    pub shard: Shard,
    #[serde(rename = "request")]
    pub request_id: String,
    /// The position of the stage in its route.
    pub stage: usize,
    pub count: u32,
    pub input: PieceInput,
    pub priority: u8,
    /// The approximate size of one result.
    pub size: Bytes,
    /// What all its pieces read and make.
    #[serde(rename = "moved")]
    pub transfer_size: Bytes,
    /// The failure domain in which the results are best made.
    #[serde(rename = "home")]
    pub preferred_domain: Option<DomainName>,
    /// From the sending of the ask, until when the results help the request to
    /// be on time, and until when they are of use at all.
    pub target: Millis,
    #[serde(rename = "due")]
    pub deadline: Millis,
}

/// A result and the endpoint that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    pub handle: Handle,
    pub endpoint: EndpointName,
}

/// What came of one piece.
pub type PieceResult = Result<Handle, PieceError>;

/// One result for each piece, in order.
pub type StageOutcome = Result<Vec<StoredResult>, PieceError>;

/// The answer to an ask, with the state of the queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageReply {
    pub answer: StageOutcome,
    /// How long a piece of the same priority would wait now.
    pub wait: Millis,
}

impl StageReply {
    /// An answer of nobody's queue.
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

/// Something for the gatherers of this instance, from a peer.
pub enum BatcherEvent {
    Submit { request: Box<StageRequest>, respond: oneshot::Sender<StageReply> },
    Cancel(u64),
    Free { shard: Shard, results: Vec<StoredResult> },
}
