//! Chooses the failure domain in which the stages of a request run, and then
//! the request itself.
//!
//! The load that this answers: results of stages that weigh much more than the
//! request, read by the next stage over links between domains. All pieces of a
//! request prefer one domain, and requests that share a prompt prefer the
//! same, so that its cached parts lie there too.

use {
    super::rank,
    crate::{ids::DomainName, tables::Endpoint},
    indexmap::IndexMap,
};

/// The domain that a key prefers, by weighted rendezvous hashing over the
/// part of each pool that a domain holds. A domain that lacks one of the pools
/// is none to prefer.
pub fn preferred_domain(key: &[u8], pools: &[&[Endpoint]]) -> Option<DomainName> {
    let mut weights: IndexMap<&DomainName, f64> = IndexMap::new();
    for it in pools.first()?.iter() {
        weights.entry(&it.domain).or_insert(1.0);
    }
    for (domain, weight) in &mut weights {
        for pool in pools {
            let count = pool.iter().filter(|it| it.domain == **domain).count();
            *weight = weight.min(count as f64 / pool.len().max(1) as f64);
        }
    }
    let score = |domain: &DomainName, weight: f64| {
        let draw = rank(key, domain.as_str().as_bytes()) as f64 / u64::MAX as f64;
        weight / -draw.max(f64::MIN_POSITIVE).ln().min(-f64::MIN_POSITIVE)
    };
    let scored = weights.iter().filter(|(_, weight)| **weight > 0.0);
    let best = scored.max_by(|(a, x), (b, y)| score(a, **x).total_cmp(&score(b, **y)));
    best.map(|(domain, _)| (*domain).clone())
}
