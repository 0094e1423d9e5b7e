//! What may crash endpoints.

use {
    crate::{
        claims::RequestDigest,
        ids::{NameError, PoolName, PromptPart},
    },
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Precedes the digest of a request in text; names of parts don't hold it.
const DIGEST_MARK: char = '#';

/// A property of requests that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Suspect {
    /// A part that a prompt shares with others.
    Part(PromptPart),
    /// The whole request: its caller, path and body.
    Request(RequestDigest),
}

/// The text names no part and no request.
#[derive(Debug, Snafu)]
pub enum SuspectError {
    #[snafu(display("invalid part: {source}"))]
    Part { source: NameError },
    #[snafu(display("invalid digest: {source}"))]
    Digest { source: ParseIntError },
}

/// A suspect among the requests to one pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectKey {
    pub pool: PoolName,
    #[serde(rename = "part")]
    pub suspect: Suspect,
}

/// What endpoints have crashed under, as the leader tells instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspects {
    pub all: IndexSet<SuspectKey>,
    /// The requests among them that only one instance may send, one at a time.
    pub trials: IndexSet<SuspectKey>,
}

impl Suspects {
    /// Whether a pool has any.
    pub fn concern(&self, pool: &PoolName) -> bool {
        self.all.iter().any(|it| it.pool == *pool)
    }
}

impl Suspect {
    /// Whether it is a whole request.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(digest) => write!(f, "{DIGEST_MARK}{digest}"),
        }
    }
}

impl FromStr for Suspect {
    type Err = SuspectError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s.strip_prefix(DIGEST_MARK) {
            Some(digest) => digest.parse().map(Self::Request).context(DigestSnafu),
            None => s.parse().map(Self::Part).context(PartSnafu),
        }
    }
}

impl TryFrom<String> for Suspect {
    type Error = SuspectError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<Suspect> for String {
    fn from(suspect: Suspect) -> Self {
        suspect.to_string()
    }
}
