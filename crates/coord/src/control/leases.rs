//! The leader's table of leases.

use {
    crate::{
        ids::{Incarnation, Index, NodeId, Version},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// How long a lease lasts, counted by its holder from before it asked.
pub const LEASE_DURATION: Millis = Millis(2400);
/// How much longer the leader takes it to last, for the drift of clocks.
pub const LEASE_MARGIN: Millis = Millis(240);

/// What the leader knows of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRow {
    pub incarnation: Incarnation,
    /// The lease has ended for certain at this time.
    pub until: Time,
    pub index: Index,
    pub version: Version,
}

/// Leases by instance, as granted in this term of leadership.
#[derive(Debug, Default)]
pub struct LeaseTable {
    rows: IndexMap<NodeId, LeaseRow>,
    /// Leases of earlier leaders have ended for certain at this time.
    previous_end: Time,
}

impl LeaseTable {
    /// The table of a voter that has just become leader.
    pub fn start(now: Time) -> Self {
        Self { rows: IndexMap::new(), previous_end: now + LEASE_DURATION + LEASE_MARGIN }
    }

    /// Grants a lease from now on.
    pub fn grant(&mut self, now: Time, id: NodeId, row: LeaseRow) {
        let until = now + LEASE_DURATION + LEASE_MARGIN;
        self.rows.insert(id, LeaseRow { until, ..row });
    }

    /// Notes what an instance says it has applied.
    pub fn record_progress(&mut self, id: NodeId, index: Index, version: Version) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.index = index;
            row.version = version;
        }
    }

    /// The row of an instance that renewed in this term.
    pub fn get(&self, id: NodeId) -> Option<&LeaseRow> {
        self.rows.get(&id)
    }

    /// Drops the row of an instance that left.
    pub fn remove(&mut self, id: NodeId) {
        self.rows.shift_remove(&id);
    }

    /// Whether an instance may still act on a lease.
    pub fn may_hold(&self, id: NodeId, now: Time) -> bool {
        now < self.end(id)
    }

    /// When the lease of an instance has ended for certain.
    pub fn end(&self, id: NodeId) -> Time {
        self.rows.get(&id).map_or(self.previous_end, |it| it.until)
    }
}
