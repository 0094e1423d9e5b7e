//! Admission: what is taken in, refused early, and queued.

use {
    super::{
        Effect, Failure, FairQueue, Finish, Reason, Router, Submission, Waiter,
        request::{EffectState, Phase, Request},
        router::RETRY_AFTER,
    },
    crate::{
        ids::{PoolName, RequestId},
        tables::Stage,
        time::{Millis, Time},
    },
};

/// The expected cost of a stage that was never measured.
const UNKNOWN_COST: Millis = Millis(50);

impl Router {
    /// Takes a request in. A refusal comes out as an effect, like any answer.
    pub fn submit(&mut self, now: Time, ask: Submission) {
        let id = ask.id;
        match self.check(&ask) {
            Ok(stages) => self.accept(now, ask, stages),
            Err(failure) => self.refuse(id, failure),
        }
    }

    fn check(&self, ask: &Submission) -> Result<Vec<Stage>, Failure> {
        if self.stopping {
            return Err(Failure::not_run(Reason::Stopping, "this instance is about to stop"));
        }
        if !self.open {
            let failure = Failure::not_run(Reason::NoLease, "this instance holds no lease");
            return Err(failure.retry_after(RETRY_AFTER));
        }
        let Some(route) = self.tables.routes.get(&ask.route) else {
            let detail = format!("there is no route {}", ask.route);
            return Err(Failure::not_run(Reason::UnknownRoute, detail));
        };
        if ask.deadline == Millis(0) || ask.deadline > route.deadline {
            let detail = format!(
                "the deadline is {}, route {} allows 1ms to {}",
                ask.deadline, ask.route, route.deadline
            );
            return Err(Failure::not_run(Reason::BadDeadline, detail));
        }
        if route.has_effect() != ask.key.is_some() {
            let needs = if route.has_effect() { "needs" } else { "takes no" };
            let detail = format!("route {} {needs} an idempotency key", ask.route);
            return Err(Failure::not_run(Reason::KeyMissing, detail));
        }
        if self.requests.len() >= self.limits.requests {
            let failure = Failure::not_run(Reason::Overload, "too many requests are held");
            return Err(failure.retry_after(RETRY_AFTER));
        }
        let stages = route.sorted_stages().expect("routes in the tables are checked");
        self.check_time(ask, &stages)?;
        Ok(stages)
    }

    /// Refuses early what can't make its deadline.
    fn check_time(&self, ask: &Submission, stages: &[Stage]) -> Result<(), Failure> {
        let wait = self.wait_for(&stages[0].pool, ask);
        let needed = Millis(wait.0 + self.needed(stages, ask.input.len()).0);
        if needed <= ask.deadline {
            return Ok(());
        }
        let detail = format!("about {needed} would be needed, the deadline is {}", ask.deadline);
        let after = Millis(needed.0 - ask.deadline.0).max(RETRY_AFTER);
        Err(Failure::not_run(Reason::Deadline, detail).retry_after(after))
    }

    fn wait_for(&self, pool: &PoolName, ask: &Submission) -> Millis {
        let ahead = self.queues.get(pool).map_or(Millis(0), |it| it.ahead(ask.class));
        Millis(ahead.0 / u64::from(self.picker.capacity(pool).max(1)))
    }

    /// The mean time of the given stages together.
    pub(super) fn needed(&self, stages: &[Stage], size: usize) -> Millis {
        let mean = |it: &Stage| self.estimator.mean(&it.pool, &it.name, size);
        Millis(stages.iter().filter_map(mean).map(|it| it.0).sum())
    }

    fn accept(&mut self, now: Time, ask: Submission, stages: Vec<Stage>) {
        let id = ask.id;
        let request = Request {
            deadline: now + ask.deadline,
            stages,
            stage: 0,
            phase: Phase::Claiming { again: None },
            fence: None,
            input: ask.input.clone(),
            output: String::new(),
            pieces: 0,
            effect: EffectState::NotSent,
            begun: false,
            failed: Vec::new(),
            refusals: 0,
            reports: Vec::new(),
            ask,
        };
        let keyed = request.ask.key.is_some();
        self.requests.insert(id, request);
        match keyed {
            true => self.ask_claim(id),
            false => self.enqueue(now, id),
        }
        self.dispatch(now);
    }

    /// Puts a request into the queue of its stage's pool.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("the request is held");
        request.phase = Phase::Queued { since: now };
        let stage = &request.stages[request.stage];
        let size = request.ask.input.len();
        let cost = self.estimator.mean(&stage.pool, &stage.name, size).unwrap_or(UNKNOWN_COST);
        let waiter = Waiter {
            request: id,
            team: request.ask.team.clone(),
            class: request.ask.class,
            deadline: request.deadline,
            cost,
        };
        let limits = self.limits;
        let queue = self.queues.entry(stage.pool.clone());
        let queue = queue.or_insert_with(|| FairQueue::new(limits.queue, limits.flow));
        if queue.push(waiter).is_err() {
            self.fail(now, id, Reason::Overload, "too much waits for the stage's pool");
        }
    }

    fn refuse(&mut self, request: RequestId, failure: Failure) {
        let finish = Finish { result: Err(failure), stored: false, stages: Vec::new() };
        self.effects.push(Effect::Finish { request, finish: Box::new(finish) });
    }
}
