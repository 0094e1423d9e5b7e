//! The roster of instances.

use {
    crate::ids::{DomainName, Incarnation, InstanceName, NodeId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A row of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: NodeId,
    pub name: InstanceName,
    pub domain: DomainName,
    /// The address on which the instance receives messages from its peers.
    pub peer: SocketAddr,
    /// The address on which it takes relayed requests, also those that other instances
    /// hand over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay: Option<SocketAddr>,
    pub incarnation: Incarnation,
    /// Whether the instance has a data directory and can become a voter.
    pub disk: bool,
}
