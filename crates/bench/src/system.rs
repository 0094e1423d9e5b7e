//! The system under test: eight instances and the stand-in endpoints of one
//! deployment at its current size.

use {
    coord::{
        ids::Slots,
        tables::{ChangeOutcome, Edit},
    },
    harness::{Caller, Cluster, ClusterSpec, Deployment, LONG_TIMEOUT, StandIns, wait_until},
    std::time::Duration,
};

/// Number of instances that vote.
pub const VOTERS: usize = 3;
/// Number of instances that don't vote.
pub const NON_VOTERS: usize = 5;
/// Longest time for all endpoints to ramp up.
const RAMP_TIMEOUT: Duration = Duration::from_secs(30);
/// Slots of each endpoint in the bottleneck pool.
const BOTTLENECK_SLOTS: Slots = Slots(4);

/// A running cluster with the stand-in endpoints of one deployment.
pub struct System {
    pub cluster: Cluster,
    pub stand_ins: StandIns,
    pub deployment: Deployment,
}

impl System {
    /// Starts eight instances with a routing policy, loads the deployment's
    /// tables, starts its stand-ins and waits until every endpoint has
    /// granted slots.
    pub fn start(deployment: Deployment, policy: &str) -> Self {
        let mut spec = ClusterSpec::new(VOTERS, NON_VOTERS);
        spec.domains = deployment.domains.map(ToOwned::to_owned).to_vec();
        spec.args = vec!["--policy".into(), policy.into(), "--log-level".into(), "warn".into()];
        let cluster = spec.start();
        let tables = Deployment::tables(std::slice::from_ref(&deployment));
        let edit = Edit::Replace { routes: tables.routes, pools: tables.pools };
        let outcome = cluster.operator().edit(vec![edit]).expect("change request is answered");
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
        let stand_ins = StandIns::start(&deployment.endpoints, &cluster.announce_addrs());
        let system = Self { cluster, stand_ins, deployment };
        system.wait_for_grants();
        system
    }

    /// Returns a caller for each running instance.
    pub fn callers(&self) -> Vec<Caller> {
        self.cluster.daemons().map(|it| it.caller()).collect()
    }

    fn wait_for_grants(&self) {
        let (operator, count) = (self.cluster.operator(), self.deployment.endpoints.len());
        wait_until("all endpoints are in use", LONG_TIMEOUT, || {
            operator.status().is_ok_and(|it| {
                it.endpoints.iter().filter(|e| e.granted > Slots(0)).count() == count
            })
        });
    }

    /// Returns whether all slots of every endpoint in the bottleneck pool are
    /// allowed. Endpoints ramp up only under load, which the caller has to send.
    pub fn is_ramped(&self) -> bool {
        let pool = self.deployment.bottleneck();
        let full = |it: &coord::control::EndpointStatus| it.allowed >= BOTTLENECK_SLOTS;
        self.cluster
            .operator()
            .status()
            .is_ok_and(|it| it.endpoints.iter().filter(|e| e.pool.as_str() == pool).all(full))
    }

    /// Returns the longest time to wait until the endpoints have ramped up.
    pub fn ramp_timeout() -> Duration {
        RAMP_TIMEOUT
    }
}
