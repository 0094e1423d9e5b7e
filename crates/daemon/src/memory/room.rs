//! One part of the budget, shared by the threads that serve clients.

use {
    coord::{
        ids::Bytes,
        memory::{Asked, PartLedger, Ticket},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    metrics::gauge,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep},
};

/// How often who waits for room looks whether a stalled holder is to be closed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);

/// There is no room for a body, nor will there be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// A part of the budget.
#[derive(Debug, Clone)]
pub struct Room(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    name: &'static str,
    capacity: usize,
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: PartLedger,
    waiters: IndexMap<Ticket, oneshot::Sender<()>>,
    evicted: IndexMap<Ticket, Arc<AtomicBool>>,
    /// When stalled holders were looked for last.
    looked: Time,
}

/// Bytes of a part that are held until dropped.
#[derive(Debug)]
pub struct Share {
    room: Room,
    ticket: Ticket,
    is_evicted: Arc<AtomicBool>,
}

impl Room {
    /// Creates a part of this many bytes. The name is that of metrics and logs.
    pub fn new(name: &'static str, capacity: Bytes) -> Self {
        let ledger = PartLedger::new(capacity);
        let (waiters, evicted) = (IndexMap::new(), IndexMap::new());
        let state = State { ledger, waiters, evicted, looked: Time(0) };
        let capacity = capacity.0 as usize;
        let (start, state) = (Instant::now(), Mutex::new(state));
        Self(Arc::new(Inner { name, capacity, start, state }))
    }

    /// Waits for room, at most this long. Holders that have stalled are asked to end
    /// meanwhile.
    ///
    /// # Errors
    /// There is none in time, or the part is smaller.
    pub async fn take(&self, bytes: usize, wait: Duration) -> Result<Share, NoRoom> {
        let (share, mut granted) = self.ask(bytes)?;
        let Some(granted) = &mut granted else {
            return Ok(share);
        };
        let end = Instant::now() + wait;
        while Instant::now() < end {
            tokio::select! {
                _ = &mut *granted => return Ok(share),
                () = sleep(EVICTION_INTERVAL) => self.evict_stalled(),
            }
        }
        Err(NoRoom)
    }

    /// Asks for room. The receiver, if there is one, tells when it is granted.
    fn ask(&self, bytes: usize) -> Result<(Share, Option<oneshot::Receiver<()>>), NoRoom> {
        let now = self.now();
        let mut state = self.lock();
        let (ticket, granted) = match state.ledger.ask(now, Bytes(bytes as u64)) {
            Asked::TooLarge => return Err(NoRoom),
            Asked::Granted(it) => (it, None),
            Asked::Queued(it) => {
                let (sender, granted) = oneshot::channel();
                state.waiters.insert(it, sender);
                (it, Some(granted))
            }
        };
        let is_evicted = Arc::new(AtomicBool::new(false));
        state.evicted.insert(ticket, is_evicted.clone());
        drop(state);
        Ok((Share { room: self.clone(), ticket, is_evicted }, granted))
    }

    fn evict_stalled(&self) {
        let now = self.now();
        let mut state = self.lock();
        // Of all that wait, one looks at a time.
        if now.since(state.looked) < Millis(EVICTION_INTERVAL.as_millis() as u64) {
            return;
        }
        state.looked = now;
        for ticket in state.ledger.stalled(now) {
            if let Some(it) = state.evicted.get(&ticket) {
                it.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Publishes how many bytes are held and how many bodies wait.
    pub fn publish(&self) {
        let state = self.lock();
        let (held, waiting) = (state.ledger.held().0, state.ledger.waiting());
        drop(state);
        gauge!("mangobend_memory_held_bytes", "part" => self.0.name).set(held as f64);
        gauge!("mangobend_memory_waiting", "part" => self.0.name).set(waiting as f64);
    }

    /// Returns the size of the part in bytes.
    pub fn capacity(&self) -> usize {
        self.0.capacity
    }

    /// Whether bodies wait for room.
    pub fn is_waited_for(&self) -> bool {
        self.lock().ledger.waiting() > 0
    }

    /// Returns the name used in metrics and logs.
    pub fn name(&self) -> &'static str {
        self.0.name
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> Bytes {
        self.lock().ledger.held()
    }

    fn now(&self) -> Time {
        Time(self.0.start.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn grant(&mut self, now: Time) {
        for ticket in self.ledger.grant(now) {
            if let Some(it) = self.waiters.swap_remove(&ticket) {
                // A waiter that is gone gives its room back itself.
                let _ = it.send(());
            }
        }
    }
}

impl Share {
    /// Notes that the client has sent or taken bytes. It is no longer asked to end.
    pub fn note_progress(&self) {
        let now = self.room.now();
        let mut state = self.room.lock();
        state.ledger.note_progress(now, self.ticket);
        self.is_evicted.store(false, Ordering::Relaxed);
    }

    /// Keeps no more than these bytes, for as long as the share lives. It is no longer asked
    /// to end.
    pub fn settle(&self, bytes: usize) {
        let now = self.room.now();
        let mut state = self.room.lock();
        state.ledger.settle(self.ticket, Bytes(bytes as u64));
        state.grant(now);
    }

    /// Whether others wait for the room and the client has stalled.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let now = self.room.now();
        let mut state = self.room.lock();
        state.waiters.swap_remove(&self.ticket);
        state.evicted.swap_remove(&self.ticket);
        state.ledger.release(self.ticket);
        state.grant(now);
    }
}
