//! The latest deltas of the tables, for instances that follow them.

use {
    super::Update,
    crate::{
        ids::Index,
        tables::{Delta, Tables},
    },
    std::collections::VecDeque,
};

/// The most deltas kept; who is further behind gets the tables whole.
const MAX_DELTAS: usize = 512;
/// The most deltas sent at once; the tables whole are cheaper beyond.
const MAX_UPDATE_DELTAS: usize = 128;

/// The latest deltas of the tables and where they stand.
#[derive(Debug, Default)]
pub struct Feed {
    deltas: VecDeque<(Index, Delta)>,
    /// Steps after this position are all held.
    base: Index,
    /// The position of the latest step.
    last: Index,
}

impl Feed {
    /// An empty feed behind tables that stand at a position.
    pub fn start(at: Index) -> Self {
        Self { deltas: VecDeque::new(), base: at, last: at }
    }

    /// Adds a step.
    pub fn push(&mut self, index: Index, delta: Delta) {
        self.deltas.push_back((index, delta));
        self.last = index;
        if self.deltas.len() > MAX_DELTAS {
            let (index, _) = self.deltas.pop_front().expect("the feed isn't empty");
            self.base = index;
        }
    }

    /// The position of the latest step.
    pub fn last(&self) -> Index {
        self.last
    }

    /// What brings a copy at a position up to date.
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
