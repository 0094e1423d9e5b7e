//! Chooses endpoints for relayed requests.
//!
//! Plain services: the endpoint with the fewest requests of this instance, at
//! random among equals. Engines: requests that share a prompt go to the same
//! few endpoints at every instance, since reading a part again costs the
//! engine most of its time; an endpoint that has much more than the others is
//! passed over.

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

/// How long an endpoint is avoided after its first failure in a row.
const AVOID_TIME: Millis = Millis(500);
/// The longest time for which a failing endpoint is avoided.
const MAX_AVOID_TIME: Millis = Millis(8000);
/// How many more requests than the mean an endpoint may have before requests
/// that share a prompt with it go elsewhere.
const MAX_EXCESS: u32 = 2;

#[derive(Debug, Default, Clone)]
struct EndpointStats {
    in_flight: u32,
    failures: u32,
    avoided_until: Time,
}

/// What a request wants of its endpoint.
#[derive(Debug, Clone, Default)]
pub struct Preferences<'a> {
    /// What requests with the same cached part have in common.
    pub affinity: Option<&'a [u8]>,
    /// Where its inputs lie.
    pub domain: Option<&'a DomainName>,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointName],
}

/// What this instance knows of the endpoints that it sends to.
#[derive(Debug)]
pub struct Placer {
    stats: IndexMap<EndpointName, EndpointStats>,
    rng: StdRng,
}

impl Placer {
    /// A placer that has sent nothing yet.
    pub fn new(seed: u64) -> Self {
        Self { stats: IndexMap::new(), rng: StdRng::seed_from_u64(seed) }
    }

    /// Drops what is known of endpoints that are gone.
    pub fn retain(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.stats.retain(|name, stats| stats.in_flight > 0 || keep(name));
    }

    /// Chooses among endpoints that may be given work. Those that were tried
    /// or that failed lately are chosen only if there are no others.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        endpoints: &[&'a Endpoint],
        preferences: &Preferences<'_>,
    ) -> Option<&'a Endpoint> {
        let untried: Vec<&Endpoint> =
            endpoints.iter().copied().filter(|it| !preferences.tried.contains(&it.name)).collect();
        let healthy: Vec<&Endpoint> =
            untried.iter().copied().filter(|it| !self.is_avoided(now, &it.name)).collect();
        let candidates = [&healthy, &untried].into_iter().find(|it| !it.is_empty())?;
        match preferences.affinity {
            Some(part) => self.affine(candidates, part, preferences.domain),
            None => self.least_loaded(candidates, preferences.domain),
        }
    }

    /// Notes that a request is being sent.
    pub fn begin(&mut self, name: &EndpointName) {
        self.stats.entry(name.clone()).or_default().in_flight += 1;
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, name: &EndpointName) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Takes in that an endpoint answered.
    pub fn answered(&mut self, name: &EndpointName) {
        if let Some(stats) = self.stats.get_mut(name) {
            stats.failures = 0;
        }
    }

    /// Takes in that an endpoint failed; it is avoided for a while, for how
    /// long is returned.
    pub fn failed(&mut self, now: Time, name: &EndpointName) -> Millis {
        let stats = self.stats.entry(name.clone()).or_default();
        stats.failures += 1;
        let pause = Millis((AVOID_TIME.0 << (stats.failures - 1).min(8)).min(MAX_AVOID_TIME.0));
        stats.avoided_until = now + pause;
        pause
    }

    /// Requests of this instance at an endpoint.
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

    /// The first endpoint in the order of the shared part that isn't loaded far
    /// beyond the mean, in the wished domain if there is one.
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
