//! Misbehaviour that a stand-in can be told to show.

use serde::{Deserialize, Serialize};

/// The present misbehaviour. The default is none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// A factor on all times; 0 means 1.
    #[serde(rename = "slow")]
    pub slow_factor: u64,
    /// Breaks each stream after its first piece, or before with a service.
    pub fail: bool,
    /// Takes calls and says nothing; also announces nothing.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Runs the call and then breaks the connection without an answer.
    #[serde(rename = "mute")]
    pub drop_answer: bool,
    /// Answers with the identity of another request.
    #[serde(rename = "foreign")]
    pub wrong_ident: bool,
    /// Sends each piece twice.
    pub repeat: bool,
    /// Sends the second piece before the first.
    pub reorder: bool,
    /// Goes cold without a word; acted on once.
    pub cold: bool,
    /// Announces that it leaves; acted on once.
    pub leave: bool,
    /// Ends the whole process.
    #[serde(rename = "die")]
    pub exit: bool,
}
