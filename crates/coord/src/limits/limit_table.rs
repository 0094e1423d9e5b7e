//! The leader's side of the limits: which endpoints are limited, and who may send.

use {
    super::{
        BrittlePressure, EndpointDoubt, EndpointLimit, GRANT_VALIDITY, LimitDemand, LimitList,
        LimitListUpdate, LimitReport, SendGrant, brittle::base_rate,
    },
    crate::{
        control::{LEASE_DURATION, LEASE_MARGIN, ShareHolder},
        ids::{EndpointName, Generation, PoolName, Rate, Term},
        tables::Tables,
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// The time between two rounds of grants. Shorter ones cost more replies, longer ones let
/// requests wait for the next.
pub const GRANT_INTERVAL: Millis = Millis(200);
/// For how long credit is saved up while no instance can be granted sends, at least for
/// one send.
pub const CREDIT_TIME: Millis = Millis(400);
/// The same for an endpoint in a cold start, and for a brittle one.
const COLD_CREDIT_TIME: Millis = GRANT_INTERVAL;
/// The rate at which an endpoint with a lower limit is sent to all the same: only its
/// answers can tell that the limit has ended.
pub const MIN_LIMIT: Rate = Rate(100);

/// How much later than a refused connection an endpoint must have been heard of to show that
/// this start of it still runs: announcements may be under way for as long.
pub const ANNOUNCEMENT_DELAY: Millis = Millis(2000);

/// How long a brittle endpoint gets no more than is granted after it last had work for many of
/// its slots or rejected a request.
const PRESSURE_TIME: Millis = Millis(2000);
/// The part of its slots that a brittle endpoint has work for when it is bounded. It takes up to
/// half a second until all instances know of that, and the room that is left has to last so long.
/// In trials 60 % let more endpoints go down, and with 30 % fleets of 30 instances and more served
/// less than a third of a steady load, where 50 % serves two fifths.
const PRESSURE_PERCENT: u32 = 50;

/// How much longer a new leader assumes the grants of an earlier one to be valid, to allow
/// for clock drift.
const GRANT_MARGIN: Millis = Millis(100);
/// The credit that one send costs, in thousandths of a send per second times
/// milliseconds.
const SEND_CREDIT: u64 = 1_000_000;
/// The part of an instance's demand that is kept from one round to the next.
const DEMAND_DECAY: f64 = 0.8;
/// The demand that each instance is assumed to have, so that one without any gets a send
/// now and then and can serve its first request.
const BASE_DEMAND: f64 = 0.05;

/// The claim of one instance to the sends of an endpoint.
#[derive(Debug, Default)]
struct Turn {
    demand: f64,
    /// The sends that it is due and hasn't got.
    due: f64,
}

#[derive(Debug)]
struct Row {
    generation: Generation,
    /// `None` after a limit has ended; the row stays, so that late reports don't bring it
    /// back.
    limit: Option<Rate>,
    /// When the endpoint said so.
    at: Time,
    /// How many requests the endpoint may reject in a second, and when it last said whether
    /// it is brittle; as for limits.
    brittle: Option<Rate>,
    brittle_at: Time,
    /// What the instances have there, if it is brittle.
    in_flight: IndexMap<ShareHolder, u32>,
    /// When it was last seen that it may soon reject requests.
    pressed_at: Option<Time>,
    /// The rate in a cold start, according to the tables.
    cold: Option<Rate>,
    /// When a connection to it was refused, and its rate in a cold start, if its pool has one.
    doubt: Option<(Time, Option<Rate>)>,
    credit: u64,
    filled_at: Time,
    turns: IndexMap<ShareHolder, Turn>,
}

/// The limits by endpoint, and grants that are yet to be sent.
#[derive(Debug, Default)]
pub struct LimitTable {
    rows: IndexMap<EndpointName, Row>,
    number: u64,
    /// When this voter began to lead.
    since: Time,
    /// Whether all limits are known and no grant of an earlier leader is valid.
    is_ready: bool,
    granted_at: Time,
    grants: IndexMap<ShareHolder, IndexMap<EndpointName, SendGrant>>,
    /// The sends granted since they were last taken for the log.
    count: u64,
}

impl LimitTable {
    /// Creates the table of a voter that leads in `term` since `since`. Its lists have
    /// higher numbers than those of earlier leaders.
    pub fn start(term: Term, since: Time) -> Self {
        Self { number: (term.0 << 32) + 1, since, ..Self::default() }
    }

    /// Whether lists may be sent and sends granted: each instance has reported what it
    /// knows to this leader or may have no lease any more, and no grant of an earlier
    /// leader is valid.
    pub fn check_ready(&mut self, now: Time, all_reported: impl FnOnce() -> bool) -> bool {
        let settled = self.since + LEASE_DURATION + LEASE_MARGIN;
        let expired = self.since + GRANT_VALIDITY + GRANT_MARGIN;
        self.is_ready = self.is_ready || now >= settled || now >= expired && all_reported();
        self.is_ready
    }

    /// Returns what to tell an instance that holds the list with this number. `has_reported`
    /// is whether it has told this leader all that it knows; its knowledge may not be
    /// replaced before.
    pub fn list_update(&self, now: Time, held: u64, has_reported: bool) -> LimitListUpdate {
        match self.is_ready && has_reported {
            false => LimitListUpdate::Unknown,
            true if held == self.number => LimitListUpdate::Same,
            true => LimitListUpdate::New(self.list(now)),
        }
    }

    /// Whether [`Self::list_update`] returns a new list.
    pub fn has_new_list(&self, held: u64, has_reported: bool) -> bool {
        self.is_ready && has_reported && held != self.number
    }

    /// Takes in what an instance reports. Of contradicting reports that of the latest
    /// answer counts.
    pub fn record(&mut self, now: Time, report: &LimitReport, tables: &Tables) {
        let at = Time(now.0.saturating_sub(report.age.0));
        let Some(row) = self.reported_row(now, report, tables) else {
            return;
        };
        if at < row.at {
            return;
        }
        row.at = at;
        if row.limit != report.limit {
            row.refill(now);
            row.limit = report.limit;
            self.number += 1;
        }
    }

    /// Takes in what an instance reports of a brittle endpoint, as [`Self::record`] does.
    pub fn record_brittle(&mut self, now: Time, report: &LimitReport, tables: &Tables) {
        let at = Time(now.0.saturating_sub(report.age.0));
        let row = self.reported_row(now, report, tables);
        let Some(row) = row.filter(|it| at >= it.brittle_at) else {
            return;
        };
        row.brittle_at = at;
        if row.brittle != report.limit {
            row.refill(now);
            row.brittle = report.limit;
            self.number += 1;
        }
    }

    /// Takes in what an instance has at brittle endpoints. One that has work for many slots,
    /// or rejects requests, gets no more than is granted for some time.
    pub fn record_pressure(
        &mut self,
        now: Time,
        holder: ShareHolder,
        pressure: &[BrittlePressure],
        tables: &Tables,
    ) {
        for (name, row) in &mut self.rows {
            row.in_flight.swap_remove(&holder);
            let is_meant =
                |it: &&BrittlePressure| it.endpoint == *name && it.generation == row.generation;
            let Some(it) = pressure.iter().find(is_meant) else {
                continue;
            };
            row.in_flight.insert(holder, it.in_flight);
            let slots = tables.endpoints.get(name).map_or(0, |it| it.slots.0);
            let in_flight = row.in_flight.values().sum::<u32>();
            let is_full = in_flight * 100 >= slots * PRESSURE_PERCENT;
            if row.brittle.is_some() && (is_full || it.rejected) {
                if row.pressed_at.is_none() {
                    row.refill(now);
                    self.number += 1;
                }
                row.pressed_at = Some(now);
            }
        }
    }

    /// Returns the row of an endpoint that a report is about, if it is still in the tables.
    fn reported_row(
        &mut self,
        now: Time,
        report: &LimitReport,
        tables: &Tables,
    ) -> Option<&mut Row> {
        let endpoint = tables.endpoints.get(&report.endpoint);
        endpoint.filter(|it| it.generation == report.generation)?;
        let row = self.rows.entry(report.endpoint.clone());
        Some(row.or_insert_with(|| Row::new(report.generation, now)))
    }

    /// Takes in that a connection to an endpoint was refused.
    pub fn record_doubt(&mut self, now: Time, doubt: &EndpointDoubt, tables: &Tables) {
        let endpoint = tables.endpoints.get(&doubt.endpoint);
        let endpoint = endpoint.filter(|it| it.generation == doubt.generation);
        let Some(rate) = endpoint.map(|it| tables.pool_cold_rate(&it.pool)) else {
            return;
        };
        let at = Time(now.0.saturating_sub(doubt.age.0));
        let row = self.rows.entry(doubt.endpoint.clone());
        let row = row.or_insert_with(|| Row::new(doubt.generation, now));
        let known = row.doubt.map(|it| it.0);
        if known.is_none() {
            row.refill(now);
            self.number += 1;
        }
        row.doubt = Some((known.map_or(at, |it| it.max(at)), rate));
    }

    /// Takes in that a start of an endpoint was heard of, which may end a doubt.
    pub fn record_announcement(&mut self, now: Time, name: &EndpointName, generation: Generation) {
        let row = self.rows.get_mut(name).filter(|it| it.generation == generation);
        let Some(row) = row else {
            return;
        };
        if row.doubt.is_some_and(|(at, _)| now.since(at) >= ANNOUNCEMENT_DELAY) {
            row.refill(now);
            row.doubt = None;
            self.number += 1;
        }
    }

    /// Adds to the demand of an instance.
    pub fn add_demand(&mut self, holder: ShareHolder, demand: &[LimitDemand]) {
        for it in demand {
            if let Some(row) = self.rows.get_mut(&it.endpoint) {
                row.turns.entry(holder).or_default().demand += f64::from(it.sends);
            }
        }
    }

    /// Drops the limits of incarnations that are no longer in the tables, and takes in which
    /// endpoints are in a cold start.
    pub fn reload(&mut self, now: Time, tables: &Tables) {
        let count = self.rows.len();
        let brittle_pools = self.brittle_pools(tables);
        self.rows.retain(|name, row| {
            tables.endpoints.get(name).is_some_and(|it| it.generation == row.generation)
        });
        self.number += u64::from(self.rows.len() < count);
        self.add_brittle_starts(now, tables, &brittle_pools);
        for it in tables.endpoints.values() {
            let cold = tables.cold_rate(it);
            if cold.is_some() {
                let row = self.rows.entry(it.name.clone());
                row.or_insert_with(|| Row::new(it.generation, now));
            }
            if let Some(row) = self.rows.get_mut(&it.name).filter(|row| row.cold != cold) {
                row.refill(now);
                row.cold = cold;
            }
        }
    }

    /// Returns the pools with brittle endpoints, and the least number that these name.
    fn brittle_pools(&self, tables: &Tables) -> IndexMap<PoolName, Rate> {
        let mut pools = IndexMap::new();
        for (name, row) in &self.rows {
            if let Some((rate, endpoint)) = row.brittle.zip(tables.endpoints.get(name)) {
                let least = pools.entry(endpoint.pool.clone()).or_insert(rate);
                *least = rate.min(*least);
            }
        }
        pools
    }

    /// Takes starts that nothing is known of for as brittle as the others of their pool, and
    /// bounds them for a time: the requests of one that went down come to them at once. Their
    /// first answers show whether they are.
    fn add_brittle_starts(&mut self, now: Time, tables: &Tables, pools: &IndexMap<PoolName, Rate>) {
        for it in tables.endpoints.values().filter(|it| pools.contains_key(&it.pool)) {
            if !self.rows.contains_key(&it.name) {
                let mut row = Row::new(it.generation, now);
                row.brittle = Some(pools[&it.pool]);
                row.pressed_at = Some(now);
                self.rows.insert(it.name.clone(), row);
                self.number += 1;
            }
        }
    }

    /// Returns all limits.
    pub fn list(&self, now: Time) -> LimitList {
        let named = |value: fn(&Row) -> (Option<Rate>, Time)| {
            let rows = self.rows.iter().filter_map(move |(name, row)| {
                let (limit, at) = value(row);
                let (endpoint, generation) = (name.clone(), row.generation);
                Some(EndpointLimit { endpoint, generation, limit: limit?, age: now.since(at) })
            });
            rows.collect()
        };
        let limits = named(|it| (it.limit, it.at));
        let brittle = named(|it| (it.brittle, it.brittle_at));
        let pressed = self.rows.iter().filter(|(_, row)| row.brittle_rate().is_some());
        let pressed = pressed.map(|(name, _)| name.clone()).collect();
        let doubts = self.rows.iter().filter_map(|(name, row)| {
            let age = now.since(row.doubt?.0);
            Some(EndpointDoubt { endpoint: name.clone(), generation: row.generation, age })
        });
        LimitList { number: self.number, limits, brittle, pressed, doubts: doubts.collect() }
    }

    /// Divides the sends that the limits allow by now among instances that can be
    /// answered at once, by their demand.
    pub fn grant(&mut self, now: Time, ready: &IndexSet<ShareHolder>) {
        let is_due = now.since(self.granted_at) >= GRANT_INTERVAL;
        if !self.is_ready || !is_due || ready.is_empty() {
            return;
        }
        self.granted_at = now;
        for (name, row) in &mut self.rows {
            row.refill(now);
            if row.pressed_at.is_some_and(|it| now.since(it) >= PRESSURE_TIME) {
                row.pressed_at = None;
                self.number += 1;
            }
            let Some(limit) = row.rate() else {
                continue;
            };
            row.turns.values_mut().for_each(|it| it.demand *= DEMAND_DECAY);
            while row.credit >= SEND_CREDIT {
                row.credit -= SEND_CREDIT;
                let holder = row.next_turn(name, ready);
                let grants = self.grants.entry(holder).or_default();
                let grant = grants.entry(name.clone()).or_insert_with(|| SendGrant {
                    endpoint: name.clone(),
                    generation: row.generation,
                    limit,
                    sends: 0,
                });
                grant.sends += 1;
                self.count += 1;
            }
        }
    }

    /// Whether there are grants for an instance.
    pub fn has_grants(&self, holder: ShareHolder) -> bool {
        self.grants.contains_key(&holder)
    }

    /// Takes the grants for an instance. They count as spent.
    pub fn take_grants(&mut self, holder: ShareHolder) -> Vec<SendGrant> {
        let grants = self.grants.swap_remove(&holder).unwrap_or_default();
        grants.into_values().collect()
    }

    /// Drops the grants that have not been taken.
    pub fn clear_grants(&mut self) {
        self.grants.clear();
    }

    /// Drops the demand of an instance that is gone.
    pub fn remove(&mut self, holder: ShareHolder) {
        self.rows.values_mut().for_each(|it| {
            it.turns.swap_remove(&holder);
            it.in_flight.swap_remove(&holder);
        });
    }

    /// Takes the number of sends granted since the last call.
    pub fn take_count(&mut self) -> u64 {
        std::mem::take(&mut self.count)
    }
}

impl Row {
    fn new(generation: Generation, now: Time) -> Self {
        Self {
            generation,
            limit: None,
            at: Time(0),
            brittle: None,
            brittle_at: Time(0),
            in_flight: IndexMap::new(),
            pressed_at: None,
            cold: None,
            doubt: None,
            credit: 0,
            filled_at: now,
            turns: IndexMap::new(),
        }
    }

    /// The rate of grants while it is brittle and may soon reject requests.
    fn brittle_rate(&self) -> Option<Rate> {
        self.brittle.filter(|_| self.pressed_at.is_some()).map(base_rate)
    }

    /// The rate at which sends are granted, if they have to be.
    fn rate(&self) -> Option<Rate> {
        let named = self.limit.map(|it| it.max(MIN_LIMIT));
        let named = named.into_iter().chain(self.brittle_rate());
        named.chain(self.cold).chain(self.doubt.and_then(|it| it.1)).min()
    }

    /// Adds the credit of the time since the last call.
    fn refill(&mut self, now: Time) {
        let is_cold = self.cold.is_some() || self.doubt.is_some_and(|it| it.1.is_some());
        let is_short = is_cold || self.brittle_rate().is_some();
        let time = if is_short { COLD_CREDIT_TIME } else { CREDIT_TIME };
        let added_for = now.since(self.filled_at).0;
        self.filled_at = now;
        self.credit = match self.rate() {
            Some(rate) => {
                let most = (rate.0 * time.0).max(SEND_CREDIT);
                (self.credit + rate.0 * added_for).min(most)
            }
            None => 0,
        };
    }

    /// Returns the instance that gets the next send: smooth weighted round-robin by
    /// demand.
    fn next_turn(&mut self, name: &EndpointName, ready: &IndexSet<ShareHolder>) -> ShareHolder {
        for holder in ready {
            let fresh = Turn { demand: 0.0, due: first_due(name, *holder) };
            self.turns.entry(*holder).or_insert(fresh);
        }
        let demand = |it: &Turn| it.demand + BASE_DEMAND;
        let sum: f64 = ready.iter().map(|it| demand(&self.turns[it])).sum();
        for holder in ready {
            let turn = &mut self.turns[holder];
            turn.due += demand(turn) / sum;
        }
        let due = |it: &&ShareHolder| self.turns[*it].due;
        let next = ready.iter().max_by(|a, b| due(a).total_cmp(&due(b)));
        let next = *next.expect("the set isn't empty");
        self.turns[&next].due -= 1.0;
        next
    }
}

/// What an instance is due at first, so that not the same one gets the first send of each
/// endpoint.
fn first_due(name: &EndpointName, holder: ShareHolder) -> f64 {
    let mut hash = DefaultHasher::new();
    (name, holder).hash(&mut hash);
    hash.finish() as f64 / u64::MAX as f64
}
