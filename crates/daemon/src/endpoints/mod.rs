//! Towards endpoints: calls of stages, and the endpoints' announcements.

mod call;
mod client;
mod listener;

pub use {client::EndpointClient, listener::listen};
