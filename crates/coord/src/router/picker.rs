//! Picks the endpoint of an attempt.

use {
    crate::{
        control::{Demand, EndpointReport, Grants, Holding},
        ids::{DomainName, EndpointName, Generation, PoolName, Slots},
        tables::{Endpoint, EndpointState, PoolKind, Tables},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::StdRng},
    snafu::Snafu,
    std::{
        fmt,
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        str::FromStr,
    },
};

/// How many bytes of an input count as its prefix.
const PREFIX_BYTES: usize = 256;
/// How much better a warm prefix makes an endpoint look.
const PREFIX_GAIN: f64 = 0.7;
/// Endpoints whose expected time is within this factor of the best count as
/// equal, so that each is tried and none is measured by its luck.
const NEAR: f64 = 1.2;
/// The weight of a new measurement of an endpoint's times.
const GAIN: f64 = 0.2;
/// How long an endpoint is left alone after trouble, unless the leader says
/// otherwise before.
const BLOCK: Millis = Millis(500);

/// How endpoints are picked. All but `Shares` ignore the granted shares and
/// serve as baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    #[default]
    Shares,
    Random,
    RoundRobin,
    Least,
}

/// The text names no policy.
#[derive(Debug, Snafu)]
#[snafu(display("policy must be shares, random, round-robin or least, not {text:?}"))]
pub struct PolicyError {
    text: String,
}

/// An endpoint that was picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub name: EndpointName,
    pub addr: SocketAddr,
}

#[derive(Debug)]
struct Row {
    pool: PoolName,
    domain: DomainName,
    addr: SocketAddr,
    generation: Generation,
    in_service: bool,
    slots: u32,
    cold: bool,
    service: bool,
    granted: u32,
    flying: u32,
    blocked: Time,
    /// The moving average of its times relative to the pool's, 1 at first.
    pace: f64,
    load: u32,
    sent: u32,
    prefix: u64,
    good: bool,
}

/// This instance's table of endpoints.
pub struct Picker {
    rows: IndexMap<EndpointName, Row>,
    policy: Policy,
    turn: usize,
    rng: StdRng,
}

impl Picker {
    /// An empty table.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self { rows: IndexMap::new(), policy, turn: 0, rng: StdRng::seed_from_u64(seed) }
    }

    /// Matches the rows to the agreed tables.
    pub fn reload(&mut self, tables: &Tables) {
        self.rows.retain(|name, row| row.flying > 0 || tables.endpoints.contains_key(name));
        for row in self.rows.values_mut() {
            row.in_service = false;
        }
        for endpoint in tables.endpoints.values() {
            let row = self.rows.entry(endpoint.name.clone()).or_insert_with(|| Row::new(endpoint));
            row.reload(endpoint, tables);
        }
    }

    /// Takes in the complete list of shares.
    pub fn grant(&mut self, grants: &Grants, loads: &[EndpointReport]) {
        for row in self.rows.values_mut() {
            row.granted = 0;
        }
        for it in &grants.shares {
            if let Some(row) = self.rows.get_mut(&it.endpoint) {
                row.granted = it.slots.0;
            }
        }
        for it in loads {
            if let Some(row) = self.rows.get_mut(&it.endpoint) {
                row.load = it.load;
                row.sent = 0;
            }
        }
    }

    /// Drops all shares, when the lease has ended.
    pub fn void(&mut self) {
        for row in self.rows.values_mut() {
            row.granted = 0;
        }
    }

    /// Picks an endpoint of a pool for an input. Endpoints in `avoid` and
    /// their failure domains come last.
    pub fn pick(
        &mut self,
        now: Time,
        pool: &PoolName,
        input: &str,
        avoid: &[EndpointName],
    ) -> Option<Candidate> {
        let prefix = prefix_of(input);
        let shares = self.policy == Policy::Shares;
        let bad: Vec<DomainName> =
            avoid.iter().filter_map(|it| self.rows.get(it)).map(|it| it.domain.clone()).collect();
        let mut free: Vec<usize> = (0..self.rows.len())
            .filter(|i| self.rows[*i].pool == *pool && self.rows[*i].is_free(now, shares))
            .collect();
        let penalty = |i: &usize| self.penalty(*i, avoid, &bad);
        let least = free.iter().map(penalty).min()?;
        free.retain(|i| self.penalty(*i, avoid, &bad) == least);
        let at = self.choose(&free, prefix)?;
        let (name, row) = self.rows.get_index_mut(at)?;
        row.flying += 1;
        row.sent += 1;
        row.prefix = prefix;
        Some(Candidate { name: name.clone(), addr: row.addr })
    }

    /// Whether a pool has a free endpoint.
    pub fn has_free(&self, now: Time, pool: &PoolName) -> bool {
        let shares = self.policy == Policy::Shares;
        self.rows.values().any(|it| it.pool == *pool && it.is_free(now, shares))
    }

    /// The slots of a pool that this instance may use.
    pub fn capacity(&self, pool: &PoolName) -> u32 {
        let rows = self.rows.values().filter(|it| it.pool == *pool && it.in_service);
        let shares = self.policy == Policy::Shares;
        rows.map(|it| if shares { it.granted } else { it.slots }).sum()
    }

    /// Whether any endpoint of a pool is in service at all.
    pub fn has_endpoint(&self, pool: &PoolName) -> bool {
        self.rows.values().any(|it| it.pool == *pool && it.in_service)
    }

    /// Takes in that an attempt at an endpoint ended.
    pub fn release(&mut self, name: &EndpointName) {
        if let Some(row) = self.rows.get_mut(name) {
            row.flying = row.flying.saturating_sub(1);
        }
    }

    /// Takes in the time of a good answer, beside the pool's mean.
    pub fn measure(&mut self, name: &EndpointName, took: Millis, mean: Option<Millis>) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.good = true;
        if let Some(mean) = mean {
            let pace = (took.0 as f64 + 1.0) / (mean.0 as f64 + 1.0);
            row.pace += GAIN * (pace - row.pace);
        }
    }

    /// Leaves an endpoint alone for a while.
    pub fn block(&mut self, now: Time, name: &EndpointName) -> Option<Generation> {
        let row = self.rows.get_mut(name)?;
        row.blocked = now + BLOCK;
        row.granted = 0;
        Some(row.generation)
    }

    /// Leaves an endpoint alone for a while and keeps its share, after a
    /// refusal that says nothing about what it bears.
    pub fn rest(&mut self, now: Time, name: &EndpointName) {
        if let Some(row) = self.rows.get_mut(name) {
            row.blocked = now + BLOCK;
        }
    }

    /// The address of an endpoint.
    pub fn addr(&self, name: &EndpointName) -> Option<SocketAddr> {
        self.rows.get(name).map(|it| it.addr)
    }

    /// Endpoints with more in flight than granted.
    pub fn over(&self) -> Vec<Holding> {
        let rows = self.rows.iter().filter(|(_, it)| it.flying > it.granted);
        rows.map(|(name, it)| holding(name, it.flying)).collect()
    }

    /// All that is held: the larger of what is granted and what is in flight.
    pub fn holdings(&self) -> Vec<Holding> {
        let rows = self.rows.iter().map(|(name, it)| (name, it.granted.max(it.flying)));
        rows.filter(|(_, slots)| *slots > 0).map(|(name, slots)| holding(name, slots)).collect()
    }

    /// Takes out the endpoints that answered well since the last call.
    pub fn take_good(&mut self) -> Vec<(EndpointName, Generation)> {
        let mut good = Vec::new();
        for (name, row) in &mut self.rows {
            if std::mem::take(&mut row.good) {
                good.push((name.clone(), row.generation));
            }
        }
        good
    }

    /// Requests in flight by pool.
    pub fn flying(&self) -> IndexMap<PoolName, Demand> {
        let mut pools: IndexMap<PoolName, Demand> = IndexMap::new();
        for row in self.rows.values() {
            let pool = row.pool.clone();
            let entry = pools.entry(pool.clone());
            entry.or_insert(Demand { pool, in_flight: 0, queued: 0 }).in_flight += row.flying;
        }
        pools
    }

    fn penalty(&self, at: usize, avoid: &[EndpointName], bad: &[DomainName]) -> u32 {
        let (name, row) = self.rows.get_index(at).expect("the row exists");
        match (avoid.contains(name), bad.contains(&row.domain)) {
            (true, _) => 2,
            (false, true) => 1,
            (false, false) => 0,
        }
    }

    fn choose(&mut self, free: &[usize], prefix: u64) -> Option<usize> {
        match self.policy {
            Policy::Shares => self.best(free, prefix),
            Policy::Least => free.iter().copied().min_by_key(|i| self.rows[*i].flying),
            Policy::Random => {
                let at = self.rng.random_range(0..free.len().max(1));
                free.get(at).copied()
            }
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                free.get(self.turn % free.len().max(1)).copied()
            }
        }
    }

    fn best(&mut self, free: &[usize], prefix: u64) -> Option<usize> {
        let score = |i: &usize| self.rows[*i].score(prefix);
        let least = free.iter().map(score).min_by(f64::total_cmp)?;
        let near: Vec<usize> = free.iter().copied().filter(|i| score(i) <= least * NEAR).collect();
        near.get(self.rng.random_range(0..near.len())).copied()
    }
}

impl Row {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            pool: endpoint.pool.clone(),
            domain: endpoint.domain.clone(),
            addr: endpoint.addr,
            generation: endpoint.generation,
            in_service: true,
            slots: endpoint.slots.0,
            cold: false,
            service: false,
            granted: 0,
            flying: 0,
            blocked: Time(0),
            pace: 1.0,
            load: 0,
            sent: 0,
            prefix: 0,
            good: false,
        }
    }

    fn reload(&mut self, endpoint: &Endpoint, tables: &Tables) {
        if self.generation != endpoint.generation {
            self.granted = 0;
            self.pace = 1.0;
            self.prefix = 0;
            self.good = false;
        }
        self.pool = endpoint.pool.clone();
        self.domain = endpoint.domain.clone();
        self.addr = endpoint.addr;
        self.generation = endpoint.generation;
        self.in_service = tables.is_in_service(endpoint);
        self.slots = endpoint.slots.0;
        self.cold = endpoint.state == EndpointState::Cold;
        let kind = tables.pools.get(&endpoint.pool).map(|it| it.kind);
        self.service = kind == Some(PoolKind::Service);
    }

    fn is_free(&self, now: Time, shares: bool) -> bool {
        let most = if shares { self.granted } else { self.slots };
        self.in_service && now >= self.blocked && self.flying < most
    }

    /// Lower is better: the expected time of one more request.
    fn score(&self, prefix: u64) -> f64 {
        let used = f64::from(self.flying) / f64::from(self.granted.max(1));
        let seen = if self.service { f64::from(self.load + self.sent) } else { 0.0 };
        let crowd = 1.0 + used + seen / f64::from(self.slots.max(1));
        let warm = if self.prefix == prefix && !self.service { PREFIX_GAIN } else { 1.0 };
        self.pace * crowd * warm
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Shares => "shares",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::Least => "least",
        })
    }
}

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        [Self::Shares, Self::Random, Self::RoundRobin, Self::Least]
            .into_iter()
            .find(|it| it.to_string() == s)
            .ok_or_else(|| PolicyError { text: s.to_owned() })
    }
}

fn holding(name: &EndpointName, slots: u32) -> Holding {
    Holding { endpoint: name.clone(), slots: Slots(slots) }
}

fn prefix_of(input: &str) -> u64 {
    let bytes = input.as_bytes();
    let mut hash = DefaultHasher::new();
    bytes[..bytes.len().min(PREFIX_BYTES)].hash(&mut hash);
    hash.finish()
}
