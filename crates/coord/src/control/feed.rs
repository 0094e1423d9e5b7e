//! The log of recent table deltas that instances follow.

use {
    super::Update,
    crate::{
        ids::Index,
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
    deltas: VecDeque<(Index, Delta)>,
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
        self.deltas.push_back((index, delta));
        self.last = index;
        if self.deltas.len() > MAX_DELTAS {
            let (index, _) = self.deltas.pop_front().expect("the feed isn't empty");
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
        let start = self.deltas.partition_point(|(index, _)| *index <= applied);
        let count = self.deltas.len() - start;
        if applied < self.base || applied == Index(0) || count > MAX_UPDATE_DELTAS {
            return Update::Full(Box::new(tables.clone()));
        }
        Update::Deltas(self.deltas.range(start..).cloned().collect())
    }
}
