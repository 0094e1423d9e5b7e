//! A deployment at today's size, with eight instances.

use {
    coord::{
        ids::Slots,
        tables::{ChangeOutcome, Edit},
    },
    harness::{Caller, Cluster, ClusterSpec, Deployment, LONG_TIMEOUT, StandIns, wait_until},
    std::time::Duration,
};

/// Instances that vote, and others.
pub const VOTERS: usize = 3;
pub const OTHERS: usize = 5;
/// How long the ramps of all endpoints may take.
const RAMP: Duration = Duration::from_secs(30);

/// A running deployment.
pub struct System {
    pub cluster: Cluster,
    pub stand_ins: StandIns,
    pub user: Deployment,
}

impl System {
    /// Starts eight instances with a policy, and one user's stand-ins.
    pub fn start(user: Deployment, policy: &str) -> Self {
        let mut spec = ClusterSpec::new(VOTERS, OTHERS);
        spec.domains = user.domains.map(ToOwned::to_owned).to_vec();
        spec.args = vec!["--policy".into(), policy.into(), "--log-level".into(), "warn".into()];
        let cluster = spec.start();
        let tables = Deployment::tables(std::slice::from_ref(&user));
        let edit = Edit::Replace { routes: tables.routes, pools: tables.pools };
        let outcome = cluster.operator().edit(vec![edit]).expect("an answer");
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
        let stand_ins = StandIns::start(&user.endpoints, &cluster.announce_addrs());
        let system = Self { cluster, stand_ins, user };
        system.wait_granted();
        system
    }

    /// Callers of all running instances.
    pub fn callers(&self) -> Vec<Caller> {
        self.cluster.daemons().map(|it| it.caller()).collect()
    }

    fn wait_granted(&self) {
        let (operator, count) = (self.cluster.operator(), self.user.endpoints.len());
        wait_until("all endpoints are in use", LONG_TIMEOUT, || {
            operator.status().is_ok_and(|it| {
                it.endpoints.iter().filter(|e| e.granted > Slots(0)).count() == count
            })
        });
    }

    /// Waits until every endpoint of the bottleneck may be used in full. The
    /// load that ramps them is the caller's.
    pub fn is_ramped(&self) -> bool {
        let pool = self.user.bottleneck();
        let full = |it: &coord::control::EndpointStatus| it.allowed >= Slots(4);
        self.cluster
            .operator()
            .status()
            .is_ok_and(|it| it.endpoints.iter().filter(|e| e.pool.as_str() == pool).all(full))
    }

    /// The longest wait for the ramps.
    pub fn ramp_bound() -> Duration {
        RAMP
    }
}
