//! The HTTP interface for callers: JSON answers or server-sent events.
//!
//! Listeners are served by `hyper`, since `tiny_http` can't limit the header
//! size, the read time and the number of connections, nor detect that a caller
//! has disconnected; see docs/notes/caller-http.md.

mod body;
mod reply;
mod server;

pub use {
    reply::CallerReply,
    server::{CallerContext, serve},
};
