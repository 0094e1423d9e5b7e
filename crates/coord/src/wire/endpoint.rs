//! Towards endpoints.

use {
    crate::{
        ids::{Class, Fence, Tokens},
        router::AttemptIdent,
        tables::Endpoint,
    },
    serde::{Deserialize, Serialize},
};

/// A call of one stage. The answer is one [`RunLine`] a line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    #[serde(flatten)]
    pub ident: AttemptIdent,
    pub class: Class,
    /// What is left of the deadline; work beyond it is worth nothing.
    pub deadline_ms: u64,
    /// The first piece wanted.
    pub from_piece: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Fence>,
    pub input: String,
}

/// A line of an endpoint's answer.
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
        /// The number of pieces of the whole answer.
        pieces: u32,
        tokens: Tokens,
    },
}

/// The body of a 503: the endpoint states that it began nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Always `not_run`.
    pub outcome: String,
    /// Whether the endpoint can bear less than it was taken to.
    pub cold: bool,
}

/// Asks an endpoint to end a run early.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    #[serde(flatten)]
    pub ident: AttemptIdent,
}

/// What an endpoint says of itself, about once a second, to any instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announcement {
    #[serde(flatten)]
    pub endpoint: Endpoint,
    /// Requests that it has at present.
    pub load: u32,
}
