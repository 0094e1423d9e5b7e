//! What the leader sends with renewals to bring instances up to date.

use {
    super::Update,
    crate::ids::{Bytes, Index, NodeId},
    indexmap::IndexMap,
};

/// The updates sent since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateCounts {
    pub updates: u64,
    /// Those of them that were the whole tables.
    pub whole: u64,
    /// Those of them that went to an instance which had been sent an update from the
    /// same index before.
    pub repeated: u64,
    pub deltas: u64,
    /// The size of the deltas and of the catalogs in whole tables.
    pub bytes: Bytes,
}

/// Counts updates, and remembers from which index each instance was last updated.
#[derive(Debug, Default)]
pub struct UpdateStats {
    counts: UpdateCounts,
    sent_from: IndexMap<NodeId, Index>,
}

impl UpdateStats {
    /// Records the update sent to an instance that has applied everything up to `from`.
    pub fn record(&mut self, node: NodeId, from: Index, update: &Update, size: Bytes) {
        let deltas = match update {
            Update::Same => {
                self.sent_from.swap_remove(&node);
                return;
            }
            Update::Deltas(deltas) => deltas.len() as u64,
            Update::Full(_) | Update::Packed { .. } => 0,
        };
        let repeated = self.sent_from.insert(node, from) == Some(from);
        self.counts.updates += 1;
        self.counts.whole += u64::from(!matches!(update, Update::Deltas(_)));
        self.counts.repeated += u64::from(repeated);
        self.counts.deltas += deltas;
        self.counts.bytes.0 += size.0;
    }

    /// Returns the counts since the last call.
    pub fn take(&mut self) -> UpdateCounts {
        std::mem::take(&mut self.counts)
    }
}
