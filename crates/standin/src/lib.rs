//! Simulated endpoints ("stand-ins") for tests, the demo and the benchmarks.

mod announce;
mod control;
mod endpoint;
mod record;
mod scripted;
mod server;
mod spec;
mod stream_answer;

pub mod run;

pub use {
    control::Control,
    record::{Record, RunRecord},
    scripted::{ReceivedRequest, Script, ScriptedEndpoint, Step, header},
    spec::{EndpointSpec, Kind},
    stream_answer::{AnswerEnd, AnswerFraming, StreamAnswer, signed_response},
};
