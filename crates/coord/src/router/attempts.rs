//! What comes of attempts: pieces, ends, refusals, failures and silence.

use {
    super::{
        AttemptEvent, Effect, Finish, Ident, Reason, Router,
        request::{Attempt, EffectState, Phase, Request},
    },
    crate::{
        claims::{Answer, Settlement},
        control::FaultKind,
        ids::{AttemptId, EndpointName, RequestId, Tokens},
        time::{Millis, Time},
    },
};

/// No attempt counts as silent before this time.
const SILENT_MIN: Millis = Millis(400);
/// Silence that counts when no time was ever measured.
const SILENT_UNKNOWN: Millis = Millis(2000);
/// How often one request may be refused as not run and queued again.
const MAX_REFUSALS: u32 = 8;
/// The longest output of one stage, in bytes.
pub const MAX_OUTPUT: usize = 8 << 20;
/// How often one stage may be tried in all.
const MAX_ATTEMPTS: u32 = 4;

impl Router {
    /// Takes in what came of an attempt.
    pub fn on_attempt(&mut self, now: Time, id: AttemptId, event: AttemptEvent) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.on_late(now, id, &event);
            return;
        };
        attempt.heard = now;
        let request = attempt.request;
        match event {
            AttemptEvent::Piece { ident, number, data } => {
                if self.is_own(request, id, &ident) {
                    self.on_piece(now, id, number, data);
                }
            }
            AttemptEvent::Done { ident, pieces, tokens } => {
                if self.is_own(request, id, &ident) {
                    self.on_done(now, id, pieces, tokens);
                }
            }
            AttemptEvent::Refused { cold } => self.on_refused(now, id, cold),
            AttemptEvent::Failed { sent, detail } => self.on_failed(now, id, sent, &detail),
        }
        self.dispatch(now);
    }

    fn on_late(&mut self, now: Time, id: AttemptId, event: &AttemptEvent) {
        if matches!(event, AttemptEvent::Piece { .. }) {
            self.stats.late += 1;
            return;
        }
        if let Some(endpoint) = self.ending.shift_remove(&id) {
            self.picker.release(&endpoint);
            self.dispatch(now);
        }
    }

    /// Whether a line belongs to the attempt whose connection brought it.
    fn is_own(&mut self, request: RequestId, id: AttemptId, ident: &Ident) -> bool {
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
            self.give_up(now, id, "pieces came out of order");
            return;
        }
        if row.output.len() + data.len() > MAX_OUTPUT {
            self.cancel(now, id);
            self.fail(now, request, Reason::StageFailed, "the stage's output is too long");
            return;
        }
        row.pieces += 1;
        row.output.push_str(&data);
        let shown = row.is_last() && row.ask.stream;
        self.attempts[&id].pieces += 1;
        self.keep_only(now, request, id);
        if shown {
            self.effects.push(Effect::Piece { request, number, data });
        }
    }

    /// The attempt that brings the first piece wins; others are cancelled.
    fn keep_only(&mut self, now: Time, request: RequestId, id: AttemptId) {
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
        self.keep_only(now, request, id);
        let attempt = self.take_attempt(id);
        let took = now.since(attempt.started);
        let row = self.requests.get_mut(&request).expect("an attempt has its request");
        let report = row.report();
        report.busy.0 += took.0;
        report.tokens.0 += tokens.0;
        report.endpoint = Some(attempt.endpoint.clone());
        let (stage, size) = (row.stage().clone(), row.ask.input.len());
        let mean = self.estimator.mean(&stage.pool, &stage.name, size);
        self.picker.measure(&attempt.endpoint, took, mean);
        self.estimator.measure(&stage.pool, &stage.name, size, took);
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
        row.failed.clear();
        self.enqueue(now, id);
    }

    fn finish(&mut self, id: RequestId) {
        let row = self.requests.shift_remove(&id).expect("the request is held");
        if let (Some(key), Some(fence)) = (row.ask.key, row.fence) {
            let answer = Answer { output: row.output.clone() };
            self.settle(key, fence, Settlement::Ran(answer));
        }
        let finish = Finish { result: Ok(row.output), stored: false, stages: row.reports };
        self.effects.push(Effect::Finish { request: id, finish: Box::new(finish) });
    }

    /// The endpoint began nothing, so even what runs once may go elsewhere.
    fn on_refused(&mut self, now: Time, id: AttemptId, cold: bool) {
        let attempt = self.take_attempt(id);
        if cold {
            self.stats.refused_cold += 1;
            self.report_trouble(now, &attempt.endpoint, FaultKind::Refused);
        } else {
            self.picker.rest(now, &attempt.endpoint);
        }
        let row = self.requests.get_mut(&attempt.request).expect("an attempt has its request");
        row.refusals += 1;
        if attempt.effect {
            row.effect = EffectState::NotSent;
        }
        avoid(row, &attempt.endpoint);
        let first = row.stage == 0 && row.reports[0].busy == Millis(0);
        let alone = row.reports[0].attempts <= row.refusals;
        if first && alone {
            row.begun = false;
        }
        if is_running(row) {
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
        let attempt = self.take_attempt(id);
        self.waste(now, &attempt);
        self.report_trouble(now, &attempt.endpoint, FaultKind::Failed);
        let row = self.requests.get_mut(&attempt.request).expect("an attempt has its request");
        avoid(row, &attempt.endpoint);
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
            let alone = row.stage == 0 && row.reports[0].attempts <= row.refusals;
            row.begun &= !alone;
        }
        if !is_running(row) {
            self.retry(now, attempt.request, detail);
        }
    }

    /// Gives up an attempt whose connection goes on, and tries elsewhere.
    fn give_up(&mut self, now: Time, id: AttemptId, detail: &str) {
        let attempt = &self.attempts[&id];
        let (request, endpoint, effect) =
            (attempt.request, attempt.endpoint.clone(), attempt.effect);
        self.cancel(now, id);
        self.report_trouble(now, &endpoint, FaultKind::Failed);
        if effect {
            self.fail(now, request, Reason::StageFailed, detail);
            return;
        }
        avoid(self.requests.get_mut(&request).expect("the request is held"), &endpoint);
        self.retry(now, request, detail);
    }

    /// Tries a stage again under the budget, from the next piece on.
    fn retry(&mut self, now: Time, id: RequestId, detail: &str) {
        let row = self.requests.get_mut(&id).expect("the request is held");
        let tried = row.report().attempts;
        let middle = row.pieces > 0;
        if tried >= MAX_ATTEMPTS {
            self.fail(now, id, Reason::StageFailed, detail);
            return;
        }
        if !self.budget.spend(now) {
            self.stats.denied += 1;
            self.fail(now, id, Reason::StageFailed, detail);
            return;
        }
        self.stats.retries += 1;
        self.stats.resumed += u64::from(middle);
        self.enqueue(now, id);
    }

    /// Looks for attempts that have gone silent and starts a second one.
    pub(super) fn check_silence(&mut self, now: Time) {
        let silent = |it: &Attempt| !it.hedged && !it.effect && self.is_silent(now, it);
        let ids: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, it)| silent(it)).map(|(id, _)| *id).collect();
        for id in ids {
            self.hedge(now, id);
        }
    }

    fn is_silent(&self, now: Time, attempt: &Attempt) -> bool {
        let row = &self.requests[&attempt.request];
        let stage = row.stage();
        let size = row.ask.input.len();
        let high = self.estimator.high(&stage.pool, &stage.name, size);
        let bound = high.map_or(SILENT_UNKNOWN, |it| it.max(SILENT_MIN));
        now.since(attempt.heard) > bound
    }

    /// Before its first piece a silent attempt gets a rival; after that it is
    /// given up, and the stream goes on elsewhere.
    fn hedge(&mut self, now: Time, id: AttemptId) {
        let attempt = self.attempts.get_mut(&id).expect("the attempt is held");
        attempt.hedged = true;
        let (request, endpoint) = (attempt.request, attempt.endpoint.clone());
        let begun = attempt.pieces > 0;
        if begun {
            self.give_up(now, id, "the stream went silent");
            return;
        }
        let row = self.requests.get_mut(&request).expect("the request is held");
        avoid(row, &endpoint);
        let Phase::Running { attempts } = &row.phase else {
            return;
        };
        if attempts.len() > 1 || !self.budget.spend(now) {
            self.stats.denied += 1;
            return;
        }
        if self.send(now, request, true) {
            self.stats.hedges += 1;
            self.report_trouble(now, &endpoint, FaultKind::Silent);
        }
    }

    /// Ends an attempt whose result is no longer wanted.
    pub(super) fn cancel(&mut self, now: Time, id: AttemptId) {
        if !self.attempts.contains_key(&id) {
            return;
        }
        let attempt = self.drop_attempt(id);
        self.waste(now, &attempt);
        self.ending.insert(id, attempt.endpoint.clone());
        let stage = self.requests[&attempt.request].stage().name.clone();
        let ident = Ident { request: attempt.request, stage, attempt: id };
        if let Some(addr) = self.picker.addr(&attempt.endpoint) {
            self.effects.push(Effect::Cancel { ident, addr });
        }
    }

    /// Takes an attempt whose connection has ended out of the table.
    fn take_attempt(&mut self, id: AttemptId) -> Attempt {
        let attempt = self.drop_attempt(id);
        self.picker.release(&attempt.endpoint);
        attempt
    }

    fn drop_attempt(&mut self, id: AttemptId) -> Attempt {
        let attempt = self.attempts.shift_remove(&id).expect("the attempt is held");
        if let Phase::Running { attempts } = &mut self.requests[&attempt.request].phase {
            attempts.retain(|it| *it != id);
        }
        attempt
    }

    fn waste(&mut self, now: Time, attempt: &Attempt) {
        let took = now.since(attempt.started);
        let report = self.requests[&attempt.request].report();
        report.busy.0 += took.0;
        report.wasted.0 += took.0;
        report.wasted_tokens.0 += u64::from(attempt.pieces);
    }
}

fn avoid(row: &mut Request, endpoint: &EndpointName) {
    if !row.failed.contains(endpoint) {
        row.failed.push(endpoint.clone());
    }
}

fn is_running(row: &Request) -> bool {
    matches!(&row.phase, Phase::Running { attempts } if !attempts.is_empty())
}
