//! The difference between two versions of a catalog.

use {
    super::{Catalog, CatalogLimits, RelayRoute, Service, TeamEntry},
    crate::{
        ids::{CatalogDigest, CatalogVersion, PoolName, TeamName},
        packed::PackedError,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    snafu::{Snafu, ensure},
};

/// Why a difference can't be applied to a copy of the catalog.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CatalogDeltaError {
    #[snafu(display("{source}"), context(false))]
    Unreadable { source: PackedError },
    #[snafu(display("it changes version {base}, the copy has version {version}"))]
    OtherBase { base: CatalogVersion, version: CatalogVersion },
    #[snafu(display("it leads to another content of version {version}"))]
    OtherContent { version: CatalogVersion },
}

/// The rows that differ from one version of a catalog to another, with a digest of the
/// latter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDelta {
    base: CatalogVersion,
    version: CatalogVersion,
    digest: CatalogDigest,
    /// Hosts and prefixes of the routes that are gone.
    removed_routes: Vec<(String, String)>,
    routes: Vec<RelayRoute>,
    removed_services: Vec<PoolName>,
    services: IndexMap<PoolName, Service>,
    removed_teams: Vec<TeamName>,
    teams: IndexMap<TeamName, TeamEntry>,
    limits: Option<CatalogLimits>,
}

impl CatalogDelta {
    /// Returns what changes from one catalog to another, both in canonical order.
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        let old_routes = index_routes(old);
        let new_routes = index_routes(new);
        let removed_routes = old_routes.keys().filter(|key| !new_routes.contains_key(*key));
        let routes = new_routes.iter().filter(|(key, it)| old_routes.get(*key) != Some(it));
        let (removed_services, services) = changed_rows(&old.services, &new.services);
        let (removed_teams, teams) = changed_rows(&old.teams, &new.teams);
        Self {
            base: old.version,
            version: new.version,
            digest: new.digest(),
            removed_routes: removed_routes
                .map(|(host, prefix)| ((*host).to_owned(), (*prefix).to_owned()))
                .collect(),
            routes: routes.map(|(_, it)| (*it).clone()).collect(),
            removed_services,
            services,
            removed_teams,
            teams,
            limits: (old.limits != new.limits).then(|| new.limits.clone()),
        }
    }

    /// Returns the catalog that results from the change of `old`.
    ///
    /// # Errors
    /// `old` isn't the version that was changed, or the result differs from the catalog
    /// that the difference was made for.
    pub fn apply(&self, old: &Catalog) -> Result<Catalog, CatalogDeltaError> {
        let (base, version) = (self.base, old.version);
        ensure!(base == version, OtherBaseSnafu { base, version });
        let put = self.routes.iter().map(RelayRoute::key);
        let removed = self.removed_routes.iter().map(|(host, prefix)| (&**host, &**prefix));
        let replaced: IndexSet<(&str, &str)> = put.chain(removed).collect();
        let kept = old.routes.iter().filter(|it| !replaced.contains(&it.key()));
        let mut catalog = Catalog {
            version: self.version,
            routes: kept.chain(&self.routes).cloned().collect(),
            services: edited_rows(&old.services, &self.removed_services, &self.services),
            teams: edited_rows(&old.teams, &self.removed_teams, &self.teams),
            limits: self.limits.clone().unwrap_or_else(|| old.limits.clone()),
        };
        catalog.sort();
        let version = self.version;
        ensure!(catalog.digest() == self.digest, OtherContentSnafu { version });
        Ok(catalog)
    }
}

fn index_routes(catalog: &Catalog) -> IndexMap<(&str, &str), &RelayRoute> {
    catalog.routes.iter().map(|it| (it.key(), it)).collect()
}

/// Returns the keys that are gone, and the rows that are new or differ.
fn changed_rows<K: Clone + Eq + std::hash::Hash, V: Clone + PartialEq>(
    old: &IndexMap<K, V>,
    new: &IndexMap<K, V>,
) -> (Vec<K>, IndexMap<K, V>) {
    let removed = old.keys().filter(|key| !new.contains_key(*key)).cloned();
    let put = new.iter().filter(|(key, it)| old.get(*key) != Some(it));
    (removed.collect(), put.map(|(key, it)| (key.clone(), it.clone())).collect())
}

fn edited_rows<K: Clone + Eq + std::hash::Hash, V: Clone>(
    old: &IndexMap<K, V>,
    removed: &[K],
    put: &IndexMap<K, V>,
) -> IndexMap<K, V> {
    let kept = old.iter().filter(|(key, _)| !removed.contains(key));
    kept.chain(put).map(|(key, it)| (key.clone(), it.clone())).collect()
}
