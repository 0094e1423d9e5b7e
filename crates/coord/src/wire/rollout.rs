//! Rollouts as operators see them.

use {
    crate::tables::{Rollout, RolloutPhase},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// How far a rollout is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    InProgress,
    Completed,
    RolledBack,
}

/// The latest rollout of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    pub state: RolloutState,
    #[serde(flatten)]
    pub rollout: Rollout,
}

impl From<RolloutPhase> for RolloutState {
    fn from(phase: RolloutPhase) -> Self {
        match phase {
            RolloutPhase::Trial | RolloutPhase::Switch => Self::InProgress,
            RolloutPhase::Completed => Self::Completed,
            RolloutPhase::RolledBack => Self::RolledBack,
        }
    }
}

impl From<&Rollout> for RolloutRow {
    fn from(rollout: &Rollout) -> Self {
        Self { state: rollout.phase.into(), rollout: rollout.clone() }
    }
}

impl fmt::Display for RolloutState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}
