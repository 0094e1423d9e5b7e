//! Endpoints as described by their announcements.

use {
    crate::ids::{DomainName, EndpointName, Generation, PoolName, Slots, SoftwareVersion},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state that an endpoint announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In a cold start: accepts at most `cold_slots` concurrent requests.
    Cold,
    /// Accepts at most `slots` concurrent requests.
    Warm,
    /// Draining: accepts no new requests and finishes those in progress.
    Leaving,
}

/// A row of the endpoint table: the latest announcement that changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    pub name: EndpointName,
    pub pool: PoolName,
    pub domain: DomainName,
    pub addr: SocketAddr,
    /// Increases with each start of the endpoint.
    pub generation: Generation,
    pub state: EndpointState,
    /// Concurrent requests when warm.
    pub slots: Slots,
    /// Concurrent requests during a cold start.
    pub cold_slots: Slots,
    /// `None` if the endpoint doesn't name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
}

impl Endpoint {
    /// Whether this announcement replaces the current row `old`. One of an
    /// earlier generation never does, and a leaving endpoint stays leaving until
    /// a later generation starts.
    pub fn supersedes(&self, old: &Self) -> bool {
        match self.generation.cmp(&old.generation) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => old.state != EndpointState::Leaving && self != old,
        }
    }
}
