//! Fixture: a route with stages, a stream route and a plain one with their endpoints, callers
//! that keep their connections, and the check of what each of them got.
#![allow(dead_code, unused_imports)]

mod check;
mod endpoints;
mod load;

pub use {
    check::{Runs, find_fault},
    endpoints::{RelayedEndpoints, has_last_event, relayed_catalog},
    load::{Load, LoadSpec, Route, request_text},
};
