//! The bounds on what clients can make the process hold: bytes of bodies, connections and
//! descriptors. What to admit, hold back or close is decided by [`coord::memory`].

mod acceptor;
mod body_reader;
mod descriptors;
mod guarded_body;
mod guarded_stream;
#[allow(clippy::module_inception)]
mod memory;
mod refusals;
mod room;
mod turns;

pub use {
    acceptor::{Acceptor, ConnectionGuard, client_addr},
    body_reader::{BodyBounds, BodyError, HeldBody, read_body, read_held},
    descriptors::{Descriptor, Descriptors},
    guarded_body::GuardedBody,
    guarded_stream::{GuardedStream, poll_read_some},
    memory::{BodyRooms, Memory, MemorySettings},
    refusals::note_refusal,
    room::{NoRoom, Room, Share},
    turns::{ConfigurationTurn, ConfigurationTurns},
};
