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
/// two allocations by demand, so that a large system doesn't allocate constantly.
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
    /// The largest share that each holder may still use.
    bounds: IndexMap<EndpointName, IndexMap<ShareHolder, u32>>,
    last_allocation: Option<Time>,
    changed: bool,
    /// Increases whenever the next list of some holder may differ from its latest.
    revision: u64,
}

impl ShareTable {
    /// Whether a holder has reported its shares to this leader.
    pub fn contains(&self, holder: ShareHolder) -> bool {
        self.holders.contains_key(&holder)
    }

    /// Registers a holder with all shares that it holds.
    pub fn register(&mut self, holder: ShareHolder, number: u64, held: &[Holding]) {
        let row = self.holders.entry(holder).or_default();
        row.number = row.number.max(number);
        for it in held {
            row.sent.insert(it.endpoint.clone(), it.slots.0);
            let bound = self.bounds.entry(it.endpoint.clone()).or_default();
            bound.insert(holder, it.slots.0);
        }
        self.changed = true;
    }

    /// Returns the sum of the bounds of all holders at an endpoint.
    pub fn granted(&self, name: &EndpointName) -> u32 {
        self.bounds.get(name).map_or(0, |it| it.values().sum())
    }

    /// Lowers the bounds of a holder that has applied its latest list. `excess` has the
    /// requests in flight at the endpoints where they exceed the list.
    pub fn confirm(&mut self, holder: ShareHolder, number: u64, excess: &[Holding]) {
        let Some(row) = self.holders.get(&holder).filter(|it| it.number == number) else {
            return;
        };
        for (name, bound) in &mut self.bounds {
            let listed = row.sent.get(name).copied().unwrap_or(0);
            let in_flight =
                excess.iter().find(|it| it.endpoint == *name).map_or(0, |it| it.slots.0);
            let held = listed.max(in_flight);
            let before = match held {
                0 => bound.shift_remove(&holder),
                held => bound.insert(holder, held),
            };
            self.revision += u64::from(before.unwrap_or(0) > held);
        }
    }

    /// Sets the demand of a holder.
    pub fn set_demand(&mut self, holder: ShareHolder, demand: &[Demand]) {
        if let Some(row) = self.holders.get_mut(&holder) {
            row.demand = demand.iter().map(|it| (it.pool.clone(), it.clone())).collect();
        }
    }

    /// Removes a holder whose lease and requests are certain to have ended.
    pub fn remove(&mut self, holder: ShareHolder) {
        self.holders.shift_remove(&holder);
        for bound in self.bounds.values_mut() {
            bound.shift_remove(&holder);
        }
        self.changed = true;
    }

    /// Removes an endpoint from the latest list of one holder, or of each, since
    /// the holder has stopped using the share by itself. The list gets a new number,
    /// so that a confirmation of the earlier one frees nothing.
    pub fn revoke(&mut self, name: &EndpointName, of: Option<ShareHolder>) {
        for (holder, row) in &mut self.holders {
            let matches = of.is_none_or(|it| it == *holder);
            if matches && row.sent.shift_remove(name).is_some() {
                row.number += 1;
            }
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

    /// Allocates the endpoints among the live holders, if endpoints or holders have
    /// changed or requests are queued and the last allocation is old enough.
    pub fn allocate(
        &mut self,
        now: Time,
        endpoints: &[EndpointCapacity],
        live: &IndexSet<ShareHolder>,
    ) {
        let pairs = (live.len() * endpoints.len()) as u64;
        let gap = Millis(MIN_ALLOCATION_INTERVAL.0 + pairs / PAIRS_PER_MS);
        let due = self.last_allocation.is_none_or(|it| now.since(it) >= gap);
        let queued = self.holders.values().any(|row| row.demand.values().any(|it| it.queued > 0));
        let needed = self.changed || due && queued;
        if !needed {
            return;
        }
        self.changed = false;
        self.revision += 1;
        self.last_allocation = Some(now);
        for row in self.holders.values_mut() {
            row.target.clear();
        }
        let mut pools: IndexMap<&PoolName, Vec<&EndpointCapacity>> = IndexMap::new();
        for it in endpoints.iter().filter(|it| it.allowed > Slots(0)) {
            pools.entry(&it.pool).or_default().push(it);
        }
        for (pool, members) in pools {
            self.allocate_pool(pool, &members, live);
        }
        let names: IndexSet<&EndpointName> = endpoints.iter().map(|it| &it.name).collect();
        self.bounds.retain(|name, bound| names.contains(name) || !bound.is_empty());
    }

    /// Returns the next share list of a holder, if it differs from the latest one.
    /// A share is raised only by what is free now.
    pub fn next_grants(
        &mut self,
        holder: ShareHolder,
        endpoints: &[EndpointCapacity],
    ) -> Option<Grants> {
        let mut next = IndexMap::new();
        for it in endpoints {
            let slots = self.grantable(holder, it);
            if slots > 0 {
                next.insert(it.name.clone(), slots);
            }
        }
        let row = self.holders.get_mut(&holder)?;
        if row.number > 0 && next == row.sent {
            return None;
        }
        row.number += 1;
        row.sent = next;
        for (name, slots) in &row.sent {
            let bound = self.bounds.entry(name.clone()).or_default().entry(holder).or_default();
            *bound = (*bound).max(*slots);
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

    /// Returns the share that a holder can be granted now.
    fn grantable(&self, holder: ShareHolder, endpoint: &EndpointCapacity) -> u32 {
        let row = &self.holders[&holder];
        let target = row.target.get(&endpoint.name).copied().unwrap_or(0);
        let bound = self.bounds.get(&endpoint.name);
        let own = bound.and_then(|it| it.get(&holder)).copied().unwrap_or(0);
        let free = endpoint.allowed.0.saturating_sub(self.granted(&endpoint.name));
        target.min(own + free)
    }

    /// Assigns the slots of a pool: first to their current holders, up to the quota
    /// of each, then one by one in the order of the largest remaining quotas.
    fn allocate_pool(
        &mut self,
        pool: &PoolName,
        members: &[&EndpointCapacity],
        live: &IndexSet<ShareHolder>,
    ) {
        let mut quotas = self.quotas(pool, members, live);
        let mut remaining: Vec<u32> = members.iter().map(|it| it.allowed.0).collect();
        for (endpoint, remaining) in members.iter().zip(&mut remaining) {
            for (holder, quota) in &mut quotas {
                let row = self.holders.get_mut(holder).expect("a live holder is registered");
                let kept = row.sent.get(&endpoint.name).copied().unwrap_or(0);
                row.assign(&endpoint.name, kept, quota, remaining);
            }
        }
        for (endpoint, remaining) in members.iter().zip(&mut remaining) {
            let mut order: Vec<(u32, u64, ShareHolder)> = quotas
                .iter()
                .filter(|(_, quota)| **quota > 0)
                .map(|(holder, quota)| (*quota, rank(&endpoint.name, *holder), *holder))
                .collect();
            order.sort_unstable_by(|a, b| b.cmp(a));
            while *remaining > 0 && !order.is_empty() {
                order.retain(|(_, _, holder)| {
                    let quota = &mut quotas[holder];
                    let row = self.holders.get_mut(holder).expect("a live holder is registered");
                    row.assign(&endpoint.name, 1, quota, remaining);
                    *quota > 0
                });
            }
        }
    }

    /// Returns the number of slots of a pool for each live holder. One half is split
    /// evenly, the other by demand. With fewer slots than holders nearly all are
    /// split by demand.
    fn quotas(
        &self,
        pool: &PoolName,
        members: &[&EndpointCapacity],
        live: &IndexSet<ShareHolder>,
    ) -> IndexMap<ShareHolder, u32> {
        let total: u64 = members.iter().map(|it| u64::from(it.allowed.0)).sum();
        let count = live.len() as u64;
        let demand: u64 = live.iter().map(|it| self.demand_weight(*it, pool)).sum();
        let even = if total >= count { demand + count } else { 1 };
        let weight = |it: &ShareHolder| even + count * self.demand_weight(*it, pool);
        let sum: u64 = live.iter().map(weight).sum();
        let mut remaining = total;
        let mut parts: Vec<(u64, u64, ShareHolder, u64)> = Vec::new();
        for holder in live {
            let exact = total * weight(holder);
            remaining -= exact / sum;
            parts.push((exact % sum, rank(pool, *holder), *holder, exact / sum));
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
        Grants { number: self.number, shares: self.sent.iter().map(holding).collect() }
    }
}

/// Returns the rank of a holder for an endpoint or pool by rendezvous hashing
/// (Thaler and Ravishankar, 1998), so that ties are broken differently for each.
fn rank(name: &impl Hash, holder: ShareHolder) -> u64 {
    let mut hash = DefaultHasher::new();
    (name, holder).hash(&mut hash);
    hash.finish()
}
