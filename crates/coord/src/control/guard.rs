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

    /// Checks the sender of a message. `acked` is the last committed index that earlier
    /// starts of the sender are known to have made durable.
    ///
    /// A sender with less than that on its disk at its start lost data, even if it has
    /// caught up since and whether or not it was met before. One of an earlier build is
    /// judged by the length of its log at its first message.
    ///
    /// # Errors
    /// The message is rejected: the caller drops it and returns the reason to the
    /// sender.
    pub fn check<T>(&mut self, envelope: &Envelope<T>, acked: Index) -> Result<(), PeerRefusal> {
        let (ours, theirs) = (self.system, envelope.system);
        ensure!(ours == theirs, super::envelope::ForeignSnafu { ours, theirs });
        let new = LatestStart { incarnation: envelope.incarnation, nonce: envelope.nonce };
        let old = self.latest.get(&envelope.from).copied();
        if let Some(old) = old {
            ensure!(new.incarnation >= old.incarnation, super::envelope::OutdatedSnafu);
            let is_copy = new.incarnation == old.incarnation && new.nonce != old.nonce;
            ensure!(!is_copy, super::envelope::ClonedSnafu);
        }
        let is_new = old.is_none_or(|it| it.incarnation < new.incarnation);
        if is_new || envelope.restored.is_some() {
            let (has, had) = (envelope.restored.unwrap_or(envelope.last), acked);
            ensure!(has >= had, super::envelope::LostDataSnafu { has, had });
        }
        self.latest.insert(envelope.from, new);
        Ok(())
    }
}
