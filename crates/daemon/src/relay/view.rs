//! Lookup indexes over the replicated tables.

use {
    coord::{
        catalog::{ApiKey, Catalog, RouteIndex},
        ids::{PoolName, TeamName},
        relay::{Shard, batcher_candidates, entry_addrs, is_split, shards},
        tables::{Endpoint, Suspect, SuspectKey, Tables},
    },
    indexmap::IndexMap,
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc},
};

/// A snapshot of the tables with its indexes.
pub struct View {
    pub tables: Arc<Tables>,
    routes: RouteIndex,
    keys: HashMap<ApiKey, (TeamName, Option<u8>)>,
    pools: HashMap<PoolName, Vec<Endpoint>>,
    /// Number of instances that relay requests.
    pub entry_count: usize,
    /// Shards of the pools that run stages.
    shards: HashMap<PoolName, Vec<Shard>>,
    /// Batcher candidates of the shards looked up so far.
    batchers: RefCell<HashMap<Shard, Rc<[SocketAddr]>>>,
}

impl View {
    /// Builds the indexes of a snapshot.
    pub fn new(tables: Arc<Tables>) -> Self {
        let mut keys = HashMap::new();
        for (name, team) in &tables.catalog.teams {
            for key in &team.keys {
                keys.insert(key.clone(), (name.clone(), team.priority));
            }
        }
        let mut pools: HashMap<PoolName, Vec<Endpoint>> = HashMap::new();
        for it in endpoints_in_service(&tables) {
            pools.entry(it.pool.clone()).or_default().push(it.clone());
        }
        let routes = RouteIndex::new(&tables.catalog);
        let entry_count = entry_addrs(&tables).len();
        let split = is_split(&tables);
        let batched = tables.catalog.services.iter().filter(|(_, it)| it.batch.is_some());
        let shards_of = |pool: &PoolName| {
            let endpoints = pools.get(pool).map_or(&[][..], Vec::as_slice);
            (pool.clone(), shards(pool, endpoints, split))
        };
        let shards = batched.map(|(pool, _)| shards_of(pool)).collect();
        Self { routes, keys, pools, entry_count, shards, batchers: RefCell::default(), tables }
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> &Catalog {
        &self.tables.catalog
    }

    /// Whether a catalog was accepted.
    pub fn has_catalog(&self) -> bool {
        self.catalog().version.0 > 0
    }

    /// Returns the index of the route that matches a request.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        self.routes.find(host, path)
    }

    /// Returns the team that owns a key, and its priority.
    pub fn team(&self, key: &ApiKey) -> Option<&(TeamName, Option<u8>)> {
        self.keys.get(key)
    }

    /// Returns that of these properties for which requests to a pool are withheld, if any.
    pub fn withheld_for<'a>(
        &self,
        pool: &PoolName,
        suspects: impl IntoIterator<Item = &'a Suspect>,
    ) -> Option<&'a Suspect> {
        let withheld = &self.tables.withheld;
        let key = |suspect: &Suspect| SuspectKey { pool: pool.clone(), suspect: suspect.clone() };
        let is_withheld = |it: &&Suspect| !withheld.is_empty() && withheld.contains(&key(it));
        suspects.into_iter().find(is_withheld)
    }

    /// Returns the endpoints of a pool that accept new work.
    pub fn endpoints(&self, pool: &PoolName) -> &[Endpoint] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of all pools that accept new work.
    pub fn all_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.pools.values().flatten()
    }

    /// Returns the shards of a pool that runs stages.
    pub fn shards(&self, pool: &PoolName) -> &[Shard] {
        self.shards.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the instances that can batch for a shard, in order of preference.
    pub fn batchers(&self, shard: &Shard) -> Rc<[SocketAddr]> {
        let mut known = self.batchers.borrow_mut();
        let row = known.entry(shard.clone());
        row.or_insert_with_key(|it| batcher_candidates(&self.tables, it).into()).clone()
    }
}

/// Returns the endpoints in service. Of several with the same address, only the
/// one with the latest generation counts.
fn endpoints_in_service(tables: &Tables) -> impl Iterator<Item = &Endpoint> {
    let mut latest: IndexMap<SocketAddr, &Endpoint> = IndexMap::new();
    for it in tables.endpoints.values() {
        let row = latest.entry(it.addr).or_insert(it);
        if it.generation > row.generation {
            *row = it;
        }
    }
    latest.into_values().filter(|it| tables.is_in_service(it))
}
