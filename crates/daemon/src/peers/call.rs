//! Messages between instances.

use {
    coord::{
        control::{
            LeaderReport, PeerRefusal, ProposalError, RenewError, RenewReply, RenewRequest, Status,
        },
        ids::{InstanceName, NodeId, PoolName},
        raft::Message,
        streams::{StreamAnswer, StreamQuery},
        tables::{Command, Outcome, Rollout, RolloutStanding},
        wire::{ClaimView, HistoryRow, TablesView},
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// A call to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerCall {
    Raft {
        /// The intended recipient: the address may now belong to another
        /// process.
        to: NodeId,
        message: Message,
    },
    Renew(Box<RenewRequest>),
    Propose(Command),
    Admin(AdminRequest),
    FindStream(StreamQuery),
}

/// A request of an operator to the leader, forwarded by the instance that
/// received it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    Status,
    Tables,
    Catalog,
    History,
    #[serde(rename = "unknown")]
    UnknownClaims,
    AddVoter(InstanceName),
    RemoveVoter(InstanceName),
    Rollouts,
    /// The latest rollout of one pool.
    RolloutStanding(PoolName),
}

impl AdminRequest {
    /// Whether it changes something.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::AddVoter(_) | Self::RemoveVoter(_))
    }
}

/// The leader's answer to an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminAnswer {
    Status(Status),
    Tables(TablesView),
    Catalog(Option<Arc<str>>),
    History(Vec<HistoryRow>),
    Claims(Vec<ClaimView>),
    Done,
    Rollouts(Vec<Rollout>),
    RolloutStanding(RolloutStanding),
}

/// A peer's answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerAnswer {
    #[serde(rename = "taken")]
    Accepted,
    Refused(PeerRefusal),
    Renew(Box<Result<RenewReply, RenewError>>),
    Propose(Result<Outcome, ProposalError>),
    Admin(Result<AdminAnswer, ProposalError>),
    Stream(Result<StreamAnswer, ProposalError>),
}

/// What became of the question who leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderAnswer {
    Report(LeaderReport),
    /// The peer is of an earlier build.
    UnknownQuestion,
    Failed,
}

/// Why a call was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The call wasn't sent.
    #[snafu(display("the peer can't be reached"))]
    Unreachable,
    /// The call was sent; the peer may have handled it.
    #[snafu(display("the peer didn't answer"))]
    NoAnswer,
}

/// The channel for the answer to a call.
pub type Responder = oneshot::Sender<PeerAnswer>;
