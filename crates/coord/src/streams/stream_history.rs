//! The replicated record of what streams came from.

use {
    super::{StreamGroup, StreamId, StreamOrigin, StreamQuery},
    crate::{
        catalog::Catalog,
        ids::PoolName,
        tables::{Endpoint, Tables},
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// The most records of one period: two minutes of all streams of a large system.
const MAX_RECORDS: usize = 400_000;
/// The most origins that records can name.
const MAX_ORIGINS: usize = CONFLICT as usize;
/// Stands for the origin of streams that were recorded with two origins.
const CONFLICT: u16 = u16::MAX;

/// What streams may have come from that the tables no longer show.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PastUse {
    /// The pool and version that an endpoint had before it announced others.
    Endpoint(StreamOrigin),
    /// A pool that streams of a route went to before the route was changed.
    Route { host: String, prefix: String, pool: PoolName },
}

/// What was recorded between two rotations.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct Period {
    past: IndexSet<PastUse>,
    /// The position of each stream's origin, or [`CONFLICT`].
    records: IndexMap<StreamId, u16>,
}

/// What recent streams came from. What is older than two rotations is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamHistory {
    origins: IndexSet<StreamOrigin>,
    recent: Period,
    earlier: Period,
}

impl StreamHistory {
    /// Whether there is nothing to drop.
    pub fn is_empty(&self) -> bool {
        let mut periods = [&self.recent, &self.earlier].into_iter();
        periods.all(|it| it.past.is_empty() && it.records.is_empty())
    }

    /// The number of records kept.
    pub fn record_count(&self) -> usize {
        self.recent.records.len() + self.earlier.records.len()
    }

    /// Records streams that have begun. What doesn't fit isn't recorded, and such a stream
    /// can't be taken up.
    pub fn record(&mut self, groups: &[StreamGroup]) {
        for group in groups {
            let known = self.origins.get_index_of(&group.origin);
            if known.is_none() && self.origins.len() >= MAX_ORIGINS {
                continue;
            }
            let insert = || self.origins.insert_full(group.origin.clone()).0;
            let at = known.unwrap_or_else(insert) as u16;
            let room = MAX_RECORDS.saturating_sub(self.recent.records.len());
            for id in group.ids.iter().take(room) {
                let same = self.position(*id).is_none_or(|old| old == at);
                self.recent.records.insert(*id, if same { at } else { CONFLICT });
            }
        }
    }

    /// Notes that an endpoint's row is replaced.
    pub fn note_endpoint(&mut self, old: &Endpoint, new: &Endpoint) {
        let origin = StreamOrigin::of(old);
        if origin != StreamOrigin::of(new) {
            self.recent.past.insert(PastUse::Endpoint(origin));
        }
    }

    /// Notes the pools that streams of routes go to no longer.
    pub fn note_catalog(&mut self, old: &Catalog, new: &Catalog) {
        let kept: HashMap<_, _> = new.routes.iter().map(|it| (it.key(), it)).collect();
        for route in old.routes.iter().filter(|it| it.retry.is_stream()) {
            let same = kept.get(&route.key());
            let goes_on = |pool: &PoolName| {
                same.is_some_and(|it| it.split.iter().any(|split| split.pool == *pool))
            };
            for it in route.split.iter().filter(|it| !goes_on(&it.pool)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                self.recent.past.insert(PastUse::Route { host, prefix, pool: it.pool.clone() });
            }
        }
    }

    /// Drops what is older than the last rotation.
    pub fn rotate(&mut self) {
        self.earlier = std::mem::take(&mut self.recent);
        let old = std::mem::take(&mut self.origins);
        for position in self.earlier.records.values_mut().filter(|it| **it != CONFLICT) {
            let origin = old[usize::from(*position)].clone();
            *position = self.origins.insert_full(origin).0 as u16;
        }
    }

    /// Returns what a stream came from, if that is certain: it is recorded, or streams of
    /// its route can have come from nothing else.
    pub fn find(&self, tables: &Tables, query: &StreamQuery) -> Option<StreamOrigin> {
        if let Some(position) = query.id.and_then(|it| self.position(it)) {
            return self.origins.get_index(usize::from(position)).cloned();
        }
        let mut possible = self.possible_origins(tables, query);
        possible.pop().filter(|_| possible.is_empty())
    }

    /// Returns the pools whose streams are to be recorded: those of routes whose streams
    /// may have come from more than one origin.
    pub fn mixed_pools(&self, tables: &Tables) -> IndexSet<PoolName> {
        let versions = self.origins_by_pool(tables);
        let counted = versions.iter().filter(|(_, it)| it.len() > 1);
        let mut mixed: IndexSet<PoolName> = counted.map(|(pool, _)| (*pool).clone()).collect();
        let streams = tables.catalog.routes.iter().filter(|it| it.retry.is_stream());
        for route in streams.filter(|it| it.split.len() > 1 || self.has_moved(it.key())) {
            mixed.extend(route.split.iter().map(|it| it.pool.clone()));
        }
        mixed
    }

    fn position(&self, id: StreamId) -> Option<u16> {
        let recent = self.recent.records.get(&id);
        recent.or_else(|| self.earlier.records.get(&id)).copied()
    }

    fn past(&self) -> impl Iterator<Item = &PastUse> {
        self.recent.past.iter().chain(&self.earlier.past)
    }

    fn has_moved(&self, key: (&str, &str)) -> bool {
        self.past().any(|it| match it {
            PastUse::Route { host, prefix, .. } => (host.as_str(), prefix.as_str()) == key,
            PastUse::Endpoint(_) => false,
        })
    }

    fn origins_by_pool<'a>(
        &'a self,
        tables: &'a Tables,
    ) -> HashMap<&'a PoolName, IndexSet<StreamOrigin>> {
        let mut versions: HashMap<&PoolName, IndexSet<StreamOrigin>> = HashMap::new();
        for it in tables.endpoints.values() {
            versions.entry(&it.pool).or_default().insert(StreamOrigin::of(it));
        }
        for it in self.past() {
            if let PastUse::Endpoint(origin) = it {
                versions.entry(&origin.pool).or_default().insert(origin.clone());
            }
        }
        versions
    }

    fn possible_origins(&self, tables: &Tables, query: &StreamQuery) -> IndexSet<StreamOrigin> {
        let key = (query.host.as_str(), query.prefix.as_str());
        let Some(route) = tables.catalog.routes.iter().find(|it| it.key() == key) else {
            return IndexSet::new();
        };
        let former = self.past().filter_map(|it| match it {
            PastUse::Route { host, prefix, pool } => {
                ((host.as_str(), prefix.as_str()) == key).then_some(pool)
            }
            PastUse::Endpoint(_) => None,
        });
        let pools = route.split.iter().map(|it| &it.pool).chain(former);
        let versions = self.origins_by_pool(tables);
        pools.filter_map(|it| versions.get(it)).flatten().cloned().collect()
    }
}
