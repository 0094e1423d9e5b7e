//! Takes the connections of a listener and closes those that hold more than they may.

use {
    super::{Descriptor, Descriptors, GuardedStream, note_refusal},
    coord::{
        memory::{
            Admission, CloseReason, ConnectionClass, ConnectionId, ConnectionLimits,
            ConnectionTable,
        },
        time::Time,
    },
    hyper::{Request, http::Extensions},
    indexmap::IndexMap,
    std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::Notify,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// The address of a request's client.
#[derive(Clone, Copy)]
struct ClientAddr(SocketAddr);

/// Returns the address of a request's client, if its connection is guarded.
pub fn client_addr(extensions: &Extensions) -> Option<SocketAddr> {
    extensions.get::<ClientAddr>().map(|it| it.0)
}

/// How often connections are checked. Their limits are seconds.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The delay after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The connections of a listener.
pub struct Acceptor {
    /// The prefix of log lines, and the part in metrics.
    name: &'static str,
    class: ConnectionClass,
    descriptors: Descriptors,
    max_connections: usize,
    start: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    table: ConnectionTable,
    closers: IndexMap<ConnectionId, Closer>,
}

/// How to close a connection, and whose it is.
struct Closer {
    notify: Arc<Notify>,
    from: SocketAddr,
}

/// Reports what a connection does. The connection counts until the last copy is
/// dropped.
#[derive(Clone)]
pub struct ConnectionGuard(Arc<Guarded>);

struct Guarded {
    acceptor: Arc<Acceptor>,
    id: ConnectionId,
    from: SocketAddr,
    closer: Arc<Notify>,
    /// Whether the next byte belongs to a new head.
    is_between: AtomicBool,
    _descriptor: Descriptor,
}

impl Acceptor {
    /// Creates an acceptor without connections.
    pub fn new(
        name: &'static str,
        class: ConnectionClass,
        max_connections: usize,
        descriptors: Descriptors,
    ) -> Arc<Self> {
        let (start, state) = (Instant::now(), Mutex::default());
        Arc::new(Self { name, class, descriptors, max_connections, start, state })
    }

    /// Hands each connection to `serve` until the process ends. `limits` is asked for the
    /// limits that apply.
    ///
    /// # Panics
    /// If the listener can't be made non-blocking.
    pub async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        limits: impl Fn() -> ConnectionLimits,
        mut serve: impl FnMut(GuardedStream),
    ) {
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime runs");
        let mut sweeps = interval(SWEEP_INTERVAL);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let accepted = tokio::select! {
                it = listener.accept() => it,
                _ = sweeps.tick() => {
                    self.sweep(&limits());
                    continue;
                }
            };
            match accepted {
                Ok((stream, from)) => {
                    if let Some(it) = self.admit(stream, from) {
                        serve(it);
                    }
                }
                Err(err) => {
                    note_refusal(self.name, "accept_failed", None);
                    log::debug!(error:% = err; "[{}] a connection couldn't be accepted", self.name);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) -> Option<GuardedStream> {
        let now = self.now();
        let mut state = self.lock();
        let is_full = state.table.len() >= self.max_connections;
        let descriptor = if is_full { None } else { self.descriptors.take(self.class) };
        let id = match state.table.admit(now, descriptor.is_some()) {
            Admission::Admitted(id) => id,
            Admission::Displacing(id, displaced) => {
                state.close(self.name, displaced, CloseReason::Displaced);
                id
            }
            Admission::Refused => {
                note_refusal(self.name, CloseReason::Full.name(), Some(from));
                return None;
            }
        };
        let closer = Arc::new(Notify::new());
        state.closers.insert(id, Closer { notify: closer.clone(), from });
        drop(state);
        let guard = ConnectionGuard(Arc::new(Guarded {
            acceptor: self.clone(),
            id,
            from,
            closer,
            is_between: AtomicBool::new(true),
            _descriptor: descriptor.unwrap_or_else(|| self.descriptors.take_over(self.class)),
        }));
        Some(GuardedStream::new(stream, guard))
    }

    fn sweep(&self, limits: &ConnectionLimits) {
        let now = self.now();
        let mut state = self.lock();
        if state.table.is_empty() {
            return;
        }
        for (id, reason) in state.table.sweep(now, limits) {
            state.close(self.name, id, reason);
        }
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close(&self, part: &'static str, id: ConnectionId, reason: CloseReason) {
        if let Some(it) = self.closers.get(&id) {
            it.notify.notify_one();
            // That a connection kept for reuse ends is no refusal.
            if reason != CloseReason::Idle {
                note_refusal(part, reason.name(), Some(it.from));
            }
        }
    }
}

impl ConnectionGuard {
    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.0.closer.notified().await;
    }

    /// Returns the address of the connection's client.
    pub fn client(&self) -> SocketAddr {
        self.0.from
    }

    /// Notes that bytes have come.
    pub fn note_read(&self) {
        if self.0.is_between.swap(false, Ordering::Relaxed) {
            let now = self.0.acceptor.now();
            self.0.acceptor.lock().table.note_read(now, self.0.id);
        }
    }

    /// Notes that a request's head is whole, and adds the client's address to it.
    pub fn begin<B>(&self, request: &mut Request<B>) {
        self.note_request();
        request.extensions_mut().insert(ClientAddr(self.0.from));
    }

    /// Notes that a request's head is whole.
    pub fn note_request(&self) {
        let now = self.0.acceptor.now();
        self.0.acceptor.lock().table.note_request(now, self.0.id);
    }

    /// Notes that the answer to the current request holds room of the budget.
    pub fn note_holding(&self) {
        self.0.acceptor.lock().table.note_holding(self.0.id);
    }

    /// Notes that the current request is answered.
    pub fn note_answered(&self) {
        self.0.is_between.store(true, Ordering::Relaxed);
        let now = self.0.acceptor.now();
        self.0.acceptor.lock().table.note_answered(now, self.0.id);
    }

    /// Notes that the client takes no more bytes now, or that it has taken some.
    pub fn note_blocked(&self, is_blocked: bool) {
        let now = self.0.acceptor.now();
        self.0.acceptor.lock().table.note_blocked(now, self.0.id, is_blocked);
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        let mut state = self.acceptor.lock();
        state.table.remove(self.id);
        state.closers.swap_remove(&self.id);
    }
}
