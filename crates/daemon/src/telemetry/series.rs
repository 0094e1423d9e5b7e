//! Bounds the number of series of one label.

use indexmap::IndexSet;

/// The label of values that have no series of their own.
const OTHER: &str = "_other";

/// Gives the first values of a label series of their own; all others share
/// one.
pub struct SeriesBound {
    seen: IndexSet<String>,
    max: usize,
}

impl SeriesBound {
    /// At most `most` values have series of their own.
    pub fn new(max: usize) -> Self {
        Self { seen: IndexSet::new(), max }
    }

    /// The label under which a value is counted.
    pub fn label(&mut self, value: &str) -> String {
        if !self.seen.contains(value) {
            if self.seen.len() >= self.max {
                return OTHER.to_owned();
            }
            self.seen.insert(value.to_owned());
        }
        value.to_owned()
    }
}
