//! The catalog and its validation.

use {
    super::{ApiKey, CatalogError, RelayRoute, Service, TeamEntry, error::*},
    crate::{
        ids::{Bytes, CatalogDigest, CatalogVersion, PoolName, TeamName},
        time::Millis,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    snafu::ensure,
};

/// Size and time limits on callers' connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogLimits {
    /// The maximum size of a request head.
    #[serde(rename = "head")]
    pub max_head: Bytes,
    /// The maximum size of a request body.
    #[serde(rename = "body")]
    pub max_body: Bytes,
    /// The time limit for receiving a request head.
    #[serde(rename = "reading")]
    pub head_timeout: Millis,
    /// How long a connection may stay idle.
    #[serde(rename = "idle")]
    pub idle_timeout: Millis,
}

impl Default for CatalogLimits {
    /// Values common among HTTP servers, such as 16 KiB for heads and 4 MiB for
    /// bodies.
    fn default() -> Self {
        Self {
            max_head: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            head_timeout: Millis(3000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// Routes, services, teams and limits under one version. A new catalog replaces
/// the previous one as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Catalog {
    pub version: CatalogVersion,
    pub routes: Vec<RelayRoute>,
    pub services: IndexMap<PoolName, Service>,
    pub teams: IndexMap<TeamName, TeamEntry>,
    pub limits: CatalogLimits,
}

impl Catalog {
    /// Validates the catalog.
    ///
    /// # Errors
    /// The first problem found: a route to an unknown service, two routes with
    /// the same host and prefix, a split whose weights sum to zero, a timeout of
    /// zero, a stage that depends on itself or a later one, or a key shared by
    /// two teams.
    pub fn check(&self) -> Result<(), CatalogError> {
        let mut seen = IndexSet::new();
        for route in &self.routes {
            let (host, prefix) = (route.host.as_str(), route.prefix.as_str());
            ensure!(seen.insert((host, prefix)), DuplicateRouteSnafu { host, prefix });
            self.check_route(route)?;
        }
        self.check_keys()
    }

    /// Puts the rows into canonical order, so that equal catalogs have equal digests.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| a.key().cmp(&b.key()));
        self.services.sort_keys();
        self.teams.sort_keys();
    }

    /// Returns a digest of the content. It covers the order of rows; see [`Self::sort`].
    pub fn digest(&self) -> CatalogDigest {
        let mut hash = Sha256::new();
        serde_json::to_writer(&mut hash, self).expect("a catalog can be written as JSON");
        let hash = hash.finalize();
        CatalogDigest(u64::from_be_bytes(hash[..8].try_into().expect("a digest has 32 bytes")))
    }

    /// Whether teams are configured, so that requests need an API key unless
    /// their route is public.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// The team that an API key belongs to.
    pub fn team_of(&self, key: &ApiKey) -> Option<(&TeamName, &TeamEntry)> {
        self.teams.iter().find(|(_, team)| team.keys.contains(key))
    }

    fn check_route(&self, route: &RelayRoute) -> Result<(), CatalogError> {
        let name = || route.name.clone();
        ensure!(route.timeout > Millis(0), ZeroTimeoutSnafu { route: name() });
        let weight: u64 = route.split.iter().map(|it| u64::from(it.weight)).sum();
        ensure!(weight > 0, ZeroWeightSnafu { route: name() });
        let pools = route.split.iter().map(|it| &it.pool);
        for pool in pools.chain(route.stages.iter().map(|it| &it.pool)) {
            ensure!(
                self.services.contains_key(pool),
                UnknownServiceSnafu { route: name(), pool: pool.clone() }
            );
        }
        for (number, stage) in route.stages.iter().enumerate() {
            let earlier = stage.after.iter().all(|it| *it < number);
            ensure!(earlier, StageOrderSnafu { route: name(), stage: number });
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), CatalogError> {
        let mut owners: IndexMap<&ApiKey, &TeamName> = IndexMap::new();
        for (name, team) in &self.teams {
            for key in &team.keys {
                let other = owners.insert(key, name).filter(|it| *it != name);
                if let Some(other) = other {
                    return SharedKeySnafu { team: name.clone(), other: other.clone() }.fail();
                }
            }
        }
        Ok(())
    }
}
