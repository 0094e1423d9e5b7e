//! The specification of a stand-in.

use {
    coord::ids::{DomainName, EndpointName, PoolName, Slots},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The kind of endpoint that a stand-in simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine: streams its answer in pieces and has a cold start.
    Engine,
    /// A service: answers at once and records each effect.
    Service,
}

/// A stand-in. Times are in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointSpec {
    pub name: EndpointName,
    pub pool: PoolName,
    pub domain: DomainName,
    pub kind: Kind,
    /// Calls that run at the same time.
    pub slots: Slots,
    /// Calls that may be in flight while cold.
    pub cold_slots: Slots,
    /// The duration of a cold start.
    pub cold_ms: u64,
    /// The time before the first piece.
    pub base_ms: u64,
    /// Additional time per 1000 bytes of input.
    pub size_ms: u64,
    /// The number of pieces in an answer; 0 means 1.
    pub pieces: u32,
    /// The time before each piece.
    pub piece_ms: u64,
    /// The address to listen on; port 0 picks a free one.
    #[serde(default = "any")]
    pub listen: SocketAddr,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
