//! Placement of requests by the summed load of endpoints, or by this instance's own count
//! where that isn't shared or is too old.

use {
    super::{clock::time_since, relay::Relay},
    coord::{
        load::{LoadChoice, LoadSend, SharedLoad},
        relay::Preferences,
        tables::Endpoint,
        time::{Millis, Time},
    },
    metrics::counter,
    std::time::Instant,
};

/// The sums that an endpoint was chosen by.
#[derive(Debug, Clone, Copy)]
pub struct TableUse {
    pub age: Millis,
    /// The estimated number of requests of all instances in flight there.
    pub estimate: f64,
}

/// An endpoint chosen for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    pub endpoint: Endpoint,
    /// `None` if this instance's own count decided.
    pub table: Option<TableUse>,
}

impl Placement {
    /// Counts the placement by how it was made.
    pub fn count(&self) {
        let by = if self.table.is_some() { "table" } else { "own" };
        counter!("mangobend_placements_total", "by" => by).increment(1);
    }
}

/// Counts a request in this instance's view of the load until dropped.
pub struct LoadGuard {
    load: SharedLoad,
    send: LoadSend,
    start: Instant,
    answered: bool,
}

impl LoadGuard {
    /// Records that the endpoint has answered, so that the run time counts.
    pub fn record_answer(&mut self) {
        self.answered = true;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.load.lock().end(time_since(self.start), &self.send, self.answered);
    }
}

impl Relay {
    /// Chooses among endpoints that accept work.
    pub fn place(
        &self,
        now: Time,
        endpoints: &[&Endpoint],
        preferences: &Preferences<'_>,
    ) -> Option<Placement> {
        let mut load = self.load.lock();
        if load.age(now).is_some() {
            let candidates = self.placer().candidates(now, endpoints, preferences)?;
            if let Some(LoadChoice { endpoint, age, estimate }) =
                load.choose(now, &candidates, preferences)
            {
                let table = Some(TableUse { age, estimate });
                return Some(Placement { endpoint: endpoint.clone(), table });
            }
        }
        drop(load);
        let endpoint = self.placer().choose(now, endpoints, preferences)?;
        Some(Placement { endpoint: endpoint.clone(), table: None })
    }

    /// Counts a request in the view of the load until the guard is dropped.
    pub(super) fn begin_load(&self, endpoint: &Endpoint) -> LoadGuard {
        let send = self.load.lock().begin(self.now(), &endpoint.name, endpoint.generation);
        LoadGuard { load: self.load.clone(), send, start: self.start, answered: false }
    }
}
