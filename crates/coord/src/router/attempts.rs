//! Events of attempts: pieces, completion, refusals, failures and silence.

use {
    super::{
        Action, AttemptEvent, AttemptIdent, Finish, Reason, Router,
        request::{Attempt, EffectState, Phase, Request},
    },
    crate::{
        claims::{Answer, Settlement},
        control::FaultKind,
        ids::{AttemptId, EndpointName, RequestId, Tokens},
        time::{Millis, Time},
    },
};

/// The minimum time without an event before an attempt counts as silent.
const MIN_SILENCE: Millis = Millis(400);
/// The same where the stage has too few measurements.
const UNMEASURED_SILENCE: Millis = Millis(2000);
/// How often endpoints may refuse one request before it fails.
const MAX_REFUSALS: u32 = 8;
/// The maximum length of one stage's output, in bytes.
pub const MAX_OUTPUT_BYTES: usize = 8 << 20;
/// The maximum number of attempts at one stage.
const MAX_ATTEMPTS: u32 = 4;

impl Router {
    /// Handles an event of an attempt. Events of ended attempts are counted
    /// and dropped.
    pub fn on_attempt_event(&mut self, now: Time, id: AttemptId, event: AttemptEvent) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.on_late(now, id, &event);
            return;
        };
        attempt.last_event = now;
        let request = attempt.request;
        match event {
            AttemptEvent::Piece { ident, number, data } => {
                if self.matches_attempt(request, id, &ident) {
                    self.on_piece(now, id, number, data);
                }
            }
            AttemptEvent::Done { ident, pieces, tokens } => {
                if self.matches_attempt(request, id, &ident) {
                    self.on_done(now, id, pieces, tokens);
                }
            }
            AttemptEvent::Notice(notice) => {
                self.picker.note(now, &attempt.endpoint, attempt.generation, notice);
            }
            AttemptEvent::Limit(notice) => {
                let (endpoint, sent) = (&attempt.endpoint, attempt.started);
                self.picker.note_limit(now, sent, endpoint, attempt.generation, notice);
            }
            AttemptEvent::Refused { cold } => self.on_refused(now, id, cold),
            AttemptEvent::Failed { sent, detail } => self.on_failed(now, id, sent, &detail),
        }
        self.dispatch(now);
    }

    /// Handles an event of an attempt that has ended; the end of its
    /// connection frees its slot.
    fn on_late(&mut self, now: Time, id: AttemptId, event: &AttemptEvent) {
        if matches!(event, AttemptEvent::Piece { .. }) {
            self.stats.late += 1;
            return;
        }
        if matches!(event, AttemptEvent::Notice(_) | AttemptEvent::Limit(_)) {
            return;
        }
        if let Some(endpoint) = self.cancelling.shift_remove(&id) {
            self.picker.release(&endpoint);
            self.dispatch(now);
        }
    }

    /// Whether the identity in a line is that of the attempt on whose
    /// connection it arrived; counts mismatches.
    fn matches_attempt(&mut self, request: RequestId, id: AttemptId, ident: &AttemptIdent) -> bool {
        let stage = &self.requests[&request].stage().name;
        let own = ident.request == request && ident.attempt == id && ident.stage == *stage;
        self.stats.foreign += u64::from(!own);
        own
    }

    fn on_piece(&mut self, now: Time, id: AttemptId, number: u32, data: String) {
        let request = self.attempts[&id].request;
        let row = self.requests.get_mut(&request).expect("an attempt has its request");
        if number < row.pieces {
            self.stats.repeated += 1;
            return;
        }
        if number > row.pieces {
            self.stats.reordered += 1;
            self.abandon_attempt(now, id, "pieces came out of order");
            return;
        }
        if row.output.len() + data.len() > MAX_OUTPUT_BYTES {
            self.cancel(now, id);
            self.fail(now, request, Reason::StageFailed, "the stage's output is too long");
            return;
        }
        if row.pieces == 0 {
            row.began = Some(self.attempts[&id].origin.clone());
        }
        row.pieces += 1;
        row.output.push_str(&data);
        let streamed = row.is_last() && row.submission.stream;
        self.attempts[&id].pieces += 1;
        self.cancel_other_attempts(now, request, id);
        if streamed {
            self.actions.push(Action::Piece { request, number, data });
        }
    }

    /// Cancels the request's other attempts: the first to return a piece or to
    /// complete is used.
    fn cancel_other_attempts(&mut self, now: Time, request: RequestId, id: AttemptId) {
        let Phase::Running { attempts } = &mut self.requests[&request].phase else {
            return;
        };
        let others: Vec<AttemptId> = attempts.iter().copied().filter(|it| *it != id).collect();
        attempts.retain(|it| *it == id);
        for other in others {
            self.cancel(now, other);
        }
    }

    fn on_done(&mut self, now: Time, id: AttemptId, pieces: u32, tokens: Tokens) {
        let request = self.attempts[&id].request;
        if pieces != self.requests[&request].pieces {
            self.on_failed(now, id, true, "the answer has a gap");
            return;
        }
        self.cancel_other_attempts(now, request, id);
        let attempt = self.end_attempt(id);
        let took = now.since(attempt.started);
        let row = self.requests.get_mut(&request).expect("an attempt has its request");
        let report = row.report();
        report.busy.0 += took.0;
        report.tokens.0 += tokens.0;
        report.endpoint = Some(attempt.endpoint.clone());
        let (stage, size) = (row.stage().clone(), row.submission.input.len());
        let origin = row.origin();
        self.record_answer(&stage.pool, &origin);
        self.end_trial(&stage.pool, &origin);
        let row = self.requests.get_mut(&request).expect("an attempt has its request");
        let mean = self.estimator.mean(&stage.pool, &stage.name, size);
        self.picker.record(&attempt.endpoint, took, mean);
        self.estimator.record(&stage.pool, &stage.name, size, took);
        if attempt.effect {
            row.effect = EffectState::Ran;
        }
        match row.is_last() {
            true => self.finish(request),
            false => self.next_stage(now, request),
        }
    }

    fn next_stage(&mut self, now: Time, id: RequestId) {
        let row = self.requests.get_mut(&id).expect("the request is held");
        row.stage += 1;
        row.input = std::mem::take(&mut row.output).into();
        row.pieces = 0;
        row.began = None;
        row.excluded.clear();
        self.enqueue(now, id);
    }

    fn finish(&mut self, id: RequestId) {
        let row = self.requests.shift_remove(&id).expect("the request is held");
        if let (Some(key), Some(fence)) = (row.submission.key, row.fence) {
            let answer = Answer { output: row.output.clone() };
            self.settle(key, fence, Settlement::Ran(answer));
        }
        let finish = Finish { result: Ok(row.output), stored: false, stages: row.reports };
        self.actions.push(Action::Finish { request: id, finish: Box::new(finish) });
    }

    /// Handles a refusal. The endpoint began nothing, so even a stage with an
    /// effect may be sent to another endpoint.
    fn on_refused(&mut self, now: Time, id: AttemptId, cold: bool) {
        let attempt = self.end_attempt(id);
        if cold {
            self.stats.refused_cold += 1;
            self.report_fault(now, &attempt.endpoint, FaultKind::Refused);
        } else {
            self.picker.pause(now, &attempt.endpoint);
        }
        let row = self.requests.get_mut(&attempt.request).expect("an attempt has its request");
        row.refusals += 1;
        if attempt.effect {
            row.effect = EffectState::NotSent;
        }
        exclude(row, &attempt.endpoint);
        let (pool, origin) = (row.stage().pool.clone(), row.origin());
        self.end_trial(&pool, &origin);
        let row = self.requests.get_mut(&attempt.request).expect("an attempt has its request");
        let none_ran = row.stage == 0 && row.reports[0].busy == Millis(0);
        let all_refused = row.reports[0].attempts <= row.refusals;
        if none_ran && all_refused {
            row.begun = false;
        }
        if has_running_attempt(row) {
            return;
        }
        match row.refusals < MAX_REFUSALS {
            true => self.enqueue(now, attempt.request),
            false => {
                let request = attempt.request;
                self.fail(now, request, Reason::StageFailed, "endpoints refused too often");
            }
        }
    }

    fn on_failed(&mut self, now: Time, id: AttemptId, sent: bool, detail: &str) {
        let attempt = self.end_attempt(id);
        self.record_waste(now, &attempt);
        self.report_fault(now, &attempt.endpoint, FaultKind::Failed);
        let row = self.requests.get_mut(&attempt.request).expect("an attempt has its request");
        exclude(row, &attempt.endpoint);
        if attempt.effect && sent {
            let request = attempt.request;
            self.fail(now, request, Reason::StageFailed, detail);
            return;
        }
        if attempt.effect {
            row.effect = EffectState::NotSent;
        }
        if !sent {
            row.refusals += 1;
            let all_unsent = row.stage == 0 && row.reports[0].attempts <= row.refusals;
            row.begun &= !all_unsent;
            let (pool, origin) = (row.stage().pool.clone(), row.origin());
            self.end_trial(&pool, &origin);
        }
        let row = &self.requests[&attempt.request];
        if !has_running_attempt(row) {
            self.retry(now, attempt.request, detail);
        }
    }

    /// Cancels an attempt whose connection is still open and retries the stage
    /// at another endpoint, unless the stage has an effect.
    fn abandon_attempt(&mut self, now: Time, id: AttemptId, detail: &str) {
        let attempt = &self.attempts[&id];
        let (request, endpoint, effect) =
            (attempt.request, attempt.endpoint.clone(), attempt.effect);
        self.cancel(now, id);
        self.report_fault(now, &endpoint, FaultKind::Failed);
        if effect {
            self.fail(now, request, Reason::StageFailed, detail);
            return;
        }
        exclude(self.requests.get_mut(&request).expect("the request is held"), &endpoint);
        self.retry(now, request, detail);
    }

    /// Retries a stage from the next missing piece, if the retry budget allows.
    fn retry(&mut self, now: Time, id: RequestId, detail: &str) {
        let row = self.requests.get_mut(&id).expect("the request is held");
        let tried = row.report().attempts;
        let resumes = row.pieces > 0;
        let (pool, origin) = (row.stage().pool.clone(), row.origin());
        if tried >= MAX_ATTEMPTS || row.begun && self.is_suspect(&pool, &origin) {
            self.fail(now, id, Reason::StageFailed, detail);
            return;
        }
        if !self.budget.spend(now) {
            self.stats.denied += 1;
            self.fail(now, id, Reason::StageFailed, detail);
            return;
        }
        self.stats.retries += 1;
        self.stats.resumed += u64::from(resumes);
        self.enqueue(now, id);
    }

    /// Hedges or abandons silent attempts. Stages with an effect are exempt.
    pub(super) fn hedge_silent_attempts(&mut self, now: Time) {
        let silent = |it: &Attempt| !it.hedged && !it.effect && self.is_silent(now, it);
        let ids: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, it)| silent(it)).map(|(id, _)| *id).collect();
        for id in ids {
            self.on_silent(now, id);
        }
    }

    fn is_silent(&self, now: Time, attempt: &Attempt) -> bool {
        let row = &self.requests[&attempt.request];
        let stage = row.stage();
        let size = row.submission.input.len();
        let high = self.estimator.upper_bound(&stage.pool, &stage.name, size);
        let bound = high.map_or(UNMEASURED_SILENCE, |it| it.max(MIN_SILENCE));
        now.since(attempt.last_event) > bound
    }

    /// Starts a second attempt (a hedge) if the silent one has returned no
    /// piece; otherwise abandons it, and the stream resumes at another endpoint.
    fn on_silent(&mut self, now: Time, id: AttemptId) {
        let attempt = self.attempts.get_mut(&id).expect("the attempt is held");
        attempt.hedged = true;
        let (request, endpoint) = (attempt.request, attempt.endpoint.clone());
        let begun = attempt.pieces > 0;
        if begun {
            self.abandon_attempt(now, id, "the stream went silent");
            return;
        }
        let row = self.requests.get_mut(&request).expect("the request is held");
        exclude(row, &endpoint);
        let Phase::Running { attempts } = &row.phase else {
            return;
        };
        if attempts.len() > 1 || !self.budget.spend(now) {
            self.stats.denied += 1;
            return;
        }
        if self.send_attempt(now, request, true) {
            self.stats.hedges += 1;
            self.report_fault(now, &endpoint, FaultKind::Silent);
        }
    }

    /// Cancels an attempt whose result is no longer needed.
    pub(super) fn cancel(&mut self, now: Time, id: AttemptId) {
        if !self.attempts.contains_key(&id) {
            return;
        }
        let attempt = self.remove_attempt(id);
        self.record_waste(now, &attempt);
        self.cancelling.insert(id, attempt.endpoint.clone());
        let stage = self.requests[&attempt.request].stage().name.clone();
        let ident = AttemptIdent { request: attempt.request, stage, attempt: id };
        let addr = self.picker.addr(&attempt.endpoint);
        // Without a send the call runs to its end.
        if let Some(addr) = addr.filter(|_| self.picker.take_send(now, &attempt.endpoint)) {
            self.actions.push(Action::Cancel { ident, addr });
        }
    }

    /// Removes an attempt whose connection has ended and frees its slot.
    fn end_attempt(&mut self, id: AttemptId) -> Attempt {
        let attempt = self.remove_attempt(id);
        self.picker.release(&attempt.endpoint);
        attempt
    }

    /// Removes an attempt from the tables; its slot stays taken.
    fn remove_attempt(&mut self, id: AttemptId) -> Attempt {
        let attempt = self.attempts.shift_remove(&id).expect("the attempt is held");
        if let Phase::Running { attempts } = &mut self.requests[&attempt.request].phase {
            attempts.retain(|it| *it != id);
        }
        attempt
    }

    /// Adds an attempt's endpoint time and tokens to the wasted cost.
    fn record_waste(&mut self, now: Time, attempt: &Attempt) {
        let took = now.since(attempt.started);
        let report = self.requests[&attempt.request].report();
        report.busy.0 += took.0;
        report.wasted.0 += took.0;
        report.wasted_tokens.0 += u64::from(attempt.pieces);
    }
}

fn exclude(row: &mut Request, endpoint: &EndpointName) {
    if !row.excluded.contains(endpoint) {
        row.excluded.push(endpoint.clone());
    }
}

fn has_running_attempt(row: &Request) -> bool {
    matches!(&row.phase, Phase::Running { attempts } if !attempts.is_empty())
}
