//! Splits the gathering for a pool.
//!
//! The load that this answers: a pool whose pieces are more than one gatherer's
//! link and processor bear. The fuller calls of one gatherer for all endpoints
//! are worth more where instances are few.

use {
    crate::{
        ids::{DomainName, PoolName},
        tables::{Endpoint, Tables},
    },
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Pools are split by failure domain from so many entry instances a domain on.
/// With fewer, a pool has about one endpoint a domain, whose calls would stay
/// small; with more, one gatherer carries many times what an instance relays.
const SPLIT_MIN_ENTRIES: usize = 12;

/// What one gatherer serves of a pool: all endpoints, or those of one failure
/// domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    pub pool: PoolName,
    pub domain: Option<DomainName>,
}

impl Shard {
    /// Whether an endpoint of the pool belongs to it.
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

/// Whether pools are split by failure domain.
pub fn is_split(tables: &Tables) -> bool {
    let entries = || tables.roster.values().filter(|it| !it.disk);
    let domains: IndexSet<&DomainName> = entries().map(|it| &it.domain).collect();
    let addrs: IndexSet<_> = entries().map(|it| it.peer).collect();
    domains.len() > 1 && addrs.len() >= SPLIT_MIN_ENTRIES * domains.len()
}

/// The shards of a pool with these endpoints.
pub fn shards(pool: &PoolName, endpoints: &[Endpoint], split: bool) -> Vec<Shard> {
    if !split {
        return vec![Shard { pool: pool.clone(), domain: None }];
    }
    let domains: IndexSet<&DomainName> = endpoints.iter().map(|it| &it.domain).collect();
    let shard = |it: &DomainName| Shard { pool: pool.clone(), domain: Some(it.clone()) };
    domains.into_iter().map(shard).collect()
}
