//! The key of a stream.

use {
    crate::ids::TeamName,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// The text isn't a stream id.
#[derive(Debug, Snafu)]
#[snafu(display("a stream id has 16 hexadecimal digits, not {text:?}"))]
pub struct StreamIdError {
    text: String,
}

/// The digest of a stream's team and of the caller's attempt that brought its first event.
/// Callers choose the ids of their attempts, so that those of two teams may be equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The id of the stream that an attempt began.
    pub fn new(team: Option<&TeamName>, attempt: &str) -> Self {
        let team = team.map_or("", |it| it.as_str());
        let mut hash = Sha256::new();
        hash.update((team.len() as u64).to_be_bytes());
        hash.update(team);
        hash.update(attempt);
        Self(u64::from_be_bytes(hash.finalize()[..8].try_into().expect("a digest has 32 bytes")))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamId {
    type Err = StreamIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let digits = s.len() == 16 && s.bytes().all(|it| it.is_ascii_hexdigit());
        let parsed = u64::from_str_radix(s, 16).ok().filter(|_| digits);
        parsed.map(Self).ok_or_else(|| StreamIdError { text: s.chars().take(64).collect() })
    }
}
