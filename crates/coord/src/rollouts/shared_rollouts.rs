//! A gate shared by all that sends to endpoints in one process.

use {
    super::RolloutGate,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// A handle to the rollout gate of this instance.
#[derive(Debug, Clone, Default)]
pub struct SharedRollouts(Arc<Mutex<RolloutGate>>);

impl SharedRollouts {
    /// Locks the gate. Never held across an await or a send.
    pub fn lock(&self) -> MutexGuard<'_, RolloutGate> {
        // No method of the gate panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
