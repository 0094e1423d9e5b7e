//! Teams and their keys.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A secret that a caller shows to be known as its team.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    /// Keys stay out of logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A row of the table of teams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEntry {
    pub keys: Vec<ApiKey>,
    /// Goes before the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
}
