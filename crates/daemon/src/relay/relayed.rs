//! What the core loop and the relay tell each other.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Shared between the core loop and the relay.
#[derive(Debug, Default)]
pub struct Relayed {
    stopping: AtomicBool,
    held: AtomicUsize,
}

/// Counts one held request while it lives.
pub struct HeldGuard(std::sync::Arc<Relayed>);

impl Relayed {
    /// Notes that a planned stop has begun.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Relayed requests that have no whole answer yet.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Counts a request as held until the guard is dropped.
    pub fn hold(self: &std::sync::Arc<Self>) -> HeldGuard {
        self.held.fetch_add(1, Ordering::Relaxed);
        HeldGuard(self.clone())
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}
