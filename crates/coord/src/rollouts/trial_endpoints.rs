//! Which endpoints trial sends go to.

use {
    super::RolloutView,
    crate::{
        ids::{DomainName, EndpointName},
        tables::{Endpoint, EndpointState, Rollout},
    },
    indexmap::IndexMap,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Returns `count` endpoints of the new version for one wave of sends. `used` is the number
/// of waves that each was in. Warm ones come first, then those that were in the fewest waves,
/// and those of different domains. One that is worse than the others is left out, as it would
/// tell nothing new.
pub(super) fn trial_endpoints(
    rollout: &Rollout,
    view: &RolloutView,
    count: usize,
    used: &IndexMap<EndpointName, usize>,
    outlier: Option<&EndpointName>,
) -> Vec<EndpointName> {
    let hash = |it: &Endpoint| {
        let mut hash = DefaultHasher::new();
        (&it.name, rollout.number).hash(&mut hash);
        hash.finish()
    };
    let is_cold = |it: &Endpoint| it.state != EndpointState::Warm;
    let is_new = |it: &&Endpoint| it.version.as_ref() == Some(&rollout.to);
    let mut new: Vec<_> = view.endpoints.iter().filter(is_new).collect();
    new.sort_by_key(|it| (is_cold(it), hash(it)));
    let mut ranks: IndexMap<&DomainName, usize> = IndexMap::new();
    let ranked = new.into_iter().map(|it| {
        let rank = ranks.entry(&it.domain).or_default();
        *rank += 1;
        (it, *rank)
    });
    let mut ranked: Vec<_> = ranked.collect();
    let waves = |it: &Endpoint| used.get(&it.name).copied().unwrap_or(0);
    if ranked.len() > 1 {
        ranked.retain(|(it, _)| outlier != Some(&it.name));
    }
    ranked.sort_by_key(|(it, rank)| (is_cold(it), waves(it), *rank));
    ranked.into_iter().take(count).map(|(it, _)| it.name.clone()).collect()
}
