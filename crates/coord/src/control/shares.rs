//! The leader's table of endpoint shares.
//!
//! Each endpoint has a bound by holder: the largest share that the holder may
//! still use. A share is raised only as far as the sum of the bounds stays within
//! the endpoint's capacity. A lowered share counts in full until its holder has
//! confirmed the lower one, and the share of a failed holder until its lease and
//! then the longest deadline have passed.

use {
    super::{Demand, Grants, Holding},
    crate::{
        ids::{EndpointName, Incarnation, NodeId, PoolName, Slots},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// The minimum time between two allocations by demand.
const MIN_ALLOCATION_INTERVAL: Millis = Millis(50);
/// The pairs of instance and endpoint that add one millisecond to the time between
/// two allocations, so that a large system doesn't allocate constantly.
const PAIRS_PER_MS: u64 = 1000;

/// One run of an instance, as a holder of shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareHolder {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

#[derive(Debug, Default)]
struct HolderRow {
    /// The number of the latest list.
    number: u64,
    /// The shares in the latest list, without those revoked since.
    sent: IndexMap<EndpointName, u32>,
    /// The shares that the latest allocation assigns to the holder.
    target: IndexMap<EndpointName, u32>,
    /// The largest share that the holder may still use, by endpoint.
    bounds: IndexMap<EndpointName, u32>,
    demand: IndexMap<PoolName, Demand>,
}

/// An endpoint and the number of requests it may be given.
#[derive(Debug, Clone)]
pub struct EndpointCapacity {
    pub name: EndpointName,
    pub pool: PoolName,
    pub allowed: Slots,
}

/// Shares by endpoint and holder.
#[derive(Debug, Default)]
pub struct ShareTable {
    holders: IndexMap<ShareHolder, HolderRow>,
    /// The holders of each instance.
    nodes: IndexMap<NodeId, u32>,
    /// The sum of the bounds of all holders, by endpoint.
    granted: IndexMap<EndpointName, u32>,
    last_allocation: Option<Time>,
    /// The pairs of instance and endpoint in the last allocation.
    pairs: u64,
    changed: bool,
    /// The requests queued at all holders.
    queued: u64,
    /// The allocations so far.
    allocations: u64,
    /// Increases whenever the next list of some holder may differ from its latest.
    revision: u64,
}

impl ShareTable {
    /// Whether a holder has reported its shares to this leader.
    pub fn contains(&self, holder: ShareHolder) -> bool {
        self.holders.contains_key(&holder)
    }

    /// Whether some run of an instance has reported its shares to this leader.
    pub fn contains_node(&self, node: NodeId) -> bool {
        self.nodes.contains_key(&node)
    }

    /// Registers a holder with all shares that it holds.
    pub fn register(&mut self, holder: ShareHolder, number: u64, held: &[Holding]) {
        if !self.holders.contains_key(&holder) {
            *self.nodes.entry(holder.node).or_default() += 1;
        }
        let row = self.holders.entry(holder).or_default();
        row.number = row.number.max(number);
        for it in held {
            row.sent.insert(it.endpoint.clone(), it.slots.0);
            row.set_bound(&mut self.granted, &it.endpoint, it.slots.0);
        }
        self.changed = true;
    }

    /// Returns the sum of the bounds of all holders at an endpoint.
    pub fn granted(&self, name: &EndpointName) -> u32 {
        self.granted.get(name).copied().unwrap_or(0)
    }

    /// Lowers the bounds of a holder that has applied its latest list. `excess` has the
    /// requests in flight at the endpoints where they exceed the list.
    pub fn confirm(&mut self, holder: ShareHolder, number: u64, excess: &[Holding]) {
        let Some(row) = self.holders.get_mut(&holder).filter(|it| it.number == number) else {
            return;
        };
        let in_flight: IndexMap<&EndpointName, u32> =
            excess.iter().map(|it| (&it.endpoint, it.slots.0)).collect();
        let names: IndexSet<EndpointName> =
            row.bounds.keys().chain(in_flight.keys().copied()).cloned().collect();
        for name in &names {
            let listed = row.sent.get(name).copied().unwrap_or(0);
            let held = listed.max(in_flight.get(name).copied().unwrap_or(0));
            let before = row.set_bound(&mut self.granted, name, held);
            self.revision += u64::from(before > held);
        }
    }

    /// Sets the demand of a holder.
    pub fn set_demand(&mut self, holder: ShareHolder, demand: &[Demand]) {
        if let Some(row) = self.holders.get_mut(&holder) {
            self.queued -= row.queued();
            row.demand = demand.iter().map(|it| (it.pool.clone(), it.clone())).collect();
            self.queued += row.queued();
        }
    }

    /// Removes a holder whose lease and requests are certain to have ended.
    pub fn remove(&mut self, holder: ShareHolder) {
        let Some(mut row) = self.holders.shift_remove(&holder) else {
            return;
        };
        self.queued -= row.queued();
        for name in row.bounds.keys().cloned().collect::<Vec<_>>() {
            row.set_bound(&mut self.granted, &name, 0);
        }
        let count = self.nodes.get_mut(&holder.node).expect("each holder is counted");
        *count -= 1;
        if *count == 0 {
            self.nodes.swap_remove(&holder.node);
        }
        self.changed = true;
    }

    /// Removes an endpoint from the latest list of one holder, or of each, since
    /// the holder has stopped using the share by itself. The list gets a new number,
    /// so that a confirmation of the earlier one frees nothing.
    pub fn revoke(&mut self, name: &EndpointName, of: Option<ShareHolder>) {
        match of {
            Some(holder) => {
                self.holders.get_mut(&holder).into_iter().for_each(|it| it.revoke(name))
            }
            None => self.holders.values_mut().for_each(|it| it.revoke(name)),
        }
        self.changed = true;
    }

    /// Marks the allocation as outdated because endpoints or capacities changed.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Returns a number that increases whenever the next list of some holder may
    /// differ from its latest.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the holders that have reported their shares.
    pub fn holders(&self) -> impl Iterator<Item = ShareHolder> + '_ {
        self.holders.keys().copied()
    }

    /// Returns the number of allocations so far.
    pub fn allocations(&self) -> u64 {
        self.allocations
    }

    /// Whether endpoints or holders have changed or requests are queued, and the last
    /// allocation is old enough for its size.
    pub fn needs_allocation(&self, now: Time) -> bool {
        let gap = self.pairs / PAIRS_PER_MS;
        let age = self.last_allocation.map(|it| now.since(it));
        let is_older = |gap: u64| age.is_none_or(|it| it >= Millis(gap));
        self.changed && is_older(gap)
            || self.queued > 0 && is_older(MIN_ALLOCATION_INTERVAL.0 + gap)
    }

    /// Allocates the endpoints among the live holders.
    pub fn allocate(
        &mut self,
        now: Time,
        endpoints: &[EndpointCapacity],
        live: &IndexSet<ShareHolder>,
    ) {
        self.pairs = (live.len() * endpoints.len()) as u64;
        self.changed = false;
        self.allocations += 1;
        self.revision += 1;
        self.last_allocation = Some(now);
        for row in self.holders.values_mut() {
            row.target.clear();
        }
        let mut pools: IndexMap<&PoolName, Vec<&EndpointCapacity>> = IndexMap::new();
        for it in endpoints.iter().filter(|it| it.allowed > Slots(0)) {
            pools.entry(&it.pool).or_default().push(it);
        }
        let ranks = live.iter().map(|it| (*it, hash(it))).collect();
        for (pool, members) in pools {
            self.allocate_pool(pool, &members, &ranks);
        }
    }

    /// Returns the next share list of a holder, if it differs from the latest one.
    /// `allowed` returns the number of requests that an endpoint may be given now. A share
    /// is raised only by what is free.
    pub fn next_grants(
        &mut self,
        holder: ShareHolder,
        allowed: impl Fn(&EndpointName) -> Slots,
    ) -> Option<Grants> {
        let row = self.holders.get_mut(&holder)?;
        let mut next = IndexMap::new();
        for (name, target) in &row.target {
            let own = row.bounds.get(name).copied().unwrap_or(0);
            let granted = self.granted.get(name).copied().unwrap_or(0);
            let allowed = allowed(name).0;
            let slots = (*target).min(allowed).min(own + allowed.saturating_sub(granted));
            if slots > 0 {
                next.insert(name.clone(), slots);
            }
        }
        if row.number > 0 && next == row.sent {
            return None;
        }
        row.number += 1;
        row.sent = next;
        for (name, slots) in row.sent.clone() {
            let bound = row.bounds.get(&name).copied().unwrap_or(0);
            row.set_bound(&mut self.granted, &name, bound.max(slots));
        }
        Some(row.grants())
    }

    /// Returns the latest list again, for a holder that hasn't confirmed it.
    pub fn last_grants(&self, holder: ShareHolder) -> Option<Grants> {
        self.holders.get(&holder).map(HolderRow::grants)
    }

    /// Returns the number of a holder's latest list.
    pub fn grants_number(&self, holder: ShareHolder) -> u64 {
        self.holders.get(&holder).map_or(0, |it| it.number)
    }

    /// Assigns the slots of a pool: first to their current holders, up to the quota
    /// of each, then in equal parts in the order of the largest remaining quotas.
    fn allocate_pool(
        &mut self,
        pool: &PoolName,
        members: &[&EndpointCapacity],
        live: &IndexMap<ShareHolder, u64>,
    ) {
        let mut quotas = self.quotas(pool, members, live);
        let mut remaining: IndexMap<&EndpointName, u32> =
            members.iter().map(|it| (&it.name, it.allowed.0)).collect();
        for (holder, quota) in &mut quotas {
            let row = self.holders.get_mut(holder).expect("a live holder is registered");
            let kept: Vec<(EndpointName, u32)> =
                row.sent.iter().map(|(name, slots)| (name.clone(), *slots)).collect();
            for (name, slots) in kept {
                if let Some(remaining) = remaining.get_mut(&name) {
                    row.assign(&name, slots, quota, remaining);
                }
            }
        }
        quotas.retain(|_, quota| *quota > 0);
        for (name, remaining) in remaining.iter_mut().filter(|(_, it)| **it > 0) {
            self.assign_remaining(name, remaining, &mut quotas, live);
        }
    }

    /// Assigns the remaining slots of an endpoint in equal parts, in the order of the largest
    /// remaining quotas.
    fn assign_remaining(
        &mut self,
        name: &EndpointName,
        remaining: &mut u32,
        quotas: &mut IndexMap<ShareHolder, u32>,
        live: &IndexMap<ShareHolder, u64>,
    ) {
        let seed = hash(name);
        let mut order: Vec<(u32, u64, ShareHolder)> = quotas
            .iter()
            .map(|(holder, quota)| (*quota, mix(seed, live[holder]), *holder))
            .collect();
        let count = *remaining as usize;
        if count < order.len() {
            order.select_nth_unstable_by(count, |a, b| b.cmp(a));
            order.truncate(count);
        }
        order.sort_unstable_by(|a, b| b.cmp(a));
        while *remaining > 0 && !order.is_empty() {
            // As many rounds at once as there are slots for, since an endpoint may have millions.
            let slots = (*remaining / order.len() as u32).max(1);
            order.retain(|(_, _, holder)| {
                let quota = &mut quotas[holder];
                let row = self.holders.get_mut(holder).expect("a live holder is registered");
                row.assign(name, slots, quota, remaining);
                *quota > 0
            });
        }
        quotas.retain(|_, quota| *quota > 0);
    }

    /// Returns the number of slots of a pool for each live holder. One half is split
    /// evenly, the other by demand. With fewer slots than holders nearly all are
    /// split by demand.
    fn quotas(
        &self,
        pool: &PoolName,
        members: &[&EndpointCapacity],
        live: &IndexMap<ShareHolder, u64>,
    ) -> IndexMap<ShareHolder, u32> {
        let total: u64 = members.iter().map(|it| u64::from(it.allowed.0)).sum();
        let count = live.len() as u64;
        let demand: u64 = live.keys().map(|it| self.demand_weight(*it, pool)).sum();
        let even = if total >= count { demand + count } else { 1 };
        let weight = |it: &ShareHolder| even + count * self.demand_weight(*it, pool);
        let sum: u64 = live.keys().map(weight).sum();
        let mut remaining = total;
        let mut parts: Vec<(u64, u64, ShareHolder, u64)> = Vec::new();
        let seed = hash(pool);
        for (holder, rank) in live {
            let exact = total * weight(holder);
            remaining -= exact / sum;
            parts.push((exact % sum, mix(seed, *rank), *holder, exact / sum));
        }
        parts.sort_unstable_by(|a, b| b.cmp(a));
        let mut quotas = IndexMap::new();
        for (_, _, holder, whole) in parts {
            let extra = remaining.min(1);
            remaining -= extra;
            quotas.insert(holder, (whole + extra) as u32);
        }
        quotas
    }

    /// Returns the weight of a holder's demand: requests in flight, and queued ones
    /// twice.
    fn demand_weight(&self, holder: ShareHolder, pool: &PoolName) -> u64 {
        let demand = self.holders.get(&holder).and_then(|it| it.demand.get(pool));
        demand.map_or(0, |it| u64::from(it.in_flight + 2 * it.queued))
    }
}

impl HolderRow {
    /// Sets the bound at an endpoint and returns the earlier one. `granted` has the sums
    /// of all holders' bounds.
    fn set_bound(
        &mut self,
        granted: &mut IndexMap<EndpointName, u32>,
        name: &EndpointName,
        bound: u32,
    ) -> u32 {
        let before = match bound {
            0 => self.bounds.swap_remove(name),
            _ => self.bounds.insert(name.clone(), bound),
        };
        let before = before.unwrap_or(0);
        let sum = granted.get(name).copied().unwrap_or(0) - before + bound;
        match sum {
            0 => granted.swap_remove(name),
            _ => granted.insert(name.clone(), sum),
        };
        before
    }

    fn queued(&self) -> u64 {
        self.demand.values().map(|it| u64::from(it.queued)).sum()
    }

    /// Removes an endpoint from the latest list and from what the next may have.
    fn revoke(&mut self, name: &EndpointName) {
        if self.sent.shift_remove(name).is_some() {
            self.number += 1;
        }
        self.target.shift_remove(name);
    }

    /// Adds up to `slots` of an endpoint to the target, within the holder's quota and
    /// the endpoint's remaining slots.
    fn assign(&mut self, name: &EndpointName, slots: u32, quota: &mut u32, remaining: &mut u32) {
        let assigned = slots.min(*quota).min(*remaining);
        if assigned > 0 {
            *self.target.entry(name.clone()).or_default() += assigned;
            *quota -= assigned;
            *remaining -= assigned;
        }
    }

    fn grants(&self) -> Grants {
        let holding = |(name, slots): (&EndpointName, &u32)| Holding {
            endpoint: name.clone(),
            slots: Slots(*slots),
        };
        let mut shares: Vec<Holding> = self.sent.iter().map(holding).collect();
        shares.sort_unstable_by(|a, b| a.endpoint.cmp(&b.endpoint));
        Grants { number: self.number, shares }
    }
}

/// Combines the hashes of a holder and of an endpoint or pool to a rank, by which ties are
/// broken differently for each (rendezvous hashing; Thaler and Ravishankar, 1998). The
/// constants are those of the finalizer of SplitMix64.
fn mix(seed: u64, rank: u64) -> u64 {
    let mut it = seed ^ rank;
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}

fn hash(it: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    it.hash(&mut hasher);
    hasher.finish()
}
