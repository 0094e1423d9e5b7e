//! A claim, its settlement and the replies to it.

use {
    crate::{
        ids::{ClaimKey, Fence, Incarnation, NodeId, RequestId, RouteName, TeamName},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    snafu::Snafu,
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Digest of what must be equal in requests with the same key: the first 16
/// bytes of a SHA-256.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request's route, team and input.
    pub fn of(route: &RouteName, team: &TeamName, input: &str) -> Self {
        Self::of_fields(&[route.as_str().as_bytes(), team.as_str().as_bytes(), input.as_bytes()])
    }

    /// Computes the digest of a list of fields.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for it in fields {
            hash.update((it.len() as u64).to_be_bytes());
            hash.update(it);
        }
        let hash = hash.finalize();
        Self(u128::from_be_bytes(hash[..16].try_into().expect("a digest has 32 bytes")))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(s, 16).map(Self)
    }
}

/// A request to claim a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    pub key: ClaimKey,
    pub digest: RequestDigest,
    pub route: RouteName,
    pub team: TeamName,
    /// The ID of the claiming request; the log may hold the same claim twice.
    pub request: RequestId,
    pub owner: NodeId,
    pub incarnation: Incarnation,
    /// The leader's wall clock when it received the claim.
    pub at: WallTime,
}

/// A stored answer, which the caller received or would have received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub output: String,
}

/// The result of the run under a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// The request ran; its answer is stored.
    Ran(Answer),
    /// No endpoint began the request; the key is free again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The state of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    Running,
    Ran(Answer),
    Unknown,
}

/// A row of the table of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub key: ClaimKey,
    pub digest: RequestDigest,
    pub route: RouteName,
    pub team: TeamName,
    pub request: RequestId,
    pub owner: NodeId,
    pub incarnation: Incarnation,
    /// Fencing token; increases with each claim of any key.
    pub fence: Fence,
    pub at: WallTime,
    pub state: ClaimState,
    /// The operator who settled it by hand, if any.
    pub resolved: Option<String>,
}

/// The result of a claim or of its settlement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The claiming request may run once.
    Granted { fence: Fence },
    /// Another request holds the key and is still running.
    Running,
    /// The stored answer of an earlier request.
    Ran(Answer),
    /// The outcome of an earlier request is unknown.
    Unknown,
    /// The claim is settled.
    Settled,
}

/// Why a claim or settlement is refused. Nothing may run after a refused claim.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimError {
    #[snafu(display("the key was used for another request"))]
    Mismatch,
    #[snafu(display("the key is older than the time for which keys are kept"))]
    Expired,
    #[snafu(display("the key's time lies in the future"))]
    Future,
    #[snafu(display("no more keys can be kept"))]
    Full,
    #[snafu(display("the key has no claim that can be settled so"))]
    NotOpen,
}
