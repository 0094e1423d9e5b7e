//! Raft consensus, after "In Search of an Understandable Consensus Algorithm"
//! (Ongaro and Ousterhout, 2014), with pre-vote, leader leases, leadership
//! transfer and single-server membership changes from Ongaro's dissertation,
//! and the fix to those changes of 2015: a leader changes the voters only after
//! an entry of its own term is committed.
//!
//! The module does no I/O. The embedder passes messages to [`Raft::step`] and
//! time to [`Raft::tick`], takes a [`Batch`], makes its operations durable in
//! order, reports that with [`Raft::synced`], sends the batch's messages and
//! applies the entries that [`Raft::take_committed`] returns. Messages from
//! [`Raft::take_ready`] can be sent at once.

mod acknowledged;
mod config;
mod election;
mod log;
mod message;
mod progress;
#[allow(clippy::module_inception)]
mod raft;
mod replication;

pub use {
    acknowledged::Acknowledged,
    config::Config,
    log::{Entry, Log, Payload, Snapshot},
    message::{Message, Outgoing},
    progress::Progress,
    raft::{
        Batch, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, HardState, LogOp,
        ProposeError, Raft, RestoredState, Role,
    },
};
