//! The clock of the relay's decisions.

use {coord::time::Time, std::time::Instant};

/// Returns the time since `start` plus 1 ms, so never zero.
pub fn time_since(start: Instant) -> Time {
    Time(start.elapsed().as_millis() as u64 + 1)
}
