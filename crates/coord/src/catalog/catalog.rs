//! A whole catalog and its check.

use {
    super::{ApiKey, CatalogError, RelayRoute, Service, TeamEntry, error::*},
    crate::{
        ids::{Bytes, CatalogVersion, PoolName, TeamName},
        time::Millis,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    snafu::ensure,
};

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogLimits {
    /// The largest head of a request.
    #[serde(rename = "head")]
    pub max_head: Bytes,
    /// The largest body of a request.
    #[serde(rename = "body")]
    pub max_body: Bytes,
    /// The longest time for the head of a request.
    #[serde(rename = "reading")]
    pub head_timeout: Millis,
    /// How long a connection may stay without a request.
    #[serde(rename = "idle")]
    pub idle_timeout: Millis,
}

impl Default for CatalogLimits {
    /// Common defaults of HTTP servers: 16 KiB heads, 4 MiB bodies.
    fn default() -> Self {
        Self {
            max_head: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            head_timeout: Millis(3000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// Routes, services and teams under one number. It is replaced as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Catalog {
    pub version: CatalogVersion,
    pub routes: Vec<RelayRoute>,
    pub services: IndexMap<PoolName, Service>,
    pub teams: IndexMap<TeamName, TeamEntry>,
    pub limits: CatalogLimits,
}

impl Catalog {
    /// Checks that the catalog can take effect.
    ///
    /// # Errors
    /// The first thing that doesn't fit: a route to an unknown service, two
    /// routes at one place, a split without weight, a timeout of zero, a stage
    /// that refers to a later one, or a key that two teams share.
    pub fn check(&self) -> Result<(), CatalogError> {
        let mut places = IndexSet::new();
        for route in &self.routes {
            let (host, prefix) = (route.host.as_str(), route.prefix.as_str());
            ensure!(places.insert((host, prefix)), DuplicateRouteSnafu { host, prefix });
            self.check_route(route)?;
        }
        self.check_keys()
    }

    /// Whether requests need a key.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// The team that holds a key.
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
        let mut holders: IndexMap<&ApiKey, &TeamName> = IndexMap::new();
        for (name, team) in &self.teams {
            for key in &team.keys {
                let other = holders.insert(key, name).filter(|it| *it != name);
                if let Some(other) = other {
                    return SharedKeySnafu { team: name.clone(), other: other.clone() }.fail();
                }
            }
        }
        Ok(())
    }
}
