//! What instances and the leader tell each other of streams.

use {
    super::{StreamId, StreamOrigin},
    crate::ids::{EndpointName, Generation, Index},
    serde::{Deserialize, Serialize},
};

/// Streams that came from the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamGroup {
    pub origin: StreamOrigin,
    /// The incarnation of the endpoint that began them, as an instance reports it to the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<(EndpointName, Generation)>,
    pub ids: Vec<StreamId>,
}

/// The question what a stream came from that a caller takes up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// `None` if the caller doesn't name the attempt that began it.
    pub id: Option<StreamId>,
    /// Host and prefix of its route.
    pub host: String,
    pub prefix: String,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// `None` if it isn't certain.
    pub origin: Option<StreamOrigin>,
    /// The state of the tables that an instance must have reached before it can tell which
    /// endpoints have the version.
    pub index: Index,
}
