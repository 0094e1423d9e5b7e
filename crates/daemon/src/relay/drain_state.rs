//! State of a graceful shutdown, shared between the core loop and the relay.

use {
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep_until},
};

/// How long before the end of a graceful shutdown the last answers are begun: a lost segment is
/// sent again after 200 ms, and after 400 ms more.
const LAST_ANSWERS: Duration = Duration::from_millis(600);

/// Phase of a graceful shutdown; phases are only entered in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum DrainPhase {
    /// No graceful shutdown is in progress.
    #[default]
    Open,
    /// Readiness checks fail, so that the load balancer stops sending; requests
    /// that still arrive are served.
    Leaving,
    /// New requests are refused; active ones are finished.
    Closed,
}

/// The phase of a graceful shutdown, and what it has to wait for.
#[derive(Debug, Default)]
pub struct DrainState {
    phase: watch::Sender<DrainPhase>,
    active: AtomicUsize,
    open: AtomicUsize,
    /// Stage requests of other instances that have no reply yet.
    gathered: AtomicUsize,
    handed_back: AtomicUsize,
    /// Those of the handed back whose pieces were in a call.
    cut_short: AtomicUsize,
    /// When the process ends at the latest.
    ends_at: OnceLock<Instant>,
}

/// Counts one request as active until dropped.
pub struct RequestGuard(Arc<DrainState>);

/// Counts a caller's connection as open until dropped.
pub struct OpenGuard(Arc<DrainState>);

/// Counts a stage request of another instance until dropped.
pub struct GatherGuard(Arc<DrainState>);

impl DrainState {
    /// Enters a phase; an earlier phase than the current one is ignored.
    pub fn enter(&self, phase: DrainPhase) {
        self.phase.send_if_modified(|old| {
            let later = phase > *old;
            *old = phase.max(*old);
            later
        });
    }

    /// Returns the current phase.
    pub fn phase(&self) -> DrainPhase {
        *self.phase.borrow()
    }

    /// Sets when the process ends at the latest. Only the first call counts.
    pub fn end_at(&self, end: Instant) {
        self.ends_at.get_or_init(|| end);
    }

    /// Returns until when an answer must have begun, so that it is whole before the process
    /// ends; `None` without a graceful shutdown.
    pub fn answer_by(&self) -> Option<Instant> {
        self.ends_at.get().map(|it| it.checked_sub(LAST_ANSWERS).unwrap_or(*it))
    }

    /// Whether an answer that begins after a time is whole before the process ends.
    pub fn can_answer_in(&self, time: Duration) -> bool {
        self.answer_by().is_none_or(|it| Instant::now() + time <= it)
    }

    /// Waits until a graceful shutdown begins.
    pub async fn begun(&self) {
        let leaving = |it: &DrainPhase| *it >= DrainPhase::Leaving;
        // This can't fail: `self` keeps the sender alive.
        let _ = self.phase.subscribe().wait_for(leaving).await;
    }

    /// Waits until an answer that takes `time` from now on wouldn't be whole before the process
    /// ends.
    pub async fn last_call(&self, time: Duration) {
        self.begun().await;
        match self.answer_by() {
            Some(it) => sleep_until(it.checked_sub(time).unwrap_or_else(Instant::now).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until a graceful shutdown reaches its time limit.
    pub async fn ended(&self) {
        self.begun().await;
        match self.ends_at.get() {
            Some(it) => sleep_until((*it).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Waits for [`DrainPhase::Closed`].
    pub async fn closed(&self) {
        // This can't fail: `self` keeps the sender alive.
        let _ = self.phase.subscribe().wait_for(|it| *it == DrainPhase::Closed).await;
    }

    /// Returns the number of relayed requests without a complete response.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Returns the number of callers' connections that brought a request and haven't ended.
    /// Those without a request under way end when new requests are refused, the others once
    /// the kernel has taken their answers.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub fn open_connection(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard(self.clone())
    }

    /// Counts a request as active until the guard is dropped.
    pub fn track(self: &Arc<Self>) -> RequestGuard {
        self.active.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Returns the number of stage requests of other instances that have no reply yet.
    pub fn gathered(&self) -> usize {
        self.gathered.load(Ordering::Relaxed)
    }

    /// Counts a stage request of another instance until the guard is dropped.
    pub fn track_gathered(self: &Arc<Self>) -> GatherGuard {
        self.gathered.fetch_add(1, Ordering::Relaxed);
        GatherGuard(self.clone())
    }

    /// Returns how many stage requests of other instances were handed back, and how many of
    /// these had pieces in a call.
    pub fn handed_back(&self) -> (usize, usize) {
        (self.handed_back.load(Ordering::Relaxed), self.cut_short.load(Ordering::Relaxed))
    }
}

impl GatherGuard {
    /// Counts the stage request as handed back; `called` if pieces of it are in a call.
    pub fn hand_back(self, called: bool) {
        self.0.handed_back.fetch_add(1, Ordering::Relaxed);
        self.0.cut_short.fetch_add(usize::from(called), Ordering::Relaxed);
    }
}

impl Drop for GatherGuard {
    fn drop(&mut self) {
        self.0.gathered.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}
