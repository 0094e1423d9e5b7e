//! Fair queue of one pool. Classes are weighted, the teams of a class are equal,
//! and requests of one team and class are ordered by deadline. The algorithm is
//! start-time fair queueing (Goyal, Vin and Cheng, 1996).

use {
    crate::{
        ids::{Class, RequestId, TeamName},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    snafu::{Snafu, ensure},
};

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    pub request: RequestId,
    pub team: TeamName,
    pub class: Class,
    pub deadline: Time,
    /// The expected endpoint time.
    pub cost: Millis,
}

/// The queue, or one flow of it, is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the queue is full"))]
pub struct QueueFull;

/// The waiters of one team and class.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// The virtual start time of the flow's next request.
    next_start: f64,
    waiters: Vec<Waiter>,
}

/// The queued requests of one pool, by class and team.
#[derive(Debug, Clone)]
pub struct FairQueue {
    flows: IndexMap<(Class, TeamName), Flow>,
    virtual_time: f64,
    /// Each team's attempts in flight on all instances, relative to this one.
    global_ratios: IndexMap<TeamName, f64>,
    len: usize,
    capacity: usize,
    flow_capacity: usize,
}

impl FairQueue {
    /// Creates an empty queue for `capacity` waiters, of them `flow_capacity`
    /// per team and class.
    pub fn new(capacity: usize, flow_capacity: usize) -> Self {
        Self {
            flows: IndexMap::new(),
            virtual_time: 0.0,
            global_ratios: IndexMap::new(),
            len: 0,
            capacity,
            flow_capacity,
        }
    }

    /// The number of waiters.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no waiters.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a waiter.
    ///
    /// # Errors
    /// The queue or the waiter's flow is full.
    pub fn push(&mut self, waiter: Waiter) -> Result<(), QueueFull> {
        ensure!(self.len < self.capacity, QueueFullSnafu);
        let key = (waiter.class, waiter.team.clone());
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(key).or_default();
        ensure!(flow.waiters.len() < self.flow_capacity, QueueFullSnafu);
        if flow.waiters.is_empty() {
            flow.next_start = flow.next_start.max(virtual_time);
        }
        let at = flow.waiters.partition_point(|it| it.deadline <= waiter.deadline);
        flow.waiters.insert(at, waiter);
        self.len += 1;
        Ok(())
    }

    /// Sets each team's attempts in flight on all instances, relative to this
    /// one. Attempts on other instances count against a team here, so that its
    /// share is fair in total.
    pub fn set_global_ratios(&mut self, ratios: &IndexMap<TeamName, f64>) {
        self.global_ratios.clone_from(ratios);
    }

    /// Removes the next waiter.
    pub fn pop(&mut self) -> Option<Waiter> {
        let waiting = self.flows.iter_mut().filter(|(_, it)| !it.waiters.is_empty());
        let ((class, team), flow) =
            waiting.min_by(|a, b| a.1.next_start.total_cmp(&b.1.next_start))?;
        let waiter = flow.waiters.remove(0);
        self.virtual_time = flow.next_start;
        let ratio = self.global_ratios.get(team).copied().unwrap_or(1.0);
        flow.next_start += waiter.cost.0.max(1) as f64 * ratio / f64::from(class.weight());
        self.len -= 1;
        self.drop_idle();
        Some(waiter)
    }

    /// Returns the waiters in the order in which they would be removed.
    pub fn in_order(&self) -> Vec<Waiter> {
        let mut copy = self.clone();
        std::iter::from_fn(|| copy.pop()).collect()
    }

    /// Removes the waiter of a request; false if there is none.
    pub fn remove(&mut self, request: RequestId) -> bool {
        for flow in self.flows.values_mut() {
            if let Some(at) = flow.waiters.iter().position(|it| it.request == request) {
                flow.waiters.remove(at);
                self.len -= 1;
                return true;
            }
        }
        false
    }

    /// The total cost of the waiters of a class and of more urgent classes.
    pub fn cost_ahead(&self, class: Class) -> Millis {
        let flows = self.flows.iter().filter(|((it, _), _)| *it <= class);
        Millis(flows.flat_map(|(_, it)| &it.waiters).map(|it| it.cost.0).sum())
    }

    /// Drops flows without waiters whose next start is not ahead of the virtual
    /// time.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, it| !it.waiters.is_empty() || it.next_start > virtual_time);
    }
}
