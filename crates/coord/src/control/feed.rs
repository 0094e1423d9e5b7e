//! The latest steps of the tables, for instances that follow them.

use {
    super::Update,
    crate::{
        ids::Index,
        tables::{Delta, Tables},
    },
    std::collections::VecDeque,
};

/// The most steps kept; who is further behind gets the tables whole.
const KEPT: usize = 512;
/// The most steps sent at once; the tables whole are cheaper beyond.
const MAX_STEPS: usize = 128;

/// The latest steps of the tables and where they stand.
#[derive(Debug, Default)]
pub struct Feed {
    steps: VecDeque<(Index, Delta)>,
    /// Steps after this position are all held.
    since: Index,
    /// The position of the latest step.
    last: Index,
}

impl Feed {
    /// An empty feed behind tables that stand at a position.
    pub fn start(at: Index) -> Self {
        Self { steps: VecDeque::new(), since: at, last: at }
    }

    /// Adds a step.
    pub fn push(&mut self, index: Index, delta: Delta) {
        self.steps.push_back((index, delta));
        self.last = index;
        if self.steps.len() > KEPT {
            let (index, _) = self.steps.pop_front().expect("the feed isn't empty");
            self.since = index;
        }
    }

    /// The position of the latest step.
    pub fn last(&self) -> Index {
        self.last
    }

    /// What brings a copy at a position up to date.
    pub fn update(&self, have: Index, tables: &Tables) -> Update {
        if have >= self.last && have > Index(0) {
            return Update::Same;
        }
        let start = self.steps.partition_point(|(index, _)| *index <= have);
        let count = self.steps.len() - start;
        if have < self.since || have == Index(0) || count > MAX_STEPS {
            return Update::Full(Box::new(tables.clone()));
        }
        Update::Deltas(self.steps.range(start..).cloned().collect())
    }
}
