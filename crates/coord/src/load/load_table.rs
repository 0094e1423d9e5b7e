//! The leader's table of the load of endpoints.

use {
    super::{
        Capacity, EndpointSum, LoadOrder, LoadReply, LoadRequest, LoadRow, LoadSums, MAX_LOAD_ROWS,
    },
    crate::{
        control::ShareHolder,
        ids::{EndpointName, Generation},
        tables::Tables,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::collections::BTreeMap,
};

/// The least time between two sums for the same instance.
pub const LOAD_INTERVAL: Millis = Millis(500);
/// How many times the least capacity the greatest must be to turn shared load on: callers
/// are spread by capacity, so that from there on counts of single instances differ too much
/// to stand for the whole.
pub const CAPACITY_RATIO: u32 = 2;
/// How long encoded sums are used for all instances. With it the leader's work for sums is
/// bounded by the number of endpoints, not by that of endpoints times instances.
const REUSE_TIME: Millis = Millis(50);
/// The time in which what was learned of run times counts half. Shorter times leave too few
/// requests to learn from at two requests a second.
const RUN_HALF_LIFE: Millis = Millis(10_000);
/// The requests whose run time must be known before an endpoint's own mean counts as much
/// as that of all endpoints.
const RUN_PRIOR: f64 = 4.0;
/// The interval between two searches for instances without a lease.
const EXPIRY_INTERVAL: Millis = Millis(100);

/// What one instance has reported last.
#[derive(Debug)]
struct Holder {
    at: Time,
    capacity: Capacity,
    wanted: bool,
    /// `None` from an instance that doesn't report load.
    rows: Option<Vec<(EndpointName, Generation, u32)>>,
    /// When it last got sums.
    told_at: Option<Time>,
    /// The numbers of its last report and of the one before.
    number: u64,
    previous: Option<u64>,
}

/// The load of one start of an endpoint.
#[derive(Debug, Default)]
struct Row {
    generation: Generation,
    in_flight: u32,
    /// The number and the run times in ms of requests that ended, both decaying.
    ended: f64,
    run: f64,
}

/// Encoded sums.
#[derive(Debug)]
struct Built {
    at: Time,
    /// The number of the last report in them.
    number: u64,
    sums: LoadSums,
}

/// The load of endpoints by what instances report. The work for a report depends on its
/// length alone, but for a decay of all rows once in a half-life.
#[derive(Debug, Default)]
pub struct LoadTable {
    order: LoadOrder,
    rows: IndexMap<EndpointName, Row>,
    holders: IndexMap<ShareHolder, Holder>,
    /// How many instances ask for shared load, and have each known capacity.
    wanted: usize,
    capacities: BTreeMap<Capacity, usize>,
    /// How many instances report rows, and the sum of the times of their reports in ms.
    reporting: u64,
    report_times: u64,
    /// The number of the last report of all instances.
    number: u64,
    built: Option<Built>,
    decayed_at: Time,
    expired_at: Time,
}

impl LoadTable {
    /// Creates the table of a leader that starts now.
    pub fn start(now: Time) -> Self {
        Self { decayed_at: now, expired_at: now, ..Self::default() }
    }

    /// Takes in the endpoints of the tables. One with a new generation starts at zero.
    pub fn reload(&mut self, tables: &Tables) {
        self.set_order(LoadOrder::new(tables));
    }

    /// Sets the endpoints whose load is summed.
    pub fn set_order(&mut self, order: LoadOrder) {
        if order == self.order {
            return;
        }
        let mut old = std::mem::take(&mut self.rows);
        for it in order.rows() {
            let known = old.swap_remove(&it.name).filter(|row| row.generation == it.generation);
            let new = || Row { generation: it.generation, ..Row::default() };
            self.rows.insert(it.name.clone(), known.unwrap_or_else(new));
        }
        self.order = order;
        self.built = None;
        self.recount();
    }

    /// Sums the last reports anew. A row of a report may have been outside the order when it
    /// was recorded, or in an order in between; after this, exactly the rows that the order
    /// contains are counted, so that [`Self::remove`] subtracts nothing else.
    fn recount(&mut self) {
        for row in self.rows.values_mut() {
            row.in_flight = 0;
        }
        for (name, generation, in_flight) in
            self.holders.values().filter_map(|it| it.rows.as_ref()).flatten()
        {
            let row = self.rows.get_mut(name).filter(|it| it.generation == *generation);
            if let Some(row) = row {
                row.in_flight = row.in_flight.saturating_add(*in_flight);
            }
        }
    }

    /// Records the report of an instance, which replaces its earlier one. Rows above
    /// [`MAX_LOAD_ROWS`] are ignored.
    pub fn record(&mut self, now: Time, from: ShareHolder, request: &LoadRequest) {
        // Without this the first sums after a long time without any would decay run times that
        // have just been reported by all of that time.
        let is_stale = self.reporting == 0 || now.since(self.decayed_at) >= RUN_HALF_LIFE;
        if request.rows.is_some() && is_stale {
            self.decay(now);
        }
        let previous = self.holders.get(&from).filter(|it| it.rows.is_some()).map(|it| it.number);
        self.number += 1;
        let told_at = self.remove(from);
        let rows = request.rows.as_ref();
        let rows = rows.map(|it| it.iter().take(MAX_LOAD_ROWS).map(|it| self.add(it)).collect());
        self.wanted += usize::from(request.wanted);
        if !request.capacity.is_unknown() {
            *self.capacities.entry(request.capacity).or_default() += 1;
        }
        if rows.is_some() {
            self.reporting += 1;
            self.report_times += now.0;
        }
        let (capacity, wanted) = (request.capacity, request.wanted);
        let number = self.number;
        let holder = Holder { at: now, capacity, wanted, rows, told_at, number, previous };
        self.holders.insert(from, holder);
    }

    /// Adds a reported row to the sums, if its endpoint is in the order with this generation.
    fn add(&mut self, it: &LoadRow) -> (EndpointName, Generation, u32) {
        if let Some(row) = self.rows.get_mut(&it.endpoint)
            && row.generation == it.generation
        {
            row.in_flight = row.in_flight.saturating_add(it.in_flight);
            row.ended += f64::from(it.ended);
            row.run += it.run.0 as f64;
        }
        (it.endpoint.clone(), it.generation, it.in_flight)
    }

    /// Removes what an instance has reported. Returns when it last got sums.
    pub fn remove(&mut self, holder: ShareHolder) -> Option<Time> {
        let old = self.holders.swap_remove(&holder)?;
        self.wanted -= usize::from(old.wanted);
        if let Some(count) = self.capacities.get_mut(&old.capacity) {
            *count -= 1;
            if *count == 0 {
                self.capacities.remove(&old.capacity);
            }
        }
        if let Some(rows) = old.rows {
            self.reporting -= 1;
            self.report_times -= old.at.0;
            for (name, generation, in_flight) in rows {
                let row = self.rows.get_mut(&name).filter(|it| it.generation == generation);
                if let Some(row) = row {
                    row.in_flight = row.in_flight.saturating_sub(in_flight);
                }
            }
        }
        old.told_at
    }

    /// Removes the instances that have no lease any more.
    pub fn expire(&mut self, now: Time, is_live: impl Fn(ShareHolder) -> bool) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let gone: Vec<_> = self.holders.keys().copied().filter(|it| !is_live(*it)).collect();
        for it in gone {
            self.remove(it);
        }
    }

    /// Whether load is shared: an instance asks for it, or capacities differ much.
    pub fn is_on(&self) -> bool {
        let least = self.capacities.first_key_value().map_or(0, |(it, _)| it.0);
        let greatest = self.capacities.last_key_value().map_or(0, |(it, _)| it.0);
        let differ =
            least > 0 && u64::from(greatest) >= u64::from(least) * u64::from(CAPACITY_RATIO);
        self.wanted > 0 || differ
    }

    /// Returns what to tell an instance; `None` where shared load is off. `members` is the
    /// number of instances in the roster: with reports of less than half of them, as with a
    /// new leader, there are no sums.
    pub fn reply(&mut self, now: Time, holder: ShareHolder, members: usize) -> Option<LoadReply> {
        if !self.is_on() {
            return None;
        }
        let known = self.holders.get(&holder);
        let (told_at, number) = known.map_or((None, 0), |it| (it.told_at, it.number));
        let previous = known.and_then(|it| it.previous);
        let is_due = told_at.is_none_or(|at| now >= at + LOAD_INTERVAL);
        if !is_due || !self.is_known(members) {
            return Some(LoadReply::default());
        }
        let (sums, last) = self.sums(now, previous.unwrap_or(number));
        if let Some(it) = self.holders.get_mut(&holder) {
            it.told_at = Some(now);
        }
        Some(LoadReply { sums: Some(sums), is_behind: last < number })
    }

    /// Whether half of the instances have reported.
    pub fn is_known(&self, members: usize) -> bool {
        self.reporting > 0 && self.reporting as usize * 2 >= members
    }

    /// Returns the mean age of the reports; zero without any.
    pub fn age(&self, now: Time) -> Millis {
        let mean = self.report_times.checked_div(self.reporting);
        mean.map_or(Millis(0), |it| now.since(Time(it)))
    }

    /// Returns the requests in flight at an endpoint, if they are summed.
    pub fn in_flight(&self, name: &EndpointName) -> Option<u32> {
        self.rows.get(name).map(|it| it.in_flight)
    }

    /// Returns the encoded sums, at most [`REUSE_TIME`] old, and the number of the last report
    /// in them, which is at least `least`.
    fn sums(&mut self, now: Time, least: u64) -> (LoadSums, u64) {
        if let Some(Built { at, number, sums }) = &self.built
            && now.since(*at) < REUSE_TIME
            && *number >= least
        {
            let age = sums.age + now.since(*at);
            return (LoadSums { age, ..sums.clone() }, *number);
        }
        self.decay(now);
        let mean = self.mean_run();
        let sum = |it: &Row| EndpointSum { in_flight: it.in_flight, run: self.run(it, mean) };
        let age = self.age(now);
        let sums = LoadSums::new(age, self.order.check(), self.rows.values().map(sum));
        self.built = Some(Built { at: now, number: self.number, sums: sums.clone() });
        (sums, self.number)
    }

    /// Lets what was learned of run times decay by the time since this was last done.
    fn decay(&mut self, now: Time) {
        let decay = 0.5f64.powf(now.since(self.decayed_at).0 as f64 / RUN_HALF_LIFE.0 as f64);
        self.decayed_at = now;
        for it in self.rows.values_mut() {
            it.ended *= decay;
            it.run *= decay;
        }
    }

    /// The mean run time over all endpoints, in ms; zero if none is known.
    fn mean_run(&self) -> f64 {
        let ended: f64 = self.rows.values().map(|it| it.ended).sum();
        let run: f64 = self.rows.values().map(|it| it.run).sum();
        if ended > 0.0 { run / ended } else { 0.0 }
    }

    /// The run time of an endpoint. The fewer requests are known, the nearer it is to the mean
    /// of all.
    fn run(&self, row: &Row, mean: f64) -> Millis {
        let run = (row.run + RUN_PRIOR * mean) / (row.ended + RUN_PRIOR);
        Millis(run.round() as u64)
    }
}
