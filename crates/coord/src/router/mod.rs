//! Request routing on one instance: runs the stages of each request as attempts
//! at endpoints, under one deadline.

mod action;
mod admission;
mod answer;
mod attempts;
mod budget;
mod claiming;
mod estimate;
mod picker;
mod queue;
mod request;
#[allow(clippy::module_inception)]
mod router;
mod stats;

pub use {
    action::{Action, AttemptEvent, AttemptIdent, ClaimParams, EndpointCall, RequestOrigin},
    answer::{Failure, Finish, Outcome, Reason, StageReport},
    attempts::MAX_OUTPUT_BYTES,
    budget::{RetryBudget, RetryBudgetConfig},
    estimate::Estimator,
    picker::{Candidate, Picker, Policy, PolicyError},
    queue::{FairQueue, QueueFull, Waiter},
    request::Submission,
    router::{Limits, RETRY_AFTER_STOPPING, Router},
    stats::Stats,
};
