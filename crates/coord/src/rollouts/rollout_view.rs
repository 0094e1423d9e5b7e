//! What the leader's side of a rollout is told, and what it says of its decisions.

use {
    crate::{
        control::ShareHolder,
        ids::RouteName,
        tables::{Endpoint, RolloutPhase},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::fmt,
};

/// The bounds of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// The part of the pool's requests that a bad version may get.
    pub share: f64,
    /// The requests that it may get beside that.
    pub slack: u32,
    /// The time allowed from the 50th bad answer to the last send. No decision depends on it:
    /// a version is rolled back as soon as it is proved bad, and instances in contact stop
    /// within a second of that, those out of contact when their grants or leases end.
    pub rollback: Millis,
}

/// What the leader knows of a pool with a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// The phase in the tables.
    pub phase: RolloutPhase,
    /// Whether the pool still exists.
    pub exists: bool,
    /// The endpoints of the pool that are in service, of all versions.
    pub endpoints: Vec<Endpoint>,
    /// Every run of an instance that has renewed with this leader, also one that is gone,
    /// with the time from which its lease is certain to have ended.
    pub instances: IndexMap<ShareHolder, Time>,
    /// The time from which no instance that hasn't renewed with this leader can have a
    /// lease; `None` if all in the roster have.
    pub unheard_until: Option<Time>,
    /// The longest time that a request of a route may run.
    pub longest_timeout: Millis,
}

/// Why a rollout goes on to another phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutReason {
    /// The evidence suffices and the time left is what the switch needs.
    Good,
    /// Nothing is sent to other versions, and nothing is running there.
    Switched,
    /// The new version fails more often than the old one.
    Failures,
    /// The new version is slower than the old one.
    Slow,
    /// Something speaks against the new version, and it has used up its bound.
    Suspicious,
    /// The deadline came without enough good evidence.
    NoEvidence,
    /// The deadline came before the new endpoints could carry the traffic.
    NoCapacity,
    /// The deadline came before the requests at the old version had ended.
    NotSwitched,
    /// The pool no longer exists.
    Removed,
}

/// The answers of both versions on one route, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutFigures {
    pub route: RouteName,
    pub old_answers: u64,
    pub old_failures: u64,
    /// The median time to the first byte; `None` without times.
    pub old_median: Option<Millis>,
    pub new_answers: u64,
    pub new_failures: u64,
    pub new_median: Option<Millis>,
}

impl Default for RolloutBounds {
    /// The bounds of a deployment that names none.
    fn default() -> Self {
        Self { share: 0.1, slack: 50, rollback: Millis(5000) }
    }
}

impl fmt::Display for RolloutReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Good => "good",
            Self::Switched => "switched",
            Self::Failures => "failures",
            Self::Slow => "slow",
            Self::Suspicious => "suspicious",
            Self::NoEvidence => "no_evidence",
            Self::NoCapacity => "no_capacity",
            Self::NotSwitched => "not_switched",
            Self::Removed => "removed",
        })
    }
}
