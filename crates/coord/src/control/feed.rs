//! The log of recent table deltas that instances follow.

use {
    super::Update,
    crate::{
        ids::{Bytes, Index},
        size::json_size,
        tables::{Delta, Tables},
    },
    std::collections::VecDeque,
};

/// The maximum number of deltas kept. An instance further behind is sent the
/// whole tables.
const MAX_DELTAS: usize = 512;
/// The maximum number of deltas in one update; beyond it the whole tables are
/// cheaper.
const MAX_UPDATE_DELTAS: usize = 128;

/// Recent deltas of the tables with their log indices.
#[derive(Debug, Default)]
pub struct Feed {
    deltas: VecDeque<(Index, Delta, Bytes)>,
    /// All deltas after this index are kept.
    base: Index,
    /// The index of the latest delta.
    last: Index,
}

impl Feed {
    /// Creates an empty feed for tables that have reached the given index.
    pub fn start(at: Index) -> Self {
        Self { deltas: VecDeque::new(), base: at, last: at }
    }

    /// Appends a delta.
    pub fn push(&mut self, index: Index, delta: Delta) {
        let size = json_size(&delta);
        self.deltas.push_back((index, delta, size));
        self.last = index;
        if self.deltas.len() > MAX_DELTAS {
            let (index, ..) = self.deltas.pop_front().expect("the feed isn't empty");
            self.base = index;
        }
    }

    /// Returns the index of the latest delta.
    pub fn last(&self) -> Index {
        self.last
    }

    /// Returns the update for a copy that has applied everything up to an index.
    pub fn update(&self, applied: Index, tables: &Tables) -> Update {
        if applied >= self.last && applied > Index(0) {
            return Update::Same;
        }
        let start = self.start_after(applied);
        let count = self.deltas.len() - start;
        if applied < self.base || applied == Index(0) || count > MAX_UPDATE_DELTAS {
            return Update::Full(Box::new(tables.clone()));
        }
        let deltas = self.deltas.range(start..).map(|(index, delta, _)| (*index, delta.clone()));
        Update::Deltas(deltas.collect())
    }

    /// Returns the size of an update for a copy that has applied everything up to an
    /// index: that of its deltas or, for whole tables, of their catalog.
    pub fn update_size(&self, applied: Index, update: &Update) -> Bytes {
        match update {
            Update::Same => Bytes(0),
            Update::Full(tables) => json_size(&tables.catalog),
            Update::Deltas(_) => {
                let rows = self.deltas.range(self.start_after(applied)..);
                Bytes(rows.map(|(_, _, size)| size.0).sum())
            }
        }
    }

    /// The position of the first delta after an index.
    fn start_after(&self, applied: Index) -> usize {
        self.deltas.partition_point(|(index, ..)| *index <= applied)
    }
}
