//! Claims of idempotency keys for requests that run at most once.

use {
    super::{
        Action, ClaimParams, Finish, Outcome, Reason, Router,
        request::{EffectState, Phase, Request},
    },
    crate::{
        claims::{Answer, ClaimError, ClaimOutcome, RequestDigest, Settlement},
        ids::{ClaimKey, Fence, RequestId},
        time::{Millis, Time},
    },
};

/// The interval at which an undecided claim, or one whose key is held by a
/// running request, is repeated.
const CLAIM_RETRY_INTERVAL: Millis = Millis(150);

impl Router {
    /// Handles the reply to a claim. A claim granted after its request has
    /// ended is settled as not run.
    pub fn on_claim_result(
        &mut self,
        now: Time,
        id: RequestId,
        key: ClaimKey,
        result: Result<ClaimOutcome, ClaimError>,
    ) {
        let claiming = |it: &&mut Request| matches!(it.phase, Phase::Claiming { .. });
        let Some(request) = self.requests.get_mut(&id).filter(claiming) else {
            if let Ok(ClaimOutcome::Granted { fence }) = result {
                self.settle(key, fence, Settlement::NotRun);
            }
            return;
        };
        match result {
            Ok(ClaimOutcome::Granted { fence }) => {
                request.fence = Some(fence);
                self.enqueue(now, id);
            }
            Ok(ClaimOutcome::Running) => {
                request.phase = Phase::Claiming { retry_at: Some(now + CLAIM_RETRY_INTERVAL) };
            }
            Ok(ClaimOutcome::Ran(answer)) => self.finish_stored(id, answer),
            Ok(ClaimOutcome::Unknown | ClaimOutcome::Settled) => {
                let outcome = Outcome::Unknown;
                self.fail_with_outcome(
                    id,
                    outcome,
                    Reason::KeyUnknown,
                    "the first run's outcome is unknown",
                );
            }
            Err(err) => {
                self.fail_with_outcome(id, Outcome::NotRun, reason_for(&err), &err.to_string())
            }
        }
    }

    /// Schedules a repeat of a claim that got no reply. It may have been
    /// granted; repeating it with the same request ID is safe.
    pub fn on_claim_unanswered(&mut self, now: Time, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && matches!(request.phase, Phase::Claiming { .. })
        {
            request.phase = Phase::Claiming { retry_at: Some(now + CLAIM_RETRY_INTERVAL) };
        }
    }

    pub(super) fn request_claim(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("the request is held");
        request.phase = Phase::Claiming { retry_at: None };
        let submission = &request.submission;
        let params = ClaimParams {
            key: submission.key.expect("only a request with a key is claimed"),
            digest: RequestDigest::of(&submission.route, &submission.team, &submission.input),
            route: submission.route.clone(),
            team: submission.team.clone(),
        };
        self.actions.push(Action::Claim { request: id, params });
    }

    fn finish_stored(&mut self, request: RequestId, answer: Answer) {
        self.requests.shift_remove(&request);
        let finish = Finish { result: Ok(answer.output), stored: true, stages: Vec::new() };
        self.actions.push(Action::Finish { request, finish: Box::new(finish) });
    }

    /// Settles the claim of a failed request, if it holds one.
    pub(super) fn settle_failed(&mut self, request: &Request) {
        let (Some(key), Some(fence)) = (request.submission.key, request.fence) else {
            return;
        };
        let settlement = match request.effect {
            EffectState::NotSent => Settlement::NotRun,
            EffectState::Sent => Settlement::Unknown,
            EffectState::Ran => Settlement::Ran(Answer { output: request.output.clone() }),
        };
        self.settle(key, fence, settlement);
    }

    pub(super) fn settle(&mut self, key: ClaimKey, fence: Fence, settlement: Settlement) {
        self.actions.push(Action::Settle { key, fence, settlement });
    }
}

fn reason_for(err: &ClaimError) -> Reason {
    match err {
        ClaimError::Mismatch => Reason::KeyReused,
        ClaimError::Expired => Reason::KeyExpired,
        ClaimError::Future => Reason::KeyInFuture,
        ClaimError::Full => Reason::KeysFull,
        ClaimError::NotOpen => Reason::KeyUnknown,
    }
}
