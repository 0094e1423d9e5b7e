//! This instance's rollout gate, with a cheap check for deployments that need none.

use {
    coord::{
        ids::{PoolName, SoftwareVersion},
        rollouts::{RolloutGate, RolloutReport, RolloutSend, SharedRollouts},
        tables::Tables,
        time::Time,
    },
    indexmap::IndexMap,
    std::sync::{
        Arc, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

/// A handle to the gate that sends to pools with a rollout pass.
#[derive(Debug, Clone, Default)]
pub struct RolloutHandle {
    gate: SharedRollouts,
    is_used: Arc<AtomicBool>,
    /// Whether the tables have rollouts.
    has_rollouts: Arc<AtomicBool>,
}

impl RolloutHandle {
    /// Locks the gate; `None` if no pool has a rollout or endpoints of several versions. Never
    /// held across an await or a send.
    pub fn gate(&self) -> Option<MutexGuard<'_, RolloutGate>> {
        self.is_used.load(Ordering::Acquire).then(|| self.gate.lock())
    }

    /// Whether the tables have rollouts, also ended ones.
    pub fn has_rollouts(&self) -> bool {
        self.has_rollouts.load(Ordering::Acquire)
    }

    /// Locks the gate for the end of a send that it counts, also if no pool needs it any more:
    /// otherwise the send would count as in flight in all later rollouts of its pool.
    pub fn gate_of(&self, _send: &RolloutSend) -> MutexGuard<'_, RolloutGate> {
        self.gate.lock()
    }

    /// Returns the part of a renewal about rollouts; `None` without any.
    pub fn take_reports(&self, now: Time) -> Option<Vec<RolloutReport>> {
        self.has_rollouts().then(|| self.gate.lock().take_reports(now))
    }

    /// Takes in the rollouts and endpoints of the tables. While endpoints of a pool run
    /// several versions, a rollout may have been ordered that this instance hasn't heard of,
    /// so that sends are counted then too.
    pub fn reload(&self, now: Time, tables: &Tables) {
        let is_used = !tables.rollouts.is_empty() || has_mixed_pool(tables);
        if is_used || self.is_used.load(Ordering::Acquire) {
            self.gate.lock().reload(now, &tables.rollouts, &tables.endpoints);
        }
        self.has_rollouts.store(!tables.rollouts.is_empty(), Ordering::Release);
        self.is_used.store(is_used, Ordering::Release);
    }
}

/// Whether the endpoints of some pool run several versions.
fn has_mixed_pool(tables: &Tables) -> bool {
    let mut versions: IndexMap<&PoolName, &Option<SoftwareVersion>> = IndexMap::new();
    let mut endpoints = tables.endpoints.values();
    endpoints.any(|it| *versions.entry(&it.pool).or_insert(&it.version) != &it.version)
}
