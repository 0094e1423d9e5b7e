//! Batches pieces of stages into calls to a pool's endpoints.
//!
//! A call has a fixed cost before its first piece, so many small calls need
//! several times the capacity of a few full ones. When many instances send
//! single pieces, the pool sustains their rate only with several pieces per
//! call. A free endpoint is called at once with whatever is queued, so batches
//! grow on their own as the pool becomes busy.
//!
//! Results occupy room at their endpoint until their request has read them. A
//! group of pieces is started only if all of its results fit, and goes into one
//! call if possible: the results of an incomplete group block the room that
//! other groups need.
//!
//! A batcher that has taken over from another, or whose results vary in size,
//! learns from refused results how much room is occupied by others.
//!
//! Endpoints prefer pieces of their own failure domain and take others only
//! after these have waited for about the time that moving their bytes takes.
//! Pieces that the current queue can't complete by their deadline are dropped
//! at once.

use {
    crate::{
        catalog::BatchTerms,
        ids::{Bytes, DomainName, EndpointName, Rate},
        limits::MIN_LIMIT,
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// Pause of an endpoint after a failed call.
const FAILED_PAUSE: Millis = Millis(500);
/// Upper bound of the pause, which doubles with each consecutive failure.
const MAX_FAILED_PAUSE: Millis = Millis(4000);
/// Pause of an endpoint that had no room for a result: about the time that a
/// request takes to read its results.
const FULL_PAUSE: Millis = Millis(150);
/// Pause of an endpoint for which there was no connection: without one, the same call is tried
/// again at once and keeps its thread busy.
const DEFERRED_PAUSE: Millis = Millis(100);

/// Assumed throughput of a link between failure domains. Pieces wait for an
/// endpoint of their own domain as long as their inputs and results would take
/// on such a link: about one call for a few results of a megabyte, less for
/// smaller ones.
const MOVE_BYTES_PER_MS: u64 = 10_000;

/// Interval between scans of the queue for pieces that would miss their deadline.
const EXPIRY_INTERVAL: Millis = Millis(50);

/// Id of a piece, unique within its batcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceId(pub u64);

/// Id of the pieces of one stage of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// A piece queued for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    pub id: PieceId,
    pub group: GroupId,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Latest time at which the result still lets the request meet its target.
    pub target: Time,
    /// Time after which the result is useless.
    pub deadline: Time,
    /// Approximate size of the result.
    pub size: Bytes,
    /// Failure domain in which the piece should preferably run.
    pub preferred_domain: Option<DomainName>,
    /// Total size of the inputs and results of its group.
    pub transfer_size: Bytes,
    /// When it was first queued.
    pub queued_at: Time,
}

/// A batch of pieces to send to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    pub endpoint: EndpointName,
    pub pieces: Vec<Piece>,
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    Answered,
    /// Results of this total size were refused for lack of room.
    Full {
        refused: Bytes,
    },
    /// Nothing was sent, since the endpoint takes no calls now.
    NotSent,
    /// Nothing was sent, since this instance can't open a connection now. It says nothing
    /// about the endpoint.
    Deferred,
    /// There was no response; the results count as lost.
    Failed,
}

#[derive(Debug)]
struct EndpointLoad {
    domain: DomainName,
    calls: u32,
    /// Room occupied or reserved by results, in bytes.
    used: u64,
    failures: u32,
    paused_until: Time,
    /// Until when the endpoint wants no calls.
    withheld_until: Time,
    /// The calls per 1000 seconds that it takes from all instances, if it is limited.
    limit: Option<Rate>,
    /// Room, in bytes, that results of other batchers occupied when the endpoint
    /// was last full, and the time of that observation.
    foreign_used: (u64, Time),
}

/// Queue of the pieces of one shard, with the load of its endpoints.
#[derive(Debug)]
pub struct BatchQueue {
    spec: BatchTerms,
    waiting: Vec<Piece>,
    loads: IndexMap<EndpointName, EndpointLoad>,
    /// Groups with at least one piece sent.
    started: IndexSet<GroupId>,
    /// Time of the last scan for pieces that would miss their deadline.
    last_expiry: Time,
}

impl BatchQueue {
    /// The end of a pause of an endpoint that gets no more calls.
    pub const NEVER: Time = Time(u64::MAX);

    /// Creates an empty queue without endpoints.
    pub fn new(spec: BatchTerms) -> Self {
        Self {
            spec,
            waiting: Vec::new(),
            loads: IndexMap::new(),
            started: IndexSet::new(),
            last_expiry: Time(0),
        }
    }

    /// Replaces the spec and the set of endpoints that may be called.
    pub fn reload(&mut self, spec: BatchTerms, endpoints: &IndexMap<EndpointName, DomainName>) {
        self.spec = spec;
        self.loads.retain(|name, _| endpoints.contains_key(name));
        for (name, domain) in endpoints {
            self.loads.entry(name.clone()).or_insert_with(|| EndpointLoad::new(domain.clone()));
        }
    }

    /// Sets until when an endpoint gets no calls.
    pub fn withhold(&mut self, endpoint: &EndpointName, until: Time) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.withheld_until = until;
        }
    }

    /// Sets how many calls an endpoint takes, which bounds how fast the queue shrinks.
    pub fn set_limit(&mut self, endpoint: &EndpointName, limit: Option<Rate>) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.limit = limit;
        }
    }

    /// Whether there are endpoints, and none gets a call again.
    pub fn is_deserted(&self) -> bool {
        !self.loads.is_empty() && self.loads.values().all(|it| it.withheld_until == Self::NEVER)
    }

    /// Removes all endpoints, so that no further calls are made.
    pub fn drain(&mut self) {
        self.loads.clear();
    }

    /// Returns the number of queued pieces.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no piece is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Piece) {
        self.waiting.push(piece);
    }

    /// Removes a group that is complete or no longer wanted.
    pub fn remove_group(&mut self, group: GroupId) {
        self.waiting.retain(|it| it.group != group);
        self.started.swap_remove(&group);
    }

    /// Removes the groups that would miss their deadline behind the pieces ahead
    /// of them, and returns each with its expected wait. Scans at most once per
    /// [`EXPIRY_INTERVAL`], since a scan sorts the queue.
    pub fn expire(&mut self, now: Time) -> Vec<(GroupId, Millis)> {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return Vec::new();
        }
        self.last_expiry = now;
        let piece_time = self.piece_time();
        let least = self.call_duration(1);
        let withheld = self.withheld_time(now);
        self.sort(now);
        let mut expired: IndexMap<GroupId, Millis> = IndexMap::new();
        let mut ahead = 0.0;
        for it in &self.waiting {
            if expired.contains_key(&it.group) {
                continue;
            }
            let wait = withheld + Millis((ahead * piece_time) as u64);
            if now + wait + least > it.deadline {
                expired.insert(it.group, wait);
            }
            ahead += 1.0;
        }
        self.waiting.retain(|it| !expired.contains_key(&it.group));
        expired.into_iter().collect()
    }

    /// Whether every endpoint is paused after a failed call.
    pub fn is_down(&self, now: Time) -> bool {
        let is_down = |it: &EndpointLoad| {
            it.withheld_until == Self::NEVER || it.failures > 0 && it.paused_until > now
        };
        self.loads.values().all(is_down)
    }

    /// Estimates how long a piece queued now would wait.
    pub fn expected_wait(&self, now: Time, priority: u8) -> Millis {
        let call = self.spec.max_call_duration();
        let before = self.waiting.iter().filter(|it| {
            now + call <= it.target && (it.priority <= priority || self.started.contains(&it.group))
        });
        self.withheld_time(now) + Millis((before.count() as f64 * self.piece_time()) as u64)
    }

    /// Returns the next call, if an endpoint is free and a piece fits. Pieces that
    /// can still meet their target come first; among these, groups already
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

    /// Returns when to check the queue again if pieces are queued: at the end of
    /// an endpoint's pause or at the next scan for missed deadlines.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let pauses = self.loads.values().map(|it| it.paused_until.max(it.withheld_until));
        let pauses = pauses.filter(|it| *it != Self::NEVER);
        let times = pauses.chain([self.last_expiry + EXPIRY_INTERVAL]).filter(|it| *it > now);
        times.min().filter(|_| !self.waiting.is_empty())
    }

    /// Records the outcome of a call.
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
                load.foreign_used = (self.spec.result_capacity.0.saturating_sub(own), now);
            }
            CallOutcome::NotSent | CallOutcome::Deferred | CallOutcome::Failed => {
                if outcome == CallOutcome::Deferred {
                    load.paused_until = now + DEFERRED_PAUSE;
                }
                if outcome == CallOutcome::Failed {
                    load.failures += 1;
                    let pause = FAILED_PAUSE.0 << (load.failures - 1).min(8);
                    load.paused_until = now + Millis(pause.min(MAX_FAILED_PAUSE.0));
                }
                let size = call.pieces.iter().map(|it| it.size.0).sum();
                load.used = load.used.saturating_sub(size);
            }
        }
    }

    /// Releases the room of a result that was freed, has expired or was not
    /// produced.
    pub fn release_room(&mut self, endpoint: &EndpointName, size: Bytes) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.used = load.used.saturating_sub(size.0);
        }
    }

    /// Returns the room occupied or reserved at an endpoint, in bytes.
    pub fn used_room(&self, endpoint: &EndpointName) -> u64 {
        self.loads.get(endpoint).map_or(0, |it| it.used)
    }

    /// Returns how long endpoints keep a result.
    pub fn result_ttl(&self) -> Millis {
        self.spec.result_ttl
    }

    /// Returns the expected duration of a call with `pieces` pieces.
    pub fn call_duration(&self, pieces: usize) -> Millis {
        self.spec.call_duration(pieces as u32)
    }

    /// Returns how long no endpoint wants calls.
    fn withheld_time(&self, now: Time) -> Millis {
        let ends = self.loads.values().map(|it| it.withheld_until);
        ends.min().filter(|it| *it != Self::NEVER).map_or(Millis(0), |it| it.since(now))
    }

    /// Time per piece, in milliseconds, if all endpoints run full calls in
    /// parallel, as many as their limits allow.
    fn piece_time(&self) -> f64 {
        let full = f64::from(self.spec.max_pieces.max(1));
        let duration = self.spec.max_call_duration().0.max(1) as f64;
        let most = f64::from(self.spec.slots.0.max(1)) / duration;
        let calls = |load: &EndpointLoad| match load.limit {
            Some(limit) => most.min(limit.max(MIN_LIMIT).0 as f64 / 1_000_000.0),
            None => most,
        };
        let sum: f64 = self.loads.values().map(calls).sum();
        1.0 / (full * if self.loads.is_empty() { most } else { sum })
    }

    /// Estimates the occupied room of an endpoint, in bytes. The share of other
    /// batchers decays linearly over the time for which results are kept.
    fn occupied_room(&self, load: &EndpointLoad, now: Time) -> u64 {
        let (foreign, since) = load.foreign_used;
        let left = self.spec.result_ttl.0.saturating_sub(now.since(since).0);
        load.used + foreign * left / self.spec.result_ttl.0.max(1)
    }

    fn sort(&mut self, now: Time) {
        let call = self.spec.max_call_duration();
        let (started, waiting) = (&self.started, &mut self.waiting);
        waiting.sort_by_cached_key(|it| {
            let late = now + call > it.target;
            (late, !started.contains(&it.group), it.priority, it.target, it.group, it.id)
        });
    }

    /// Returns the endpoints that may be called: those with the fewest calls first,
    /// then those with the least room occupied.
    fn free_endpoints(&self, now: Time) -> Vec<EndpointName> {
        let free = |load: &EndpointLoad| {
            load.calls < self.spec.slots.0 && load.paused_until.max(load.withheld_until) <= now
        };
        let mut loads: Vec<_> = self.loads.iter().filter(|(_, load)| free(load)).collect();
        loads.sort_by_key(|(_, load)| (load.calls, load.used));
        loads.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Selects the pieces for the next call to an endpoint: whole groups in queue
    /// order, those of the endpoint's own domain first.
    fn select_pieces(&self, now: Time, endpoint: &EndpointName) -> IndexSet<PieceId> {
        let domain = &self.loads[endpoint].domain;
        let min_time = self.call_duration(1);
        let is_own = |it: &Piece| it.preferred_domain.as_ref().is_none_or(|it| it == domain);
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
            withheld_until: Time(0),
            limit: None,
            foreign_used: (0, Time(0)),
        }
    }
}

/// A call under construction.
struct BatchBuilder<'a> {
    queue: &'a BatchQueue,
    taken: IndexSet<PieceId>,
    /// Room left at the endpoint, in bytes.
    free_room: u64,
    /// Room of all endpoints that no started group needs, in bytes.
    unreserved: u64,
    max_pieces: usize,
}

impl<'a> BatchBuilder<'a> {
    fn new(queue: &'a BatchQueue, now: Time, endpoint: &EndpointName) -> Self {
        let spare = |load: &EndpointLoad| {
            queue.spec.result_capacity.0.saturating_sub(queue.occupied_room(load, now))
        };
        let pool: u64 = queue.loads.values().map(spare).sum();
        let started = queue.waiting.iter().filter(|it| queue.started.contains(&it.group));
        let reserved: u64 = started.map(|it| it.size.0).sum();
        Self {
            queue,
            taken: IndexSet::new(),
            free_room: spare(&queue.loads[endpoint]),
            unreserved: pool.saturating_sub(reserved),
            max_pieces: queue.spec.max_pieces as usize,
        }
    }

    /// Adds a whole group if it fits. Only the first group may be split, and only
    /// if it was already started or the pool has room for all of it.
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
