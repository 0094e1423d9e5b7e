//! The leader's list of instances that are of no use to others.

use {crate::ids::NodeId, indexmap::IndexSet};

/// The instances that have reported to be cut off from all endpoints, and those that the
/// leader doesn't hear of.
#[derive(Debug, Default)]
pub struct CutTable {
    nodes: IndexSet<NodeId>,
    silent: IndexSet<NodeId>,
    revision: u64,
}

impl CutTable {
    /// Takes in what an instance reports of itself.
    pub fn record(&mut self, id: NodeId, is_cut: bool) {
        let changed = match is_cut {
            true => self.nodes.insert(id),
            false => self.nodes.swap_remove(&id),
        };
        self.revision += u64::from(changed);
    }

    /// Drops the instances for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        let count = self.nodes.len();
        self.nodes.retain(|it| keep(*it));
        self.revision += u64::from(self.nodes.len() < count);
    }

    /// Replaces the instances that the leader doesn't hear of.
    pub fn set_silent(&mut self, silent: IndexSet<NodeId>) {
        if silent != self.silent {
            self.silent = silent;
            self.revision += 1;
        }
    }

    /// The number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the list.
    pub fn nodes(&self) -> IndexSet<NodeId> {
        self.nodes.union(&self.silent).copied().collect()
    }
}
