//! Stand-ins of endpoints, for tests, the demo and the bench only.

mod announce;
mod control;
mod endpoint;
mod record;
mod scripted;
mod server;
mod spec;

pub mod run;

pub use {
    control::Control,
    record::{Record, RunRecord},
    scripted::{ReceivedRequest, Script, ScriptedEndpoint, Step, header},
    spec::{EndpointSpec, Kind},
};
