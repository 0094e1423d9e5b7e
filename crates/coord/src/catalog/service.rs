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
pub struct ColdBound {
    /// How long a start stays cold.
    pub lasts: Millis,
    /// Requests that it bears meanwhile.
    pub rate: Rate,
}

/// A model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTerms {
    /// Requests that it processes at one time.
    pub slots: Slots,
    /// Memory for running requests and cached prompt parts.
    pub memory: Tokens,
}

/// A service that works on batches of pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchTerms {
    /// Calls in progress at one time.
    pub slots: Slots,
    /// Calls that may wait at the endpoint.
    pub waiting: u32,
    /// The most pieces of one call.
    pub pieces: u32,
    /// The fixed time of a call.
    pub call: Millis,
    /// The approximate time of a piece, in microseconds.
    pub piece_us: u64,
    /// Room for results.
    pub room: Bytes,
    /// How long a result is kept.
    pub keeps: Millis,
}

impl BatchTerms {
    /// How long a full call takes.
    pub fn full(&self) -> Millis {
        self.duration(self.pieces)
    }

    /// How long a call of some pieces takes.
    pub fn duration(&self, pieces: u32) -> Millis {
        Millis(self.call.0 + u64::from(pieces) * self.piece_us / 1000)
    }
}

/// A row of the table of services; its name is that of the pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health check.
    pub health: String,
    /// Connections that one endpoint takes from all instances together.
    pub connections: u32,
    pub cold: ColdBound,
    pub engine: Option<EngineTerms>,
    pub batch: Option<BatchTerms>,
}
