//! What an instance knows of the queues of other instances' gatherers.

use {
    super::{Shard, rank},
    crate::{
        ids::DomainName,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// How long a report of a queue counts. Queues grow and shrink within a few
/// calls.
const MAX_REPORT_AGE: Millis = Millis(1000);

/// How long a shard gets no piece after none of its endpoints answered; about as
/// long as an endpoint is paused that failed twice.
const AVOID_TIME: Millis = Millis(1000);
/// How much shorter another shard's queue must be than that of the preferred
/// failure domain: about the fixed part of a call, since the next stage reads
/// the results over slower links.
const REMOTE_PENALTY: Millis = Millis(200);

/// The latest reports of how long pieces wait, by shard and priority.
#[derive(Debug, Default)]
pub struct QueueWaits {
    reports: IndexMap<(Shard, u8), (Millis, Time)>,
    /// Until when a shard is avoided.
    avoided: IndexMap<Shard, Time>,
}

impl QueueWaits {
    /// Takes in a report.
    pub fn record(&mut self, now: Time, shard: &Shard, priority: u8, wait: Millis) {
        self.reports.insert((shard.clone(), priority), (wait, now));
    }

    /// Takes in that no endpoint of a shard answers.
    pub fn avoid(&mut self, now: Time, shard: &Shard) {
        self.avoided.insert(shard.clone(), now + AVOID_TIME);
    }

    /// The shards in the order in which they are asked: the one of the preferred
    /// failure domain, unless its queue is much longer than another's. Equal
    /// ones are drawn by the key.
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

    /// How long a piece is expected to wait; zero where nothing fresh is known.
    pub fn wait(&self, now: Time, shard: &Shard, priority: u8) -> Millis {
        let report = self.reports.get(&(shard.clone(), priority));
        let fresh = report.filter(|(_, at)| now.since(*at) <= MAX_REPORT_AGE);
        fresh.map_or(Millis(0), |(wait, _)| *wait)
    }
}
