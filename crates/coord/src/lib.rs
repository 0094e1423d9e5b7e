//! Coordination logic of a serving system for multi-stage model pipelines.
//!
//! The crate does no I/O, reads no clock and starts no threads. The embedding
//! program passes in the time and messages and executes the returned effects.
//! State is held in tables, which the components update on each tick.

pub mod admission;
pub mod catalog;
pub mod claims;
pub mod control;
pub mod ids;
pub mod limits;
pub mod load;
pub mod memory;
pub mod packed;
pub mod prelude;
pub mod raft;
pub mod relay;
pub mod rollouts;
pub mod router;
pub mod size;
pub mod streams;
pub mod tables;
pub mod time;
pub mod wire;
