//! Times and durations. The current time is always passed in by the embedding
//! program.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, ops::Add, str::FromStr},
};

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

/// A time of the embedding program's monotonic clock, in milliseconds since an
/// arbitrary origin. Values of different processes can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A wall-clock time in milliseconds since the Unix epoch. It timestamps records
/// and decides when idempotency keys expire; leases don't depend on it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl Time {
    /// The time elapsed since `earlier`, or zero if that is later.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Time {
    type Output = Self;

    fn add(self, rhs: Millis) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    /// Parses an integer number of milliseconds, with or without the unit `ms`.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix("ms").unwrap_or(s).parse().map(Self)
    }
}
