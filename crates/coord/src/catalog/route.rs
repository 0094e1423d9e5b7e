//! Routes of relayed requests.

use {
    crate::{
        ids::{Bytes, PoolName, RouteName},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
};

/// What may be done again after a failure whose outcome isn't known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Runs as often as it takes.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that can go on elsewhere after its last event.
    ResumableStream,
}

/// A part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    pub pool: PoolName,
    pub weight: u32,
}

/// Work that must be done before a request can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStage {
    pub pool: PoolName,
    /// Positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// The approximate size of one result.
    #[serde(rename = "size")]
    pub result_size: Bytes,
}

/// Which requests there are at one place, and what becomes of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRoute {
    pub name: RouteName,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// The longest time for which a caller is kept waiting.
    pub timeout: Millis,
    /// An answer within this time is on time; of a stream, its first event.
    #[serde(rename = "target")]
    pub latency_target: Millis,
    /// 0 is the most urgent.
    pub priority: u8,
    pub split: Vec<Split>,
    /// The most endpoints that one attempt of a caller may run on.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    pub stages: Vec<RelayStage>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests say which parts of a prompt they share.
    pub sticky: bool,
    /// The longest pause between two events of a stream that is on time.
    #[serde(rename = "pause")]
    pub event_gap: Option<Millis>,
}

impl RelayRoute {
    /// Picks a pool by weight with a number drawn evenly from all of `u64`.
    pub fn pick(&self, draw: u64) -> Option<&PoolName> {
        let total: u64 = self.split.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for it in &self.split {
            match left.checked_sub(u64::from(it.weight)) {
                Some(rest) => left = rest,
                None => return Some(&it.pool),
            }
        }
        None
    }

    /// Positions of the stages whose results the request itself needs: those
    /// that no other stage follows.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        let is_needed = |at: &usize| self.stages.iter().any(|it| it.after.contains(at));
        (0..self.stages.len()).filter(move |at| !is_needed(at))
    }
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether it may run a second time after an unknown outcome.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}
