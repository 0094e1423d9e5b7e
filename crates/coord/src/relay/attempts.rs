//! What follows when an attempt at an endpoint has ended.

use crate::catalog::{RelayRoute, RetryPolicy};

/// The most times that one request is sent, those that were refused unrun
/// included.
const MOST_SENDS: u32 = 4;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
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
pub enum Next {
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
    retry: RetryPolicy,
    /// Runs that are left.
    runs: u32,
    sends: u32,
    /// Whether some attempt may have run.
    begun: bool,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(route: &RelayRoute) -> Self {
        Self { retry: route.retry, runs: route.max_attempts.max(1), sends: 0, begun: false }
    }

    /// Whether the next send repeats an earlier one.
    pub fn is_repeat(&self) -> bool {
        self.sends > 0
    }

    /// Notes that the request is being sent.
    pub fn send(&mut self) {
        self.sends += 1;
    }

    /// Whether some attempt may have run, so that a refusal would be untrue.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Decides what follows on an attempt.
    pub fn end(&mut self, ended: Ended) -> Next {
        let ran = matches!(ended, Ended::Failed | Ended::Unknown);
        if ran {
            self.runs = self.runs.saturating_sub(1);
            self.begun = true;
        }
        let repeatable = !ran || self.retry.is_retryable();
        if repeatable && self.runs > 0 && self.sends < MOST_SENDS {
            return Next::Retry;
        }
        self.give_up(ended)
    }

    /// What the caller is told when nothing more is tried.
    pub fn give_up(&self, ended: Ended) -> Next {
        match ended {
            Ended::Failed => Next::Pass,
            _ if self.begun => Next::Fail,
            _ => Next::Refuse,
        }
    }
}
