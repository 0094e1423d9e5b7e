//! Tracks the queue waits that the batchers of shards report.

use {
    super::{Shard, rank},
    crate::{
        ids::DomainName,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// Age at which a report expires; queues grow and shrink within a few calls.
const MAX_REPORT_AGE: Millis = Millis(1000);

/// How long a shard is avoided after none of its endpoints answered: about as
/// long as the pause of an endpoint that failed twice.
const AVOID_TIME: Millis = Millis(1000);
/// Wait added to shards outside the preferred failure domain, since the next
/// stage reads their results over slower links; about the fixed cost of a call.
const REMOTE_PENALTY: Millis = Millis(200);

/// Latest reported waits, by shard and priority.
#[derive(Debug, Default)]
pub struct QueueWaits {
    reports: IndexMap<(Shard, u8), (Millis, Time)>,
    /// Time until which a shard is avoided.
    avoided: IndexMap<Shard, Time>,
}

impl QueueWaits {
    /// Records the wait that a batcher reported.
    pub fn record(&mut self, now: Time, shard: &Shard, priority: u8, wait: Millis) {
        self.reports.insert((shard.clone(), priority), (wait, now));
    }

    /// Avoids a shard for a while because none of its endpoints answers.
    pub fn avoid(&mut self, now: Time, shard: &Shard) {
        self.avoided.insert(shard.clone(), now + AVOID_TIME);
    }

    /// Sorts shards into the order in which they are tried: the one of the preferred
    /// failure domain first, unless its queue is much longer than another's. Ties
    /// are broken by a hash of the key.
    pub fn order(
        &self,
        now: Time,
        mut shards: Vec<Shard>,
        preferred: Option<&DomainName>,
        priority: u8,
        key: &[u8],
    ) -> Vec<Shard> {
        shards.sort_by_cached_key(|it| {
            let avoided = self.avoided.get(it).is_some_and(|until| *until > now);
            let penalty = if it.domain.as_ref() == preferred { Millis(0) } else { REMOTE_PENALTY };
            let cost = self.wait(now, it, priority) + penalty;
            (avoided, cost, rank(key, it.to_string().as_bytes()))
        });
        shards
    }

    /// Returns the expected wait of a piece; zero without a recent report.
    pub fn wait(&self, now: Time, shard: &Shard, priority: u8) -> Millis {
        let report = self.reports.get(&(shard.clone(), priority));
        let fresh = report.filter(|(_, at)| now.since(*at) <= MAX_REPORT_AGE);
        fresh.map_or(Millis(0), |(wait, _)| *wait)
    }
}
