//! Gathers pieces of stages into calls of a pool's endpoints.
//!
//! A call costs a fixed time before its first piece, so that many small calls
//! need several times the capacity of few full ones. The load that this
//! answers: single pieces from many instances at a rate that the pool bears
//! only in calls of several pieces. A free endpoint is called at once with
//! what waits, so calls grow by themselves as the pool fills up.
//!
//! Results take up room until their request has read them. A group of pieces
//! is begun only where all of it finds room, since the results of a group that
//! can't be completed keep others from theirs.

use {
    crate::{
        catalog::BatchTerms,
        ids::{Bytes, EndpointName},
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
    /// Some result found no room.
    Full,
    /// There was no answer; its results count as gone.
    Failed,
}

#[derive(Debug, Default)]
struct Row {
    calls: u32,
    /// Room that results take or will take, in bytes.
    used: u64,
    failures: u32,
    paused: Time,
}

/// The queue of one pool and what its endpoints are at.
#[derive(Debug)]
pub struct Gather {
    terms: BatchTerms,
    queue: Vec<Piece>,
    rows: IndexMap<EndpointName, Row>,
    /// Groups of which a piece was called.
    begun: IndexSet<GroupId>,
}

impl Gather {
    /// An empty queue.
    pub fn new(terms: BatchTerms) -> Self {
        Self { terms, queue: Vec::new(), rows: IndexMap::new(), begun: IndexSet::new() }
    }

    /// Takes in other terms and the endpoints that may be called from now on.
    pub fn reload(&mut self, terms: BatchTerms, endpoints: &IndexSet<EndpointName>) {
        self.terms = terms;
        self.rows.retain(|name, _| endpoints.contains(name));
        for name in endpoints {
            self.rows.entry(name.clone()).or_default();
        }
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

    /// Takes out the pieces that can't be done in time even if called now.
    pub fn expire(&mut self, now: Time) -> Vec<PieceId> {
        let least = self.duration(1);
        let late = |it: &Piece| now + least > it.due;
        let ids = self.queue.iter().filter(|it| late(it)).map(|it| it.id).collect();
        self.queue.retain(|it| !late(it));
        ids
    }

    /// The next call, if an endpoint is free and something fits. First come
    /// the pieces that can still be on time; of these the groups that were
    /// begun, then the most urgent.
    pub fn next(&mut self, now: Time) -> Option<GatherCall> {
        if self.queue.is_empty() {
            return None;
        }
        let endpoint = self.free(now)?;
        let least = self.duration(1);
        let (begun, queue) = (&self.begun, &mut self.queue);
        queue.sort_by_cached_key(|it| {
            let late = now + least > it.target;
            (late, !begun.contains(&it.group), it.priority, it.target, it.id)
        });
        let taken = self.fitting(&endpoint);
        if taken.is_empty() {
            return None;
        }
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

    /// When a paused endpoint may be called again, if pieces wait for it.
    pub fn wake(&self, now: Time) -> Option<Time> {
        let paused = self.rows.values().map(|it| it.paused).filter(|it| *it > now).min();
        paused.filter(|_| !self.queue.is_empty())
    }

    /// Takes in that a call has ended.
    pub fn end(&mut self, now: Time, call: &GatherCall, end: CallEnd) {
        let Some(row) = self.rows.get_mut(&call.endpoint) else {
            return;
        };
        row.calls = row.calls.saturating_sub(1);
        match end {
            CallEnd::Answered => row.failures = 0,
            CallEnd::Full => row.paused = now + FULL_PAUSE,
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
        self.terms.keeps
    }

    /// How long a call of some pieces takes.
    pub fn duration(&self, pieces: usize) -> Millis {
        self.terms.duration(pieces as u32)
    }

    /// The endpoint with the fewest calls and the most room.
    fn free(&self, now: Time) -> Option<EndpointName> {
        let free = |row: &Row| row.calls < self.terms.slots.0 && row.paused <= now;
        let rows = self.rows.iter().filter(|(_, row)| free(row));
        rows.min_by_key(|(_, row)| (row.calls, row.used)).map(|(name, _)| name.clone())
    }

    /// The pieces from the front that fit into one call, the endpoint's room
    /// and, for groups that weren't begun, the room of the whole pool.
    fn fitting(&self, endpoint: &EndpointName) -> IndexSet<PieceId> {
        let mut waiting: IndexMap<GroupId, u64> = IndexMap::new();
        for it in &self.queue {
            *waiting.entry(it.group).or_default() += it.size.0;
        }
        let spare = |row: &Row| self.terms.room.0.saturating_sub(row.used);
        let pool: u64 = self.rows.values().map(spare).sum();
        let promised: u64 = self.begun.iter().filter_map(|it| waiting.get(it)).sum();
        let mut left = spare(&self.rows[endpoint]);
        let mut unpromised = pool.saturating_sub(promised);
        let mut opened: IndexSet<GroupId> = IndexSet::new();
        let mut taken = IndexSet::new();
        for it in &self.queue {
            if taken.len() >= self.terms.pieces as usize {
                break;
            }
            let known = self.begun.contains(&it.group) || opened.contains(&it.group);
            let needed = if known { 0 } else { waiting[&it.group] };
            if it.size.0 <= left && needed <= unpromised {
                left -= it.size.0;
                unpromised -= needed;
                opened.insert(it.group);
                taken.insert(it.id);
            }
        }
        taken
    }
}
