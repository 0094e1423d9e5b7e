//! What the endpoints of a pool have in common.

use {
    crate::{
        ids::{Bytes, Rate, Slots, Tokens},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
};

/// What an endpoint bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a start stays cold.
    #[serde(rename = "lasts")]
    pub duration: Millis,
    /// Requests that it bears meanwhile.
    pub rate: Rate,
}

/// A model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that it processes at one time.
    pub slots: Slots,
    /// Memory for running requests and cached prompt parts.
    pub memory: Tokens,
}

/// A service that works on batches of pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Calls in progress at one time.
    pub slots: Slots,
    /// Calls that may wait at the endpoint.
    #[serde(rename = "waiting")]
    pub queue_limit: u32,
    /// The most pieces of one call.
    #[serde(rename = "pieces")]
    pub max_pieces: u32,
    /// The fixed time of a call.
    #[serde(rename = "call")]
    pub call_overhead: Millis,
    /// The approximate time of a piece, in microseconds.
    pub piece_us: u64,
    /// Room for results.
    #[serde(rename = "room")]
    pub result_capacity: Bytes,
    /// How long a result is kept.
    #[serde(rename = "keeps")]
    pub result_ttl: Millis,
}

impl BatchSpec {
    /// How long a full call takes.
    pub fn max_call_duration(&self) -> Millis {
        self.call_duration(self.max_pieces)
    }

    /// How long a call of some pieces takes.
    pub fn call_duration(&self, pieces: u32) -> Millis {
        Millis(self.call_overhead.0 + u64::from(pieces) * self.piece_us / 1000)
    }
}

/// A row of the table of services; its name is that of the pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health check.
    #[serde(rename = "health")]
    pub health_path: String,
    /// Connections that one endpoint takes from all instances together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    #[serde(rename = "cold")]
    pub cold_start: ColdStart,
    pub engine: Option<EngineSpec>,
    pub batch: Option<BatchSpec>,
}
