//! What the core loop and the relay tell each other.

use {
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::watch,
};

/// How far a planned stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum DrainPhase {
    #[default]
    Open,
    /// The balancer is told to send no more; what still comes is served.
    Leaving,
    /// Nothing new is taken; what is active is finished.
    Closed,
}

/// Shared between the core loop and the relay.
#[derive(Debug, Default)]
pub struct DrainState {
    phase: watch::Sender<DrainPhase>,
    active: AtomicUsize,
}

/// Counts one held request while it lives.
pub struct RequestGuard(Arc<DrainState>);

impl DrainState {
    /// Notes how far a planned stop is; it never goes back.
    pub fn enter(&self, phase: DrainPhase) {
        self.phase.send_if_modified(|old| {
            let later = phase > *old;
            *old = phase.max(*old);
            later
        });
    }

    /// How far a planned stop is.
    pub fn phase(&self) -> DrainPhase {
        *self.phase.borrow()
    }

    /// Waits until nothing new is taken.
    pub async fn closed(&self) {
        // It never fails while the sender lives.
        let _ = self.phase.subscribe().wait_for(|it| *it == DrainPhase::Closed).await;
    }

    /// Relayed requests that have no whole answer yet.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a request as active until the guard is dropped.
    pub fn track(self: &Arc<Self>) -> RequestGuard {
        self.active.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}
