//! What a stand-in was sent, by its own record.

use {
    coord::{
        ids::{AttemptId, Fence, RequestId, StageName},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
};

/// One call that reached a stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    pub request: RequestId,
    pub stage: StageName,
    pub attempt: AttemptId,
    pub fence: Option<Fence>,
    pub at: WallTime,
    pub from_piece: u32,
    /// Whether it was taken; else it was refused as not run.
    pub taken: bool,
    pub cold: bool,
    /// Calls in flight with this one.
    pub flying: u32,
}

/// All that a stand-in counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    pub runs: Vec<RunRecord>,
    /// The most calls in flight at one time while cold.
    pub most_cold: u32,
    /// Calls that came beyond the cold bound.
    pub cold_breaches: u32,
    /// Effects that were run, by the input that asked for them.
    pub effects: Vec<String>,
    pub cancelled: u32,
    /// Calls in flight at the time of the record.
    pub running: u32,
    pub completed: u32,
    /// The time spent on calls, in milliseconds.
    pub busy_ms: u64,
}
