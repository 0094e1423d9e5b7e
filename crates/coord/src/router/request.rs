//! Requests and attempts in progress.

use {
    super::{Outcome, RequestOrigin, StageReport},
    crate::{
        ids::{
            AttemptId, ClaimKey, Class, EndpointName, Fence, Generation, PoolName, RequestId,
            RouteName, StageName, TeamName, Tokens,
        },
        streams::StreamOrigin,
        tables::Stage,
        time::{Millis, Time},
    },
    std::sync::Arc,
};

/// A request as submitted by a caller.
#[derive(Debug, Clone)]
pub struct Submission {
    pub id: RequestId,
    pub route: RouteName,
    pub team: TeamName,
    pub class: Class,
    pub deadline: Millis,
    pub key: Option<ClaimKey>,
    pub input: Arc<str>,
    pub stream: bool,
}

impl Submission {
    /// Returns what makes it the same as another request.
    pub fn origin(&self) -> RequestOrigin {
        RequestOrigin {
            route: self.route.clone(),
            team: self.team.clone(),
            input: self.input.clone(),
        }
    }
}

/// What a request is waiting for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The reply to its claim; `retry_at` is when to repeat the claim, if it
    /// is to be repeated.
    Claiming { retry_at: Option<Time> },
    /// A free slot in its stage's pool.
    Queued { since: Time },
    /// The answer of an endpoint; there are two attempts while a hedge runs.
    Running { attempts: Vec<AttemptId> },
}

/// Whether a request's stage with an effect ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EffectState {
    /// It was not sent, or no endpoint began it.
    NotSent,
    /// It was sent and its result is unknown.
    Sent,
    Ran,
}

/// A row of the table of requests.
#[derive(Debug)]
pub(super) struct Request {
    pub submission: Submission,
    pub deadline: Time,
    pub stages: Vec<Stage>,
    pub stage: usize,
    pub phase: Phase,
    pub fence: Option<Fence>,
    pub input: Arc<str>,
    /// The pieces of the current stage, joined.
    pub output: String,
    /// The number of pieces in `output`.
    pub pieces: u32,
    /// What the pieces came from; the stage is resumed only there.
    pub began: Option<StreamOrigin>,
    pub effect: EffectState,
    /// Whether any endpoint may have begun any stage.
    pub begun: bool,
    /// Endpoints that refused or failed the current stage.
    pub excluded: Vec<EndpointName>,
    pub refusals: u32,
    pub reports: Vec<StageReport>,
}

/// A row of the table of attempts.
#[derive(Debug)]
pub(super) struct Attempt {
    pub request: RequestId,
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub origin: StreamOrigin,
    pub started: Time,
    pub last_event: Time,
    pub pieces: u32,
    /// Whether the stage has an effect.
    pub effect: bool,
    /// Whether it is a hedge or was already hedged.
    pub hedged: bool,
}

impl Request {
    pub fn origin(&self) -> RequestOrigin {
        self.submission.origin()
    }

    pub fn stage(&self) -> &Stage {
        &self.stages[self.stage]
    }

    pub fn is_last(&self) -> bool {
        self.stage + 1 == self.stages.len()
    }

    /// The outcome if the request ends now.
    pub fn outcome(&self) -> Outcome {
        match (self.effect, self.begun) {
            (EffectState::Ran, _) => Outcome::Ran,
            (EffectState::Sent, _) | (_, true) => Outcome::Unknown,
            (EffectState::NotSent, false) => Outcome::NotRun,
        }
    }

    /// The report of the current stage, added if missing.
    pub fn report(&mut self) -> &mut StageReport {
        let stage = &self.stages[self.stage];
        if self.reports.len() <= self.stage {
            self.reports.push(new_report(stage.name.clone(), stage.pool.clone()));
        }
        &mut self.reports[self.stage]
    }
}

fn new_report(stage: StageName, pool: PoolName) -> StageReport {
    StageReport {
        stage,
        pool,
        endpoint: None,
        attempts: 0,
        busy: Millis(0),
        wasted: Millis(0),
        tokens: Tokens(0),
        wasted_tokens: Tokens(0),
        queued: Millis(0),
    }
}
