//! The order in which the sums of a reply name endpoints.

use {
    crate::{
        ids::{EndpointName, Generation, PoolName, Slots},
        tables::{Endpoint, Tables},
    },
    indexmap::{IndexMap, IndexSet},
};

/// How many times the capacity of the median an endpoint may count, and the reverse.
const MAX_WEIGHT: f64 = 4.0;

/// What the sums need to know of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderRow {
    pub name: EndpointName,
    pub generation: Generation,
    pub pool: PoolName,
    /// Its capacity beside the other endpoints of its pool.
    pub weight: LoadWeight,
    /// Requests that it takes at one time, as announced.
    pub slots: Slots,
}

/// The capacity of an endpoint, in thousandths of that of the median of its pool by the
/// slots that they announce. It is bounded, as an endpoint may announce any number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadWeight(pub u32);

impl LoadWeight {
    /// The weight of the median.
    pub const ONE: Self = Self(1000);

    fn new(slots: Slots, median: Slots) -> Self {
        let ratio = f64::from(slots.0) / f64::from(median.0.max(1));
        Self((ratio.clamp(1.0 / MAX_WEIGHT, MAX_WEIGHT) * 1000.0) as u32)
    }

    /// Returns the weight as a part of the median's.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// The endpoints of the pools that a relayed route uses, by name. It follows from the
/// tables, so that sums need no names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadOrder {
    rows: Vec<OrderRow>,
    check: u32,
}

impl LoadOrder {
    /// Returns the order by these tables.
    pub fn new(tables: &Tables) -> Self {
        let mut used: IndexSet<&PoolName> = IndexSet::new();
        for route in &tables.catalog.routes {
            used.extend(route.split.iter().map(|it| &it.pool));
            used.extend(route.stages.iter().map(|it| &it.pool));
        }
        let endpoints = tables.endpoints.values().filter(|it| used.contains(&it.pool));
        Self::from_endpoints(endpoints)
    }

    /// Returns the order of these endpoints.
    pub fn from_endpoints<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> Self {
        let endpoints: Vec<&Endpoint> = endpoints.collect();
        let mut pools: IndexMap<&PoolName, Vec<Slots>> = IndexMap::new();
        for it in &endpoints {
            pools.entry(&it.pool).or_default().push(it.slots);
        }
        for it in pools.values_mut() {
            it.sort_unstable();
        }
        let row = |it: &&Endpoint| {
            let slots = &pools[&it.pool];
            OrderRow {
                name: it.name.clone(),
                generation: it.generation,
                pool: it.pool.clone(),
                weight: LoadWeight::new(it.slots, slots[slots.len() / 2]),
                slots: it.slots,
            }
        };
        let mut rows: Vec<OrderRow> = endpoints.iter().map(row).collect();
        rows.sort_unstable();
        let check = checksum(&rows);
        Self { rows, check }
    }

    /// Returns the endpoints in order.
    pub fn rows(&self) -> &[OrderRow] {
        &self.rows
    }

    /// Returns the row of an endpoint, if its load is summed.
    pub fn get(&self, name: &EndpointName) -> Option<&OrderRow> {
        let at = self.rows.binary_search_by(|it| it.name.cmp(name)).ok()?;
        self.rows.get(at)
    }

    /// Whether the load of an endpoint is summed.
    pub fn contains(&self, name: &EndpointName) -> bool {
        self.get(name).is_some()
    }

    /// Returns the checksum of the names and generations.
    pub fn check(&self) -> u32 {
        self.check
    }
}

/// FNV-1a, 32 bits. It finds tables that differ; it isn't secure against forged ones.
fn checksum(rows: &[OrderRow]) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    let mut add = |byte: &u8| hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    for it in rows {
        it.name.as_str().as_bytes().iter().for_each(&mut add);
        it.generation.0.to_be_bytes().iter().for_each(&mut add);
    }
    hash
}
