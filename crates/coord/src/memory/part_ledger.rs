//! The room of one part of the budget.

use {
    crate::{
        ids::Bytes,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// How long a holder may make no progress while others wait for room. Longer than a lost
/// segment takes to come again twice.
const STALL_UNDER_PRESSURE: Millis = Millis(1000);

/// Names what was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The answer to whoever asks for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// The room is held until it is released.
    Granted(Ticket),
    /// It comes up in its turn.
    Queued(Ticket),
    /// It is more than the whole part.
    TooLarge,
}

/// The room of one part: who holds it, and who waits for it in the order of asking.
#[derive(Debug)]
pub struct PartLedger {
    capacity: u64,
    held: u64,
    holders: IndexMap<Ticket, Holder>,
    queue: VecDeque<(Ticket, u64)>,
    next: u64,
}

#[derive(Debug)]
struct Holder {
    bytes: u64,
    /// When its client last sent or took bytes; nothing once it waits for no client.
    progress: Option<Time>,
}

impl PartLedger {
    /// Creates a part in which nothing is held.
    pub fn new(capacity: Bytes) -> Self {
        let (holders, queue) = (IndexMap::new(), VecDeque::new());
        Self { capacity: capacity.0, held: 0, holders, queue, next: 0 }
    }

    /// Asks for room. None is granted past others that wait, so that large asks aren't
    /// passed for ever by small ones.
    pub fn ask(&mut self, now: Time, bytes: Bytes) -> Asked {
        if bytes.0 > self.capacity {
            return Asked::TooLarge;
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        if !self.queue.is_empty() || self.held + bytes.0 > self.capacity {
            self.queue.push_back((ticket, bytes.0));
            return Asked::Queued(ticket);
        }
        self.hold(now, ticket, bytes.0);
        Asked::Granted(ticket)
    }

    /// Grants room to those whose turn it is and returns them.
    pub fn grant(&mut self, now: Time) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while let Some(&(ticket, bytes)) = self.queue.front()
            && self.held + bytes <= self.capacity
        {
            self.queue.pop_front();
            self.hold(now, ticket, bytes);
            granted.push(ticket);
        }
        granted
    }

    /// Notes that a holder's client has sent or taken bytes.
    pub fn note_progress(&mut self, now: Time, ticket: Ticket) {
        if let Some(it) = self.holders.get_mut(&ticket) {
            it.progress = Some(now);
        }
    }

    /// Keeps no more than these bytes of what is held. They no longer depend on a client.
    pub fn settle(&mut self, ticket: Ticket, bytes: Bytes) {
        if let Some(it) = self.holders.get_mut(&ticket) {
            let kept = it.bytes.min(bytes.0);
            self.held -= it.bytes - kept;
            *it = Holder { bytes: kept, progress: None };
        }
    }

    /// Gives back what is held, or gives up waiting.
    pub fn release(&mut self, ticket: Ticket) {
        match self.holders.swap_remove(&ticket) {
            Some(it) => self.held -= it.bytes,
            None => self.queue.retain(|(waiting, _)| *waiting != ticket),
        }
    }

    /// Returns the holders to close for those that wait, as many as hold what these want: of
    /// the holders whose clients have made no progress for too long, first those that haven't
    /// for longest, and of these the ones that hold most.
    pub fn stalled(&self, now: Time) -> Vec<Ticket> {
        let wanted: u64 = self.queue.iter().map(|(_, bytes)| bytes).sum();
        let stalled = self.holders.iter().filter_map(|(ticket, it)| {
            let since = now.since(it.progress?);
            (since >= STALL_UNDER_PRESSURE).then_some((since, it.bytes, *ticket))
        });
        let mut stalled: Vec<(Millis, u64, Ticket)> = stalled.collect();
        stalled.sort_unstable_by(|a, b| b.cmp(a));
        let mut freed = 0;
        let needed = stalled.into_iter().take_while(|(_, bytes, _)| {
            let is_needed = freed < wanted;
            freed += bytes;
            is_needed
        });
        needed.map(|(_, _, ticket)| ticket).collect()
    }

    /// Returns the room that is held.
    pub fn held(&self) -> Bytes {
        Bytes(self.held)
    }

    /// Returns how many wait for room.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn hold(&mut self, now: Time, ticket: Ticket, bytes: u64) {
        self.held += bytes;
        self.holders.insert(ticket, Holder { bytes, progress: Some(now) });
    }
}
