//! Chooses the failure domain in which the stages of a request, and then the
//! request itself, should run.
//!
//! Results of stages can be much larger than the request, and the next stage
//! would read them over links between domains. All pieces of a request therefore
//! prefer one domain, and requests that share a prompt prefer the same one, so
//! that the cached parts of the prompt are there too.

use {
    super::rank,
    crate::{ids::DomainName, tables::Endpoint},
    indexmap::IndexMap,
};

/// Returns the preferred domain of a key by weighted rendezvous hashing. The
/// weight of a domain is its smallest share of the endpoints of any pool; domains
/// without endpoints in one of the pools are excluded.
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
