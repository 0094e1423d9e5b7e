//! The header of each message between instances.

use {
    crate::ids::{Incarnation, Index, NodeId, SystemId},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// A message between instances, with the identity of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    pub system: SystemId,
    pub from: NodeId,
    pub incarnation: Incarnation,
    /// Random for each start of a process, so that two processes on copies of one
    /// data folder differ.
    pub nonce: u64,
    /// The last index of the sender's log at the time of sending.
    pub last: Index,
    /// The last index of the log that the sender found on its disk when it started. Earlier
    /// builds don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restored: Option<Index>,
    pub body: T,
}

/// The reason for which a message from another instance is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(super)))]
#[serde(rename_all = "snake_case")]
pub enum PeerRefusal {
    #[snafu(display("the message is from system {theirs}, this is {ours}"))]
    Foreign { ours: SystemId, theirs: SystemId },
    #[snafu(display("a later start of the sender was already met"))]
    Outdated,
    #[snafu(display("two processes run on copies of one data folder"))]
    Cloned,
    #[snafu(display("the sender lost committed entries: it has {has}, it had {had}"))]
    LostData { has: Index, had: Index },
}
