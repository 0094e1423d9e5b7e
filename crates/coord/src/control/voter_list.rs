//! The voters and learners, as instances tell each other.

use {
    crate::{ids::Index, raft::Raft},
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The addresses of the voters and learners, and the log index of the entry that made them
/// so; zero if that isn't known.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VoterList {
    pub index: Index,
    pub addrs: IndexSet<SocketAddr>,
}

impl VoterList {
    /// The voters and learners that a voter knows.
    pub fn of(raft: &Raft) -> Self {
        let config = raft.config();
        let addrs = config.voters.values().chain(config.learners.values()).copied().collect();
        Self { index: raft.config_index(), addrs }
    }
}
