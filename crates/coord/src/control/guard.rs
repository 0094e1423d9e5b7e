//! Checks the sender of each message between instances, so that an earlier
//! process or a restored copy of a data folder can't act as a voter.

use {
    super::{Envelope, PeerRefusal},
    crate::ids::{Incarnation, Index, NodeId, SystemId},
    indexmap::IndexMap,
    snafu::ensure,
};

/// The latest known start of an instance.
#[derive(Debug, Clone, Copy)]
struct LatestStart {
    incarnation: Incarnation,
    nonce: u64,
}

/// The latest known start of each other instance.
pub struct PeerGuard {
    system: SystemId,
    latest: IndexMap<NodeId, LatestStart>,
}

impl PeerGuard {
    /// Creates a guard for the given system that knows no other instance yet.
    pub fn new(system: SystemId) -> Self {
        Self { system, latest: IndexMap::new() }
    }

    /// Checks the sender of a message. `acked` is the last index known to have
    /// been both durable at that sender and committed.
    ///
    /// # Errors
    /// The message is rejected: the caller drops it and returns the reason to the
    /// sender.
    pub fn check<T>(&mut self, envelope: &Envelope<T>, acked: Index) -> Result<(), PeerRefusal> {
        let (ours, theirs) = (self.system, envelope.system);
        ensure!(ours == theirs, super::envelope::ForeignSnafu { ours, theirs });
        let new = LatestStart { incarnation: envelope.incarnation, nonce: envelope.nonce };
        let Some(old) = self.latest.get(&envelope.from).copied() else {
            self.latest.insert(envelope.from, new);
            return Ok(());
        };
        ensure!(new.incarnation >= old.incarnation, super::envelope::OutdatedSnafu);
        if new.incarnation == old.incarnation {
            ensure!(new.nonce == old.nonce, super::envelope::ClonedSnafu);
            return Ok(());
        }
        let (has, had) = (envelope.last, acked);
        ensure!(has >= had, super::envelope::LostDataSnafu { has, had });
        self.latest.insert(envelope.from, new);
        Ok(())
    }
}
