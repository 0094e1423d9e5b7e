//! Simulated endpoints ("stand-ins") for tests, the demo and the benchmarks.

mod announce;
mod control;
mod crashing;
mod endpoint;
mod flawed;
mod framed_answer;
mod limited;
mod record;
mod restarting;
mod scripted;
mod server;
mod spec;
mod versioned;

pub mod run;

pub use {
    control::Control,
    crashing::{AnswerForm, Arrival, CrashPoint, CrashSpec, CrashingEndpoint, Outage, Poison},
    flawed::{Flaw, FlawedEndpoint},
    framed_answer::{AnswerEnd, AnswerFraming, FramedAnswer, signed_response},
    limited::LimitedEndpoint,
    record::{Record, RunRecord},
    restarting::RestartingAddr,
    scripted::{ReceivedRequest, Script, ScriptedEndpoint, Step, header},
    spec::{EndpointSpec, Kind},
    versioned::{BREAK_HEADER, STREAM_EVENTS, VersionedEndpoint},
};
