//! A limit on the number of metric series per label.

use indexmap::IndexSet;

/// The label value shared by all values without a series of their own.
const OTHER: &str = "_other";

/// Gives the first values of a label a series each; all later ones share one.
pub struct SeriesBound {
    seen: IndexSet<String>,
    max: usize,
}

impl SeriesBound {
    /// Creates a limit of `max` values with series of their own.
    pub fn new(max: usize) -> Self {
        Self { seen: IndexSet::new(), max }
    }

    /// The label value under which a value is counted: itself or `_other`.
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
