//! When callers of refused requests are told to retry.

use crate::{raft::ELECTION_TIMEOUT_MAX, time::Millis};

/// Callers obey a retry time up to this part of the time that they have left.
const OBEYED_DIVISOR: u64 = 3;
/// The part of a retry time by which it varies at least, if the caller's time bounds it.
const VARIATION_DIVISOR: u64 = 8;
/// Retry times are sent in hundredths of a second; rounded up, they could exceed the bound.
const RESOLUTION: Millis = Millis(10);

/// The range of the retry times for one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryTime {
    /// The time in which the cause usually ends.
    pub least: Millis,
    /// Retries are spread over this time after it.
    pub spread: Millis,
}

impl RetryTime {
    /// An instance without a catalog has just started. If all have, voters wait up to
    /// [`ELECTION_TIMEOUT_MAX`] until one of them stands for election. Tables follow it after
    /// tens of milliseconds: a vote, and a renewal that is sent again each 60 ms. A second
    /// election, if votes are split, takes longer than most callers have.
    pub const NO_CATALOG: Self = Self { least: ELECTION_TIMEOUT_MAX, spread: Millis(400) };

    /// Returns the retry time of a caller that has `left` until its deadline, if that is
    /// known. `draw` is a random number from 0 to 1.
    ///
    /// A caller that has less than three times the range retries as late as it obeys: earlier,
    /// its retry is spent while the cause lasts.
    pub fn within(&self, left: Option<Millis>, draw: f64) -> Millis {
        let bound = left.map(|it| Millis(it.0 / OBEYED_DIVISOR));
        let latest = (self.least + self.spread).min(bound.unwrap_or(Millis(u64::MAX)));
        let earliest = self.least.min(Millis(latest.0 - latest.0 / VARIATION_DIVISOR));
        let wait = earliest.0 + ((latest.0 - earliest.0) as f64 * draw) as u64;
        Millis(wait / RESOLUTION.0 * RESOLUTION.0)
    }
}
