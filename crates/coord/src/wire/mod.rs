//! The JSON bodies that callers, operators and endpoints exchange with an
//! instance.

mod caller;
mod endpoint;
mod operator;
mod rollout;

pub use {
    caller::{CallerAnswer, CallerError, CallerEvent, CallerRequest, StageCost},
    endpoint::{Announcement, CancelRequest, RefusalBody, RunLine, RunRequest},
    operator::{
        ChangeAnswer, ChangeRequest, ClaimView, HistoryRow, OperatorError, ResolveRequest,
        TablesView, VoterRequest,
    },
    rollout::{RolloutRow, RolloutState},
};
