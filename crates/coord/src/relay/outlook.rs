//! What an instance knows of the queues of other instances' gatherers.

use {
    crate::{
        ids::PoolName,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// How long a report of a queue counts. Queues grow and shrink within a few
/// calls.
const FRESH: Millis = Millis(1000);

/// The latest reports of how long pieces wait, by pool and priority.
#[derive(Debug, Default)]
pub struct Outlook {
    waits: IndexMap<(PoolName, u8), (Millis, Time)>,
}

impl Outlook {
    /// Takes in a report.
    pub fn report(&mut self, now: Time, pool: &PoolName, priority: u8, wait: Millis) {
        self.waits.insert((pool.clone(), priority), (wait, now));
    }

    /// How long a piece is expected to wait; zero where nothing fresh is known.
    pub fn wait(&self, now: Time, pool: &PoolName, priority: u8) -> Millis {
        let row = self.waits.get(&(pool.clone(), priority));
        let fresh = row.filter(|(_, at)| now.since(*at) <= FRESH);
        fresh.map_or(Millis(0), |(wait, _)| *wait)
    }
}
