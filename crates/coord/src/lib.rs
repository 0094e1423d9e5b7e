//! Coordination parts of a serving system for multi-stage model pipelines.
//!
//! The crate does no I/O, reads no clock and starts no thread. An embedder
//! passes in time and messages and carries out the effects that are handed
//! out. State lives in tables; systems run over them on each tick.

pub mod catalog;
pub mod claims;
pub mod control;
pub mod ids;
pub mod prelude;
pub mod raft;
pub mod relay;
pub mod router;
pub mod tables;
pub mod time;
pub mod wire;
