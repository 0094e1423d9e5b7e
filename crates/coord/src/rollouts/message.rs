//! What renewals and their replies say about rollouts.

use {
    crate::{
        ids::{EndpointName, PoolName, RouteName},
        tables::RolloutPhase,
        time::Millis,
    },
    serde::{Deserialize, Serialize},
};

/// The time that is covered by a number of sends before an instance knew of a rollout.
pub const EARLY_BIN: Millis = Millis(100);

/// The answers of one endpoint to requests of one route, as one instance has counted them
/// since it learned of the rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    pub route: RouteName,
    pub endpoint: EndpointName,
    /// Whether the endpoint runs the version that the rollout is to.
    pub is_new: bool,
    pub answers: u32,
    pub failures: u32,
    /// Times to the first byte: buckets of half octaves of 1 ms, and the number in each.
    /// Answers of endpoints in a cold start aren't among them.
    pub times: Vec<(u8, u32)>,
}

/// Sums over all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTotals {
    /// The requests that the pool has got since the order, at least.
    pub requests: u64,
    /// The sends to the new version, at most: grants count until their holder reports
    /// that they weren't used.
    pub sends: u64,
}

/// The state of one rollout at one instance, part of each renewal while it is open. All
/// counts are cumulative since the instance learned of the rollout, so that a report that
/// is lost or arrives twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    pub pool: PoolName,
    pub number: u64,
    /// The phase in the instance's tables.
    pub phase: RolloutPhase,
    /// How long the instance has known of the rollout.
    pub known_for: Millis,
    /// Increases with each report.
    pub seq: u64,
    /// The evidence has all that changed after this report; 0 if it has everything.
    pub base: u64,
    pub requests: u64,
    pub new_sends: u64,
    /// The sends to the new version before the instance knew of the rollout, in bins of
    /// [`EARLY_BIN`], the latest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub early: Vec<u32>,
    /// The latest grant that was applied; 0 without one. Earlier ones are never applied
    /// any more.
    pub grant: u64,
    /// Valid sends that are not used yet.
    pub held: u32,
    pub old_in_flight: u32,
    pub new_in_flight: u32,
    /// The longest recent run of a request at the old version, also of one that hasn't
    /// ended.
    pub old_run: Millis,
    /// The latest sums that a leader told.
    #[serde(default)]
    pub totals: RolloutTotals,
    /// The rows that have changed since the latest report that a leader has acknowledged;
    /// all of them if it asked for that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<RolloutEvidence>,
}

/// What the leader tells an instance of one rollout, part of replies while it is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGrant {
    pub pool: PoolName,
    pub number: u64,
    /// Increases with each grant, also under another leader.
    pub id: u64,
    /// Sends to the new version, valid for one second from when the renewal was asked for.
    pub sends: u32,
    /// The endpoints that they are for; empty without sends.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointName>,
    /// The routes with less evidence than others, which half of the sends are kept for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub thin: Vec<RouteName>,
    /// Whether requests should rather go to these endpoints than to others, since the pool
    /// has too few of them for enough evidence otherwise.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub eager: bool,
    /// The latest report of the instance that this leader has recorded; 0 without one, and
    /// the instance then reports all its evidence.
    pub seen: u64,
    pub totals: RolloutTotals,
}
