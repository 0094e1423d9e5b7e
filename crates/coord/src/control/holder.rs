//! What one instance holds: its lease, its copy of the tables, its shares.

use {
    super::{Grants, RenewReply, Update},
    crate::{
        ids::{Index, Term},
        tables::Tables,
        time::Time,
    },
    std::sync::Arc,
};

/// What a reply of the leader changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HolderChange {
    pub tables: bool,
    pub grants: Option<Grants>,
}

/// One instance's side of the lease.
#[derive(Debug, Default)]
pub struct LeaseHolder {
    tables: Arc<Tables>,
    index: Index,
    lease_end: Option<Time>,
    term: Term,
    grants: u64,
    want_holdings: bool,
}

impl LeaseHolder {
    /// A holder of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The copy of the tables.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// How far the copy has come.
    pub fn index(&self) -> Index {
        self.index
    }

    /// The number of the latest share list.
    pub fn grants_number(&self) -> u64 {
        self.grants
    }

    /// Whether the next request should carry all shares held.
    pub fn want_holdings(&self) -> bool {
        self.want_holdings
    }

    /// Whether new work may be taken and sent.
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|it| now < it)
    }

    /// Notices that the lease has ended. The shares are then void, and the
    /// leader must send their list again.
    pub fn expire(&mut self, now: Time) -> bool {
        let ended = self.lease_end.is_some_and(|it| it <= now);
        if ended {
            self.lease_end = None;
            self.grants = 0;
        }
        ended
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.lease_end = None;
    }

    /// Takes in the leader's answer to a request that was asked at `asked`.
    /// An answer that came too late or from an earlier leader changes nothing.
    pub fn apply_reply(&mut self, now: Time, asked: Time, reply: RenewReply) -> HolderChange {
        let until = asked + reply.lease;
        if reply.term < self.term || until <= now || reply.index < self.index {
            return HolderChange::default();
        }
        let tables = self.apply_update(reply.update, reply.index);
        self.term = reply.term;
        self.lease_end = self.lease_end.max(Some(until));
        self.want_holdings = reply.want_holdings;
        let grants = reply.grants.filter(|it| it.number > self.grants);
        if let Some(it) = &grants {
            self.grants = it.number;
        }
        HolderChange { tables, grants }
    }

    fn apply_update(&mut self, update: Update, index: Index) -> bool {
        let previous = self.index;
        self.index = index;
        match update {
            Update::Same => false,
            Update::Full(tables) => {
                self.tables = Arc::new(*tables);
                true
            }
            Update::Deltas(deltas) => {
                let tables = Arc::make_mut(&mut self.tables);
                for (at, delta) in deltas {
                    if at > previous {
                        tables.apply(&delta);
                    }
                }
                true
            }
        }
    }
}
