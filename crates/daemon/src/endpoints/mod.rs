//! Communication with endpoints: calls that run stages, and announcements from
//! the endpoints.

mod call;
mod client;
mod listener;

pub use {client::EndpointClient, listener::listen};
