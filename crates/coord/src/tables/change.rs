//! Operators' changes to the replicated tables.

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

/// What operators can take out of service and bring back.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Domain(DomainName),
    Endpoint(EndpointName),
}

/// One modification within a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    PutRoute(Route),
    DeleteRoute(RouteName),
    PutPool(Pool),
    DeletePool(PoolName),
    /// Replaces all routes and all pools.
    Replace {
        routes: Vec<Route>,
        pools: Vec<Pool>,
    },
    TakeOut(Target),
    BringBack(Target),
}

/// A set of edits that is applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub id: ChangeId,
    /// The table version that the change was based on; without it the change
    /// applies to the current version.
    pub base: Option<Version>,
    pub author: String,
    pub at: WallTime,
    pub edits: Vec<Edit>,
}

/// The result of a change. A resend of the change gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeOutcome {
    Accepted {
        version: Version,
    },
    /// `base` is not the current version of the tables, which is `version`.
    Conflict {
        version: Version,
    },
    Invalid {
        reason: String,
    },
    /// The change is older than the retained history, so whether it was applied
    /// before is no longer known. This time it was not.
    Expired {
        version: Version,
    },
}

/// The reason why an edit can't be applied. The texts are stored in the history.
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
