//! The status of the whole system, as shown to operators.

use {
    crate::{
        ids::{
            DomainName, EndpointName, Generation, InstanceName, NodeId, PoolName, Slots, Term,
            Version,
        },
        tables::EndpointState,
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The status of the system, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub leader: NodeId,
    pub term: Term,
    /// The version of the latest accepted tables.
    pub version: Version,
    /// The version that every instance with a lease has applied, if known.
    pub in_force: Option<Version>,
    /// The mean age of the reports in the endpoints' summed load, where load is shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_age: Option<Millis>,
    pub members: Vec<MemberStatus>,
    pub endpoints: Vec<EndpointStatus>,
}

/// The status of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub id: NodeId,
    pub name: InstanceName,
    pub domain: DomainName,
    pub peer: SocketAddr,
    /// `voter`, `learner` or `none`, by the committed configuration.
    pub vote: String,
    /// Whether it has a data folder.
    pub disk: bool,
    /// Whether its lease may still be valid.
    pub lease: bool,
    /// The version of the tables that it has applied, if known.
    pub version: Option<Version>,
}

/// The status of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    pub name: EndpointName,
    pub pool: PoolName,
    pub domain: DomainName,
    pub addr: SocketAddr,
    pub generation: Generation,
    pub state: EndpointState,
    pub in_service: bool,
    /// The number of requests that it may be given now over all instances.
    pub allowed: Slots,
    /// The sum of the shares that instances may still use.
    pub granted: Slots,
    /// The requests of all instances in flight there, where load is shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
}
