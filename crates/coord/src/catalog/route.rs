//! Routes of relayed requests.

use {
    crate::{
        ids::{Bytes, PoolName, RouteName},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
};

/// Whether a request may be retried after an attempt with an unknown outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    Once,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another endpoint can resume after the last event
    /// received.
    ResumableStream,
}

/// A weighted share of a route's requests that goes to one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    pub pool: PoolName,
    pub weight: u32,
}

/// Preparatory work that must finish before a request can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStage {
    pub pool: PoolName,
    /// The positions of the stages whose results this stage needs.
    pub after: Vec<usize>,
    /// The approximate size of one result.
    #[serde(rename = "size")]
    pub result_size: Bytes,
}

/// The configuration of the requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRoute {
    pub name: RouteName,
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// The maximum time until the caller is answered.
    pub timeout: Millis,
    /// The latency objective of the answer or, for a stream, of its first event.
    #[serde(rename = "target")]
    pub latency_target: Millis,
    /// 0 is the most urgent.
    pub priority: u8,
    pub split: Vec<Split>,
    /// The most runs on endpoints per attempt of the caller.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    pub stages: Vec<RelayStage>,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests declare the prompt prefixes that they share, so that they
    /// can go to an endpoint that has these cached.
    pub sticky: bool,
    /// The objective for the time between two events of a stream.
    #[serde(rename = "pause")]
    pub event_gap: Option<Millis>,
}

impl RelayRoute {
    /// The host and prefix, which no two routes of a catalog share.
    pub fn key(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }

    /// Picks a pool by weight. `draw` is uniformly random over all of `u64`.
    /// Returns nothing if the weights sum to zero.
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

    /// The positions of the stages whose results the request itself needs: those
    /// that no other stage depends on.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        let is_dependency = |i: &usize| self.stages.iter().any(|it| it.after.contains(i));
        (0..self.stages.len()).filter(move |i| !is_dependency(i))
    }
}

impl RetryPolicy {
    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether the request may run again after an attempt with an unknown
    /// outcome.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}
