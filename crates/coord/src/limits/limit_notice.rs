//! What an answer says of the limit of its endpoint.

use crate::ids::Rate;

/// Upper bound of a limit; a higher one means the same.
pub const MAX_LIMIT: Rate = Rate(1_000_000_000);

/// What the head of an answer says of the requests that its endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// No more than this rate, from all instances together.
    Named(Rate),
    /// The endpoint names no limit.
    Absent,
    /// The value isn't a number of requests; it neither sets a limit nor ends one.
    Unreadable,
}

/// Parses the value of a limit header, in requests per second, with or without a
/// fraction. Negative and infinite values aren't limits.
pub fn parse_limit(text: &str) -> Option<Rate> {
    let rate: f64 = text.trim().parse().ok().filter(|it: &f64| it.is_finite() && *it >= 0.0)?;
    Some(Rate((rate * 1000.0).min(MAX_LIMIT.0 as f64) as u64))
}
