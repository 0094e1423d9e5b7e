//! The catalog: the configuration of relayed requests, with their routes, the
//! stages to run before them, the pools that serve them and the teams that may
//! send them.

#[allow(clippy::module_inception)]
mod catalog;
mod delta;
mod error;
mod index;
mod route;
mod service;
mod team;

pub use {
    catalog::{Catalog, CatalogLimits},
    delta::{CatalogDelta, CatalogDeltaError},
    error::CatalogError,
    index::RouteIndex,
    route::{RelayRoute, RelayStage, RetryPolicy, Split},
    service::{BatchTerms, ColdBound, EngineTerms, Service},
    team::{ApiKey, TeamEntry},
};
