//! Gathers pieces of stages into calls of a pool's endpoints.
//!
//! A call costs a fixed time before its first piece, so that many small calls
//! need several times the capacity of few full ones. The load that this
//! answers: single pieces from many instances at a rate that the pool bears
//! only in calls of several pieces. A free endpoint is called at once with
//! what waits, so calls grow by themselves as the pool fills up.
//!
//! Results take up room until their request has read them. A group of pieces
//! is started only where all of it finds room, and goes into one call if it can,
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
        catalog::BatchTerms,
        ids::{Bytes, DomainName, EndpointName},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// How long an endpoint that failed a call gets none.
const FAILED_PAUSE: Millis = Millis(500);
/// The longest pause of an endpoint that fails again and again.
const MAX_FAILED_PAUSE: Millis = Millis(4000);
/// How long an endpoint that had no room for a result gets no call; about the
/// time in which a request reads its results.
const FULL_PAUSE: Millis = Millis(150);

/// Pieces wait for an endpoint of their own failure domain as long as what they
/// read and make would take on a link of so many bytes a millisecond: some
/// results of a megabyte stay for about a call, smaller ones for less.
const MOVE_BYTES_PER_MS: u64 = 10_000;

/// How often the queue is looked through for what can't be done in time.
const EXPIRY_INTERVAL: Millis = Millis(50);

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
    pub deadline: Time,
    /// The approximate size of the result.
    pub size: Bytes,
    /// The failure domain in which the result is best made.
    pub preferred_domain: Option<DomainName>,
    /// What its group reads and makes, in all.
    pub transfer_size: Bytes,
    /// Since when it waits.
    pub queued_at: Time,
}

/// A call to make now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    pub endpoint: EndpointName,
    pub pieces: Vec<Piece>,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    Answered,
    /// Results of this size in all found no room.
    Full {
        refused: Bytes,
    },
    /// There was no answer; its results count as gone.
    Failed,
}

#[derive(Debug)]
struct EndpointLoad {
    domain: DomainName,
    calls: u32,
    /// Room that results take or will take, in bytes.
    used: u64,
    failures: u32,
    paused_until: Time,
    /// Room that somebody else's results took when the endpoint was last full,
    /// in bytes, and when that was.
    foreign_used: (u64, Time),
}

/// The queue of one pool and what its endpoints are at.
#[derive(Debug)]
pub struct BatchQueue {
    terms: BatchTerms,
    waiting: Vec<Piece>,
    loads: IndexMap<EndpointName, EndpointLoad>,
    /// Groups of which a piece was called.
    started: IndexSet<GroupId>,
    /// When the queue was last looked through for what can't be done in time.
    last_expiry: Time,
}

impl BatchQueue {
    /// An empty queue.
    pub fn new(terms: BatchTerms) -> Self {
        Self {
            terms,
            waiting: Vec::new(),
            loads: IndexMap::new(),
            started: IndexSet::new(),
            last_expiry: Time(0),
        }
    }

    /// Takes in other terms and the endpoints that may be called from now on.
    pub fn reload(&mut self, terms: BatchTerms, endpoints: &IndexMap<EndpointName, DomainName>) {
        self.terms = terms;
        self.loads.retain(|name, _| endpoints.contains_key(name));
        for (name, domain) in endpoints {
            self.loads.entry(name.clone()).or_insert_with(|| EndpointLoad::new(domain.clone()));
        }
    }

    /// Calls no endpoint from now on.
    pub fn drain(&mut self) {
        self.loads.clear();
    }

    /// The number of pieces that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no piece waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Piece) {
        self.waiting.push(piece);
    }

    /// Drops a group that is done or that nobody waits for any more.
    pub fn remove_group(&mut self, group: GroupId) {
        self.waiting.retain(|it| it.group != group);
        self.started.swap_remove(&group);
    }

    /// Takes out the groups that can't be done in time behind those before
    /// them, with the time in which what waits will be done.
    /// It looks again only after [`EXPIRY_INTERVAL`], since it orders the queue.
    pub fn expire(&mut self, now: Time) -> Vec<(GroupId, Millis)> {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return Vec::new();
        }
        self.last_expiry = now;
        let piece_time = self.piece_time();
        let least = self.call_duration(1);
        self.sort(now);
        let mut expired: IndexMap<GroupId, Millis> = IndexMap::new();
        let mut ahead = 0.0;
        for it in &self.waiting {
            if expired.contains_key(&it.group) {
                continue;
            }
            let wait = Millis((ahead * piece_time) as u64);
            if now + wait + least > it.deadline {
                expired.insert(it.group, wait);
            }
            ahead += 1.0;
        }
        self.waiting.retain(|it| !expired.contains_key(&it.group));
        expired.into_iter().collect()
    }

    /// Whether each endpoint failed its last call and gets none for now.
    pub fn is_down(&self, now: Time) -> bool {
        self.loads.values().all(|it| it.failures > 0 && it.paused_until > now)
    }

    /// How long a piece that comes now waits behind those that go before it.
    pub fn expected_wait(&self, now: Time, priority: u8) -> Millis {
        let call = self.terms.full();
        let before = self.waiting.iter().filter(|it| {
            now + call <= it.target && (it.priority <= priority || self.started.contains(&it.group))
        });
        Millis((before.count() as f64 * self.piece_time()) as u64)
    }

    /// The next call, if an endpoint is free and something fits. First come
    /// the pieces that can still be on time; of these the groups that were
    /// started, then the most urgent.
    pub fn next_call(&mut self, now: Time) -> Option<BatchCall> {
        let free = self.free_endpoints(now);
        if self.waiting.is_empty() || free.is_empty() {
            return None;
        }
        self.sort(now);
        let (endpoint, taken) = free.into_iter().find_map(|endpoint| {
            let taken = self.select_pieces(now, &endpoint);
            (!taken.is_empty()).then_some((endpoint, taken))
        })?;
        let mut pieces = Vec::with_capacity(taken.len());
        self.waiting.retain(|it| {
            let take = taken.contains(&it.id);
            if take {
                pieces.push(it.clone());
            }
            !take
        });
        self.started.extend(pieces.iter().map(|it| it.group));
        let load = &mut self.loads[&endpoint];
        load.calls += 1;
        load.used += pieces.iter().map(|it| it.size.0).sum::<u64>();
        Some(BatchCall { endpoint, pieces })
    }

    /// When to look again, if pieces wait: a paused endpoint may be called, or
    /// the queue is looked through for what can't be done in time.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let pauses = self.loads.values().map(|it| it.paused_until);
        let times = pauses.chain([self.last_expiry + EXPIRY_INTERVAL]).filter(|it| *it > now);
        times.min().filter(|_| !self.waiting.is_empty())
    }

    /// Takes in that a call has ended.
    pub fn finish_call(&mut self, now: Time, call: &BatchCall, outcome: CallOutcome) {
        let Some(load) = self.loads.get_mut(&call.endpoint) else {
            return;
        };
        load.calls = load.calls.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => load.failures = 0,
            CallOutcome::Full { refused } => {
                load.paused_until = now + FULL_PAUSE;
                let own = load.used.saturating_sub(refused.0);
                load.foreign_used = (self.terms.room.0.saturating_sub(own), now);
            }
            CallOutcome::Failed => {
                load.failures += 1;
                let pause = FAILED_PAUSE.0 << (load.failures - 1).min(8);
                load.paused_until = now + Millis(pause.min(MAX_FAILED_PAUSE.0));
                let size = call.pieces.iter().map(|it| it.size.0).sum();
                load.used = load.used.saturating_sub(size);
            }
        }
    }

    /// Takes in that a result was freed, has run out or was not made.
    pub fn release_room(&mut self, endpoint: &EndpointName, size: Bytes) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.used = load.used.saturating_sub(size.0);
        }
    }

    /// The room that an endpoint's results take or will take, in bytes.
    pub fn used_room(&self, endpoint: &EndpointName) -> u64 {
        self.loads.get(endpoint).map_or(0, |it| it.used)
    }

    /// How long a result is kept.
    pub fn result_ttl(&self) -> Millis {
        self.terms.keeps
    }

    /// How long a call of some pieces takes.
    pub fn call_duration(&self, pieces: usize) -> Millis {
        self.terms.duration(pieces as u32)
    }

    /// The time that each piece takes in full calls of all endpoints, in
    /// milliseconds.
    fn piece_time(&self) -> f64 {
        let full = self.terms.pieces.max(1);
        let calls = f64::from(self.terms.slots.0.max(1)) * self.loads.len().max(1) as f64;
        self.terms.full().0 as f64 / (f64::from(full) * calls)
    }

    /// The room of an endpoint that is taken, in bytes. What others' results
    /// took when it was full runs out with the time for which results are kept.
    fn occupied_room(&self, load: &EndpointLoad, now: Time) -> u64 {
        let (foreign, since) = load.foreign_used;
        let left = self.terms.keeps.0.saturating_sub(now.since(since).0);
        load.used + foreign * left / self.terms.keeps.0.max(1)
    }

    fn sort(&mut self, now: Time) {
        let call = self.terms.full();
        let (started, waiting) = (&self.started, &mut self.waiting);
        waiting.sort_by_cached_key(|it| {
            let late = now + call > it.target;
            (late, !started.contains(&it.group), it.priority, it.target, it.group, it.id)
        });
    }

    /// The endpoints that may be called, those with the most room first.
    fn free_endpoints(&self, now: Time) -> Vec<EndpointName> {
        let free =
            |load: &EndpointLoad| load.calls < self.terms.slots.0 && load.paused_until <= now;
        let mut loads: Vec<_> = self.loads.iter().filter(|(_, load)| free(load)).collect();
        loads.sort_by_key(|(_, load)| (load.calls, load.used));
        loads.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The pieces that go into the next call of an endpoint: whole groups in
    /// their order, those of the endpoint's own domain first.
    fn select_pieces(&self, now: Time, endpoint: &EndpointName) -> IndexSet<PieceId> {
        let domain = &self.loads[endpoint].domain;
        let min_time = self.call_duration(1);
        let is_own = |it: &Piece| it.preferred_domain.as_ref().is_none_or(|home| home == domain);
        let may_leave = |it: &Piece| {
            let served =
                self.loads.values().any(|load| Some(&load.domain) == it.preferred_domain.as_ref());
            !served || now.since(it.queued_at) >= Millis(it.transfer_size.0 / MOVE_BYTES_PER_MS)
        };
        let open = || self.waiting.iter().filter(|it| now + min_time <= it.deadline);
        let mut groups: IndexMap<GroupId, Vec<&Piece>> = IndexMap::new();
        let own = open().filter(|it| is_own(it));
        let foreign = open().filter(|it| !is_own(it) && may_leave(it));
        for it in own.chain(foreign) {
            groups.entry(it.group).or_default().push(it);
        }
        let mut builder = BatchBuilder::new(self, now, endpoint);
        groups.iter().for_each(|(group, pieces)| builder.add(*group, pieces));
        builder.taken
    }
}

impl EndpointLoad {
    fn new(domain: DomainName) -> Self {
        Self {
            domain,
            calls: 0,
            used: 0,
            failures: 0,
            paused_until: Time(0),
            foreign_used: (0, Time(0)),
        }
    }
}

/// A call that is being filled.
struct BatchBuilder<'a> {
    queue: &'a BatchQueue,
    taken: IndexSet<PieceId>,
    /// Room that is left at the endpoint, in bytes.
    free_room: u64,
    /// Room of the whole pool that no started group needs, in bytes.
    unreserved: u64,
    max_pieces: usize,
}

impl<'a> BatchBuilder<'a> {
    fn new(queue: &'a BatchQueue, now: Time, endpoint: &EndpointName) -> Self {
        let spare =
            |load: &EndpointLoad| queue.terms.room.0.saturating_sub(queue.occupied_room(load, now));
        let pool: u64 = queue.loads.values().map(spare).sum();
        let started = queue.waiting.iter().filter(|it| queue.started.contains(&it.group));
        let reserved: u64 = started.map(|it| it.size.0).sum();
        Self {
            queue,
            taken: IndexSet::new(),
            free_room: spare(&queue.loads[endpoint]),
            unreserved: pool.saturating_sub(reserved),
            max_pieces: queue.terms.pieces as usize,
        }
    }

    /// Adds a group whole. Only the first one may be split, if it was started or
    /// the pool has room for all of it.
    fn add(&mut self, group: GroupId, pieces: &[&Piece]) {
        let started = self.queue.started.contains(&group);
        let size: u64 = pieces.iter().map(|it| it.size.0).sum();
        let needed = if started { 0 } else { size };
        if needed > self.unreserved {
            return;
        }
        let fits = size <= self.free_room && self.taken.len() + pieces.len() <= self.max_pieces;
        if !fits && !self.taken.is_empty() {
            return;
        }
        self.unreserved -= needed;
        for it in pieces {
            if self.taken.len() < self.max_pieces && it.size.0 <= self.free_room {
                self.free_room -= it.size.0;
                self.taken.insert(it.id);
            }
        }
    }
}
