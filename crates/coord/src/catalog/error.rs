//! Validation errors of a catalog.

use {
    crate::ids::{PoolName, RouteName, TeamName},
    snafu::Snafu,
};

/// The reason why a catalog is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CatalogError {
    #[snafu(display("two routes share host {host} and prefix {prefix}"))]
    DuplicateRoute { host: String, prefix: String },
    #[snafu(display("route {route} has a timeout of 0ms"))]
    ZeroTimeout { route: RouteName },
    #[snafu(display("the weights of route {route} add up to 0"))]
    ZeroWeight { route: RouteName },
    #[snafu(display("route {route} names service {pool}, which doesn't exist"))]
    UnknownService { route: RouteName, pool: PoolName },
    #[snafu(display("stage {stage} of route {route} doesn't follow the stages that it needs"))]
    StageOrder { route: RouteName, stage: usize },
    #[snafu(display("teams {team} and {other} share a key"))]
    SharedKey { team: TeamName, other: TeamName },
}
