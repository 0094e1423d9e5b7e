//! The record of the calls that a stand-in received.

use {
    coord::{
        ids::{AttemptId, Fence, RequestId, StageName},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
};

/// A received call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    pub request: RequestId,
    pub stage: StageName,
    pub attempt: AttemptId,
    pub fence: Option<Fence>,
    /// When the call arrived.
    pub at: WallTime,
    pub from_piece: u32,
    /// Whether the call was accepted; otherwise it was refused as not run.
    #[serde(rename = "taken")]
    pub accepted: bool,
    /// Whether the stand-in was cold.
    pub cold: bool,
    /// Calls in flight, including this one.
    #[serde(rename = "flying")]
    pub in_flight: u32,
}

/// The calls and counters of a stand-in.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    pub runs: Vec<RunRecord>,
    /// The peak number of calls in flight while cold; a call that is refused on
    /// arrival counts too.
    #[serde(rename = "most_cold")]
    pub peak_cold: u32,
    /// Calls that exceeded the cold slots.
    pub cold_breaches: u32,
    /// The inputs of calls whose effect was run.
    pub effects: Vec<String>,
    pub cancelled: u32,
    /// Calls in flight when the record was read.
    pub running: u32,
    pub completed: u32,
    /// Total time spent on calls, in milliseconds.
    pub busy_ms: u64,
}
