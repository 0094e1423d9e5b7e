//! The daemon of one instance as a library: the core loop and the I/O around it.
//! Embedding programs add services of their own as [`run::ExtraService`].

mod answer_notices;
pub mod callers;
mod chunk_support;
mod core;
mod crash_check;
pub mod disk;
mod endpoints;
pub mod event;
mod flushed_body;
pub mod memory;
pub mod operators;
pub mod peers;
pub mod relay;
pub mod rollout_handle;
pub mod run;
pub mod settings;
mod sockets;
pub mod tables_clock;
pub mod telemetry;
