//! Admission control: validates requests, refuses those that are not expected
//! to meet their deadline, and queues the rest.

use {
    super::{
        Action, Failure, FairQueue, Finish, Reason, Router, Submission, Waiter,
        request::{EffectState, Phase, Request},
        router::{MIN_RETRY_AFTER, RETRY_AFTER_STOPPING, is_withheld},
    },
    crate::{
        ids::{PoolName, RequestId},
        tables::Stage,
        time::{Millis, Time},
    },
};

/// The `retry_after` of withheld requests: longer than callers wait, since they are
/// withheld for minutes.
const RETRY_AFTER_WITHHELD: Millis = Millis(60_000);
/// The expected endpoint time of a stage with too few measurements.
const UNMEASURED_COST: Millis = Millis(50);

impl Router {
    /// Submits a request. A refusal is reported as an [`Action::Finish`], like
    /// any other result.
    pub fn submit(&mut self, now: Time, submission: Submission) {
        let id = submission.id;
        match self.validate(now, &submission) {
            Ok(stages) => self.accept(now, submission, stages),
            Err(failure) => self.refuse(id, failure),
        }
    }

    fn validate(&self, now: Time, submission: &Submission) -> Result<Vec<Stage>, Failure> {
        if self.stopping {
            let failure = Failure::not_run(Reason::Stopping, "this instance is about to stop");
            return Err(failure.retry_after(RETRY_AFTER_STOPPING));
        }
        if !self.leased {
            let failure = Failure::not_run(Reason::NoLease, "this instance holds no lease");
            return Err(failure.retry_after(MIN_RETRY_AFTER));
        }
        let Some(route) = self.tables.routes.get(&submission.route) else {
            let detail = format!("there is no route {}", submission.route);
            return Err(Failure::not_run(Reason::UnknownRoute, detail));
        };
        if submission.deadline == Millis(0) || submission.deadline > route.deadline {
            let detail = format!(
                "the deadline is {}, route {} allows 1ms to {}",
                submission.deadline, submission.route, route.deadline
            );
            return Err(Failure::not_run(Reason::BadDeadline, detail));
        }
        if route.has_effect() != submission.key.is_some() {
            let needs = if route.has_effect() { "needs" } else { "takes no" };
            let detail = format!("route {} {needs} an idempotency key", submission.route);
            return Err(Failure::not_run(Reason::KeyMissing, detail));
        }
        if self.requests.len() >= self.limits.requests {
            let failure = Failure::not_run(Reason::Overload, "too many requests are held");
            return Err(failure.retry_after(MIN_RETRY_AFTER));
        }
        let origin = submission.origin();
        if route.stages.iter().any(|it| is_withheld(&self.tables, &it.pool, &origin)) {
            let failure = Failure::not_run(Reason::Withheld, "the request crashes endpoints");
            return Err(failure.retry_after(RETRY_AFTER_WITHHELD));
        }
        let stages = route.sorted_stages().expect("routes in the tables are validated");
        self.check_expected_time(now, submission, &stages)?;
        Ok(stages)
    }

    /// Refuses a request that is expected to take longer than its deadline, or than a graceful
    /// shutdown, or to get no share in time.
    fn check_expected_time(
        &self,
        now: Time,
        submission: &Submission,
        stages: &[Stage],
    ) -> Result<(), Failure> {
        let wait = self.expected_wait(&stages[0].pool, submission);
        let needed = Millis(wait.0 + self.expected_time(stages, submission.input.len()).0);
        if self.answer_by.is_some_and(|it| now + needed >= it) {
            let detail = format!("about {needed} would be needed, this instance stops before");
            let failure = Failure::not_run(Reason::Stopping, detail);
            return Err(failure.retry_after(RETRY_AFTER_STOPPING));
        }
        let share_at = self.next_share_at(&stages[0].pool);
        if share_at.is_some_and(|it| it + needed > now + submission.deadline) {
            let detail = "no share of the stage's pool comes in time";
            return Err(Failure::not_run(Reason::Overload, detail).retry_after(MIN_RETRY_AFTER));
        }
        if needed <= submission.deadline {
            return Ok(());
        }
        let detail =
            format!("about {needed} would be needed, the deadline is {}", submission.deadline);
        let after = Millis(needed.0 - submission.deadline.0).max(MIN_RETRY_AFTER);
        Err(Failure::not_run(Reason::Deadline, detail).retry_after(after))
    }

    /// The expected time in a pool's queue.
    fn expected_wait(&self, pool: &PoolName, submission: &Submission) -> Millis {
        let ahead = self.queues.get(pool).map_or(Millis(0), |it| it.cost_ahead(submission.class));
        Millis(ahead.0 / u64::from(self.picker.capacity(pool).max(1)))
    }

    /// The sum of the stages' mean times. A stage with too few measurements
    /// counts as zero.
    pub(super) fn expected_time(&self, stages: &[Stage], size: usize) -> Millis {
        let mean = |it: &Stage| self.estimator.mean(&it.pool, &it.name, size);
        Millis(stages.iter().filter_map(mean).map(|it| it.0).sum())
    }

    fn accept(&mut self, now: Time, submission: Submission, stages: Vec<Stage>) {
        let id = submission.id;
        let request = Request {
            deadline: now + submission.deadline,
            stages,
            stage: 0,
            phase: Phase::Claiming { retry_at: None },
            fence: None,
            input: submission.input.clone(),
            output: String::new(),
            pieces: 0,
            effect: EffectState::NotSent,
            begun: false,
            began: None,
            excluded: Vec::new(),
            refusals: 0,
            reports: Vec::new(),
            submission,
        };
        let keyed = request.submission.key.is_some();
        self.requests.insert(id, request);
        match keyed {
            true => self.request_claim(id),
            false => self.enqueue(now, id),
        }
        self.dispatch(now);
    }

    /// Adds a request to the queue of its current stage's pool, unless a graceful shutdown is
    /// expected to end first.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("the request is held");
        request.phase = Phase::Queued { since: now };
        let request = &self.requests[&id];
        if self.is_cut_off(now, request) {
            self.fail_stopping(now, id);
            return;
        }
        let stage = &request.stages[request.stage];
        let size = request.submission.input.len();
        let cost = self.estimator.mean(&stage.pool, &stage.name, size).unwrap_or(UNMEASURED_COST);
        let waiter = Waiter {
            request: id,
            team: request.submission.team.clone(),
            class: request.submission.class,
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
        self.actions.push(Action::Finish { request, finish: Box::new(finish) });
    }
}
