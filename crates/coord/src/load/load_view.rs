//! An instance's view of the load of endpoints, and the choice by it.

use {
    super::{
        AffinityShares, Capacity, EndpointEstimate, EndpointSum, LoadEstimates, LoadOrder,
        LoadReply, LoadRequest, LoadRow, LoadWeight, MAX_LOAD_ROWS, idle_load,
    },
    crate::{
        ids::{DomainName, EndpointName, Generation, PoolName},
        relay::{Preferences, rank},
        tables::{Endpoint, Tables},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::VecDeque,
};

/// The age from which sums aren't used: most requests in them have ended by then.
pub const MAX_AGE: Millis = Millis(2000);
/// How many times the mean an endpoint's load may be by this instance's estimate, plus one
/// request, for it to get requests with affinity. It bounds what one instance with many
/// callers sends between two sums.
const MAX_ESTIMATE: f64 = 2.0;
/// How long a failed request counts as in flight while no run time of its pool is known: until
/// about the next sums.
const DEFAULT_RUN: Millis = Millis(500);
/// The most failed requests at one endpoint that count as in flight; the oldest are dropped
/// first. It bounds the memory for an endpoint that fails thousands of requests a second.
const MAX_FAILED: usize = 256;

/// What an instance's settings say of shared load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSettings {
    pub capacity: Capacity,
    /// Whether load is to be shared by all instances.
    pub wanted: bool,
}

/// A request that was sent, for [`LoadView::end`].
#[derive(Debug, Clone)]
pub struct LoadSend {
    endpoint: EndpointName,
    generation: Generation,
    at: Time,
}

/// An endpoint chosen by the leader's sums.
#[derive(Debug, Clone, Copy)]
pub struct LoadChoice<'a> {
    pub endpoint: &'a Endpoint,
    /// The age of the sums.
    pub age: Millis,
    /// The estimated number of requests in flight there before this one.
    pub estimate: f64,
}

/// This instance's requests at one start of an endpoint.
#[derive(Debug, Default)]
struct Own {
    generation: Generation,
    /// When the requests in flight were sent.
    sent: Vec<Time>,
    /// When failed requests that still count as in flight were sent, and until when they count.
    failed: VecDeque<(Time, Time)>,
    /// Requests answered and ended since the last renewal, and their run times.
    ended: u32,
    run: Millis,
}

impl Own {
    /// Drops the failed requests that no longer count.
    fn expire(&mut self, now: Time) {
        self.failed.retain(|(_, until)| now < *until);
    }

    /// Adds a request that has failed and counts as in flight until a time.
    fn add_failed(&mut self, now: Time, sent: Time, until: Time) {
        self.expire(now);
        if until <= now {
            return;
        }
        if self.failed.len() == MAX_FAILED {
            self.failed.pop_front();
        }
        self.failed.push_back((sent, until));
    }

    /// When the requests that count as in flight were sent.
    fn counted(&self, now: Time) -> impl Iterator<Item = Time> {
        let failed = self.failed.iter().filter(move |(_, until)| now < *until);
        self.sent.iter().copied().chain(failed.map(|(sent, _)| *sent))
    }
}

/// Sums as the leader sent them.
#[derive(Debug)]
struct Table {
    /// The mean time of the reports in the sums.
    at: Time,
    /// When it sent its own latest report that the sums contain for certain: that of this
    /// renewal, or the one before if the leader made the sums earlier.
    included: Time,
    sums: IndexMap<EndpointName, (Generation, LoadWeight, EndpointSum)>,
    /// The mean run time of each pool in which one is known.
    runs: IndexMap<PoolName, Millis>,
}

/// The load of endpoints as this instance knows it.
#[derive(Debug)]
pub struct LoadView {
    settings: LoadSettings,
    order: LoadOrder,
    own: IndexMap<EndpointName, Own>,
    table: Option<Table>,
    shares: AffinityShares,
    /// Whether the leader asks for reports.
    is_on: bool,
    /// When the latest of the renewals that were answered was sent.
    asked: Time,
    /// The index in `own` at which the next report begins if not all fit.
    next_row: usize,
    rng: StdRng,
}

impl Default for LoadView {
    fn default() -> Self {
        Self::new(LoadSettings::default(), 0)
    }
}

impl LoadView {
    /// Creates a view without sums; `seed` drives its random choices.
    pub fn new(settings: LoadSettings, seed: u64) -> Self {
        Self {
            settings,
            order: LoadOrder::default(),
            own: IndexMap::new(),
            table: None,
            shares: AffinityShares::default(),
            is_on: false,
            asked: Time(0),
            next_row: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes in the endpoints of the tables.
    pub fn reload(&mut self, tables: &Tables) {
        self.set_order(LoadOrder::new(tables));
    }

    /// Sets the endpoints whose load is shared.
    pub fn set_order(&mut self, order: LoadOrder) {
        self.order = order;
        self.own.retain(|name, it| !it.sent.is_empty() || self.order.contains(name));
    }

    /// Returns the report for the next renewal.
    pub fn request(&mut self, now: Time) -> LoadRequest {
        let LoadSettings { capacity, wanted } = self.settings;
        self.own.values_mut().for_each(|it| it.expire(now));
        self.own.retain(|_, it| !it.sent.is_empty() || !it.failed.is_empty() || it.ended > 0);
        let rows = self.is_on.then(|| self.take_rows());
        LoadRequest { capacity, wanted, rows }
    }

    /// Returns the rows of a report. With more than [`MAX_LOAD_ROWS`] endpoints, each report
    /// begins where the one before ended. Run times are reported once; if the renewal fails,
    /// later requests show about the same run times.
    fn take_rows(&mut self) -> Vec<LoadRow> {
        let total = self.own.len();
        let count = total.min(MAX_LOAD_ROWS);
        let first = if total > count { self.next_row % total } else { 0 };
        self.next_row = first + count;
        let mut rows = Vec::with_capacity(count);
        for at in first..first + count {
            let Some((name, it)) = self.own.get_index_mut(at % total) else {
                break;
            };
            rows.push(LoadRow {
                endpoint: name.clone(),
                generation: it.generation,
                in_flight: (it.sent.len() + it.failed.len()) as u32,
                ended: std::mem::take(&mut it.ended),
                run: std::mem::take(&mut it.run),
            });
        }
        rows
    }

    /// Applies the answer to a renewal that was sent at `asked`. It is ignored if a later
    /// renewal has been answered. Returns false if it had sums that can't be used, as they are
    /// for other tables or can't be read.
    pub fn apply(&mut self, now: Time, asked: Time, reply: Option<&LoadReply>) -> bool {
        if asked < self.asked {
            // The late answer to a renewal that timed out.
            return true;
        }
        let previous = std::mem::replace(&mut self.asked, asked);
        self.is_on = reply.is_some();
        let Some(sums) = reply.and_then(|it| it.sums.as_ref()) else {
            return true;
        };
        let rows = sums.open().filter(|it| it.len() == self.order.rows().len());
        let Some(rows) = rows.filter(|_| sums.check == self.order.check()) else {
            return false;
        };
        self.shares.update(&self.order, &rows);
        let runs = mean_runs(&self.order, &rows);
        let named = self.order.rows().iter().zip(rows);
        let named = named.map(|(it, sum)| (it.name.clone(), (it.generation, it.weight, sum)));
        let at = Time(now.0.saturating_sub(sums.age.0));
        let included = if reply.is_some_and(|it| it.is_behind) { previous } else { asked };
        self.table = Some(Table { at, included, sums: named.collect(), runs });
        true
    }

    /// Whether this instance reports what it has in flight.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Returns the age of the sums, if there are any that can be used.
    pub fn age(&self, now: Time) -> Option<Millis> {
        let table = self.table.as_ref().filter(|_| self.is_on)?;
        Some(now.since(table.at)).filter(|it| *it < MAX_AGE)
    }

    /// Records that a request is being sent.
    pub fn begin(&mut self, now: Time, name: &EndpointName, generation: Generation) -> LoadSend {
        let own = self.own.entry(name.clone()).or_default();
        if own.generation != generation {
            *own = Own { generation, ..Own::default() };
        }
        own.sent.push(now);
        LoadSend { endpoint: name.clone(), generation, at: now }
    }

    /// Records that a request has ended. Only the run times of answered ones count: refused
    /// connections would make a failed endpoint look fast.
    ///
    /// A request that failed counts as in flight until it is as old as the mean run time of
    /// the pool. Otherwise an endpoint that fails at once never has any in flight, and the
    /// most room of all.
    pub fn end(&mut self, now: Time, send: &LoadSend, answered: bool) {
        let run = self.mean_run(&send.endpoint);
        let own = self.own.get_mut(&send.endpoint).filter(|it| it.generation == send.generation);
        let Some(own) = own else {
            return;
        };
        if let Some(at) = own.sent.iter().position(|it| *it == send.at) {
            own.sent.swap_remove(at);
        }
        if !self.is_on {
            return;
        }
        if answered {
            own.ended += 1;
            own.run = own.run + now.since(send.at);
        } else {
            own.add_failed(now, send.at, send.at + run);
        }
    }

    /// The mean run time of an endpoint's pool by the last sums.
    fn mean_run(&self, name: &EndpointName) -> Millis {
        let run = self.order.get(name).and_then(|it| self.table.as_ref()?.runs.get(&it.pool));
        run.copied().unwrap_or(DEFAULT_RUN)
    }

    /// Chooses among endpoints that accept work; `None` without usable sums, and the
    /// instance's own counts decide.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        endpoints: &[&'a Endpoint],
        preferences: &Preferences<'_>,
    ) -> Option<LoadChoice<'a>> {
        let age = self.age(now)?;
        let estimates = self.estimates(now, age, endpoints);
        let at = match preferences.affinity {
            Some(part) => self.affine(&estimates, endpoints, part, preferences.domain),
            None => self.draw(&estimates, endpoints, preferences.domain),
        }?;
        Some(LoadChoice { endpoint: endpoints[at], age, estimate: estimates.load(at) })
    }

    fn estimates(&self, now: Time, age: Millis, endpoints: &[&Endpoint]) -> LoadEstimates {
        let table = self.table.as_ref().expect("sums with an age are present");
        let row = |it: &&Endpoint| {
            let own = self.own.get(&it.name).filter(|own| own.generation == it.generation);
            let sent = || own.into_iter().flat_map(|own| own.counted(now));
            let known = table.sums.get(&it.name).filter(|(known, ..)| *known == it.generation);
            EndpointEstimate {
                sum: known.map_or_else(EndpointSum::default, |(.., sum)| *sum),
                weight: known.map_or(LoadWeight::ONE, |(_, weight, _)| *weight),
                sent_since: sent().filter(|at| *at >= table.included).count() as u32,
                own: sent().count() as u32,
            }
        };
        LoadEstimates::new(age, &endpoints.iter().map(row).collect::<Vec<_>>())
    }

    /// Draws an endpoint by the room that it has, and once more if that one is outside the
    /// preferred domain and the second isn't.
    fn draw(
        &mut self,
        estimates: &LoadEstimates,
        endpoints: &[&Endpoint],
        domain: Option<&DomainName>,
    ) -> Option<usize> {
        let room: Vec<f64> = (0..endpoints.len()).map(|it| estimates.room(it)).collect();
        let first = self.draw_one(&room)?;
        let is_near = |at: usize| domain.is_none_or(|it| endpoints[at].domain == *it);
        if is_near(first) {
            return Some(first);
        }
        self.draw_one(&room).filter(|it| is_near(*it)).or(Some(first))
    }

    fn draw_one(&mut self, room: &[f64]) -> Option<usize> {
        let mut left = self.rng.random_range(0.0..1.0) * room.iter().sum::<f64>();
        for (at, it) in room.iter().enumerate() {
            left -= it;
            if left < 0.0 {
                return Some(at);
            }
        }
        room.len().checked_sub(1)
    }

    /// Returns the first endpoint in rendezvous order of the affinity key that lets the
    /// request through; the preferred domain comes first.
    fn affine(
        &mut self,
        estimates: &LoadEstimates,
        endpoints: &[&Endpoint],
        part: &[u8],
        domain: Option<&DomainName>,
    ) -> Option<usize> {
        let mean = estimates.mean();
        let mut order: Vec<usize> = (0..endpoints.len()).collect();
        order.sort_by_cached_key(|at| {
            let it = endpoints[*at];
            let far = domain.is_some_and(|domain| it.domain != *domain);
            (far, rank(part, it.name.as_str().as_bytes()))
        });
        for at in order {
            let most = MAX_ESTIMATE * mean * estimates.weight(at) + 1.0;
            let most = most.max(idle_load(endpoints[at].slots));
            let is_free = estimates.load(at) <= most;
            if is_free && self.rng.random_bool(self.shares.get(&endpoints[at].name)) {
                return Some(at);
            }
        }
        self.draw(estimates, endpoints, domain)
    }
}

/// Returns the mean run time of each pool in which one is known.
fn mean_runs(order: &LoadOrder, sums: &[EndpointSum]) -> IndexMap<PoolName, Millis> {
    let mut pools: IndexMap<PoolName, (u64, u64)> = IndexMap::new();
    for (it, sum) in order.rows().iter().zip(sums).filter(|(_, sum)| sum.run.0 > 0) {
        let (total, count) = pools.entry(it.pool.clone()).or_default();
        (*total, *count) = (*total + sum.run.0, *count + 1);
    }
    pools.into_iter().map(|(pool, (total, count))| (pool, Millis(total / count))).collect()
}
