//! Who gathers the pieces of a pool. Every instance works it out from the
//! agreed roster; two that differ for a moment only make smaller calls.

use {
    super::Shard,
    crate::tables::{Member, Tables},
    indexmap::IndexSet,
    sha2::{Digest, Sha256},
    std::net::SocketAddr,
};

/// The rank of a candidate for a key, by highest random weight (Thaler
/// and Ravishankar, 1996). It is the same at every instance.
pub fn rank(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(candidate);
    u64::from_be_bytes(hash.finalize()[..8].try_into().expect("a digest has 32 bytes"))
}

/// The peer addresses of the entry instances: those without a disk, or all
/// where each has one. An address stands once, however often its instance was
/// started.
pub fn entry_addrs(tables: &Tables) -> IndexSet<SocketAddr> {
    let members = || tables.roster.values();
    let diskless: IndexSet<_> = members().filter(|it| !it.disk).map(|it| it.peer).collect();
    match diskless.is_empty() {
        true => members().map(|it| it.peer).collect(),
        false => diskless,
    }
}

/// The entry instances in the order in which they are asked to gather for a
/// shard. The first one is of the shard's own failure domain where that has any,
/// the second one of another, which can go on when that domain is lost.
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
