//! Splits the batching for a pool into shards.
//!
//! The pieces of a large pool can exceed the network link and CPU of a single
//! batcher. With few instances, one batcher for all endpoints is better, since it
//! makes fuller calls.

use {
    crate::{
        ids::{DomainName, PoolName},
        tables::{Endpoint, Tables},
    },
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Number of entry instances per failure domain from which pools are split by
/// domain. With fewer, a pool has about one endpoint per domain and calls would
/// stay small; with more, a single batcher would handle many times the load of
/// an instance.
const SPLIT_MIN_ENTRIES: usize = 12;

/// The part of a pool that one batcher serves: all endpoints, or those of one
/// failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    pub pool: PoolName,
    pub domain: Option<DomainName>,
}

impl Shard {
    /// Whether an endpoint of the pool belongs to the shard.
    pub fn includes(&self, endpoint: &Endpoint) -> bool {
        self.domain.as_ref().is_none_or(|it| *it == endpoint.domain)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.domain {
            Some(domain) => write!(f, "{}/{domain}", self.pool),
            None => write!(f, "{}", self.pool),
        }
    }
}

/// Whether pools are split into one shard per failure domain.
pub fn is_split(tables: &Tables) -> bool {
    let entries = || tables.roster.values().filter(|it| !it.disk);
    let domains: IndexSet<&DomainName> = entries().map(|it| &it.domain).collect();
    let addrs: IndexSet<_> = entries().map(|it| it.peer).collect();
    domains.len() > 1 && addrs.len() >= SPLIT_MIN_ENTRIES * domains.len()
}

/// Returns the shards of a pool with these endpoints.
pub fn shards(pool: &PoolName, endpoints: &[Endpoint], split: bool) -> Vec<Shard> {
    if !split {
        return vec![Shard { pool: pool.clone(), domain: None }];
    }
    let domains: IndexSet<&DomainName> = endpoints.iter().map(|it| &it.domain).collect();
    let shard = |it: &DomainName| Shard { pool: pool.clone(), domain: Some(it.clone()) };
    domains.into_iter().map(shard).collect()
}
