//! The daemon of one instance as a library: the core loop and the I/O around
//! it. Other front doors are started beside its own with [`run::ExtraService`].

pub mod accept;
pub mod callers;
mod core;
pub mod disk;
mod endpoints;
pub mod event;
pub mod operators;
pub mod peers;
pub mod relay;
pub mod run;
pub mod settings;
pub mod telemetry;
