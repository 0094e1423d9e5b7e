//! Teams and their API keys.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A secret that authenticates a caller as a member of its team.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    /// Leaves out the key, so that it can't get into logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A row of the team table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEntry {
    pub keys: Vec<ApiKey>,
    /// Overrides the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
}
