//! How old this instance's copy of the tables is, shared with the relay.

use {
    coord::{
        control::LONG_POLL,
        time::{Millis, Time},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// The age up to which the tables count as current. Renewals are answered within a third of
/// it; it leaves the instance time to renew before accepted changes have to be in force.
const MAX_CURRENT_AGE: Millis = Millis(3 * LONG_POLL.0);

/// The time up to which the tables have all that was accepted.
#[derive(Debug, Clone, Default)]
pub struct TablesClock(Arc<AtomicU64>);

impl TablesClock {
    /// Sets that time.
    pub fn set(&self, at: Time) {
        self.0.store(at.0, Ordering::Relaxed);
    }

    /// Returns how long the tables may have lacked accepted changes.
    pub fn age(&self, now: Time) -> Millis {
        now.since(Time(self.0.load(Ordering::Relaxed)))
    }

    /// Whether the tables count as current: what they don't have doesn't exist.
    pub fn is_current(&self, now: Time) -> bool {
        self.age(now) <= MAX_CURRENT_AGE
    }
}
