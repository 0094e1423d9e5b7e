//! Limits on how many requests a second endpoints take from all instances together: those
//! that they name in their answers, and those of a cold start, which are in the tables. An
//! endpoint may also name how many requests a second it may reject (brittle).
//!
//! Instances report what they read to the leader. The leader tells all of them which
//! endpoints are limited and grants single sends, each for a short time. An instance
//! sends nothing to a limited endpoint without a grant, so that the limit holds in sum
//! whatever instances or leaders fail.

mod brittle;
mod knowledge;
mod limit_gate;
mod limit_notice;
mod limit_table;
mod message;
mod shared_gate;

pub use {
    limit_gate::{COLD_GRANT_VALIDITY, GRANT_VALIDITY, LimitChange, LimitGate, SendPermit},
    limit_notice::{LimitNotice, MAX_LIMIT, parse_limit},
    limit_table::{ANNOUNCEMENT_DELAY, CREDIT_TIME, GRANT_INTERVAL, LimitTable, MIN_LIMIT},
    message::{
        BrittlePressure, EndpointDoubt, EndpointLimit, LimitDemand, LimitList, LimitListUpdate,
        LimitReply, LimitReport, LimitRequest, SendGrant,
    },
    shared_gate::SharedGate,
};
