//! Assigns batchers to shards. Every instance computes the assignment from the
//! replicated roster; instances that briefly disagree only produce smaller
//! batches.

use {
    super::Shard,
    crate::{
        ids::NodeId,
        tables::{Member, Tables},
    },
    indexmap::IndexSet,
    sha2::{Digest, Sha256},
    std::net::SocketAddr,
};

/// Returns the weight of a candidate for a key in rendezvous hashing (highest
/// random weight; Thaler and Ravishankar, 1996). It is the same at every
/// instance.
pub fn rank(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(candidate);
    u64::from_be_bytes(hash.finalize()[..8].try_into().expect("a digest has 32 bytes"))
}

/// Returns the peer addresses of the entry instances: those without a disk, or
/// all if every instance has one. An address is listed once, however often its
/// instance was restarted.
pub fn entry_addrs(tables: &Tables) -> IndexSet<SocketAddr> {
    let members = || tables.roster.values();
    let diskless: IndexSet<_> = members().filter(|it| !it.disk).map(|it| it.peer).collect();
    match diskless.is_empty() {
        true => members().map(|it| it.peer).collect(),
        false => diskless,
    }
}

/// Whether the instance at a peer address is among those that are of no use to others. One
/// that was restarted is another member at the same address; its earlier run says nothing.
pub fn is_peer_cut(tables: &Tables, cut: &IndexSet<NodeId>, addr: SocketAddr) -> bool {
    let mut runs = tables.roster.values().filter(|it| it.peer == addr).peekable();
    runs.peek().is_some() && runs.all(|it| cut.contains(&it.id))
}

/// Returns the entry instances in the order in which they are tried as batcher
/// of a shard. The first one is in the shard's own failure domain if it has any;
/// the second one is in another domain and takes over if the first domain fails.
pub fn batcher_candidates(tables: &Tables, shard: &Shard) -> Vec<SocketAddr> {
    let key = shard.to_string();
    let mut addrs: Vec<SocketAddr> = entry_addrs(tables).into_iter().collect();
    addrs.sort_by_cached_key(|it| rank(key.as_bytes(), it.to_string().as_bytes()));
    let Some(domain) = &shard.domain else {
        return addrs;
    };
    let is_near = |it: &Member| !it.disk && it.domain == *domain;
    let near = tables.roster.values().filter(|it| is_near(it)).map(|it| it.peer);
    let near: IndexSet<SocketAddr> = near.collect();
    let (mut order, far): (Vec<_>, Vec<_>) = addrs.into_iter().partition(|it| near.contains(it));
    let second = order.len().min(1);
    order.splice(second..second, far);
    order
}
