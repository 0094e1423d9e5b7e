//! Operators' changes of the agreed tables.

use {
    super::{Pool, Route, RouteError},
    crate::{
        ids::{ChangeId, DomainName, EndpointName, PoolName, RouteName, Version},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
};

/// What operators take out of service and bring back.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Domain(DomainName),
    Endpoint(EndpointName),
}

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    PutRoute(Route),
    DeleteRoute(RouteName),
    PutPool(Pool),
    DeletePool(PoolName),
    /// Replaces both tables as a whole.
    Replace {
        routes: Vec<Route>,
        pools: Vec<Pool>,
    },
    TakeOut(Target),
    BringBack(Target),
}

/// A set of edits that is applied as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub id: ChangeId,
    /// The number of the tables that the change was made on; without one the
    /// change applies to whatever stands.
    pub base: Option<Version>,
    pub author: String,
    pub at: WallTime,
    pub edits: Vec<Edit>,
}

/// The first and only answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeOutcome {
    Accepted {
        version: Version,
    },
    /// Another change came first; `version` is what stands.
    Conflict {
        version: Version,
    },
    Invalid {
        reason: String,
    },
    /// The change is older than the kept history, so its first answer is no
    /// longer known. It was not applied now.
    Expired {
        version: Version,
    },
}

/// Why an edit can't be applied.
#[derive(Debug, Snafu)]
#[snafu(module(error), context(suffix(false)), visibility(pub(crate)))]
pub enum EditError {
    #[snafu(display("{source}"))]
    Route { source: RouteError },
    #[snafu(display("route {route} names pool {pool}, which doesn't exist"))]
    MissingPool { route: RouteName, pool: PoolName },
    #[snafu(display("pool {pool} is used by route {route}"))]
    PoolInUse { pool: PoolName, route: RouteName },
    #[snafu(display("there is no route {route}"))]
    UnknownRoute { route: RouteName },
    #[snafu(display("there is no pool {pool}"))]
    UnknownPool { pool: PoolName },
    #[snafu(display("table of {table} names {name} twice"))]
    DuplicateRow { table: &'static str, name: String },
    #[snafu(display("a change needs at least one edit"))]
    NoEdits,
    #[snafu(display("the tables may hold {limit} {table} at the most"))]
    TooMany { table: &'static str, limit: usize },
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Domain(name) => write!(f, "domain {name}"),
            Self::Endpoint(name) => write!(f, "endpoint {name}"),
        }
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PutRoute(it) => write!(f, "put route {}", it.name),
            Self::DeleteRoute(it) => write!(f, "delete route {it}"),
            Self::PutPool(it) => write!(f, "put pool {}", it.name),
            Self::DeletePool(it) => write!(f, "delete pool {it}"),
            Self::Replace { routes, pools } => {
                write!(f, "replace by {} routes and {} pools", routes.len(), pools.len())
            }
            Self::TakeOut(it) => write!(f, "take out {it}"),
            Self::BringBack(it) => write!(f, "bring back {it}"),
        }
    }
}
