//! Chooses endpoints for relayed requests.
//!
//! Requests without affinity go to the endpoint with the fewest in-flight
//! requests of this instance; ties go to the preferred domain, then at random.
//! Requests to inference engines that share a prompt go to the same few endpoints
//! from every instance, since an engine spends most of its time on reading prompt
//! parts that aren't cached; endpoints with many more requests than the mean are
//! skipped.

use {
    super::rank,
    crate::{
        ids::{DomainName, EndpointName},
        tables::Endpoint,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// How long an endpoint is avoided after a failure; doubled with each consecutive
/// one.
const AVOID_TIME: Millis = Millis(500);
/// Upper bound of the time for which a failing endpoint is avoided.
const MAX_AVOID_TIME: Millis = Millis(8000);
/// In-flight requests above the mean at which an endpoint is skipped by requests
/// with affinity to it.
const MAX_EXCESS: u32 = 2;

#[derive(Debug, Default, Clone)]
struct EndpointStats {
    in_flight: u32,
    failures: u32,
    avoided_until: Time,
}

/// Preferences of a request among the endpoints of its pool.
#[derive(Debug, Clone, Default)]
pub struct Preferences<'a> {
    /// Key shared by the requests that use the same cached prompt prefix.
    pub affinity: Option<&'a [u8]>,
    /// Failure domain that holds its inputs.
    pub domain: Option<&'a DomainName>,
    /// Endpoints that were already tried.
    pub tried: &'a [EndpointName],
}

/// Selects endpoints by this instance's own requests and failures.
#[derive(Debug)]
pub struct Placer {
    stats: IndexMap<EndpointName, EndpointStats>,
    rng: StdRng,
}

impl Placer {
    /// Creates a placer without statistics; `seed` drives its random choices.
    pub fn new(seed: u64) -> Self {
        Self { stats: IndexMap::new(), rng: StdRng::seed_from_u64(seed) }
    }

    /// Drops the statistics of idle endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.stats.retain(|name, stats| stats.in_flight > 0 || keep(name));
    }

    /// Chooses among endpoints that accept work. Endpoints that failed recently are
    /// chosen only if there are no others; endpoints already tried, never.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        endpoints: &[&'a Endpoint],
        preferences: &Preferences<'_>,
    ) -> Option<&'a Endpoint> {
        let candidates = self.candidates(now, endpoints, preferences)?;
        match preferences.affinity {
            Some(part) => self.affine(&candidates, part, preferences.domain),
            None => self.least_loaded(&candidates, preferences.domain),
        }
    }

    /// Returns the endpoints to choose among: the ones not tried that haven't failed
    /// recently, or else all that weren't tried. `None` if there are none.
    pub fn candidates<'a>(
        &self,
        now: Time,
        endpoints: &[&'a Endpoint],
        preferences: &Preferences<'_>,
    ) -> Option<Vec<&'a Endpoint>> {
        let untried: Vec<&Endpoint> =
            endpoints.iter().copied().filter(|it| !preferences.tried.contains(&it.name)).collect();
        let healthy: Vec<&Endpoint> =
            untried.iter().copied().filter(|it| !self.is_avoided(now, &it.name)).collect();
        [healthy, untried].into_iter().find(|it| !it.is_empty())
    }

    /// Records that a request is being sent.
    pub fn begin(&mut self, name: &EndpointName) {
        self.stats.entry(name.clone()).or_default().in_flight += 1;
    }

    /// Records that a request has ended.
    pub fn end(&mut self, name: &EndpointName) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Records that an endpoint answered, which resets its failure count.
    pub fn answered(&mut self, name: &EndpointName) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.failures = 0;
        }
    }

    /// Records that an endpoint failed and returns how long it is avoided.
    pub fn failed(&mut self, now: Time, name: &EndpointName) -> Millis {
        let stats = self.stats.entry(name.clone()).or_default();
        stats.failures += 1;
        let pause = Millis((AVOID_TIME.0 << (stats.failures - 1).min(8)).min(MAX_AVOID_TIME.0));
        stats.avoided_until = now + pause;
        pause
    }

    /// Returns the number of this instance's in-flight requests at an endpoint.
    pub fn in_flight(&self, name: &EndpointName) -> u32 {
        self.stats.get(name).map_or(0, |it| it.in_flight)
    }

    fn is_avoided(&self, now: Time, name: &EndpointName) -> bool {
        self.stats.get(name).is_some_and(|it| it.avoided_until > now)
    }

    fn least_loaded<'a>(
        &mut self,
        candidates: &[&'a Endpoint],
        domain: Option<&DomainName>,
    ) -> Option<&'a Endpoint> {
        let far = |it: &Endpoint| domain.is_some_and(|domain| it.domain != *domain);
        let load = |it: &Endpoint| (self.in_flight(&it.name), far(it));
        let least = candidates.iter().map(|it| load(it)).min()?;
        let equal: Vec<&Endpoint> =
            candidates.iter().copied().filter(|it| load(it) == least).collect();
        let at = self.rng.random_range(0..equal.len());
        equal.get(at).copied()
    }

    /// Returns the first endpoint in rendezvous order of the affinity key whose load
    /// isn't far above the mean; the preferred domain comes first.
    fn affine<'a>(
        &self,
        candidates: &[&'a Endpoint],
        part: &[u8],
        domain: Option<&DomainName>,
    ) -> Option<&'a Endpoint> {
        let total: u32 = candidates.iter().map(|it| self.in_flight(&it.name)).sum();
        let bound = total / candidates.len() as u32 + MAX_EXCESS;
        let mut order = candidates.to_vec();
        order.sort_by_cached_key(|it| {
            let far = domain.is_some_and(|domain| it.domain != *domain);
            (far, rank(part, it.name.as_str().as_bytes()))
        });
        let free = order.iter().find(|it| self.in_flight(&it.name) <= bound);
        free.or(order.first()).copied()
    }
}
