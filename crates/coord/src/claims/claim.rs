//! One claim and the answers to it.

use {
    crate::{
        ids::{ClaimKey, Fence, Incarnation, NodeId, RequestId, RouteName, TeamName},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    snafu::Snafu,
};

/// A digest of everything that makes two requests the same intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest(u128);

impl BodyDigest {
    /// The digest of a request's route, team and input.
    pub fn of(route: &RouteName, team: &TeamName, input: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [route.as_str(), team.as_str(), input] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
        let hash = hash.finalize();
        Self(u128::from_be_bytes(hash[..16].try_into().expect("a digest has 32 bytes")))
    }
}

/// A wish to run the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    pub key: ClaimKey,
    pub digest: BodyDigest,
    pub route: RouteName,
    pub team: TeamName,
    /// The request that asks; the same wish may be in the log twice.
    pub request: RequestId,
    pub owner: NodeId,
    pub incarnation: Incarnation,
    /// The leader's wall clock when it took the wish.
    pub at: WallTime,
}

/// A stored answer: what the caller got or would have got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub output: String,
}

/// How a claim ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// The effect happened; the answer is kept.
    Ran(Answer),
    /// No endpoint can have begun; the key is free again.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

/// Where a claim stands.
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
    pub digest: BodyDigest,
    pub route: RouteName,
    pub team: TeamName,
    pub request: RequestId,
    pub owner: NodeId,
    pub incarnation: Incarnation,
    /// Higher for each claim of any key.
    pub fence: Fence,
    pub at: WallTime,
    pub state: ClaimState,
    /// Who settled it by hand, if somebody did.
    pub resolved: Option<String>,
}

/// What a claim or its settlement led to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The asker may run the request, once.
    Granted { fence: Fence },
    /// The first one still runs.
    Running,
    /// The stored answer.
    Ran(Answer),
    /// The first one's outcome isn't known.
    Unknown,
    /// The settlement stands.
    Settled,
}

/// Why a claim is refused. None of these runs anything.
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
