//! What renewals and their replies say about limits.

use {
    crate::{
        ids::{EndpointName, Generation, Rate},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
};

/// What an instance knows of the limit of one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    pub endpoint: EndpointName,
    pub generation: Generation,
    /// `None`: the endpoint names no limit any more.
    pub limit: Option<Rate>,
    /// How long before the renewal was sent the endpoint said so.
    pub age: Millis,
}

/// A start of an endpoint that may have ended without a word, as a connection to it was
/// refused. The next one may answer at the same address and under the same name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDoubt {
    pub endpoint: EndpointName,
    pub generation: Generation,
    /// How long before the message was sent that was.
    pub age: Millis,
}

/// How often an instance has sent to a limited endpoint since the last renewal, or
/// would have with a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitDemand {
    pub endpoint: EndpointName,
    pub sends: u32,
}

/// The part of a renewal about limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The number of the list that the instance holds; 0 without one.
    pub list: u64,
    /// What answers said that the leader may not know yet, or all that the instance
    /// knows if the leader asked for that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<LimitReport>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<LimitDemand>,
    /// The starts in doubt that the leader may not know of yet, or all if the leader asked
    /// for that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub doubts: Vec<EndpointDoubt>,
    /// As `reports`, of how many requests brittle endpoints may reject in a second.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle: Vec<LimitReport>,
    /// What this instance has at brittle endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pressure: Vec<BrittlePressure>,
}

/// What one instance has at a brittle endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittlePressure {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub in_flight: u32,
    /// Whether it has rejected a request of this instance since the last renewal.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub rejected: bool,
}

/// The limit of one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub limit: Rate,
    /// How long before the reply the endpoint said so.
    pub age: Millis,
}

/// All limits that a leader knows. Each change of them has a higher number, also under
/// another leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitList {
    pub number: u64,
    pub limits: Vec<EndpointLimit>,
    /// The starts in doubt, which count as cold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub doubts: Vec<EndpointDoubt>,
    /// How many requests the brittle endpoints may reject in a second.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle: Vec<EndpointLimit>,
    /// Those of them that may soon reject requests: they get no more than is granted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pressed: Vec<EndpointName>,
}

/// What a reply says of the leader's list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitListUpdate {
    /// The leader may not know all limits yet. The instance keeps what it knows.
    #[default]
    Unknown,
    /// The instance holds the current list.
    Same,
    New(LimitList),
}

/// A number of sends to one incarnation of an endpoint, under its limit at that time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendGrant {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub limit: Rate,
    pub sends: u32,
}

/// The part of a reply about limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReply {
    pub list: LimitListUpdate,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sends: Vec<SendGrant>,
    /// How long the leader had held the renewal when it made the grants, which are valid
    /// from that moment on.
    pub held: Millis,
}
