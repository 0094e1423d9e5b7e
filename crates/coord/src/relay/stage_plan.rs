//! When the stages of a request start.
//!
//! A stage starts as soon as those that it needs are done, unless its results
//! would only lie there and take up room until a longer chain is done. Such a
//! stage starts when the rest of that chain takes about as long as its own.
//! The load that this answers: large results of a short stage that is needed
//! together with the end of a long chain of stages.

use crate::{catalog::RelayStage, time::Millis};

/// How much earlier than needed a stage starts, since calls wait for others:
/// the better half of one call.
const LEAD_TIME: Millis = Millis(150);

/// How far each stage of a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StageProgress {
    #[default]
    Waiting,
    Running,
    Done,
}

/// The stages of one request with the least time that each takes.
#[derive(Debug, Clone)]
pub struct StagePlan<'a> {
    stages: &'a [RelayStage],
    durations: Vec<Millis>,
}

impl<'a> StagePlan<'a> {
    /// A plan; `durations` holds one entry a stage, zero where it is left out.
    pub fn new(stages: &'a [RelayStage], durations: Vec<Millis>) -> Self {
        Self { stages, durations }
    }

    /// The stages that should start now.
    pub fn ready(&self, progress: &[StageProgress]) -> Vec<usize> {
        let open = (0..self.stages.len()).filter(|it| progress[*it] != StageProgress::Done);
        let longest = open.map(|it| self.path_time(it)).max().unwrap_or_default();
        let is_ready = |it: &usize| {
            let needs = &self.stages[*it].after;
            progress[*it] == StageProgress::Waiting
                && needs.iter().all(|need| progress[*need] == StageProgress::Done)
                && self.path_time(*it) + LEAD_TIME >= longest
        };
        (0..self.stages.len()).filter(is_ready).collect()
    }

    /// The least time from the end of a stage to the end of the last stage.
    pub fn time_after(&self, stage: usize) -> Millis {
        let followers = stage + 1..self.stages.len();
        let followers = followers.filter(|it| self.stages[*it].after.contains(&stage));
        followers.map(|it| self.path_time(it)).max().unwrap_or_default()
    }

    fn path_time(&self, stage: usize) -> Millis {
        self.durations[stage] + self.time_after(stage)
    }
}
