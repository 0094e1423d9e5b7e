//! Load balancing: picks the endpoint of each attempt.

use {
    crate::{
        control::{Demand, EndpointReport, Grants, Holding},
        ids::{DomainName, EndpointName, Generation, PoolName, Slots, SoftwareVersion},
        limits::{LimitNotice, SharedGate},
        relay::{EndpointNotice, EndpointNotices},
        streams::StreamOrigin,
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

/// The length of an input's prefix, in bytes.
const PREFIX_BYTES: usize = 256;
/// The factor on the score of an endpoint whose last input had the same prefix.
const WARM_PREFIX_FACTOR: f64 = 0.7;
/// Endpoints whose score is within this factor of the best are equally likely,
/// so that all are measured and chance measurements don't decide.
const NEAR_BEST_FACTOR: f64 = 1.2;
/// The weight of a new measurement in an endpoint's latency ratio.
const LATENCY_RATIO_GAIN: f64 = 0.2;
/// How long an endpoint gets no attempts after a failure or refusal.
const BLOCK_TIME: Millis = Millis(500);

/// How long an endpoint that says that it is leaving may get what no other endpoint
/// can serve.
const LEAVE_GRACE: Millis = Millis(1000);

/// The load balancing policy. All but `Shares` ignore the granted shares and
/// serve as baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The best score among endpoints with a free slot of the granted share.
    #[default]
    Shares,
    Random,
    RoundRobin,
    /// The fewest attempts in flight from this instance.
    Least,
}

/// The text is not the name of a policy.
#[derive(Debug, Snafu)]
#[snafu(display("policy must be shares, random, round-robin or least, not {text:?}"))]
pub struct PolicyError {
    text: String,
}

/// The endpoint that was picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub name: EndpointName,
    pub addr: SocketAddr,
    pub generation: Generation,
    pub version: Option<SoftwareVersion>,
}

#[derive(Debug)]
struct Row {
    pool: PoolName,
    domain: DomainName,
    addr: SocketAddr,
    generation: Generation,
    version: Option<SoftwareVersion>,
    in_service: bool,
    slots: u32,
    cold: bool,
    is_service: bool,
    granted: u32,
    in_flight: u32,
    blocked_until: Time,
    /// The moving average of its times relative to the stage's mean; 1 at first.
    latency_ratio: f64,
    reported_load: u32,
    /// Attempts sent since `reported_load` was received.
    sent_since: u32,
    /// The hash of the last input's prefix.
    last_prefix: u64,
    /// Whether it answered since the last [`Picker::take_succeeded`].
    succeeded: bool,
}

/// The table of endpoints on this instance.
pub struct Picker {
    rows: IndexMap<EndpointName, Row>,
    notices: EndpointNotices,
    gate: SharedGate,
    policy: Policy,
    last_turn: usize,
    rng: StdRng,
}

impl Picker {
    /// Creates an empty table.
    pub fn new(policy: Policy, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let notices = EndpointNotices::new(LEAVE_GRACE);
        let gate = SharedGate::default();
        Self { rows: IndexMap::new(), notices, gate, policy, last_turn: 0, rng }
    }

    /// Sets the gate that this instance's sends to limited endpoints pass.
    pub fn set_gate(&mut self, gate: SharedGate) {
        self.gate = gate;
    }

    /// Updates the rows from the replicated tables. Removed endpoints are kept
    /// while they have attempts in flight.
    pub fn reload(&mut self, tables: &Tables) {
        self.rows.retain(|name, row| row.in_flight > 0 || tables.endpoints.contains_key(name));
        for row in self.rows.values_mut() {
            row.in_service = false;
        }
        for endpoint in tables.endpoints.values() {
            let row = self.rows.entry(endpoint.name.clone()).or_insert_with(|| Row::new(endpoint));
            row.reload(endpoint, tables);
        }
        self.notices.reload(tables.endpoints.values());
        self.gate.lock().reload(tables);
    }

    /// Records what an endpoint says of itself in an answer of this incarnation.
    pub fn note(
        &mut self,
        now: Time,
        name: &EndpointName,
        generation: Generation,
        notice: EndpointNotice,
    ) {
        match notice {
            EndpointNotice::Leaving => {
                self.notices.note_leaving(now, name, generation);
            }
            EndpointNotice::Pause(pause) => {
                self.notices.note_pause(now, name, generation, pause);
            }
        }
    }

    /// Takes in what an answer to a call that was sent at `sent` says of the limit of an
    /// endpoint.
    pub fn note_limit(
        &mut self,
        now: Time,
        sent: Time,
        name: &EndpointName,
        generation: Generation,
        notice: LimitNotice,
    ) {
        self.gate.lock().note(now, sent, name, generation, notice);
    }

    /// Replaces all granted shares and updates the reported loads.
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
                row.reported_load = it.load;
                row.sent_since = 0;
            }
        }
    }

    /// Drops all shares after the lease has ended.
    pub fn clear_grants(&mut self) {
        for row in self.rows.values_mut() {
            row.granted = 0;
        }
    }

    /// Picks a free endpoint of a pool and takes one of its slots. Endpoints in
    /// `avoid` come last, others in their failure domains second to last. With `began`
    /// only endpoints of that software version are picked.
    pub fn pick(
        &mut self,
        now: Time,
        pool: &PoolName,
        input: &str,
        avoid: &[EndpointName],
        began: Option<&StreamOrigin>,
    ) -> Option<Candidate> {
        let prefix = prefix_of(input);
        let shares = self.policy == Policy::Shares;
        let failed_domains: Vec<DomainName> =
            avoid.iter().filter_map(|it| self.rows.get(it)).map(|it| it.domain.clone()).collect();
        let mut free: Vec<usize> =
            (0..self.rows.len()).filter(|i| self.is_free(now, *i, pool, shares)).collect();
        free.retain(|i| began.is_none_or(|it| it.version == self.rows[*i].version));
        if free.iter().any(|i| !self.is_leaving(*i)) {
            free.retain(|i| !self.is_leaving(*i));
        }
        let penalty = |i: &usize| self.penalty(*i, avoid, &failed_domains);
        let least = free.iter().map(penalty).min()?;
        free.retain(|i| self.penalty(*i, avoid, &failed_domains) == least);
        let at = self.choose(&free, prefix)?;
        let (name, row) = self.rows.get_index_mut(at)?;
        self.gate.lock().take(now, name)?;
        row.in_flight += 1;
        row.sent_since += 1;
        row.last_prefix = prefix;
        Some(Candidate {
            name: name.clone(),
            addr: row.addr,
            generation: row.generation,
            version: row.version.clone(),
        })
    }

    /// Whether a pool has a free endpoint.
    pub fn has_free(&self, now: Time, pool: &PoolName) -> bool {
        let shares = self.policy == Policy::Shares;
        (0..self.rows.len()).any(|i| self.is_free(now, i, pool, shares))
    }

    /// Whether each endpoint of a pool in service names a limit, and this instance may
    /// send to none of them now.
    pub fn is_exhausted(&self, now: Time, pool: &PoolName) -> bool {
        let gate = self.gate.lock();
        let mut rows = self.rows.iter().filter(|(_, it)| it.pool == *pool && it.in_service);
        self.has_endpoint(pool) && rows.all(|(name, _)| !gate.may_send(now, name))
    }

    /// Counts that a request could have been sent to an endpoint of a pool.
    pub fn want(&mut self, pool: &PoolName) {
        let mut gate = self.gate.lock();
        let rows = self.rows.iter().filter(|(_, it)| it.pool == *pool && it.in_service);
        rows.for_each(|(name, _)| gate.want(name));
    }

    /// Takes a send to an endpoint that isn't an attempt; false if none is granted.
    pub fn take_send(&mut self, now: Time, name: &EndpointName) -> bool {
        self.gate.lock().take(now, name).is_some()
    }

    /// The number of slots of a pool that this instance may use.
    pub fn capacity(&self, pool: &PoolName) -> u32 {
        let rows = self.rows.values().filter(|it| it.pool == *pool && it.in_service);
        let shares = self.policy == Policy::Shares;
        rows.map(|it| if shares { it.granted } else { it.slots }).sum()
    }

    /// Whether endpoints of a pool are in service and this instance may use none of their
    /// slots.
    pub fn lacks_share(&self, pool: &PoolName) -> bool {
        self.has_endpoint(pool) && self.capacity(pool) == 0
    }

    /// Whether any endpoint of a pool is in service.
    pub fn has_endpoint(&self, pool: &PoolName) -> bool {
        self.rows.values().any(|it| it.pool == *pool && it.in_service)
    }

    /// Frees the slot of an attempt that has ended.
    pub fn release(&mut self, name: &EndpointName) {
        if let Some(row) = self.rows.get_mut(name) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records a successful answer and its time relative to the stage's mean.
    pub fn record(&mut self, name: &EndpointName, took: Millis, mean: Option<Millis>) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.succeeded = true;
        if let Some(mean) = mean {
            let ratio = (took.0 as f64 + 1.0) / (mean.0 as f64 + 1.0);
            row.latency_ratio += LATENCY_RATIO_GAIN * (ratio - row.latency_ratio);
        }
    }

    /// Sends no attempts to an endpoint for `BLOCK_TIME`, and drops its share
    /// until the next grant.
    pub fn block(&mut self, now: Time, name: &EndpointName) -> Option<Generation> {
        let row = self.rows.get_mut(name)?;
        row.blocked_until = now + BLOCK_TIME;
        row.granted = 0;
        Some(row.generation)
    }

    /// Sends no attempts to an endpoint for `BLOCK_TIME` but keeps its share,
    /// after a refusal that says nothing about its capacity.
    pub fn pause(&mut self, now: Time, name: &EndpointName) {
        if let Some(row) = self.rows.get_mut(name) {
            row.blocked_until = now + BLOCK_TIME;
        }
    }

    /// The address of an endpoint.
    pub fn addr(&self, name: &EndpointName) -> Option<SocketAddr> {
        self.rows.get(name).map(|it| it.addr)
    }

    /// Endpoints with more attempts in flight than slots granted.
    pub fn over_granted(&self) -> Vec<Holding> {
        let rows = self.rows.iter().filter(|(_, it)| it.in_flight > it.granted);
        rows.map(|(name, it)| holding(name, it.in_flight)).collect()
    }

    /// The slots held at each endpoint: the larger of those granted and those
    /// in flight.
    pub fn holdings(&self) -> Vec<Holding> {
        let rows = self.rows.iter().map(|(name, it)| (name, it.granted.max(it.in_flight)));
        rows.filter(|(_, slots)| *slots > 0).map(|(name, slots)| holding(name, slots)).collect()
    }

    /// Takes the endpoints that answered successfully since the last call.
    pub fn take_succeeded(&mut self) -> Vec<(EndpointName, Generation)> {
        let mut succeeded = Vec::new();
        for (name, row) in &mut self.rows {
            if std::mem::take(&mut row.succeeded) {
                succeeded.push((name.clone(), row.generation));
            }
        }
        succeeded
    }

    /// The attempts in flight, by pool.
    pub fn in_flight(&self) -> IndexMap<PoolName, Demand> {
        let mut pools: IndexMap<PoolName, Demand> = IndexMap::new();
        for row in self.rows.values() {
            let pool = row.pool.clone();
            let entry = pools.entry(pool.clone());
            entry.or_insert(Demand { pool, in_flight: 0, queued: 0 }).in_flight += row.in_flight;
        }
        pools
    }

    /// Whether an endpoint of a pool has a free slot and may be sent to.
    fn is_free(&self, now: Time, at: usize, pool: &PoolName, shares: bool) -> bool {
        let (name, row) = self.rows.get_index(at).expect("the row exists");
        row.pool == *pool
            && row.is_free(now, shares)
            && self.notices.may_send(now, name)
            && self.gate.lock().may_send(now, name)
    }

    fn is_leaving(&self, at: usize) -> bool {
        let (name, _) = self.rows.get_index(at).expect("the row exists");
        self.notices.is_leaving(name)
    }

    fn penalty(&self, at: usize, avoid: &[EndpointName], failed_domains: &[DomainName]) -> u32 {
        let (name, row) = self.rows.get_index(at).expect("the row exists");
        match (avoid.contains(name), failed_domains.contains(&row.domain)) {
            (true, _) => 2,
            (false, true) => 1,
            (false, false) => 0,
        }
    }

    fn choose(&mut self, free: &[usize], prefix: u64) -> Option<usize> {
        match self.policy {
            Policy::Shares => self.best(free, prefix),
            Policy::Least => free.iter().copied().min_by_key(|i| self.rows[*i].in_flight),
            Policy::Random => {
                let at = self.rng.random_range(0..free.len().max(1));
                free.get(at).copied()
            }
            Policy::RoundRobin => {
                self.last_turn = self.last_turn.wrapping_add(1);
                free.get(self.last_turn % free.len().max(1)).copied()
            }
        }
    }

    fn best(&mut self, free: &[usize], prefix: u64) -> Option<usize> {
        let score = |i: &usize| self.rows[*i].score(prefix);
        let least = free.iter().map(score).min_by(f64::total_cmp)?;
        let candidates: Vec<usize> =
            free.iter().copied().filter(|i| score(i) <= least * NEAR_BEST_FACTOR).collect();
        candidates.get(self.rng.random_range(0..candidates.len())).copied()
    }
}

impl Row {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            pool: endpoint.pool.clone(),
            domain: endpoint.domain.clone(),
            addr: endpoint.addr,
            generation: endpoint.generation,
            version: endpoint.version.clone(),
            in_service: true,
            slots: endpoint.slots.0,
            cold: false,
            is_service: false,
            granted: 0,
            in_flight: 0,
            blocked_until: Time(0),
            latency_ratio: 1.0,
            reported_load: 0,
            sent_since: 0,
            last_prefix: 0,
            succeeded: false,
        }
    }

    fn reload(&mut self, endpoint: &Endpoint, tables: &Tables) {
        if self.generation != endpoint.generation {
            self.granted = 0;
            self.latency_ratio = 1.0;
            self.last_prefix = 0;
            self.succeeded = false;
        }
        self.pool = endpoint.pool.clone();
        self.domain = endpoint.domain.clone();
        self.addr = endpoint.addr;
        self.generation = endpoint.generation;
        self.version = endpoint.version.clone();
        self.in_service = tables.is_in_service(endpoint);
        self.slots = endpoint.slots.0;
        self.cold = endpoint.state == EndpointState::Cold;
        let kind = tables.pools.get(&endpoint.pool).map(|it| it.kind);
        self.is_service = kind == Some(PoolKind::Service);
    }

    fn is_free(&self, now: Time, shares: bool) -> bool {
        let most = if shares { self.granted } else { self.slots };
        self.in_service && now >= self.blocked_until && self.in_flight < most
    }

    /// The relative expected time of one more request; lower is better.
    fn score(&self, prefix: u64) -> f64 {
        let used = f64::from(self.in_flight) / f64::from(self.granted.max(1));
        let load =
            if self.is_service { f64::from(self.reported_load + self.sent_since) } else { 0.0 };
        let contention = 1.0 + used + load / f64::from(self.slots.max(1));
        let warm =
            if self.last_prefix == prefix && !self.is_service { WARM_PREFIX_FACTOR } else { 1.0 };
        self.latency_ratio * contention * warm
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
