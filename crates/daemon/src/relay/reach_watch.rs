//! Tries connections to endpoints when there are signs that this instance reaches none.

use {
    super::{clock::time_since, view::View},
    crate::event::{Event, Inbox},
    coord::{ids::NodeId, relay::Reach, tables::Endpoint, time::Time},
    indexmap::IndexSet,
    std::{
        cell::{RefCell, RefMut},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::watch,
        task::JoinSet,
        time::{MissedTickBehavior, interval, timeout},
    },
};

/// How often it is looked at whether connections are to be tried.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a connection may take; as long as one for a request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection has to stay open: a link that is cut may close it at once.
const OPEN_TIME: Duration = Duration::from_millis(250);

/// Whether this instance, and which of the others, reach endpoints.
pub struct ReachWatch {
    reach: RefCell<Reach>,
    cut: watch::Receiver<Arc<IndexSet<NodeId>>>,
    inbox: Inbox,
    start: Instant,
}

/// Counts a request as waiting for its answer until dropped.
pub struct WaitGuard(Rc<ReachWatch>);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.reach.borrow_mut().note_ended();
    }
}

impl ReachWatch {
    /// Creates a watch. `cut` follows the list of instances that reach no endpoints.
    pub fn new(
        inbox: Inbox,
        cut: watch::Receiver<Arc<IndexSet<NodeId>>>,
        start: Instant,
    ) -> Rc<Self> {
        Rc::new(Self { reach: RefCell::default(), cut, inbox, start })
    }

    /// Whether this instance reaches no endpoints.
    pub fn is_cut(&self) -> bool {
        self.reach.borrow().is_cut()
    }

    /// Whether an instance has reported that it reaches no endpoints, or the leader doesn't
    /// hear of it.
    pub fn is_peer_cut(&self, id: NodeId) -> bool {
        self.cut.borrow().contains(&id)
    }

    /// Returns the list of those instances.
    pub fn cut_peers(&self) -> Arc<IndexSet<NodeId>> {
        self.cut.borrow().clone()
    }

    /// Waits until the list of those instances changes.
    pub async fn peers_changed(&self) {
        let mut cut = self.cut.clone();
        cut.mark_unchanged();
        if cut.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Notes that a request is sent.
    pub fn note_sent(self: &Rc<Self>) -> WaitGuard {
        let now = self.now();
        self.reach().note_sent(now);
        WaitGuard(self.clone())
    }

    /// Notes that an endpoint has answered.
    pub fn note_answer(&self) {
        let now = self.now();
        self.reach().note_answer(now);
    }

    /// Notes that a connection to an endpoint has failed.
    pub fn note_failure(&self) {
        self.reach().note_failure();
    }

    /// Tries connections whenever there is a reason, until the process ends.
    pub async fn run(self: Rc<Self>, view: impl Fn() -> Rc<View>) {
        let mut ticks = interval(LOOK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !self.reach.borrow().wants_try(self.now()) {
                continue;
            }
            let reached = self.try_endpoints(&view()).await;
            let changed = self.reach().finish_try(&reached);
            if let Some(is_cut) = changed {
                let count = reached.iter().filter(|it| **it).count();
                log::warn!(
                    cut_off = is_cut, tried = reached.len(), reached = count;
                    "[relay] links to endpoints"
                );
                if !self.inbox.offer(Event::ReachChanged { is_cut }) {
                    log::warn!("[relay] core loop busy, the leader isn't told");
                }
            }
        }
    }

    /// Tries connections; returns which endpoints were reached.
    async fn try_endpoints(&self, view: &View) -> Vec<bool> {
        let (first, others): (Vec<_>, Vec<_>) = {
            let endpoints = view.all_endpoints();
            let targets =
                self.reach().start_try(self.now(), endpoints, rand::random::<u32>() as usize);
            let addrs = |it: Vec<&Endpoint>| it.into_iter().map(|it| it.addr).collect();
            (addrs(targets.first), addrs(targets.others))
        };
        let mut reached = are_reachable(first).await;
        if !self.is_cut() && !reached.contains(&true) {
            reached.extend(are_reachable(others).await);
        }
        reached
    }

    fn reach(&self) -> RefMut<'_, Reach> {
        self.reach.borrow_mut()
    }

    fn now(&self) -> Time {
        time_since(self.start)
    }
}

/// Whether connections can be made to each of these addresses, in any order.
async fn are_reachable(addrs: Vec<SocketAddr>) -> Vec<bool> {
    let mut tries = JoinSet::new();
    for addr in addrs {
        tries.spawn_local(is_reachable(addr));
    }
    tries.join_all().await
}

/// Whether a connection can be made and stays open for a moment.
async fn is_reachable(addr: SocketAddr) -> bool {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
        return false;
    };
    match timeout(OPEN_TIME, stream.readable()).await {
        Err(_) => true,
        Ok(_) => {
            !matches!(stream.try_read(&mut [0]), Ok(0))
                && stream.take_error().is_ok_and(|it| it.is_none())
        }
    }
}
