//! Calls between instances, as JSON-RPC over WebSocket.

mod call;
mod client;
mod guarded_socket;
mod server;

pub use {
    call::{AdminAnswer, AdminRequest, LeaderAnswer, PeerAnswer, PeerCall, PeerError, Responder},
    client::{Outgoing, PeerClient},
    server::serve,
};

/// The largest message between instances.
pub const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
