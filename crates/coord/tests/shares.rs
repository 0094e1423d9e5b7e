//! The allocation of endpoint shares, and the bound on their sum over all
//! instances.

use {
    coord::control::EndpointCapacity,
    coord::{
        control::{Demand, Grants, Holding, ShareHolder, ShareTable},
        ids::{EndpointName, Incarnation, NodeId, PoolName, Slots},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    quickcheck::{Gen, QuickCheck},
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const HOLDERS: u64 = 5;
const ENDPOINTS: usize = 3;

fn holder(i: u64) -> ShareHolder {
    ShareHolder { node: NodeId(i), incarnation: Incarnation(1) }
}

fn endpoints(allowed: u32) -> Vec<EndpointCapacity> {
    let new = |i| EndpointCapacity {
        name: format!("e{i}").parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        allowed: Slots(allowed),
    };
    (0..ENDPOINTS).map(new).collect()
}

/// Looks up how many requests an endpoint may be given.
fn allowed(endpoints: &[EndpointCapacity]) -> impl Fn(&EndpointName) -> Slots {
    |name| endpoints.iter().find(|it| it.name == *name).map_or(Slots(0), |it| it.allowed)
}

/// The shares of one instance and its requests in flight.
#[derive(Default)]
struct Instance {
    number: u64,
    held: IndexMap<EndpointName, u32>,
    in_flight: IndexMap<EndpointName, u32>,
}

impl Instance {
    fn apply(&mut self, grants: &Grants) {
        if grants.number > self.number {
            self.number = grants.number;
            let shares = grants.shares.iter();
            self.held = shares.map(|it| (it.endpoint.clone(), it.slots.0)).collect();
        }
    }

    /// Starts requests within its shares and ends some of those in flight.
    fn work(&mut self, rng: &mut StdRng) {
        for (name, held) in &self.held {
            let in_flight = self.in_flight.entry(name.clone()).or_default();
            *in_flight = (*in_flight).max(rng.random_range(0..=*held));
        }
        for in_flight in self.in_flight.values_mut() {
            *in_flight = rng.random_range(0..=*in_flight);
        }
    }

    fn excess(&self) -> Vec<Holding> {
        let held = |name: &EndpointName| self.held.get(name).copied().unwrap_or(0);
        let excess = self.in_flight.iter().filter(|(name, in_flight)| **in_flight > held(name));
        excess.map(|(name, it)| Holding { endpoint: name.clone(), slots: Slots(*it) }).collect()
    }

    fn uses(&self, name: &EndpointName) -> u32 {
        let held = self.held.get(name).copied().unwrap_or(0);
        held.max(self.in_flight.get(name).copied().unwrap_or(0))
    }
}

/// Simulates share lists and confirmations that are lost or delayed while demand
/// changes. Returns whether shares and requests in flight over all instances stay
/// within the capacity of each endpoint.
fn sum_stays_within_capacity(seed: u64) -> bool {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut table = ShareTable::default();
    let mut instances: Vec<Instance> = (0..HOLDERS).map(|_| Instance::default()).collect();
    let endpoints = endpoints(2);
    let live: IndexSet<ShareHolder> = (0..HOLDERS).map(holder).collect();
    let mut delayed: Vec<(usize, Grants)> = Vec::new();
    for i in 0..HOLDERS {
        table.register(holder(i), 0, &[]);
    }
    for step in 0..400 {
        let now = Time(1 + step * 100);
        let i = rng.random_range(0..HOLDERS as usize);
        let pool: PoolName = "p".parse().expect("a name");
        let queued = rng.random_range(0..4);
        table.set_demand(holder(i as u64), &[Demand { pool, in_flight: 0, queued }]);
        table.confirm(holder(i as u64), instances[i].number, &instances[i].excess());
        table.allocate(now, &endpoints, &live);
        let next = table.next_grants(holder(i as u64), allowed(&endpoints));
        let again = rng.random_bool(0.3).then(|| table.last_grants(holder(i as u64))).flatten();
        delayed.extend(next.or(again).map(|it| (i, it)));
        if rng.random_bool(0.2) && !delayed.is_empty() {
            delayed.swap_remove(rng.random_range(0..delayed.len()));
        }
        if rng.random_bool(0.7) && !delayed.is_empty() {
            let (to, grants) = delayed.swap_remove(rng.random_range(0..delayed.len()));
            instances[to].apply(&grants);
        }
        instances.iter_mut().for_each(|it| it.work(&mut rng));
        let exceeded = |it: &EndpointCapacity| {
            let sum: u32 = instances.iter().map(|instance| instance.uses(&it.name)).sum();
            sum > it.allowed.0
        };
        if endpoints.iter().any(exceeded) {
            return false;
        }
    }
    true
}

#[test]
fn the_sum_of_all_shares_stays_within_the_capacity_of_an_endpoint() {
    let rng = Gen::from_size_and_seed(1000, 5900);
    QuickCheck::new().rng(rng).tests(300).quickcheck(sum_stays_within_capacity as fn(u64) -> bool);
}

#[test]
fn the_whole_capacity_of_an_endpoint_is_granted() {
    let mut table = ShareTable::default();
    let endpoints = endpoints(8);
    let live: IndexSet<ShareHolder> = (0..HOLDERS).map(holder).collect();
    live.iter().for_each(|it| table.register(*it, 0, &[]));

    table.allocate(Time(1), &endpoints, &live);
    live.iter().for_each(|it| drop(table.next_grants(*it, allowed(&endpoints))));

    for it in &endpoints {
        assert_eq!(table.granted(&it.name), 8);
    }
}

#[test]
fn a_share_moves_to_the_instance_that_needs_it() {
    let mut table = ShareTable::default();
    let endpoints = endpoints(1);
    let live: IndexSet<ShareHolder> = (0..HOLDERS).map(holder).collect();
    live.iter().for_each(|it| table.register(*it, 0, &[]));
    table.allocate(Time(1), &endpoints, &live);
    live.iter().for_each(|it| drop(table.next_grants(*it, allowed(&endpoints))));

    let demand = Demand { pool: "p".parse().expect("a name"), in_flight: 0, queued: 9 };
    table.set_demand(holder(4), &[demand]);
    table.allocate(Time(1) + Millis(300), &endpoints, &live);
    for it in &live {
        let lowered = table.next_grants(*it, allowed(&endpoints));
        let number = lowered.map_or(table.grants_number(*it), |it| it.number);
        table.confirm(*it, number, &[]);
    }
    table.next_grants(holder(4), allowed(&endpoints));

    let grants = table.last_grants(holder(4)).expect("a list");
    assert_eq!(grants.shares.len(), ENDPOINTS, "it has the one slot of each endpoint");
}

#[test]
fn the_share_of_a_failed_holder_counts_until_it_is_removed() {
    let mut table = ShareTable::default();
    let endpoints = endpoints(2);
    let held = [Holding { endpoint: endpoints[0].name.clone(), slots: Slots(2) }];
    table.register(holder(0), 3, &held);
    table.register(holder(1), 0, &[]);
    let live: IndexSet<ShareHolder> = [holder(1)].into_iter().collect();

    table.allocate(Time(1), &endpoints, &live);
    table.next_grants(holder(1), allowed(&endpoints));
    let before = table.granted(&endpoints[0].name);
    table.remove(holder(0));
    table.allocate(Time(2), &endpoints, &live);
    let grants = table.next_grants(holder(1), allowed(&endpoints)).expect("a new list");

    assert_eq!(before, 2, "only the failed holder's share");
    assert!(grants.shares.contains(&held[0]));
}

#[test]
fn a_revoked_share_is_granted_again() {
    let mut table = ShareTable::default();
    let endpoints = endpoints(2);
    let live: IndexSet<ShareHolder> = [holder(0)].into_iter().collect();
    table.register(holder(0), 0, &[]);
    table.allocate(Time(1), &endpoints, &live);
    let first = table.next_grants(holder(0), allowed(&endpoints)).expect("a list");

    table.revoke(&endpoints[0].name, Some(holder(0)));
    table.confirm(holder(0), first.number, &[]);
    let sum = table.granted(&endpoints[0].name);
    table.allocate(Time(2), &endpoints, &live);
    let second =
        table.next_grants(holder(0), allowed(&endpoints)).expect("a list with a new number");

    assert_eq!(sum, 2, "a confirmation of the earlier list frees nothing");
    assert_eq!(second.shares, first.shares);
    assert!(second.number > first.number);
}

#[test]
fn an_idle_instance_keeps_a_share_while_another_is_busy() {
    let mut table = ShareTable::default();
    let endpoints = endpoints(8);
    let live: IndexSet<ShareHolder> = (0..HOLDERS).map(holder).collect();
    live.iter().for_each(|it| table.register(*it, 0, &[]));
    let demand = Demand { pool: "p".parse().expect("a name"), in_flight: 30, queued: 30 };
    table.set_demand(holder(0), &[demand]);

    table.allocate(Time(1), &endpoints, &live);
    let held = |it: &ShareHolder| {
        let grants = table.next_grants(*it, allowed(&endpoints)).expect("a list");
        grants.shares.iter().map(|it| it.slots.0).sum::<u32>()
    };
    let slots: Vec<u32> = live.iter().map(held).collect();

    assert_eq!(slots.iter().sum::<u32>(), 24);
    assert!(slots.iter().all(|it| *it >= 2), "{slots:?}");
    assert!(slots[0] >= 12, "the busy one has more than half: {slots:?}");
}

#[test]
fn an_endpoint_with_the_most_slots_is_divided_like_any_other() {
    let mut table = ShareTable::default();
    let endpoints = endpoints(u32::MAX);
    let live: IndexSet<ShareHolder> = (0..HOLDERS).map(holder).collect();
    live.iter().for_each(|it| table.register(*it, 0, &[]));

    table.allocate(Time(1), &endpoints, &live);
    live.iter().for_each(|it| drop(table.next_grants(*it, allowed(&endpoints))));

    for it in &endpoints {
        assert_eq!(table.granted(&it.name), u32::MAX);
    }
}
