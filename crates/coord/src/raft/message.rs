//! Raft messages.

use {
    super::{Acknowledged, Entry, Snapshot},
    crate::ids::{Index, NodeId, Term},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A Raft message. `sent` is the time of sending on the leader's own clock, in
/// milliseconds; replies return it unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    Vote {
        term: Term,
        last: Index,
        last_term: Term,
        /// Pre-vote: asks whether a vote would be granted, without any change
        /// of state.
        pre: bool,
        /// The election was started by a leadership transfer.
        transfer: bool,
    },
    VoteReply {
        term: Term,
        pre: bool,
        granted: bool,
    },
    Append {
        term: Term,
        prev: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
        sent: u64,
        /// For each voter and learner, the last index that the leader knows to
        /// be durable there and committed.
        acked: Vec<(NodeId, Index)>,
        /// The same by the starts of these instances. Earlier builds neither send nor
        /// read it.
        #[serde(default)]
        starts: Vec<(NodeId, Acknowledged)>,
    },
    AppendReply {
        term: Term,
        ok: bool,
        /// With `ok`, the last index known to match the leader's log and to be
        /// durable; otherwise the index from which the leader should send next.
        index: Index,
        sent: u64,
    },
    Install {
        term: Term,
        snapshot: Arc<Snapshot>,
        sent: u64,
    },
    /// Tells the receiver to start an election at once (`TimeoutNow` in
    /// Ongaro's dissertation).
    Transfer {
        term: Term,
    },
}

/// A message and its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    pub to: NodeId,
    pub message: Message,
}

impl Message {
    /// The sender's term, or the term of the proposed election in a pre-vote
    /// request and its grant.
    pub fn term(&self) -> Term {
        match self {
            Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. }
            | Self::Transfer { term } => *term,
        }
    }
}
