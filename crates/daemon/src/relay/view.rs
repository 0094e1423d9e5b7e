//! The agreed tables as the relay looks things up in them.

use {
    coord::{
        catalog::{ApiKey, Catalog, RouteIndex},
        ids::{PoolName, TeamName},
        relay::{entries, holders},
        tables::{Endpoint, Tables},
    },
    indexmap::IndexMap,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// One state of the tables, with its indexes.
pub struct View {
    pub tables: Arc<Tables>,
    routes: RouteIndex,
    keys: HashMap<ApiKey, (TeamName, Option<u8>)>,
    pools: HashMap<PoolName, Vec<Endpoint>>,
    /// The number of instances that relay.
    pub entries: usize,
}

impl View {
    /// Indexes a state of the tables.
    pub fn new(tables: Arc<Tables>) -> Self {
        let mut keys = HashMap::new();
        for (name, team) in &tables.catalog.teams {
            for key in &team.keys {
                keys.insert(key.clone(), (name.clone(), team.priority));
            }
        }
        let mut pools: HashMap<PoolName, Vec<Endpoint>> = HashMap::new();
        for it in current(&tables) {
            pools.entry(it.pool.clone()).or_default().push(it.clone());
        }
        let routes = RouteIndex::new(&tables.catalog);
        let entries = entries(&tables).len();
        Self { routes, keys, pools, entries, tables }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> &Catalog {
        &self.tables.catalog
    }

    /// Whether a catalog was accepted.
    pub fn has_catalog(&self) -> bool {
        self.catalog().version.0 > 0
    }

    /// The position of a request's route.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        self.routes.find(host, path)
    }

    /// The team that holds a key, and its priority.
    pub fn team(&self, key: &ApiKey) -> Option<&(TeamName, Option<u8>)> {
        self.keys.get(key)
    }

    /// The endpoints of a pool that may be given new work.
    pub fn endpoints(&self, pool: &PoolName) -> &[Endpoint] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// The instances that gather for a pool, the first choice first.
    pub fn holders(&self, pool: &PoolName) -> Vec<SocketAddr> {
        holders(&self.tables, pool)
    }
}

/// Endpoints in service, the latest start alone where several had one address.
fn current(tables: &Tables) -> impl Iterator<Item = &Endpoint> {
    let mut latest: IndexMap<SocketAddr, &Endpoint> = IndexMap::new();
    for it in tables.endpoints.values() {
        let row = latest.entry(it.addr).or_insert(it);
        if it.generation > row.generation {
            *row = it;
        }
    }
    latest.into_values().filter(|it| tables.is_in_service(it))
}
