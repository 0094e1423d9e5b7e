//! What follows when an attempt at an endpoint has ended.

use crate::catalog::{RelayRoute, Repeat};

/// The most times that one request is sent, those that were refused unrun
/// included.
const MAX_SENDS: u32 = 4;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request has left.
    NotSent,
    /// The endpoint says that it has not run the request and won't.
    NotRun,
    /// The endpoint ran it and says that it failed.
    Failed,
    /// It was sent and may have run.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Send it to another endpoint, if the budget allows.
    Retry,
    /// Tell the caller that it has not run.
    Refuse,
    /// Pass the endpoint's own failure on.
    Pass,
    /// Tell the caller that its outcome isn't known.
    Fail,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    repeat: Repeat,
    /// Runs that are left.
    runs_left: u32,
    sends: u32,
    /// Whether some attempt may have run.
    may_have_run: bool,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(route: &RelayRoute) -> Self {
        Self {
            repeat: route.repeat,
            runs_left: route.attempts.max(1),
            sends: 0,
            may_have_run: false,
        }
    }

    /// Whether the next send repeats an earlier one.
    pub fn is_repeat(&self) -> bool {
        self.sends > 0
    }

    /// Notes that the request is being sent.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Whether some attempt may have run, so that a refusal would be untrue.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Decides what follows on an attempt.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) -> NextAction {
        let may_have_run = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Unknown);
        if may_have_run {
            self.runs_left = self.runs_left.saturating_sub(1);
            self.may_have_run = true;
        }
        let repeatable = !may_have_run || self.repeat.is_repeatable();
        if repeatable && self.runs_left > 0 && self.sends < MAX_SENDS {
            return NextAction::Retry;
        }
        self.give_up(outcome)
    }

    /// What the caller is told when nothing more is tried.
    pub fn give_up(&self, outcome: AttemptOutcome) -> NextAction {
        match outcome {
            AttemptOutcome::Failed => NextAction::Pass,
            _ if self.may_have_run => NextAction::Fail,
            _ => NextAction::Refuse,
        }
    }
}
