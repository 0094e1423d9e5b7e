//! The properties shared by all endpoints of a pool.

use {
    crate::{
        ids::{Bytes, Rate, Slots, Tokens},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
};

// The names of the following three structs are part of error texts sent to operators.

/// The cold start of an endpoint and its capacity meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ColdBound {
    /// How long a cold start lasts.
    #[serde(rename = "lasts")]
    pub duration: Millis,
    /// The request rate that the endpoint sustains during a cold start.
    pub rate: Rate,
}

/// The capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTerms {
    /// Requests processed concurrently.
    pub slots: Slots,
    /// The size of the KV cache, for running requests and cached prompt
    /// prefixes.
    pub memory: Tokens,
}

/// The limits and timing of a service that processes pieces in batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchTerms {
    /// Calls processed concurrently.
    pub slots: Slots,
    /// Calls that may queue at the endpoint.
    #[serde(rename = "waiting")]
    pub queue_limit: u32,
    /// The most pieces in one call.
    #[serde(rename = "pieces")]
    pub max_pieces: u32,
    /// The fixed part of a call's duration.
    #[serde(rename = "call")]
    pub call_overhead: Millis,
    /// The approximate processing time per piece, in microseconds.
    pub piece_us: u64,
    /// The memory of an endpoint for retained results.
    #[serde(rename = "room")]
    pub result_capacity: Bytes,
    /// How long an endpoint retains a result.
    #[serde(rename = "keeps")]
    pub result_ttl: Millis,
}

impl BatchTerms {
    /// The duration of a call with `max_pieces`.
    pub fn max_call_duration(&self) -> Millis {
        self.call_duration(self.max_pieces)
    }

    /// The duration of a call with the given number of pieces.
    pub fn call_duration(&self, pieces: u32) -> Millis {
        Millis(self.call_overhead.0 + u64::from(pieces) * self.piece_us / 1000)
    }
}

/// A row of the service table, which is keyed by pool name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The HTTP path of the health check.
    #[serde(rename = "health")]
    pub health_path: String,
    /// The most connections to one endpoint from all instances together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    #[serde(rename = "cold")]
    pub cold_start: ColdBound,
    pub engine: Option<EngineTerms>,
    pub batch: Option<BatchTerms>,
}
