//! What a stream came from.

use {
    crate::{
        ids::{PoolName, SoftwareVersion},
        tables::Endpoint,
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The pool and software version of the endpoint that began a stream. Endpoints that don't
/// name a version count as one version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub pool: PoolName,
    pub version: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// The origin of the streams of an endpoint.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { pool: endpoint.pool.clone(), version: endpoint.version.clone() }
    }
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.version {
            Some(it) => write!(f, "{} {it}", self.pool),
            None => write!(f, "{}", self.pool),
        }
    }
}
