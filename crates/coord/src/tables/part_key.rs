//! Parts of prompts, by pool.

use {
    crate::ids::{PoolName, PromptPart},
    serde::{Deserialize, Serialize},
};

/// A part of prompts sent to one pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartKey {
    pub pool: PoolName,
    pub part: PromptPart,
}
