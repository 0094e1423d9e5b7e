//! What instances ask each other.

use {
    coord::{
        control::{PeerRefusal, ProposalError, RenewError, RenewReply, RenewRequest, Status},
        ids::{InstanceName, NodeId},
        raft::Message,
        tables::{Command, Outcome},
        wire::{ClaimView, HistoryRow, TablesView},
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// A call of a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerCall {
    Raft {
        /// Another process may have taken over the address.
        to: NodeId,
        message: Message,
    },
    Renew(RenewRequest),
    Propose(Command),
    Admin(AdminRequest),
}

/// What operators ask of the leader, passed on by the instance they reached.
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
}

/// The answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerAnswer {
    #[serde(rename = "taken")]
    Accepted,
    Refused(PeerRefusal),
    Renew(Result<RenewReply, RenewError>),
    Propose(Result<Outcome, ProposalError>),
    Admin(Result<AdminAnswer, ProposalError>),
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The call never left.
    #[snafu(display("the peer can't be reached"))]
    Unreachable,
    /// The call may have been taken.
    #[snafu(display("the peer didn't answer"))]
    NoAnswer,
}

/// Where the answer to a call goes.
pub type Responder = oneshot::Sender<PeerAnswer>;
