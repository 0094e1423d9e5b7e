//! The one exchange between an instance and the leader: the instance says
//! what it has and needs, the leader answers with a lease, the tables' steps
//! and endpoint shares. The leader holds the answer back for a while when it
//! has nothing new.

use {
    crate::{
        ids::{
            EndpointName, Generation, Incarnation, Index, NodeId, PoolName, Slots, TeamName, Term,
            Version,
        },
        tables::{Delta, Tables},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// The longest time for which the leader holds an answer back.
pub const LONG_POLL: Millis = Millis(500);

/// What an instance asks the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// Rises with each request of one incarnation.
    pub seq: u64,
    /// How far the instance's copy of the tables has come.
    #[serde(rename = "have")]
    pub applied: Index,
    pub version: Version,
    /// The number of the latest share list that was taken in.
    #[serde(rename = "grants")]
    pub grants_number: u64,
    /// Endpoints with more in flight than the share list allows.
    #[serde(rename = "over")]
    pub excess: Vec<Holding>,
    /// All shares held, when the leader asked for them.
    pub holdings: Option<Vec<Holding>>,
    /// Endpoints that announced themselves here since the last request.
    #[serde(rename = "heard")]
    pub reports: Vec<EndpointReport>,
    #[serde(rename = "trouble")]
    pub faults: Vec<EndpointFault>,
    /// Endpoints that answered well since the last request.
    #[serde(rename = "good")]
    pub healthy: Vec<(EndpointName, Generation)>,
    pub demand: Vec<Demand>,
    /// The teams with requests in flight here.
    pub teams: Vec<TeamUse>,
    /// The instance stops: its answer is a lease that ends at once.
    pub leaving: bool,
}

/// A number of requests at one endpoint.
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
    /// Requests at the endpoint by its own count, which may be out of date.
    pub load: u32,
}

/// What an instance noticed of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFault {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub kind: FaultKind,
}

/// Kinds of trouble with an endpoint; each puts it back to its cold bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It refused work as cold or overloaded.
    Refused,
    /// A connection or a request failed.
    Failed,
    /// It stopped answering.
    Silent,
}

/// What an instance could use in one pool: requests in flight and queued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    pub pool: PoolName,
    #[serde(rename = "flying")]
    pub in_flight: u32,
    pub queued: u32,
}

/// A team's requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    pub team: TeamName,
    #[serde(rename = "flying")]
    pub in_flight: u32,
}

/// The shares of one instance, complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    pub number: u64,
    pub shares: Vec<Holding>,
}

/// How the instance's copy of the tables goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    Same,
    #[serde(rename = "steps")]
    Deltas(Vec<(Index, Delta)>),
    Full(Box<Tables>),
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    pub term: Term,
    pub seq: u64,
    /// How long the lease lasts, from before the request was sent.
    pub lease: Millis,
    pub update: Update,
    /// The position that the tables have after the update.
    pub index: Index,
    pub grants: Option<Grants>,
    /// Loads of the endpoints in the share list.
    pub loads: Vec<EndpointReport>,
    /// Over all instances, for the teams that the request named.
    pub teams: Vec<TeamUse>,
    /// The next request should carry all shares held.
    pub want_holdings: bool,
}

/// Why a renewal isn't answered with a lease.
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
