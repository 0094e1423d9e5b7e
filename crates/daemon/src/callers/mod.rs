//! Towards callers: JSON over HTTP, whole answers or server-sent events.
//!
//! Listeners are served by `hyper`, since the bounds that they need (header
//! size, read time, connections, noticing a caller who has gone) can't be had
//! around `tiny_http`; see docs/notes/caller-http.md.

mod body;
mod reply;
mod server;

pub use {
    reply::CallerReply,
    server::{CallerContext, serve},
};
