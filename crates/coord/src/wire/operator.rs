//! Bodies exchanged with operators.

use {
    crate::{
        claims::{Claim, ClaimState},
        ids::{ChangeId, ClaimKey, Fence, InstanceName, NodeId, RouteName, TeamName, Version},
        tables::{ChangeOutcome, ChangeRecord, Edit, Pool, Route},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
};

/// A change of the tables, see [`crate::tables::Change`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    pub id: ChangeId,
    #[serde(default)]
    pub base: Option<Version>,
    pub author: String,
    pub edits: Vec<Edit>,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    pub id: ChangeId,
    #[serde(flatten)]
    pub outcome: ChangeOutcome,
}

/// The tables that operators edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablesView {
    pub version: Version,
    pub routes: Vec<Route>,
    pub pools: Vec<Pool>,
    pub out_of_service: Vec<String>,
}

/// A row of the change history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    pub id: ChangeId,
    pub author: String,
    pub at: WallTime,
    pub summary: String,
    #[serde(flatten)]
    pub outcome: ChangeOutcome,
}

/// A claim with an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimView {
    pub key: ClaimKey,
    pub route: RouteName,
    pub team: TeamName,
    pub owner: NodeId,
    pub fence: Fence,
    pub at: WallTime,
    pub state: String,
}

/// Settles an unknown claim manually: as run if there is an output, otherwise as
/// not run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResolveRequest {
    pub key: ClaimKey,
    pub author: String,
    #[serde(default)]
    pub output: Option<String>,
}

/// Adds or removes a voter.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterRequest {
    pub instance: InstanceName,
    pub add: bool,
}

/// The response to an operator's request that was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Whether the request may have taken effect nevertheless. A resend with the
    /// same identifier tells.
    pub unknown: bool,
    pub detail: String,
}

impl From<&ChangeRecord> for HistoryRow {
    fn from(it: &ChangeRecord) -> Self {
        Self {
            id: it.id,
            author: it.author.clone(),
            at: it.at,
            summary: it.summary.clone(),
            outcome: it.outcome.clone(),
        }
    }
}

impl From<&Claim> for ClaimView {
    fn from(it: &Claim) -> Self {
        let state = match it.state {
            ClaimState::Running => "running",
            ClaimState::Ran(_) => "ran",
            ClaimState::Unknown => "unknown",
        };
        Self {
            key: it.key,
            route: it.route.clone(),
            team: it.team.clone(),
            owner: it.owner,
            fence: it.fence,
            at: it.at,
            state: state.to_owned(),
        }
    }
}
