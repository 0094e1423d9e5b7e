//! How much of the requests with affinity to an endpoint go there.

use {
    super::{EndpointSum, LoadOrder},
    crate::ids::{EndpointName, Slots},
    indexmap::IndexMap,
};

/// How far above the mean of its pool requests with affinity may fill an endpoint, as a
/// factor (bounded loads; Mirrokni and others, 2018).
pub const AFFINITY_BOUND: f64 = 1.05;
/// The part of an endpoint's slots up to which requests with affinity always go there. Reading
/// a shared prompt part again takes longer than so few requests delay each other.
const IDLE_SHARE: f64 = 0.125;
/// By how much, in the logarithm, a load of twice the bound lowers the share with each new
/// sums. The load follows only as requests in flight end; a greater one makes the shares
/// swing. The change is linear in the load, so that chance deviations of small loads cancel
/// out.
const GAIN: f64 = 0.4;
/// The least share, from which it returns to the whole within ten sums or so.
const MIN_SHARE: f64 = 0.02;

/// The share of the requests with affinity to an endpoint that are sent there, by endpoint.
///
/// A mere bound on the load would switch all instances at once: off when sums show an
/// endpoint above it, and on again with later ones. A share that follows the sums is about
/// the same at all instances, and lets as many requests through as keep the load at the
/// bound.
#[derive(Debug, Default)]
pub struct AffinityShares {
    shares: IndexMap<EndpointName, f64>,
}

impl AffinityShares {
    /// Adapts the shares to new sums, which are in the given order.
    pub fn update(&mut self, order: &LoadOrder, sums: &[EndpointSum]) {
        let mut pools: IndexMap<_, (f64, f64)> = IndexMap::new();
        for (it, sum) in order.rows().iter().zip(sums) {
            let (load, weight) = pools.entry(&it.pool).or_default();
            *load += f64::from(sum.in_flight);
            *weight += it.weight.ratio();
        }
        let mut old = std::mem::take(&mut self.shares);
        for (it, sum) in order.rows().iter().zip(sums) {
            let (load, weight) = pools[&it.pool];
            // With less than one request on average, one is no sign of too many.
            let even = AFFINITY_BOUND * load / weight * it.weight.ratio();
            let bound = even.max(idle_load(it.slots)).max(1.0);
            let excess = f64::from(sum.in_flight) / bound - 1.0;
            let share = old.swap_remove(&it.name).unwrap_or(1.0) * (-GAIN * excess).exp();
            if share < 1.0 {
                self.shares.insert(it.name.clone(), share.max(MIN_SHARE));
            }
        }
    }

    /// Returns the share of the requests with affinity to an endpoint that go there.
    pub fn get(&self, name: &EndpointName) -> f64 {
        self.shares.get(name).copied().unwrap_or(1.0)
    }
}

/// The number of requests up to which an endpoint with these slots counts as idle.
pub fn idle_load(slots: Slots) -> f64 {
    f64::from(slots.0) * IDLE_SHARE
}
