//! The messages of a renewal. An instance reports its state and demand; the
//! leader replies with a lease, the latest deltas of the tables and endpoint
//! shares. While the leader has nothing new it delays the reply (long polling).

use {
    super::{CrashReport, VoterList},
    crate::{
        catalog::Catalog,
        ids::{
            EndpointName, Generation, Incarnation, Index, NodeId, PoolName, Slots, TeamName, Term,
            Version,
        },
        limits::{LimitReply, LimitRequest},
        load::{LoadReply, LoadRequest},
        packed::Packed,
        rollouts::{RolloutGrant, RolloutReport},
        tables::{Delta, SuspectKey, Tables},
        time::Millis,
    },
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// The maximum time for which the leader delays a reply.
pub const LONG_POLL: Millis = Millis(500);

/// A renewal, sent by an instance to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// Increases with each request of one incarnation.
    pub seq: u64,
    /// The log index up to which the instance's copy of the tables is current.
    #[serde(rename = "have")]
    pub applied: Index,
    pub version: Version,
    /// The number of the latest share list that the instance has applied.
    #[serde(rename = "grants")]
    pub grants_number: u64,
    /// Requests in flight at the endpoints where they exceed the share.
    #[serde(rename = "over")]
    pub excess: Vec<Holding>,
    /// All shares held, if the leader asked for them.
    pub holdings: Option<Vec<Holding>>,
    /// Reports of endpoints that this instance received since the last request.
    #[serde(rename = "heard")]
    pub reports: Vec<EndpointReport>,
    #[serde(rename = "trouble")]
    pub faults: Vec<EndpointFault>,
    /// Endpoints at which a request has succeeded since the last renewal.
    #[serde(rename = "good")]
    pub healthy: Vec<(EndpointName, Generation)>,
    pub demand: Vec<Demand>,
    /// The teams with requests in flight here.
    pub teams: Vec<TeamUse>,
    /// Requests that ended at crashes of endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Suspects that were answered here: parts of prompts with the second event of
    /// an answer, requests with the whole answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<SuspectKey>,
    /// The pools with suspects that have answered some request here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answered_pools: Vec<PoolName>,
    /// `None` from an instance of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitRequest>,
    /// `None` from an instance of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadRequest>,
    /// Whether the instance reads packed catalogs; earlier builds don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub packed: bool,
    /// Whether the instance reads packed deltas and tables too; earlier builds don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub packed_tables: bool,
    /// Whether the instance reaches no endpoints.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cut: bool,
    /// Whether the instance reads deltas of rollouts, and has some in its tables; earlier
    /// builds read none.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reads_rollouts: bool,
    /// One for each rollout that is open.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutReport>,
    /// The log index of the voters that the instance knows. `None` from an instance of an
    /// earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub voters: Option<Index>,
    /// Whether the instance is stopping. The reply then has a lease of length zero.
    pub leaving: bool,
}

/// A number of slots at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    pub endpoint: EndpointName,
    pub slots: Slots,
}

/// An endpoint's own report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub endpoint: EndpointName,
    pub generation: Generation,
    /// Requests at the endpoint by its own count, which may be outdated.
    pub load: u32,
}

/// A fault of an endpoint that an instance has noticed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFault {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub kind: FaultKind,
}

/// The kind of an endpoint's fault. Each kind resets the endpoint to its cold
/// limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It refused a request because it was cold or overloaded.
    Refused,
    /// A connection or a request failed.
    Failed,
    /// It stopped responding.
    Silent,
}

/// An instance's demand in one pool: its requests in flight and queued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    pub pool: PoolName,
    #[serde(rename = "flying")]
    pub in_flight: u32,
    pub queued: u32,
}

/// The requests in flight of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    pub team: TeamName,
    #[serde(rename = "flying")]
    pub in_flight: u32,
}

/// The complete share list of one instance. A list with a higher number replaces
/// an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    pub number: u64,
    pub shares: Vec<Holding>,
}

/// What brings an instance's copy of the tables up to date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    Same,
    #[serde(rename = "steps")]
    Deltas(Vec<(Index, Delta)>),
    Full(Box<Tables>),
    /// The whole tables, with the catalog apart from them.
    Packed {
        tables: Box<Tables>,
        catalog: Packed<Catalog>,
    },
    /// Deltas, for an instance that reads packed ones.
    PackedDeltas(Packed<Vec<(Index, Delta)>>),
    /// The whole tables, with the catalog apart from them, for an instance that reads them
    /// packed.
    PackedTables {
        tables: Packed<Tables>,
        catalog: Packed<Catalog>,
    },
}

/// The leader's reply to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    pub term: Term,
    pub seq: u64,
    /// How long the lease lasts, from before the request was sent.
    pub lease: Millis,
    pub update: Update,
    /// The log index that the tables have reached after the update.
    pub index: Index,
    pub grants: Option<Grants>,
    /// The load of each endpoint in the share list.
    pub loads: Vec<EndpointReport>,
    /// The use over all instances by the teams that the request names.
    pub teams: Vec<TeamUse>,
    /// Whether the next request should have all shares held.
    pub want_holdings: bool,
    /// What endpoints have crashed under. The next renewals should name those that are
    /// answered all the same.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectKey>,
    /// The suspected requests that only one instance may send, one at a time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<SuspectKey>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitReply>,
    /// Present where the load of endpoints is shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadReply>,
    /// The pools whose streams the instance is to record.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    pub mixed: IndexSet<PoolName>,
    /// The instances that reach no endpoints, or that the leader doesn't hear of.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    pub cut: IndexSet<NodeId>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutGrant>,
    /// The voters, if the request knows others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub voters: Option<VoterList>,
    /// For how long no share is expected to be raised: a new leader waits for instances that
    /// hold no lease any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares_in: Option<Millis>,
}

/// The reason for which a renewal is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RenewError {
    #[snafu(display("this voter doesn't lead"))]
    NotLeader { leader: Option<SocketAddr> },
    #[snafu(display("the leader can't grant leases yet"))]
    NotReady,
    #[snafu(display("the roster doesn't have this incarnation of the instance"))]
    NotMember,
    #[snafu(display("a later request of the instance took its place"))]
    Superseded,
}
