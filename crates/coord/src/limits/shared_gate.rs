//! A gate shared by all that sends to endpoints in one process.

use {
    super::LimitGate,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// A handle to the gate of this instance.
#[derive(Debug, Clone, Default)]
pub struct SharedGate(Arc<Mutex<LimitGate>>);

impl SharedGate {
    /// Locks the gate. Never held across an await or a send.
    pub fn lock(&self) -> MutexGuard<'_, LimitGate> {
        // No method of the gate panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
