//! Rollouts of pools to a software version.

use {
    crate::{
        ids::{PoolName, SoftwareVersion},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// How far a rollout has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A bounded part of the requests goes to the new version.
    Trial,
    /// All new requests go to the new version; those at the old one end.
    Switch,
    /// Nothing is sent to other versions, and nothing is running there.
    Completed,
    /// Nothing is sent to the new version.
    RolledBack,
}

/// A row of the rollout table: the latest rollout of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    pub pool: PoolName,
    pub to: SoftwareVersion,
    /// The time from the order to the deadline.
    pub duration: Millis,
    /// The log index of the order.
    pub number: u64,
    pub phase: RolloutPhase,
}

impl RolloutPhase {
    /// Whether the rollout has no outcome yet.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Trial | Self::Switch)
    }

    /// Whether a rollout in this phase may go on to `next`.
    pub fn may_become(self, next: Self) -> bool {
        match self {
            Self::Trial => matches!(next, Self::Switch | Self::RolledBack),
            Self::Switch => matches!(next, Self::Completed | Self::RolledBack),
            Self::Completed | Self::RolledBack => false,
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trial => "trial",
            Self::Switch => "switch",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}
