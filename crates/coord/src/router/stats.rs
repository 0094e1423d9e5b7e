//! Counters of router events since the start of the process.

use serde::{Deserialize, Serialize};

/// Counters of rare events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Lines with the identity of another request, stage or attempt.
    pub foreign: u64,
    /// Pieces that had already been received.
    pub repeated: u64,
    /// Pieces that skipped a number.
    pub reordered: u64,
    /// Pieces of attempts that had ended.
    pub late: u64,
    pub retries: u64,
    pub hedges: u64,
    /// Retries that resumed a stage after its first piece.
    pub resumed: u64,
    /// Retries and hedges prevented by the budget or by a hedge already running.
    pub denied: u64,
    /// Refusals of endpoints that can take fewer requests than assumed.
    pub refused_cold: u64,
}
