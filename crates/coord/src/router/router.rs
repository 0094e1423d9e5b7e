//! The router's tables of requests and attempts, and the steps that run over
//! them.

use {
    super::{
        Action, AttemptIdent, EndpointCall, Estimator, Failure, FairQueue, Finish, Outcome, Picker,
        Policy, Reason, RequestOrigin, RetryBudget, RetryBudgetConfig, Stats,
        request::{Attempt, EffectState, Phase, Request},
    },
    crate::{
        control::{Demand, EndpointFault, EndpointReport, FaultKind, Grants, Holding, TeamUse},
        ids::{AttemptId, EndpointName, Generation, PoolName, RequestId, TeamName},
        limits::SharedGate,
        relay::Trials,
        streams::StreamOrigin,
        tables::{SuspectKey, Suspects, Tables},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc},
};

/// The minimum `retry_after` of a refusal.
pub(super) const MIN_RETRY_AFTER: Millis = Millis(200);
/// The `retry_after` of refusals by an instance that is stopping: others serve at once.
pub const RETRY_AFTER_STOPPING: Millis = Millis(0);

/// Limits on the requests of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests held at one time.
    pub requests: usize,
    /// Waiters in the queue of one pool.
    pub queue: usize,
    /// Waiters of one team and class in the queue of one pool.
    pub flow: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { requests: 1024, queue: 512, flow: 256 }
    }
}

/// Routes the requests of one instance. It does no I/O: the embedder passes
/// events in and carries out the resulting [`Action`]s.
pub struct Router {
    pub(super) tables: Arc<Tables>,
    pub(super) requests: IndexMap<RequestId, Request>,
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Cancelled attempts that the endpoint may still be running; they keep
    /// their slot until their connection has ended.
    pub(super) cancelling: IndexMap<AttemptId, EndpointName>,
    pub(super) queues: IndexMap<PoolName, FairQueue>,
    pub(super) picker: Picker,
    pub(super) estimator: Estimator,
    pub(super) budget: RetryBudget,
    pub(super) faults: Vec<EndpointFault>,
    /// What endpoints have crashed under.
    pub(super) suspects: Arc<Suspects>,
    /// Sends of requests on trial.
    pub(super) trials: Trials,
    /// Suspects that were answered since they were last taken, by pool.
    pub(super) answered: IndexMap<PoolName, Vec<SuspectKey>>,
    pub(super) actions: Vec<Action>,
    pub(super) stats: Stats,
    /// The number of the last attempt sent.
    pub(super) last_attempt: u64,
    /// Each team's attempts in flight on all instances, relative to this one.
    pub(super) global_ratios: IndexMap<TeamName, f64>,
    pub(super) limits: Limits,
    pub(super) leased: bool,
    /// When shares are expected to be raised again, if they aren't now.
    pub(super) shares_at: Option<Time>,
    pub(super) stopping: bool,
    /// When the last answers must begin before the process ends, once a graceful shutdown has
    /// begun.
    pub(super) answer_by: Option<Time>,
}

impl Router {
    /// Creates a router that refuses requests until [`Self::set_leased`] is
    /// called.
    ///
    /// `own` is the address at which peers reach this instance.
    pub fn new(policy: Policy, limits: Limits, own: SocketAddr, now: Time, seed: u64) -> Self {
        Self {
            tables: Arc::default(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            cancelling: IndexMap::new(),
            queues: IndexMap::new(),
            picker: Picker::new(policy, seed),
            estimator: Estimator::default(),
            budget: RetryBudget::new(RetryBudgetConfig::default(), now),
            faults: Vec::new(),
            suspects: Arc::default(),
            trials: Trials::new(own),
            answered: IndexMap::new(),
            actions: Vec::new(),
            stats: Stats::default(),
            last_attempt: 0,
            global_ratios: IndexMap::new(),
            limits,
            leased: false,
            shares_at: None,
            stopping: false,
            answer_by: None,
        }
    }

    /// Sets the gate that this instance's sends to limited endpoints pass.
    pub fn set_gate(&mut self, gate: SharedGate) {
        self.picker.set_gate(gate);
    }

    /// Replaces the tables with a newer copy.
    pub fn reload(&mut self, tables: Arc<Tables>) {
        self.picker.reload(&tables);
        self.tables = tables;
    }

    /// Sets what endpoints have crashed under, so that answers to it are reported.
    pub fn set_suspects(&mut self, suspects: Arc<Suspects>) {
        self.suspects = suspects;
    }

    /// Takes the pools with suspects that have answered requests since the last call, and
    /// which suspects were among these.
    pub fn take_answered(&mut self) -> IndexMap<PoolName, Vec<SuspectKey>> {
        std::mem::take(&mut self.answered)
    }

    /// Replaces all granted shares and updates the reported loads.
    pub fn grant(&mut self, grants: &Grants, loads: &[EndpointReport]) {
        self.picker.grant(grants, loads);
    }

    /// Sets whether the instance holds a lease. Without one nothing is sent.
    pub fn set_leased(&mut self, leased: bool) {
        if self.leased && !leased {
            self.picker.clear_grants();
        }
        self.leased = leased;
    }

    /// Sets when shares are expected to be raised again, if they aren't now. Requests that wait
    /// for one until after their deadline are refused.
    pub fn set_shares_at(&mut self, time: Option<Time>) {
        self.shares_at = time;
    }

    /// Begins a graceful shutdown, in which the last answers must begin by `answer_by`.
    /// Requests that can't be done by then are refused from now on.
    pub fn begin_stop(&mut self, now: Time, answer_by: Time) {
        self.answer_by = Some(answer_by);
        for at in 0..self.queues.len() {
            self.refuse_cut_off(now, at);
        }
    }

    /// Refuses new requests from now on.
    pub fn stop_accepting(&mut self) {
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

    /// Counters since the start of the process.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Takes the actions that the embedder has to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Endpoints with more attempts in flight than slots granted.
    pub fn over_granted(&self) -> Vec<Holding> {
        self.picker.over_granted()
    }

    /// The slots held at each endpoint.
    pub fn holdings(&self) -> Vec<Holding> {
        self.picker.holdings()
    }

    /// Takes the endpoint faults since the last call.
    pub fn take_faults(&mut self) -> Vec<EndpointFault> {
        std::mem::take(&mut self.faults)
    }

    /// Whether there are endpoint faults to report to the leader at once.
    pub fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Takes the endpoints that answered successfully since the last call.
    pub fn take_succeeded(&mut self) -> Vec<(EndpointName, Generation)> {
        self.picker.take_succeeded()
    }

    /// Whether a pool has waiters and no free slot.
    pub fn is_starved(&self, now: Time) -> bool {
        self.queues.iter().any(|(pool, it)| !it.is_empty() && !self.picker.has_free(now, pool))
    }

    /// The attempts in flight and queued on this instance, by pool.
    pub fn demand(&self) -> Vec<Demand> {
        let mut pools = self.picker.in_flight();
        for (pool, queue) in &self.queues {
            let empty = Demand { pool: pool.clone(), in_flight: 0, queued: 0 };
            pools.entry(pool.clone()).or_insert(empty).queued = queue.len() as u32;
        }
        pools.retain(|_, it| it.in_flight + it.queued > 0);
        pools.into_values().collect()
    }

    /// Each team's attempts in flight on this instance.
    pub fn team_usage(&self) -> Vec<TeamUse> {
        let mut teams: IndexMap<&TeamName, u32> = IndexMap::new();
        for it in self.attempts.values() {
            *teams.entry(&self.requests[&it.request].submission.team).or_default() += 1;
        }
        let teams = teams.into_iter();
        teams.map(|(team, in_flight)| TeamUse { team: team.clone(), in_flight }).collect()
    }

    /// Sets the teams' attempts in flight on all instances.
    pub fn set_team_totals(&mut self, totals: &[TeamUse]) {
        let own: IndexMap<TeamName, u32> =
            self.team_usage().into_iter().map(|it| (it.team, it.in_flight)).collect();
        let here = |it: &TeamUse| f64::from(own.get(&it.team).copied().unwrap_or(0).max(1));
        let ratio = |it: &TeamUse| (it.team.clone(), (f64::from(it.in_flight) / here(it)).max(1.0));
        self.global_ratios = totals.iter().map(ratio).collect();
        for queue in self.queues.values_mut() {
            queue.set_global_ratios(&self.global_ratios);
        }
    }

    /// Ends a request whose caller disconnected, unless its stage with an
    /// effect was sent.
    pub fn on_caller_gone(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.effect == EffectState::NotSent {
            self.fail(now, id, Reason::CallerGone, "the caller has gone");
        }
    }

    /// Handles the passing of time: deadlines, the end of a graceful shutdown, claims to repeat,
    /// silent attempts and queues.
    pub fn tick(&mut self, now: Time) {
        for id in self.requests.keys().copied().collect::<Vec<_>>() {
            self.tick_request(now, id);
        }
        self.hedge_silent_attempts(now);
        self.dispatch(now);
    }

    /// Sends queued requests to endpoints with free slots.
    pub fn dispatch(&mut self, now: Time) {
        if !self.leased {
            return;
        }
        for at in 0..self.queues.len() {
            let pool = self.queues.get_index(at).expect("the queue exists").0.clone();
            if !self.queues[at].is_empty() && self.picker.is_exhausted(now, &pool) {
                self.refuse_waiters(now, at, &pool);
            }
            while self.picker.has_free(now, &pool) {
                let Some(waiter) = self.queues[at].pop() else {
                    break;
                };
                self.start_stage(now, waiter.request);
            }
        }
    }

    /// Fails the requests that wait for a pool whose endpoints take no more now.
    fn refuse_waiters(&mut self, now: Time, at: usize, pool: &PoolName) {
        while let Some(waiter) = self.queues[at].pop() {
            self.picker.want(pool);
            let detail = "the pool's endpoints take fewer requests";
            self.fail(now, waiter.request, Reason::Overload, detail);
        }
    }

    /// Fails the waiters of a queue that aren't expected to end before a graceful shutdown
    /// does.
    fn refuse_cut_off(&mut self, now: Time, at: usize) {
        let (pool, queue) = self.queues.get_index(at).expect("the queue exists");
        let slots = u64::from(self.picker.capacity(pool).max(1));
        let mut ahead = Millis(0);
        for waiter in queue.in_order() {
            let start = now + Millis(ahead.0 / slots);
            match self.is_cut_off(start, &self.requests[&waiter.request]) {
                true => self.fail_stopping(now, waiter.request),
                false => ahead = ahead + waiter.cost,
            }
        }
    }

    /// Whether a graceful shutdown is expected to end before the remaining stages of a request
    /// do, if the first of them starts at `start`.
    pub(super) fn is_cut_off(&self, start: Time, request: &Request) -> bool {
        let rest = &request.stages[request.stage..];
        let needed = self.expected_time(rest, request.submission.input.len());
        self.answer_by.is_some_and(|it| start + needed >= it)
    }

    /// Returns when shares of a pool are expected, if this instance has none.
    pub(super) fn next_share_at(&self, pool: &PoolName) -> Option<Time> {
        self.shares_at.filter(|_| self.picker.lacks_share(pool))
    }

    /// Whether a request gets no share of its stage's pool in time.
    fn lacks_share(&self, request: &Request) -> bool {
        let needed =
            self.expected_time(&request.stages[request.stage..], request.submission.input.len());
        let share_at = self.next_share_at(&request.stage().pool);
        share_at.is_some_and(|it| it + needed > request.deadline)
    }

    /// Fails a request because of a graceful shutdown.
    pub(super) fn fail_stopping(&mut self, now: Time, id: RequestId) {
        self.fail(now, id, Reason::Stopping, "this instance stops before the request could end");
    }

    /// Starts the request's stage if the remaining stages are expected to meet
    /// the deadline and to end before a graceful shutdown does.
    fn start_stage(&mut self, now: Time, id: RequestId) {
        let request = &self.requests[&id];
        let left = request.deadline.since(now);
        if left
            < self.expected_time(&request.stages[request.stage..], request.submission.input.len())
        {
            self.fail(now, id, Reason::Deadline, "the rest can't be done by the deadline");
            return;
        }
        if self.is_cut_off(now, request) {
            self.fail_stopping(now, id);
            return;
        }
        let Phase::Queued { since } = request.phase else {
            unreachable!("only a queued request is started");
        };
        let (pool, origin, begun) = (request.stage().pool.clone(), request.origin(), request.begun);
        if is_withheld(&self.tables, &pool, &origin) || !self.may_try(now, &pool, &origin) {
            let reason = if begun { Reason::StageFailed } else { Reason::Withheld };
            self.fail(now, id, reason, "the request crashes endpoints");
            return;
        }
        let request = self.requests.get_mut(&id).expect("the request is held");
        request.report().queued.0 += now.since(since).0;
        request.phase = Phase::Running { attempts: Vec::new() };
        self.budget.earn();
        if !self.send_attempt(now, id, false) {
            self.end_trial(&pool, &origin);
            if self.requests[&id].began.is_some() {
                let detail = "no endpoint of the version that began the stage is free";
                self.fail(now, id, Reason::StageFailed, detail);
                return;
            }
            self.enqueue(now, id);
        }
    }

    /// Whether a request may be sent to a pool now, as far as it is on trial.
    fn may_try(&mut self, now: Time, pool: &PoolName, origin: &RequestOrigin) -> bool {
        if self.suspects.trials.is_empty() {
            return true;
        }
        let key = SuspectKey { pool: pool.clone(), suspect: origin.suspect() };
        let instances = self.tables.roster.values().map(|it| it.peer);
        self.trials.may_send(now, &self.suspects, &key, instances)
    }

    /// Records that a request on trial was answered, or not sent.
    pub(super) fn end_trial(&mut self, pool: &PoolName, origin: &RequestOrigin) {
        if !self.suspects.trials.is_empty() {
            let key = SuspectKey { pool: pool.clone(), suspect: origin.suspect() };
            self.trials.end(&key);
        }
    }

    /// Whether endpoints of a pool have crashed under a request.
    pub(super) fn is_suspect(&self, pool: &PoolName, origin: &RequestOrigin) -> bool {
        self.suspects.concern(pool) && {
            let key = SuspectKey { pool: pool.clone(), suspect: origin.suspect() };
            self.suspects.all.contains(&key)
        }
    }

    /// Sends an attempt to a free endpoint; false if there is none.
    pub(super) fn send_attempt(&mut self, now: Time, id: RequestId, hedged: bool) -> bool {
        let request = self.requests.get_mut(&id).expect("the request is held");
        let stage = request.stages[request.stage].clone();
        let (input, began) = (&request.submission.input, request.began.as_ref());
        let picked = self.picker.pick(now, &stage.pool, input, &request.excluded, began);
        let Some(picked) = picked else {
            return false;
        };
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        request.begun = true;
        request.report().attempts += 1;
        if stage.effect {
            assert_eq!(request.effect, EffectState::NotSent, "a stage with an effect is sent once");
            request.effect = EffectState::Sent;
        }
        if let Phase::Running { attempts } = &mut request.phase {
            attempts.push(attempt);
        }
        let send = EndpointCall {
            ident: AttemptIdent { request: id, stage: stage.name, attempt },
            endpoint: picked.name.clone(),
            generation: picked.generation,
            origin: request.origin(),
            addr: picked.addr,
            pool: stage.pool.clone(),
            class: request.submission.class,
            remaining: request.deadline.since(now),
            from_piece: request.pieces,
            fence: request.fence.filter(|_| stage.effect),
            input: request.input.clone(),
        };
        self.actions.push(Action::Send(Box::new(send)));
        let row = Attempt {
            request: id,
            endpoint: picked.name,
            generation: picked.generation,
            origin: StreamOrigin { pool: stage.pool, version: picked.version },
            started: now,
            last_event: now,
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
                Phase::Claiming { retry_at: Some(_) } => Reason::InProgress,
                _ => Reason::Deadline,
            };
            self.fail(now, id, reason, "the deadline has passed");
            return;
        }
        // Whatever a request waits for, its caller must have an answer.
        let is_last_call = self.answer_by.is_some_and(|it| now >= it);
        let is_queued = matches!(request.phase, Phase::Queued { .. });
        if is_last_call || is_queued && self.is_cut_off(now, request) {
            self.fail_stopping(now, id);
            return;
        }
        if is_queued && self.lacks_share(request) {
            self.fail(now, id, Reason::Overload, "no share of the stage's pool comes in time");
            return;
        }
        if let Phase::Claiming { retry_at: Some(retry_at) } = request.phase
            && now >= retry_at
        {
            self.request_claim(id);
        }
    }

    /// Fails a request with the outcome known so far, and cancels its attempts.
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
        self.fail_with_outcome(id, outcome, reason, detail);
    }

    /// Fails a request with a given outcome.
    pub(super) fn fail_with_outcome(
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
        let pause = if reason == Reason::Stopping { RETRY_AFTER_STOPPING } else { MIN_RETRY_AFTER };
        let retry_after = (outcome == Outcome::NotRun).then_some(pause);
        let failure = Failure { outcome, reason, detail: detail.to_owned(), retry_after };
        let finish = Finish { result: Err(failure), stored: false, stages: request.reports };
        self.actions.push(Action::Finish { request: id, finish: Box::new(finish) });
    }

    /// Records that a pool with suspects has answered a request.
    pub(super) fn record_answer(&mut self, pool: &PoolName, origin: &RequestOrigin) {
        if !self.suspects.concern(pool) {
            return;
        }
        let key = SuspectKey { pool: pool.clone(), suspect: origin.suspect() };
        let answered = self.answered.entry(pool.clone()).or_default();
        answered.extend(self.suspects.all.get(&key).cloned());
    }

    /// Blocks an endpoint and records the fault for the leader.
    pub(super) fn report_fault(&mut self, now: Time, name: &EndpointName, kind: FaultKind) {
        if let Some(generation) = self.picker.block(now, name) {
            self.faults.push(EndpointFault { endpoint: name.clone(), generation, kind });
        }
    }
}

/// Whether a request is withheld from a pool.
pub(super) fn is_withheld(tables: &Tables, pool: &PoolName, origin: &RequestOrigin) -> bool {
    let is_request = |it: &SuspectKey| it.pool == *pool && it.suspect.is_request();
    // Most often nothing is withheld, and no digest is needed.
    tables.withheld.iter().any(is_request) && {
        let key = SuspectKey { pool: pool.clone(), suspect: origin.suspect() };
        tables.withheld.contains(&key)
    }
}
