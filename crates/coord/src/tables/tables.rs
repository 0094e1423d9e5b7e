//! The tables that are replicated to every instance.

use {
    super::{
        Edit, EditError, Endpoint, EndpointState, Member, Pool, Rollout, Route, SuspectKey, Target,
        change::error,
    },
    crate::{
        catalog::{Catalog, CatalogDelta, CatalogDeltaError},
        ids::{DomainName, EndpointName, NodeId, PoolName, Rate, RouteName, Version},
        packed::Packed,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, ensure},
    std::sync::Arc,
};

/// The most rows in the route table and in the pool table.
const MAX_ROWS: usize = 1000;

/// The replicated tables. Each instance routes requests by its own copy.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tables {
    /// Counts the accepted changes of operators.
    pub version: Version,
    pub routes: IndexMap<RouteName, Route>,
    pub pools: IndexMap<PoolName, Pool>,
    pub out_domains: IndexSet<DomainName>,
    pub out_endpoints: IndexSet<EndpointName>,
    pub roster: IndexMap<NodeId, Member>,
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    /// The configuration of relayed requests; empty until the first catalog is
    /// accepted.
    #[serde(default)]
    pub catalog: Arc<Catalog>,
    /// What crashes endpoints. Requests with one of these are refused.
    #[serde(rename = "withheld_parts", default, skip_serializing_if = "IndexSet::is_empty")]
    pub withheld: IndexSet<SuspectKey>,
    /// The latest rollout of each pool that has had one.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub rollouts: IndexMap<PoolName, Rollout>,
}

/// An incremental change of the tables, sent to the instances' copies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delta {
    Edits {
        version: Version,
        edits: Vec<Edit>,
    },
    Endpoint(Endpoint),
    DropEndpoint(EndpointName),
    Member(Member),
    DropMember(NodeId),
    /// The whole catalog, as earlier builds sent it.
    Catalog(Arc<Catalog>),
    CatalogEdit(Packed<CatalogDelta>),
    #[serde(rename = "withhold_part")]
    Withhold(SuspectKey),
    #[serde(rename = "release_part")]
    Release(SuspectKey),
    /// The latest rollout of its pool. Not for instances of builds without rollouts.
    Rollout(Rollout),
}

impl Tables {
    /// Applies the edits atomically and increments the version.
    ///
    /// # Errors
    /// An edit can't be applied; the tables are then unchanged.
    pub fn edit(&mut self, edits: &[Edit]) -> Result<Version, EditError> {
        ensure!(!edits.is_empty(), error::NoEdits);
        let mut next = self.clone();
        for edit in edits {
            next.edit_one(edit)?;
        }
        next.check()?;
        next.version = next.version.next();
        *self = next;
        Ok(self.version)
    }

    /// Applies a delta produced by another copy of the tables.
    ///
    /// # Errors
    /// The delta of the catalog can't be read or doesn't fit this copy. The tables are
    /// unchanged.
    ///
    /// # Panics
    /// The edits fail or lead to another version: the copies have diverged.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), CatalogDeltaError> {
        match delta {
            Delta::Edits { version, edits } => {
                let applied = self.edit(edits);
                assert!(
                    applied.is_ok_and(|it| it == *version),
                    "the copies of the tables have diverged"
                );
            }
            Delta::Endpoint(it) => {
                self.endpoints.insert(it.name.clone(), it.clone());
            }
            Delta::DropEndpoint(name) => {
                self.endpoints.shift_remove(name);
            }
            Delta::Member(it) => {
                self.roster.insert(it.id, it.clone());
            }
            Delta::DropMember(id) => {
                self.roster.shift_remove(id);
            }
            Delta::Catalog(it) => self.catalog = it.clone(),
            Delta::Withhold(it) => {
                self.withheld.insert(it.clone());
            }
            Delta::Release(it) => {
                self.withheld.shift_remove(it);
            }
            Delta::Rollout(it) => self.set_rollout(it.clone()),
            Delta::CatalogEdit(it) => self.catalog = Arc::new(it.open()?.apply(&self.catalog)?),
        }
        Ok(())
    }

    /// Whether an endpoint may receive new requests.
    pub fn is_in_service(&self, endpoint: &Endpoint) -> bool {
        endpoint.state != EndpointState::Leaving
            && !self.out_domains.contains(&endpoint.domain)
            && !self.out_endpoints.contains(&endpoint.name)
    }

    /// Returns the rate of requests that an endpoint takes in its cold start from all
    /// instances together; `None` if it isn't in one, or its service names no rate.
    pub fn cold_rate(&self, endpoint: &Endpoint) -> Option<Rate> {
        self.pool_cold_rate(&endpoint.pool).filter(|_| endpoint.state == EndpointState::Cold)
    }

    /// Returns the rate of requests that each endpoint of a pool takes in a cold start;
    /// `None` if the pool's service names none.
    pub fn pool_cold_rate(&self, pool: &PoolName) -> Option<Rate> {
        let service = self.catalog.services.get(pool)?;
        Some(service.cold_start.rate).filter(|it| *it > Rate(0))
    }

    fn edit_one(&mut self, edit: &Edit) -> Result<(), EditError> {
        match edit {
            Edit::PutRoute(it) => {
                self.routes.insert(it.name.clone(), it.clone());
            }
            Edit::DeleteRoute(name) => {
                let old = self.routes.shift_remove(name);
                ensure!(old.is_some(), error::UnknownRoute { route: name.clone() });
            }
            Edit::PutPool(it) => {
                self.pools.insert(it.name.clone(), it.clone());
            }
            Edit::DeletePool(name) => self.delete_pool(name)?,
            Edit::Replace { routes, pools } => self.replace(routes, pools)?,
            Edit::TakeOut(target) => self.take_out(target),
            Edit::BringBack(target) => self.bring_back(target),
        }
        Ok(())
    }

    fn delete_pool(&mut self, name: &PoolName) -> Result<(), EditError> {
        let old = self.pools.shift_remove(name);
        ensure!(old.is_some(), error::UnknownPool { pool: name.clone() });
        let user = self.routes.values().find(|it| it.stages.iter().any(|it| it.pool == *name));
        match user {
            Some(it) => error::PoolInUse { pool: name.clone(), route: it.name.clone() }.fail(),
            None => Ok(()),
        }
    }

    fn replace(&mut self, routes: &[Route], pools: &[Pool]) -> Result<(), EditError> {
        self.routes.clear();
        self.pools.clear();
        for it in pools {
            let old = self.pools.insert(it.name.clone(), it.clone());
            ensure!(old.is_none(), error::DuplicateRow { table: "pools", name: it.name.as_str() });
        }
        for it in routes {
            let old = self.routes.insert(it.name.clone(), it.clone());
            ensure!(old.is_none(), error::DuplicateRow { table: "routes", name: it.name.as_str() });
        }
        Ok(())
    }

    fn take_out(&mut self, target: &Target) {
        match target {
            Target::Domain(it) => self.out_domains.insert(it.clone()),
            Target::Endpoint(it) => self.out_endpoints.insert(it.clone()),
        };
    }

    fn bring_back(&mut self, target: &Target) {
        match target {
            Target::Domain(it) => self.out_domains.shift_remove(it),
            Target::Endpoint(it) => self.out_endpoints.shift_remove(it),
        };
    }

    fn check(&self) -> Result<(), EditError> {
        ensure!(self.routes.len() <= MAX_ROWS, error::TooMany { table: "routes", limit: MAX_ROWS });
        ensure!(self.pools.len() <= MAX_ROWS, error::TooMany { table: "pools", limit: MAX_ROWS });
        for route in self.routes.values() {
            let stages = route.sorted_stages().context(error::Route)?;
            let missing = stages.into_iter().find(|it| !self.pools.contains_key(&it.pool));
            if let Some(it) = missing {
                return error::MissingPool { route: route.name.clone(), pool: it.pool }.fail();
            }
        }
        Ok(())
    }
}
