//! Who gathers the pieces of a pool. Every instance works it out from the
//! agreed roster; two that differ for a moment only make smaller calls.

use {
    crate::{ids::PoolName, tables::Tables},
    indexmap::IndexSet,
    sha2::{Digest, Sha256},
    std::net::SocketAddr,
};

/// The rank of a candidate for a subject, by highest random weight (Thaler
/// and Ravishankar, 1996). It is the same at every instance.
pub fn rank(subject: &[u8], candidate: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    hash.update((subject.len() as u64).to_be_bytes());
    hash.update(subject);
    hash.update(candidate);
    u64::from_be_bytes(hash.finalize()[..8].try_into().expect("a digest has 32 bytes"))
}

/// The peer addresses of the entry instances: those without a disk, or all
/// where each has one. An address stands once, however often its instance was
/// started.
pub fn entries(tables: &Tables) -> IndexSet<SocketAddr> {
    let members = || tables.roster.values();
    let diskless: IndexSet<_> = members().filter(|it| !it.disk).map(|it| it.peer).collect();
    match diskless.is_empty() {
        true => members().map(|it| it.peer).collect(),
        false => diskless,
    }
}

/// The entry instances in the order in which they are asked to gather for a
/// pool.
pub fn holders(tables: &Tables, pool: &PoolName) -> Vec<SocketAddr> {
    let mut addrs: Vec<SocketAddr> = entries(tables).into_iter().collect();
    addrs.sort_by_cached_key(|it| rank(pool.as_str().as_bytes(), it.to_string().as_bytes()));
    addrs
}
