//! Pools: groups of endpoints that run a stage.

use {
    crate::ids::PoolName,
    serde::{Deserialize, Serialize},
};

/// The kind of endpoints in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines: they batch requests, stream their answers and have cold
    /// starts.
    #[default]
    Model,
    /// Plain services that report their own load.
    Service,
}

/// A row of the pool table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub name: PoolName,
    #[serde(default)]
    pub kind: PoolKind,
}
