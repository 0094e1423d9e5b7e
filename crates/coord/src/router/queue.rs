//! A fair queue of one pool: weighted by class, equal between teams, and in
//! order of deadlines within a team's class. The shares follow start-time
//! fair queueing (Goyal, Vin and Cheng, 1996).

use {
    crate::{
        ids::{Class, RequestId, TeamName},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    snafu::{Snafu, ensure},
};

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    pub request: RequestId,
    pub team: TeamName,
    pub class: Class,
    pub deadline: Time,
    /// What it is expected to cost, in endpoint time.
    pub cost: Millis,
}

/// The queue's bound is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the queue is full"))]
pub struct QueueFull;

#[derive(Debug, Default)]
struct Flow {
    /// The virtual time at which its next request starts.
    next_start: f64,
    waiters: Vec<Waiter>,
}

/// Waiting requests by team and class.
#[derive(Debug)]
pub struct FairQueue {
    flows: IndexMap<(Class, TeamName), Flow>,
    virtual_time: f64,
    /// How many times more a team has in flight over all instances than here.
    global_ratios: IndexMap<TeamName, f64>,
    len: usize,
    capacity: usize,
    flow_capacity: usize,
}

impl FairQueue {
    /// An empty queue for `capacity` waiters, of them `flow_capacity` of one team's class.
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

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a waiter.
    ///
    /// # Errors
    /// A bound is reached.
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

    /// Sets how many times more each team has in flight over all instances
    /// than here. What a team has elsewhere counts against it here, so that
    /// its share is fair in total.
    pub fn set_global_ratios(&mut self, ratios: &IndexMap<TeamName, f64>) {
        self.global_ratios.clone_from(ratios);
    }

    /// Takes out the waiter whose turn it is.
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

    /// Takes out a waiter that no longer waits.
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

    /// What those who would go before a new waiter of a class cost together.
    pub fn cost_ahead(&self, class: Class) -> Millis {
        let flows = self.flows.iter().filter(|((it, _), _)| *it <= class);
        Millis(flows.flat_map(|(_, it)| &it.waiters).map(|it| it.cost.0).sum())
    }

    /// Drops flows that wait for nothing and have no debt.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, it| !it.waiters.is_empty() || it.next_start > virtual_time);
    }
}
