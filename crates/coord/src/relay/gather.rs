//! Gathers pieces of stages into calls of a pool's endpoints.
//!
//! A call costs a fixed time before its first piece, so that many small calls
//! need several times the capacity of few full ones. The load that this
//! answers: single pieces from many instances at a rate that the pool bears
//! only in calls of several pieces. A free endpoint is called at once with
//! what waits, so calls grow by themselves as the pool fills up.
//!
//! Results take up room until their request has read them. A group of pieces
//! is begun only where all of it finds room, and goes into one call if it can,
//! since the results of a group that isn't complete keep others from theirs.
//!
//! A gatherer that has taken over, or whose results vary in size, learns from
//! refused results how much room others take.
//!
//! Endpoints take the pieces of their own failure domain first, and others
//! only once they have waited for about as long as moving their bytes takes.
//! What can't be done in time by the present queue is given up at once.

use {
    crate::{
        catalog::BatchSpec,
        ids::{Bytes, DomainName, EndpointName},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// How long an endpoint that failed a call gets none.
const FAILED_PAUSE: Millis = Millis(500);
/// The longest pause of an endpoint that fails again and again.
const LONGEST_PAUSE: Millis = Millis(4000);
/// How long an endpoint that had no room for a result gets no call; about the
/// time in which a request reads its results.
const FULL_PAUSE: Millis = Millis(150);

/// Pieces wait for an endpoint of their own failure domain as long as what they
/// read and make would take on a link of so many bytes a millisecond: some
/// results of a megabyte stay for about a call, smaller ones for less.
const MOVE_RATE: u64 = 10_000;

/// How often the queue is looked through for what can't be done in time.
const EXPIRE_EVERY: Millis = Millis(50);

/// Names a piece at its gatherer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceId(pub u64);

/// Names the pieces of one stage of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// A piece that waits for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    pub id: PieceId,
    pub group: GroupId,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Until when its result helps the request to be on time.
    pub target: Time,
    /// Until when its result is of use at all.
    pub due: Time,
    /// The approximate size of the result.
    pub size: Bytes,
    /// The failure domain in which the result is best made.
    pub home: Option<DomainName>,
    /// What its group reads and makes, in all.
    pub moved: Bytes,
    /// Since when it waits.
    pub since: Time,
}

/// A call to make now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatherCall {
    pub endpoint: EndpointName,
    pub pieces: Vec<Piece>,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    Answered,
    /// Results of this size in all found no room.
    Full {
        refused: Bytes,
    },
    /// There was no answer; its results count as gone.
    Failed,
}

#[derive(Debug)]
struct Row {
    domain: DomainName,
    calls: u32,
    /// Room that results take or will take, in bytes.
    used: u64,
    failures: u32,
    paused: Time,
    /// Room that somebody else's results took when the endpoint was last full,
    /// in bytes, and when that was.
    foreign: (u64, Time),
}

/// The queue of one pool and what its endpoints are at.
#[derive(Debug)]
pub struct Gather {
    terms: BatchSpec,
    queue: Vec<Piece>,
    rows: IndexMap<EndpointName, Row>,
    /// Groups of which a piece was called.
    begun: IndexSet<GroupId>,
    /// When the queue was last looked through for what can't be done in time.
    expired: Time,
}

impl Gather {
    /// An empty queue.
    pub fn new(terms: BatchSpec) -> Self {
        Self {
            terms,
            queue: Vec::new(),
            rows: IndexMap::new(),
            begun: IndexSet::new(),
            expired: Time(0),
        }
    }

    /// Takes in other terms and the endpoints that may be called from now on.
    pub fn reload(&mut self, terms: BatchSpec, endpoints: &IndexMap<EndpointName, DomainName>) {
        self.terms = terms;
        self.rows.retain(|name, _| endpoints.contains_key(name));
        for (name, domain) in endpoints {
            self.rows.entry(name.clone()).or_insert_with(|| Row::new(domain.clone()));
        }
    }

    /// Calls no endpoint from now on.
    pub fn drain(&mut self) {
        self.rows.clear();
    }

    /// The number of pieces that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no piece waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Piece) {
        self.queue.push(piece);
    }

    /// Drops a group that is done or that nobody waits for any more.
    pub fn close_group(&mut self, group: GroupId) {
        self.queue.retain(|it| it.group != group);
        self.begun.swap_remove(&group);
    }

    /// Takes out the groups that can't be done in time behind those before
    /// them, with the time in which what waits will be done.
    /// It looks again only after [`EXPIRE_EVERY`], since it orders the queue.
    pub fn expire(&mut self, now: Time) -> Vec<(GroupId, Millis)> {
        if now.since(self.expired) < EXPIRE_EVERY {
            return Vec::new();
        }
        self.expired = now;
        let each = self.each();
        let least = self.duration(1);
        self.sort(now);
        let mut expired: IndexMap<GroupId, Millis> = IndexMap::new();
        let mut ahead = 0.0;
        for it in &self.queue {
            if expired.contains_key(&it.group) {
                continue;
            }
            let wait = Millis((ahead * each) as u64);
            if now + wait + least > it.due {
                expired.insert(it.group, wait);
            }
            ahead += 1.0;
        }
        self.queue.retain(|it| !expired.contains_key(&it.group));
        expired.into_iter().collect()
    }

    /// Whether each endpoint failed its last call and gets none for now.
    pub fn is_down(&self, now: Time) -> bool {
        self.rows.values().all(|it| it.failures > 0 && it.paused > now)
    }

    /// How long a piece that comes now waits behind those that go before it.
    pub fn wait(&self, now: Time, priority: u8) -> Millis {
        let call = self.terms.max_call_duration();
        let before = self.queue.iter().filter(|it| {
            now + call <= it.target && (it.priority <= priority || self.begun.contains(&it.group))
        });
        Millis((before.count() as f64 * self.each()) as u64)
    }

    /// The next call, if an endpoint is free and something fits. First come
    /// the pieces that can still be on time; of these the groups that were
    /// begun, then the most urgent.
    pub fn next(&mut self, now: Time) -> Option<GatherCall> {
        let free = self.free(now);
        if self.queue.is_empty() || free.is_empty() {
            return None;
        }
        self.sort(now);
        let (endpoint, taken) = free.into_iter().find_map(|endpoint| {
            let taken = self.fitting(now, &endpoint);
            (!taken.is_empty()).then_some((endpoint, taken))
        })?;
        let mut pieces = Vec::with_capacity(taken.len());
        self.queue.retain(|it| {
            let take = taken.contains(&it.id);
            if take {
                pieces.push(it.clone());
            }
            !take
        });
        self.begun.extend(pieces.iter().map(|it| it.group));
        let row = &mut self.rows[&endpoint];
        row.calls += 1;
        row.used += pieces.iter().map(|it| it.size.0).sum::<u64>();
        Some(GatherCall { endpoint, pieces })
    }

    /// When to look again, if pieces wait: a paused endpoint may be called, or
    /// the queue is looked through for what can't be done in time.
    pub fn wake(&self, now: Time) -> Option<Time> {
        let paused = self.rows.values().map(|it| it.paused);
        let times = paused.chain([self.expired + EXPIRE_EVERY]).filter(|it| *it > now);
        times.min().filter(|_| !self.queue.is_empty())
    }

    /// Takes in that a call has ended.
    pub fn end(&mut self, now: Time, call: &GatherCall, end: CallEnd) {
        let Some(row) = self.rows.get_mut(&call.endpoint) else {
            return;
        };
        row.calls = row.calls.saturating_sub(1);
        match end {
            CallEnd::Answered => row.failures = 0,
            CallEnd::Full { refused } => {
                row.paused = now + FULL_PAUSE;
                let own = row.used.saturating_sub(refused.0);
                row.foreign = (self.terms.result_capacity.0.saturating_sub(own), now);
            }
            CallEnd::Failed => {
                row.failures += 1;
                let pause = FAILED_PAUSE.0 << (row.failures - 1).min(8);
                row.paused = now + Millis(pause.min(LONGEST_PAUSE.0));
                let size = call.pieces.iter().map(|it| it.size.0).sum();
                row.used = row.used.saturating_sub(size);
            }
        }
    }

    /// Takes in that a result was freed, has run out or was not made.
    pub fn free_room(&mut self, endpoint: &EndpointName, size: Bytes) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.used = row.used.saturating_sub(size.0);
        }
    }

    /// The room that an endpoint's results take or will take, in bytes.
    pub fn used(&self, endpoint: &EndpointName) -> u64 {
        self.rows.get(endpoint).map_or(0, |it| it.used)
    }

    /// How long a result is kept.
    pub fn keeps(&self) -> Millis {
        self.terms.result_ttl
    }

    /// How long a call of some pieces takes.
    pub fn duration(&self, pieces: usize) -> Millis {
        self.terms.call_duration(pieces as u32)
    }

    /// The time that each piece takes in full calls of all endpoints, in
    /// milliseconds.
    fn each(&self) -> f64 {
        let full = self.terms.max_pieces.max(1);
        let calls = f64::from(self.terms.slots.0.max(1)) * self.rows.len().max(1) as f64;
        self.terms.max_call_duration().0 as f64 / (f64::from(full) * calls)
    }

    /// The room of an endpoint that is taken, in bytes. What others' results
    /// took when it was full runs out with the time for which results are kept.
    fn taken(&self, row: &Row, now: Time) -> u64 {
        let (foreign, since) = row.foreign;
        let left = self.terms.result_ttl.0.saturating_sub(now.since(since).0);
        row.used + foreign * left / self.terms.result_ttl.0.max(1)
    }

    fn sort(&mut self, now: Time) {
        let call = self.terms.max_call_duration();
        let (begun, queue) = (&self.begun, &mut self.queue);
        queue.sort_by_cached_key(|it| {
            let late = now + call > it.target;
            (late, !begun.contains(&it.group), it.priority, it.target, it.group, it.id)
        });
    }

    /// The endpoints that may be called, those with the most room first.
    fn free(&self, now: Time) -> Vec<EndpointName> {
        let free = |row: &Row| row.calls < self.terms.slots.0 && row.paused <= now;
        let mut rows: Vec<_> = self.rows.iter().filter(|(_, row)| free(row)).collect();
        rows.sort_by_key(|(_, row)| (row.calls, row.used));
        rows.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The pieces that go into the next call of an endpoint: whole groups in
    /// their order, those of the endpoint's own domain first.
    fn fitting(&self, now: Time, endpoint: &EndpointName) -> IndexSet<PieceId> {
        let domain = &self.rows[endpoint].domain;
        let patience = self.duration(1);
        let is_own = |it: &Piece| it.home.as_ref().is_none_or(|home| home == domain);
        let may_leave = |it: &Piece| {
            let served = self.rows.values().any(|row| Some(&row.domain) == it.home.as_ref());
            !served || now.since(it.since) >= Millis(it.moved.0 / MOVE_RATE)
        };
        let open = || self.queue.iter().filter(|it| now + patience <= it.due);
        let mut groups: IndexMap<GroupId, Vec<&Piece>> = IndexMap::new();
        let own = open().filter(|it| is_own(it));
        let foreign = open().filter(|it| !is_own(it) && may_leave(it));
        for it in own.chain(foreign) {
            groups.entry(it.group).or_default().push(it);
        }
        let mut filling = Filling::new(self, now, endpoint);
        groups.iter().for_each(|(group, pieces)| filling.add(*group, pieces));
        filling.taken
    }
}

impl Row {
    fn new(domain: DomainName) -> Self {
        Self { domain, calls: 0, used: 0, failures: 0, paused: Time(0), foreign: (0, Time(0)) }
    }
}

/// A call that is being filled.
struct Filling<'a> {
    gather: &'a Gather,
    taken: IndexSet<PieceId>,
    /// Room that is left at the endpoint, in bytes.
    left: u64,
    /// Room of the whole pool that no begun group needs, in bytes.
    unpromised: u64,
    most: usize,
}

impl<'a> Filling<'a> {
    fn new(gather: &'a Gather, now: Time, endpoint: &EndpointName) -> Self {
        let spare =
            |row: &Row| gather.terms.result_capacity.0.saturating_sub(gather.taken(row, now));
        let pool: u64 = gather.rows.values().map(spare).sum();
        let begun = gather.queue.iter().filter(|it| gather.begun.contains(&it.group));
        let promised: u64 = begun.map(|it| it.size.0).sum();
        Self {
            gather,
            taken: IndexSet::new(),
            left: spare(&gather.rows[endpoint]),
            unpromised: pool.saturating_sub(promised),
            most: gather.terms.max_pieces as usize,
        }
    }

    /// Adds a group whole. Only the first one may be split, if it was begun or
    /// the pool has room for all of it.
    fn add(&mut self, group: GroupId, pieces: &[&Piece]) {
        let begun = self.gather.begun.contains(&group);
        let size: u64 = pieces.iter().map(|it| it.size.0).sum();
        let needed = if begun { 0 } else { size };
        if needed > self.unpromised {
            return;
        }
        let fits = size <= self.left && self.taken.len() + pieces.len() <= self.most;
        if !fits && !self.taken.is_empty() {
            return;
        }
        self.unpromised -= needed;
        for it in pieces {
            if self.taken.len() < self.most && it.size.0 <= self.left {
                self.left -= it.size.0;
                self.taken.insert(it.id);
            }
        }
    }
}
