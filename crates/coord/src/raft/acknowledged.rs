//! What a voter or learner has acknowledged, by the starts of its process.

use {
    crate::ids::{Incarnation, Index},
    serde::{Deserialize, Serialize},
};

/// The part of the committed log that a voter or learner is known to have made durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Acknowledged {
    /// The latest start that has acknowledged an entry.
    pub incarnation: Incarnation,
    /// The last index that this start has acknowledged.
    pub index: Index,
    /// The last index that the starts before it had acknowledged.
    pub before: Index,
}

impl Acknowledged {
    /// What one start has acknowledged.
    pub fn new(incarnation: Incarnation, index: Index) -> Self {
        Self { incarnation, index, before: Index(0) }
    }

    /// Adds what is known elsewhere, in any order.
    pub fn merge(&mut self, other: Self) {
        if other.incarnation < self.incarnation {
            self.before = self.before.max(other.index).max(other.before);
            return;
        }
        if other.incarnation > self.incarnation {
            self.before = self.before.max(self.index);
            self.incarnation = other.incarnation;
            self.index = other.index;
        }
        self.index = self.index.max(other.index);
        self.before = self.before.max(other.before);
    }

    /// The last index acknowledged by starts before `incarnation`, which that start must
    /// have found on its disk. What a start itself acknowledged says nothing of that.
    pub fn before(&self, incarnation: Incarnation) -> Index {
        if incarnation > self.incarnation {
            self.before.max(self.index)
        } else if incarnation == self.incarnation {
            self.before
        } else {
            Index(0)
        }
    }
}
