//! The leader's table of leases.

use {
    crate::{
        ids::{Incarnation, Index, NodeId, Version},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// The duration of a lease. Its holder counts from before it sent the renewal.
pub const LEASE_DURATION: Millis = Millis(2400);
/// How much longer the leader assumes a lease to last, to allow for clock drift.
pub const LEASE_MARGIN: Millis = Millis(240);

/// The lease of one instance and the state of its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRow {
    pub incarnation: Incarnation,
    /// The time from which the lease is certain to have expired.
    pub until: Time,
    /// The log index up to which the instance has applied the tables.
    pub index: Index,
    pub version: Version,
}

/// Leases by instance, as granted in the current term.
#[derive(Debug, Default)]
pub struct LeaseTable {
    rows: IndexMap<NodeId, LeaseRow>,
    /// The time from which leases of earlier leaders are certain to have expired.
    previous_end: Time,
}

impl LeaseTable {
    /// Creates the table of a voter that has just become leader.
    pub fn start(now: Time) -> Self {
        Self { rows: IndexMap::new(), previous_end: now + LEASE_DURATION + LEASE_MARGIN }
    }

    /// Grants a lease that starts now.
    pub fn grant(&mut self, now: Time, id: NodeId, row: LeaseRow) {
        let until = now + LEASE_DURATION + LEASE_MARGIN;
        self.rows.insert(id, LeaseRow { until, ..row });
    }

    /// Records how far an instance has applied the tables, as it reports.
    pub fn record_progress(&mut self, id: NodeId, index: Index, version: Version) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.index = index;
            row.version = version;
        }
    }

    /// Returns the row of an instance that has renewed in this term.
    pub fn get(&self, id: NodeId) -> Option<&LeaseRow> {
        self.rows.get(&id)
    }

    /// Returns the rows of all instances that have renewed in this term.
    pub fn rows(&self) -> impl Iterator<Item = (&NodeId, &LeaseRow)> {
        self.rows.iter()
    }

    /// Returns when the lease of an instance was last granted in this term.
    pub fn granted_at(&self, id: NodeId) -> Option<Time> {
        let length = LEASE_DURATION + LEASE_MARGIN;
        self.rows.get(&id).map(|it| Time(it.until.0.saturating_sub(length.0)))
    }

    /// Removes the row of an instance that has released its lease.
    pub fn remove(&mut self, id: NodeId) {
        self.rows.shift_remove(&id);
    }

    /// Whether the lease of an instance may still be valid.
    pub fn may_hold(&self, id: NodeId, now: Time) -> bool {
        now < self.end(id)
    }

    /// Returns the time from which the lease of an instance is certain to have
    /// expired.
    pub fn end(&self, id: NodeId) -> Time {
        self.rows.get(&id).map_or(self.previous_end, |it| it.until)
    }
}
