//! Cluster configuration: voters and learners.

use {
    crate::ids::NodeId,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The voters, and the learners, which replicate the log without a vote until
/// they are promoted.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    pub voters: IndexMap<NodeId, SocketAddr>,
    pub learners: IndexMap<NodeId, SocketAddr>,
}

impl Config {
    /// The configuration of a new cluster with one voter.
    pub fn single(id: NodeId, addr: SocketAddr) -> Self {
        Self { voters: [(id, addr)].into_iter().collect(), learners: IndexMap::new() }
    }

    /// This configuration without a voter or learner.
    pub fn without(&self, id: NodeId) -> Self {
        let mut next = self.clone();
        next.voters.shift_remove(&id);
        next.learners.shift_remove(&id);
        next
    }

    /// This configuration with another learner.
    pub fn with_learner(&self, id: NodeId, addr: SocketAddr) -> Self {
        let mut next = self.clone();
        next.learners.insert(id, addr);
        next
    }

    /// This configuration with another voter, which is no learner any more.
    pub fn with_voter(&self, id: NodeId, addr: SocketAddr) -> Self {
        let mut next = self.without(id);
        next.voters.insert(id, addr);
        next
    }

    /// Whether `has` holds for a majority of the voters.
    pub fn is_quorum(&self, has: impl Fn(NodeId) -> bool) -> bool {
        self.voters.keys().filter(|id| has(**id)).count() * 2 > self.voters.len()
    }

    /// The address of a voter or learner.
    pub fn addr(&self, id: NodeId) -> Option<SocketAddr> {
        self.voters.get(&id).or_else(|| self.learners.get(&id)).copied()
    }

    /// The voters, then the learners.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// The largest value that a majority of the voters has reached; `None` if
    /// there are no voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(NodeId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable();
        let minority = values.len().checked_sub(1)? / 2;
        values.get(minority).copied()
    }
}
