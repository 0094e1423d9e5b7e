//! Sends to pools with a rollout: which version they may go to, and how they are answered.

use {
    super::clock::time_since,
    crate::rollout_handle::RolloutHandle,
    coord::{
        ids::{EndpointName, PoolName, RouteName},
        rollouts::{RolloutAnswer, RolloutSend, RolloutSide, SendKind, call_route},
        tables::{Endpoint, Rollout, Tables},
        time::Millis,
    },
    indexmap::{IndexMap, IndexSet},
    metrics::counter,
    std::{cell::RefCell, rc::Rc, time::Instant},
};

/// This instance's sends to pools with a rollout.
pub struct Rollouts {
    handle: RolloutHandle,
    /// The rollouts in the tables; the earlier sends of their pools are adopted.
    known: RefCell<IndexMap<PoolName, Rollout>>,
    /// Sends that began before this instance knew of the rollout.
    adopted: RefCell<IndexMap<EndpointName, Vec<RolloutSend>>>,
    start: Instant,
}

/// One send until it has ended. Dropping it ends the send.
pub struct SendGuard {
    rollouts: Rc<Rollouts>,
    /// `None` once the send has ended, and where no rollout concerns it.
    send: Option<RolloutSend>,
    began: Instant,
    /// The time to the first byte of the answer.
    first: Option<Millis>,
    outcome: &'static str,
}

impl Rollouts {
    /// Creates the state around this instance's gate. `start` is the origin of the times
    /// that the gate is given.
    pub fn new(handle: RolloutHandle, start: Instant) -> Self {
        Self { handle, known: RefCell::default(), adopted: RefCell::default(), start }
    }

    /// Returns the endpoints that a request may be sent to now, as far as rollouts are
    /// concerned.
    pub fn allowed<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        route: &RouteName,
        kind: SendKind,
    ) -> Vec<&'a Endpoint> {
        let Some(gate) = self.handle.gate() else {
            return endpoints.collect();
        };
        let now = time_since(self.start);
        endpoints.filter(|it| gate.may_send(now, it, route, kind)).collect()
    }

    /// Whether requests that no endpoint of the new version can take may go to the old one.
    pub fn may_fall_back(&self, pool: &PoolName) -> bool {
        self.handle.gate().is_some_and(|it| it.may_fall_back(pool))
    }

    /// Counts a send of a request that no endpoint of the new version can take to the old
    /// one; nothing if that isn't possible any more.
    pub fn begin_fallback(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        route: &RouteName,
    ) -> Option<SendGuard> {
        let now = time_since(self.start);
        let send = self.handle.gate()?.begin_fallback(now, endpoint, route)?;
        Some(self.guard(Some(send)))
    }

    /// Splits endpoints of a pool that a request may go to into those to be tried first, and
    /// those to be tried if none of these takes it.
    pub fn split<'a>(
        &self,
        endpoints: Vec<&'a Endpoint>,
        route: &RouteName,
        kind: SendKind,
    ) -> [Vec<&'a Endpoint>; 2] {
        match self.handle.gate() {
            Some(gate) => gate.split(time_since(self.start), endpoints, route, kind),
            None => [endpoints, Vec::new()],
        }
    }

    /// Returns the endpoints of a pool that calls of a stage may not go to now, given which
    /// ones take calls at all.
    pub fn barred<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        is_open: impl Fn(&EndpointName) -> bool,
    ) -> IndexSet<EndpointName> {
        let gate = self.handle.gate().filter(|_| self.handle.has_rollouts());
        gate.map_or_else(IndexSet::new, |it| it.barred(time_since(self.start), endpoints, is_open))
    }

    /// Counts a send; nothing if it isn't possible any more.
    pub fn begin(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        route: &RouteName,
        kind: SendKind,
    ) -> Option<SendGuard> {
        let now = time_since(self.start);
        let send = match self.handle.gate() {
            Some(mut gate) => Some(gate.begin(now, endpoint, route, kind)?),
            None => None,
        };
        Some(self.guard(send))
    }

    fn guard(self: &Rc<Self>, send: Option<RolloutSend>) -> SendGuard {
        let (rollouts, began) = (self.clone(), Instant::now());
        SendGuard { rollouts, send, began, first: None, outcome: "none" }
    }

    /// Begins a call of a pool's stage. Calls hold pieces of several routes, so that the pool
    /// itself stands for the route. In the switch a call may fall back to the old version.
    pub fn begin_call(self: &Rc<Self>, endpoint: &Endpoint, kind: SendKind) -> Option<SendGuard> {
        let route = call_route(&endpoint.pool);
        let send = self.begin(endpoint, &route, kind);
        send.or_else(|| self.begin_fallback(endpoint, &route))
    }

    /// Begins to free results at an endpoint; nothing if the rollout doesn't allow it.
    pub fn begin_free(self: &Rc<Self>, endpoint: &Endpoint) -> Option<SendGuard> {
        self.begin(endpoint, &call_route(&endpoint.pool), SendKind::Free)
    }

    /// Takes in the rollouts of the tables. Counts the sends that began before this instance
    /// knew of one, so that it isn't completed while they run. `uncounted` returns the number
    /// of such sends at an endpoint.
    pub fn reload(&self, tables: &Tables, uncounted: impl Fn(&EndpointName) -> u32) {
        let known = self.known.replace(tables.rollouts.clone());
        for rollout in tables.rollouts.values().filter(|it| it.phase.is_open()) {
            if known.get(&rollout.pool).is_some_and(|it| it.number == rollout.number) {
                continue;
            }
            let of_pool = tables.endpoints.values().filter(|it| it.pool == rollout.pool);
            for endpoint in of_pool.filter(|it| it.version.as_ref() != Some(&rollout.to)) {
                let now = time_since(self.start);
                let count = uncounted(&endpoint.name);
                let own = self.adopted.borrow().get(&endpoint.name).map_or(0, Vec::len);
                for _ in own..count as usize {
                    let send = self.handle.gate().map(|mut it| it.adopt(now, endpoint));
                    let mut adopted = self.adopted.borrow_mut();
                    adopted.entry(endpoint.name.clone()).or_default().extend(send);
                }
            }
        }
    }

    /// Ends a send that may have been adopted.
    pub fn end_adopted(&self, endpoint: &EndpointName) {
        let mut adopted = self.adopted.borrow_mut();
        let send = adopted.get_mut(endpoint).and_then(Vec::pop);
        if let Some(send) = send {
            self.handle.gate_of(&send).end(time_since(self.start), send);
        }
    }
}

impl SendGuard {
    /// Whether the send is counted for a rollout.
    pub fn is_counted(&self) -> bool {
        self.send.is_some()
    }

    /// Whether the endpoint runs a version that a rollout moves the traffic from, or may do so
    /// in a rollout that this instance hasn't heard of.
    pub fn may_be_old(&self) -> bool {
        self.send.as_ref().is_some_and(|it| it.side() != RolloutSide::New)
    }

    /// Notes the first byte of an answer that is no failure so far.
    pub fn answered(&mut self) {
        if self.send.is_some() && self.first.is_none() {
            let first = *self.first.insert(self.elapsed());
            self.note(RolloutAnswer::Good(first));
        }
    }

    /// Notes that the endpoint has failed the request, or answered it wrongly.
    pub fn failed(&mut self) {
        self.note(RolloutAnswer::Failed);
    }

    /// Notes that no answer came in time.
    pub fn timed_out(&mut self) {
        let now = time_since(self.rollouts.start);
        let Some(send) = &mut self.send else {
            return;
        };
        if self.rollouts.handle.gate_of(send).time_out(now, send) {
            self.outcome = "failed";
        }
    }

    /// Takes the send back, as no byte of it has left.
    pub fn cancel(mut self) {
        if let Some(send) = self.send.take() {
            self.rollouts.handle.gate_of(&send).cancel(time_since(self.rollouts.start), send);
        }
    }

    fn elapsed(&self) -> Millis {
        Millis(self.began.elapsed().as_millis() as u64)
    }

    fn note(&mut self, answer: RolloutAnswer) {
        let Some(send) = &mut self.send else {
            return;
        };
        self.outcome = match answer {
            RolloutAnswer::Good(_) => "good",
            RolloutAnswer::Failed => "failed",
        };
        let now = time_since(self.rollouts.start);
        self.rollouts.handle.gate_of(send).answer(now, send, answer);
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let Some(send) = self.send.take() else {
            return;
        };
        let side = match send.side() {
            RolloutSide::None => None,
            RolloutSide::Old => Some("old"),
            RolloutSide::New => Some("new"),
        };
        if let Some(side) = side {
            let result = self.outcome;
            counter!("mangobend_rollout_sends_total", "side" => side).increment(1);
            counter!("mangobend_rollout_answers_total", "side" => side, "result" => result)
                .increment(1);
        }
        self.rollouts.handle.gate_of(&send).end(time_since(self.rollouts.start), send);
    }
}
