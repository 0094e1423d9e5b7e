//! An instance's side of the lease, with its copy of the tables.

use {
    super::{Grants, RenewReply, Update},
    crate::{
        catalog::CatalogDeltaError,
        ids::{Index, Term},
        tables::{Delta, Tables},
        time::Time,
    },
    std::sync::Arc,
};

/// The changes made by a reply of the leader.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HolderChange {
    /// Whether the copy of the tables changed.
    pub tables: bool,
    /// The share list, if the reply has a newer one.
    pub grants: Option<Grants>,
    /// Why the update couldn't be applied. The whole tables are asked for next.
    pub failure: Option<String>,
}

/// The lease of one instance, its copy of the tables and the number of its share
/// list.
#[derive(Debug, Default)]
pub struct LeaseHolder {
    tables: Arc<Tables>,
    index: Index,
    lease_end: Option<Time>,
    /// When the latest renewal was sent whose reply was applied.
    renewed_at: Time,
    term: Term,
    grants: u64,
    want_holdings: bool,
}

impl LeaseHolder {
    /// Creates a holder without a lease, with empty tables.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the copy of the tables.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Returns the log index up to which the copy is current.
    pub fn index(&self) -> Index {
        self.index
    }

    /// Returns the number of the latest share list.
    pub fn grants_number(&self) -> u64 {
        self.grants
    }

    /// Whether the leader asks for all shares held with the next renewal.
    pub fn want_holdings(&self) -> bool {
        self.want_holdings
    }

    /// Whether the lease is valid, so that requests may be accepted and sent.
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|it| now < it)
    }

    /// Returns the time up to which the copy of the tables has all that was accepted.
    pub fn renewed_at(&self) -> Time {
        self.renewed_at
    }

    /// Drops the lease if it has expired; returns whether it has. The shares are
    /// then void, and the leader must send their list again.
    pub fn expire(&mut self, now: Time) -> bool {
        let ended = self.lease_end.is_some_and(|it| it <= now);
        if ended {
            self.lease_end = None;
            self.grants = 0;
        }
        ended
    }

    /// Gives up the lease.
    pub fn release(&mut self) {
        self.lease_end = None;
    }

    /// Applies the leader's reply to a renewal sent at `asked`. A reply whose lease
    /// has already expired, or from an earlier leader, changes nothing.
    pub fn apply_reply(&mut self, now: Time, asked: Time, reply: RenewReply) -> HolderChange {
        let until = asked + reply.lease;
        if reply.term < self.term || until <= now || reply.index < self.index {
            return HolderChange::default();
        }
        let (tables, failure) = match self.apply_update(reply.update, reply.index) {
            Ok(changed) => (changed, None),
            Err(err) => {
                self.index = Index(0);
                (true, Some(err.to_string()))
            }
        };
        self.term = reply.term;
        if failure.is_none() {
            self.renewed_at = self.renewed_at.max(asked);
        }
        self.lease_end = self.lease_end.max(Some(until));
        self.want_holdings = reply.want_holdings;
        let grants = reply.grants.filter(|it| it.number > self.grants);
        if let Some(it) = &grants {
            self.grants = it.number;
        }
        HolderChange { tables, grants, failure }
    }

    /// Brings the copy up to date; returns whether it changed. After an error it holds
    /// the deltas before the one that failed.
    fn apply_update(&mut self, update: Update, index: Index) -> Result<bool, CatalogDeltaError> {
        let previous = self.index;
        let is_whole =
            matches!(update, Update::Full(_) | Update::Packed { .. } | Update::PackedTables { .. });
        if previous == Index(0) && !is_whole {
            // A late reply to a renewal from before a failed update.
            return Ok(false);
        }
        self.index = index;
        match update {
            Update::Same => return Ok(false),
            Update::Full(tables) => self.tables = Arc::new(*tables),
            Update::Packed { tables, catalog } => {
                let catalog = Arc::new(catalog.open()?);
                self.tables = Arc::new(Tables { catalog, ..*tables });
            }
            Update::PackedTables { tables, catalog } => {
                let (tables, catalog) = (tables.open()?, Arc::new(catalog.open()?));
                self.tables = Arc::new(Tables { catalog, ..tables });
            }
            Update::Deltas(deltas) => self.apply_deltas(&deltas, previous)?,
            Update::PackedDeltas(deltas) => self.apply_deltas(&deltas.open()?, previous)?,
        }
        Ok(true)
    }

    /// Applies the deltas after an index.
    fn apply_deltas(
        &mut self,
        deltas: &[(Index, Delta)],
        previous: Index,
    ) -> Result<(), CatalogDeltaError> {
        let tables = Arc::make_mut(&mut self.tables);
        let mut new = deltas.iter().filter(|(at, _)| *at > previous);
        new.try_for_each(|(_, delta)| tables.apply(delta))
    }
}
