//! Requests while they are served.

use {
    super::{Outcome, StageReport},
    crate::{
        ids::{
            AttemptId, ClaimKey, Class, EndpointName, Fence, PoolName, RequestId, RouteName,
            StageName, TeamName, Tokens,
        },
        tables::Stage,
        time::{Millis, Time},
    },
    std::sync::Arc,
};

/// What a caller asks for.
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

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The answer to its claim; with `again`, when to ask once more.
    Claiming { retry_at: Option<Time> },
    /// A free slot of its stage's pool.
    Queued { since: Time },
    /// An endpoint; two while a hedge runs.
    Running { attempts: Vec<AttemptId> },
}

/// What is known of stages whose repeat matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EffectState {
    /// No such stage was sent, or each sending provably began nothing.
    NotSent,
    /// One was sent and its result isn't known.
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
    /// The pieces of the present stage, joined.
    pub output: String,
    pub pieces: u32,
    pub effect: EffectState,
    /// Whether any endpoint may have begun any stage.
    pub begun: bool,
    pub excluded: Vec<EndpointName>,
    pub refusals: u32,
    pub reports: Vec<StageReport>,
}

/// A row of the table of attempts.
#[derive(Debug)]
pub(super) struct Attempt {
    pub request: RequestId,
    pub endpoint: EndpointName,
    pub started: Time,
    pub last_event: Time,
    pub pieces: u32,
    pub effect: bool,
    pub hedged: bool,
}

impl Request {
    pub fn stage(&self) -> &Stage {
        &self.stages[self.stage]
    }

    pub fn is_last(&self) -> bool {
        self.stage + 1 == self.stages.len()
    }

    /// What may truthfully be said if the request ends now.
    pub fn outcome(&self) -> Outcome {
        match (self.effect, self.begun) {
            (EffectState::Ran, _) => Outcome::Ran,
            (EffectState::Sent, _) | (_, true) => Outcome::Unknown,
            (EffectState::NotSent, false) => Outcome::NotRun,
        }
    }

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
