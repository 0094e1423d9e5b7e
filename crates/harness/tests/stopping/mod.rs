//! Fixture: entry instances under planned stops, and the check of what callers got.

mod check;
mod system;

pub use {
    check::check_exchanges,
    system::{ENTRIES, NOTICE, STOP_BOUND, Stop, System},
};
