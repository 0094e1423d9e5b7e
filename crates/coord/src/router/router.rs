//! The tables of requests and attempts, and the systems that run over them.

use {
    super::{
        AttemptSend, BudgetTerms, Effect, Estimator, Failure, FairQueue, Finish, Ident, Outcome,
        Picker, Policy, Reason, RetryBudget, Stats,
        request::{Attempt, EffectState, Phase, Request},
    },
    crate::{
        control::{Demand, EndpointFault, EndpointReport, FaultKind, Grants, Holding, TeamUse},
        ids::{AttemptId, EndpointName, Generation, PoolName, RequestId, TeamName},
        tables::Tables,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

/// What a refused caller is told to wait at least.
pub(super) const RETRY_AFTER: Millis = Millis(200);

/// Bounds of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests held at one time.
    pub requests: usize,
    /// Waiters in the queue of one pool.
    pub queue: usize,
    /// Waiters of one team's class in the queue of one pool.
    pub flow: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { requests: 1024, queue: 512, flow: 256 }
    }
}

/// Routing on one instance.
pub struct Router {
    pub(super) tables: Arc<Tables>,
    pub(super) requests: IndexMap<RequestId, Request>,
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Cancelled attempts that the endpoint may still be at; they keep their
    /// slot until their connection has ended.
    pub(super) ending: IndexMap<AttemptId, EndpointName>,
    pub(super) queues: IndexMap<PoolName, FairQueue>,
    pub(super) picker: Picker,
    pub(super) estimator: Estimator,
    pub(super) budget: RetryBudget,
    pub(super) trouble: Vec<EndpointFault>,
    pub(super) effects: Vec<Effect>,
    pub(super) stats: Stats,
    pub(super) serial: u64,
    /// How many times more a team has in flight over all instances than here.
    pub(super) spread: IndexMap<TeamName, f64>,
    pub(super) limits: Limits,
    pub(super) open: bool,
    pub(super) stopping: bool,
}

impl Router {
    /// A router that takes no work until [`Self::open`] is called.
    pub fn new(policy: Policy, limits: Limits, now: Time, seed: u64) -> Self {
        Self {
            tables: Arc::default(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            ending: IndexMap::new(),
            queues: IndexMap::new(),
            picker: Picker::new(policy, seed),
            estimator: Estimator::default(),
            budget: RetryBudget::new(BudgetTerms::default(), now),
            trouble: Vec::new(),
            effects: Vec::new(),
            stats: Stats::default(),
            serial: 0,
            spread: IndexMap::new(),
            limits,
            open: false,
            stopping: false,
        }
    }

    /// Takes in a newer copy of the tables.
    pub fn reload(&mut self, tables: Arc<Tables>) {
        self.picker.reload(&tables);
        self.tables = tables;
    }

    /// Takes in the complete list of shares.
    pub fn grant(&mut self, grants: &Grants, loads: &[EndpointReport]) {
        self.picker.grant(grants, loads);
    }

    /// Says whether the instance holds a lease. Without one nothing is sent.
    pub fn set_open(&mut self, open: bool) {
        if self.open && !open {
            self.picker.void();
        }
        self.open = open;
    }

    /// Takes no new requests from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether no request is held.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// The number of requests held.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Takes out what the embedder must do.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Endpoints with more in flight than granted.
    pub fn over(&self) -> Vec<Holding> {
        self.picker.over()
    }

    /// All shares held.
    pub fn holdings(&self) -> Vec<Holding> {
        self.picker.holdings()
    }

    /// Takes out trouble noticed since the last call.
    pub fn take_trouble(&mut self) -> Vec<EndpointFault> {
        std::mem::take(&mut self.trouble)
    }

    /// Whether there is trouble that the leader should hear of at once.
    pub fn has_trouble(&self) -> bool {
        !self.trouble.is_empty()
    }

    /// Takes out the endpoints that answered well since the last call.
    pub fn take_good(&mut self) -> Vec<(EndpointName, Generation)> {
        self.picker.take_good()
    }

    /// Whether a pool has waiters and no free share.
    pub fn is_starved(&self, now: Time) -> bool {
        self.queues.iter().any(|(pool, it)| !it.is_empty() && !self.picker.has_free(now, pool))
    }

    /// What this instance could use, by pool.
    pub fn demand(&self) -> Vec<Demand> {
        let mut pools = self.picker.flying();
        for (pool, queue) in &self.queues {
            let empty = Demand { pool: pool.clone(), in_flight: 0, queued: 0 };
            pools.entry(pool.clone()).or_insert(empty).queued = queue.len() as u32;
        }
        pools.retain(|_, it| it.in_flight + it.queued > 0);
        pools.into_values().collect()
    }

    /// What each team has in flight here.
    pub fn teams(&self) -> Vec<TeamUse> {
        let mut teams: IndexMap<&TeamName, u32> = IndexMap::new();
        for it in self.attempts.values() {
            *teams.entry(&self.requests[&it.request].ask.team).or_default() += 1;
        }
        let teams = teams.into_iter();
        teams.map(|(team, in_flight)| TeamUse { team: team.clone(), in_flight }).collect()
    }

    /// Takes in what teams have in flight over all instances.
    pub fn set_teams(&mut self, totals: &[TeamUse]) {
        let own: IndexMap<TeamName, u32> =
            self.teams().into_iter().map(|it| (it.team, it.in_flight)).collect();
        let here = |it: &TeamUse| f64::from(own.get(&it.team).copied().unwrap_or(0).max(1));
        let spread =
            |it: &TeamUse| (it.team.clone(), (f64::from(it.in_flight) / here(it)).max(1.0));
        self.spread = totals.iter().map(spread).collect();
        for queue in self.queues.values_mut() {
            queue.set_spread(&self.spread);
        }
    }

    /// Takes in that a caller has gone. What runs at most once goes on.
    pub fn abandon(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.effect == EffectState::NotSent {
            self.fail(now, id, Reason::CallerGone, "the caller has gone");
        }
    }

    /// Lets time pass: deadlines, silent attempts, claims to ask again, queues.
    pub fn tick(&mut self, now: Time) {
        for id in self.requests.keys().copied().collect::<Vec<_>>() {
            self.tick_request(now, id);
        }
        self.check_silence(now);
        self.dispatch(now);
    }

    /// Sends what waits, as far as shares allow.
    pub fn dispatch(&mut self, now: Time) {
        if !self.open {
            return;
        }
        for at in 0..self.queues.len() {
            let pool = self.queues.get_index(at).expect("the queue exists").0.clone();
            while self.picker.has_free(now, &pool) {
                let Some(waiter) = self.queues[at].pop() else {
                    break;
                };
                self.start(now, waiter.request);
            }
        }
    }

    /// Starts an attempt at the request's stage, if it is still worth it.
    fn start(&mut self, now: Time, id: RequestId) {
        let request = &self.requests[&id];
        let left = request.deadline.since(now);
        if left < self.needed(&request.stages[request.stage..], request.ask.input.len()) {
            self.fail(now, id, Reason::Deadline, "the rest can't be done by the deadline");
            return;
        }
        let Phase::Queued { since } = request.phase else {
            unreachable!("only a queued request is started");
        };
        let request = self.requests.get_mut(&id).expect("the request is held");
        request.report().queued.0 += now.since(since).0;
        request.phase = Phase::Running { attempts: Vec::new() };
        self.budget.earn();
        if !self.send(now, id, false) {
            self.enqueue(now, id);
        }
    }

    /// Sends an attempt to the best free endpoint; false if there is none.
    pub(super) fn send(&mut self, now: Time, id: RequestId, hedged: bool) -> bool {
        let request = self.requests.get_mut(&id).expect("the request is held");
        let stage = request.stages[request.stage].clone();
        let picked = self.picker.pick(now, &stage.pool, &request.ask.input, &request.failed);
        let Some(picked) = picked else {
            return false;
        };
        self.serial += 1;
        let attempt = AttemptId(self.serial);
        request.begun = true;
        request.report().attempts += 1;
        if stage.effect {
            assert_eq!(request.effect, EffectState::NotSent, "an effect is sent once");
            request.effect = EffectState::Sent;
        }
        if let Phase::Running { attempts } = &mut request.phase {
            attempts.push(attempt);
        }
        let send = AttemptSend {
            ident: Ident { request: id, stage: stage.name, attempt },
            endpoint: picked.name.clone(),
            addr: picked.addr,
            pool: stage.pool,
            class: request.ask.class,
            left: request.deadline.since(now),
            from_piece: request.pieces,
            fence: request.fence.filter(|_| stage.effect),
            input: request.input.clone(),
        };
        self.effects.push(Effect::Send(Box::new(send)));
        let row = Attempt {
            request: id,
            endpoint: picked.name,
            started: now,
            heard: now,
            pieces: 0,
            effect: stage.effect,
            hedged,
        };
        self.attempts.insert(attempt, row);
        true
    }

    fn tick_request(&mut self, now: Time, id: RequestId) {
        let request = &self.requests[&id];
        if now >= request.deadline {
            let reason = match request.phase {
                Phase::Claiming { again: Some(_) } => Reason::InProgress,
                _ => Reason::Deadline,
            };
            self.fail(now, id, reason, "the deadline has passed");
            return;
        }
        if let Phase::Claiming { again: Some(again) } = request.phase
            && now >= again
        {
            self.ask_claim(id);
        }
    }

    /// Ends a request with what may truthfully be said of it.
    pub(super) fn fail(&mut self, now: Time, id: RequestId, reason: Reason, detail: &str) {
        let request = &self.requests[&id];
        let outcome = match request.phase {
            Phase::Claiming { .. } => Outcome::Unknown,
            _ => request.outcome(),
        };
        if let Phase::Running { attempts } = request.phase.clone() {
            for attempt in attempts {
                self.cancel(now, attempt);
            }
        }
        self.fail_as(id, outcome, reason, detail);
    }

    pub(super) fn fail_as(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        reason: Reason,
        detail: &str,
    ) {
        let request = self.requests.shift_remove(&id).expect("the request is held");
        if let Phase::Queued { .. } = request.phase
            && let Some(queue) = self.queues.get_mut(&request.stage().pool)
        {
            queue.remove(id);
        }
        self.settle_failed(&request);
        let retry_after = (outcome == Outcome::NotRun).then_some(RETRY_AFTER);
        let failure = Failure { outcome, reason, detail: detail.to_owned(), retry_after };
        let finish = Finish { result: Err(failure), stored: false, stages: request.reports };
        self.effects.push(Effect::Finish { request: id, finish: Box::new(finish) });
    }

    pub(super) fn report_trouble(&mut self, now: Time, name: &EndpointName, kind: FaultKind) {
        if let Some(generation) = self.picker.block(now, name) {
            self.trouble.push(EndpointFault { endpoint: name.clone(), generation, kind });
        }
    }
}
