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
    /// The size of the deltas and of whole tables, as far as they are packed.
    pub bytes: Bytes,
}

/// Counts updates, and remembers from which index each instance was last updated.
#[derive(Debug, Default)]
pub struct UpdateStats {
    counts: UpdateCounts,
    sent_from: IndexMap<NodeId, Index>,
}

impl UpdateStats {
    /// Records the update sent to an instance that has applied everything up to `from`,
    /// with the number of deltas after that and the update's size.
    pub fn record(
        &mut self,
        node: NodeId,
        from: Index,
        update: &Update,
        (count, size): (u64, Bytes),
    ) {
        let deltas = match update {
            Update::Same => {
                self.sent_from.swap_remove(&node);
                return;
            }
            Update::Deltas(_) | Update::PackedDeltas(_) => Some(count),
            Update::Full(_) | Update::Packed { .. } | Update::PackedTables { .. } => None,
        };
        let repeated = self.sent_from.insert(node, from) == Some(from);
        self.counts.updates += 1;
        self.counts.whole += u64::from(deltas.is_none());
        self.counts.repeated += u64::from(repeated);
        self.counts.deltas += deltas.unwrap_or_default();
        self.counts.bytes.0 += size.0;
    }

    /// Returns the counts since the last call.
    pub fn take(&mut self) -> UpdateCounts {
        std::mem::take(&mut self.counts)
    }
}
