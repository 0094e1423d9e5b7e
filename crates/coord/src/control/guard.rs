//! Checks who a message is from, so that an old process or a restored copy of
//! a data folder can't act under a voter's name.

use {
    super::{Envelope, PeerRefusal},
    crate::ids::{Incarnation, Index, NodeId, SystemId},
    indexmap::IndexMap,
    snafu::ensure,
};

#[derive(Debug, Clone, Copy)]
struct LatestStart {
    incarnation: Incarnation,
    nonce: u64,
}

/// What one instance knows of the starts of the others.
pub struct PeerGuard {
    system: SystemId,
    latest: IndexMap<NodeId, LatestStart>,
}

impl PeerGuard {
    /// A guard of the given system that has met nobody.
    pub fn new(system: SystemId) -> Self {
        Self { system, latest: IndexMap::new() }
    }

    /// Checks the sender of a message. `acked` is what that sender is known to
    /// have had durable and committed.
    ///
    /// # Errors
    /// The message must be dropped and its sender told why.
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
