//! Bodies exchanged with endpoints.

use {
    crate::{
        ids::{Class, Fence, Tokens},
        router::AttemptIdent,
        tables::Endpoint,
    },
    serde::{Deserialize, Serialize},
};

/// A call that runs one stage. The response has one [`RunLine`] per line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    #[serde(flatten)]
    pub ident: AttemptIdent,
    pub class: Class,
    /// The time remaining until the deadline, in milliseconds. An answer after it
    /// is useless.
    pub deadline_ms: u64,
    /// The number of the first piece to return.
    pub from_piece: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Fence>,
    pub input: String,
}

/// A line of an endpoint's response.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum RunLine {
    Piece {
        #[serde(flatten)]
        ident: AttemptIdent,
        number: u32,
        data: String,
    },
    Done {
        #[serde(flatten)]
        ident: AttemptIdent,
        /// The number of pieces in the complete answer.
        pieces: u32,
        tokens: Tokens,
    },
}

/// The body of a 503 response, by which the endpoint states that it did not
/// start the run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Always `not_run`.
    pub outcome: String,
    /// Whether the endpoint is cold and has less capacity than was assumed.
    pub cold: bool,
    /// What it refuses. Without it a refusal on a kept connection proves nothing, as it may
    /// be an old one.
    #[serde(flatten)]
    pub ident: Option<AttemptIdent>,
}

/// Asks an endpoint to cancel a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    #[serde(flatten)]
    pub ident: AttemptIdent,
}

/// An endpoint's announcement of its state, sent to any instance about once a
/// second.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announcement {
    #[serde(flatten)]
    pub endpoint: Endpoint,
    /// The number of requests in progress.
    pub load: u32,
}
