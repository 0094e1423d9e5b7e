//! Control orders that make a stand-in misbehave.

use serde::{Deserialize, Serialize};

/// The misbehaviour of a stand-in. The default is none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Multiplies all durations; 0 means 1.
    #[serde(rename = "slow")]
    pub slow_factor: u64,
    /// Aborts each answer: a stream after its first piece, a service's before it.
    pub fail: bool,
    /// Accepts calls but never answers, and stops announcing.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Runs the call, then aborts the connection without an answer.
    #[serde(rename = "mute")]
    pub drop_answer: bool,
    /// Answers with the identity of another attempt.
    #[serde(rename = "foreign")]
    pub wrong_ident: bool,
    /// Sends each piece twice.
    pub repeat: bool,
    /// Sends the second piece before the first.
    pub reorder: bool,
    /// Goes cold without announcing it. One-shot.
    pub cold: bool,
    /// Announces that it is leaving and refuses calls. One-shot; can't be
    /// undone.
    pub leave: bool,
    /// Exits the process, with all its stand-ins.
    #[serde(rename = "die")]
    pub exit: bool,
}
