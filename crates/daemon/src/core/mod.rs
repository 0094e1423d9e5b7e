//! The core loop: a `stakker` actor on one thread that never blocks. It passes
//! time and messages to the state machines of `coord` and carries out their
//! actions.

mod callers;
mod context;
#[allow(clippy::module_inception)]
mod core;
mod leader;
mod load;
mod operators;
mod peers;
mod proposals;
mod renewals;
mod rollouts;
mod stop;
mod streams;

pub use {context::Context, core::Core};
