//! Estimates of the present load of a pool's endpoints from sums of some age.

use {
    super::{EndpointSum, LoadWeight},
    crate::time::Millis,
};

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEstimate {
    /// Its load when the sums were reported.
    pub sum: EndpointSum,
    /// Its capacity beside the other endpoints.
    pub weight: LoadWeight,
    /// Requests of this instance that aren't in the sums.
    pub sent_since: u32,
    /// All requests of this instance in flight there.
    pub own: u32,
}

/// Estimates of the present load of the endpoints of a pool.
///
/// Of the requests in the sums, some have ended since. In a steady state as many have been
/// sent, by all instances, to the endpoints that the sums show to be least loaded: all
/// instances choose by the same rule. The method is "load interpretation" (Dahlin,
/// "Interpreting Stale Load Information", 1999).
#[derive(Debug, Clone)]
pub struct LoadEstimates {
    /// What is left of the sums, plus this instance's own sends.
    left: Vec<f64>,
    weights: Vec<f64>,
    /// The load per capacity up to which requests of others have filled the endpoints.
    level: f64,
    /// The same with one more request.
    next: f64,
}

impl LoadEstimates {
    /// Returns the estimates for endpoints, with sums of this age.
    pub fn new(age: Millis, endpoints: &[EndpointEstimate]) -> Self {
        let mean = mean_run(endpoints);
        let mut replaced = 0.0;
        let mut left = Vec::with_capacity(endpoints.len());
        for it in endpoints {
            let run = if it.sum.run.0 > 0 { it.sum.run.0 as f64 } else { mean };
            let kept = if run > 0.0 { (-(age.0 as f64) / run).exp() } else { 1.0 };
            let sum = f64::from(it.sum.in_flight);
            replaced += sum * (1.0 - kept);
            left.push((sum * kept + f64::from(it.sent_since)).max(f64::from(it.own)));
        }
        let own: u32 = endpoints.iter().map(|it| it.sent_since).sum();
        let weights: Vec<f64> = endpoints.iter().map(|it| it.weight.ratio()).collect();
        let sent = (replaced - f64::from(own)).max(0.0);
        let level = fill(&left, &weights, sent);
        let next = fill(&left, &weights, sent + 1.0);
        Self { left, weights, level, next }
    }

    /// The estimated number of requests in flight at an endpoint.
    pub fn load(&self, at: usize) -> f64 {
        self.left[at].max(self.level * self.weights[at])
    }

    /// The mean load per capacity.
    pub fn mean(&self) -> f64 {
        let load: f64 = (0..self.left.len()).map(|it| self.load(it)).sum();
        load / self.weights.iter().sum::<f64>()
    }

    /// The capacity of an endpoint as a part of the median's.
    pub fn weight(&self, at: usize) -> f64 {
        self.weights[at]
    }

    /// What is missing at an endpoint to the level that all have after the next request.
    /// Instances that draw in proportion to it fill the least loaded endpoints evenly,
    /// though all see the same sums.
    pub fn room(&self, at: usize) -> f64 {
        (self.next * self.weights[at] - self.left[at]).max(0.0)
    }
}

/// Returns the level up to which `amount` fills the endpoints with the least load per capacity.
fn fill(loads: &[f64], weights: &[f64], amount: f64) -> f64 {
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_unstable_by(|a, b| (loads[*a] / weights[*a]).total_cmp(&(loads[*b] / weights[*b])));
    let (mut total, mut weight) = (amount, 0.0);
    let mut level = 0.0;
    for at in order {
        if weight > 0.0 && level <= loads[at] / weights[at] {
            break;
        }
        total += loads[at];
        weight += weights[at];
        level = total / weight;
    }
    level
}

/// The mean of the known run times, in ms; zero if none is known.
fn mean_run(endpoints: &[EndpointEstimate]) -> f64 {
    let known = || endpoints.iter().filter(|it| it.sum.run.0 > 0);
    let total: u64 = known().map(|it| it.sum.run.0).sum();
    total.checked_div(known().count() as u64).unwrap_or_default() as f64
}
