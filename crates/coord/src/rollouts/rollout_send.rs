//! One send to an endpoint, as the rollout gate counts it.

use {
    super::{RolloutSide, SendKind},
    crate::{
        ids::{EndpointName, PoolName, RouteName, SoftwareVersion},
        time::{Millis, Time},
    },
};

/// What an endpoint has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutAnswer {
    /// An answer other than a failure, and the time from the send to its first byte.
    Good(Millis),
    /// A 5xx of the endpoint, or an invalid answer.
    Failed,
}

/// One send to an endpoint, until it has ended.
#[derive(Debug)]
#[must_use = "a send that isn't ended counts as running"]
pub struct RolloutSend {
    pub(super) id: u64,
    pub(super) pool: PoolName,
    pub(super) version: Option<SoftwareVersion>,
    pub(super) endpoint: EndpointName,
    pub(super) route: RouteName,
    pub(super) side: RolloutSide,
    pub(super) kind: SendKind,
    /// The rollout that counts it; `None` if there was none.
    pub(super) number: Option<u64>,
    /// Whether the endpoint was in a cold start, so that its time says little.
    pub(super) is_cold: bool,
    pub(super) began: Time,
    /// The answer that was counted.
    pub(super) answer: Option<RolloutAnswer>,
}

impl RolloutSend {
    /// The pool of the endpoint.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// The endpoint that it goes to.
    pub fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }

    /// The route of its request.
    pub fn route(&self) -> &RouteName {
        &self.route
    }

    /// The side of the endpoint when the send began, for metrics.
    pub fn side(&self) -> RolloutSide {
        self.side
    }
}
