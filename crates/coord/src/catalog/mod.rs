//! The catalog: which relayed requests exist, who may send them, through which
//! stages they pass and to which pools they go.

#[allow(clippy::module_inception)]
mod catalog;
mod error;
mod index;
mod route;
mod service;
mod team;

pub use {
    catalog::{Catalog, CatalogLimits},
    error::CatalogError,
    index::RouteIndex,
    route::{RelayRoute, RelayStage, RetryPolicy, Split},
    service::{BatchSpec, ColdStart, EngineSpec, Service},
    team::{ApiKey, TeamEntry},
};
