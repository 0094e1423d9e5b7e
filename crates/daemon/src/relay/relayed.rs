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
pub enum Phase {
    #[default]
    Open,
    /// The balancer is told to send no more; what still comes is served.
    Leaving,
    /// Nothing new is taken; what is held is finished.
    Closed,
}

/// Shared between the core loop and the relay.
#[derive(Debug, Default)]
pub struct Relayed {
    phase: watch::Sender<Phase>,
    held: AtomicUsize,
}

/// Counts one held request while it lives.
pub struct HeldGuard(Arc<Relayed>);

impl Relayed {
    /// Notes how far a planned stop is; it never goes back.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|old| {
            let later = phase > *old;
            *old = phase.max(*old);
            later
        });
    }

    /// How far a planned stop is.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until nothing new is taken.
    pub async fn closed(&self) {
        // It never fails while the sender lives.
        let _ = self.phase.subscribe().wait_for(|it| *it == Phase::Closed).await;
    }

    /// Relayed requests that have no whole answer yet.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Counts a request as held until the guard is dropped.
    pub fn hold(self: &Arc<Self>) -> HeldGuard {
        self.held.fetch_add(1, Ordering::Relaxed);
        HeldGuard(self.clone())
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}
