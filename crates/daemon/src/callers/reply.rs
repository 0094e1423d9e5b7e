//! Replies from the core loop to a caller's task, and their form in HTTP.

use {
    coord::{
        ids::RequestId,
        router::{Failure, Finish, Outcome, Reason},
        wire::{CallerAnswer, CallerError},
    },
    hyper::StatusCode,
};

/// A part of an answer.
pub enum CallerReply {
    Piece { number: u32, data: String },
    Finish(Box<Finish>),
}

/// Converts the end of a request to an answer or an error.
pub fn into_answer(request: RequestId, finish: Finish) -> Result<CallerAnswer, CallerError> {
    let stages = finish.stages.into_iter().map(Into::into).collect();
    match finish.result {
        Ok(output) => Ok(CallerAnswer {
            request,
            outcome: Outcome::Ran,
            stored: finish.stored,
            output,
            stages,
        }),
        Err(it) => Err(CallerError { stages, ..caller_error(Some(request), it) }),
    }
}

/// Converts a failure to an error with no stage costs.
pub fn caller_error(request: Option<RequestId>, it: Failure) -> CallerError {
    CallerError {
        request,
        outcome: it.outcome,
        reason: it.reason,
        detail: it.detail,
        retry_after_ms: it.retry_after.map(|it| it.0),
        stages: Vec::new(),
    }
}

/// The HTTP status of an error. Clients may repeat a request after 503.
pub fn status_code(err: &CallerError) -> StatusCode {
    match err.reason {
        Reason::Stopping if err.outcome != Outcome::NotRun => StatusCode::BAD_GATEWAY,
        Reason::BadRequest | Reason::BadDeadline | Reason::KeyMissing => StatusCode::BAD_REQUEST,
        Reason::UnknownRoute => StatusCode::NOT_FOUND,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::KeyExpired | Reason::KeyInFuture => StatusCode::GONE,
        Reason::InProgress | Reason::KeyUnknown => StatusCode::CONFLICT,
        Reason::Overload => StatusCode::TOO_MANY_REQUESTS,
        Reason::NoLease | Reason::Stopping | Reason::KeysFull | Reason::Withheld => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::StageFailed | Reason::CallerGone => StatusCode::BAD_GATEWAY,
    }
}
