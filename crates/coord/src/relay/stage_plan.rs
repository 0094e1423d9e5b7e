//! Schedules the stages of a request.
//!
//! A stage starts as soon as the stages that it depends on are done, unless its
//! results would occupy room while a longer path of stages is still running. Such
//! a stage is delayed until the rest of that path takes about as long as its own:
//! a short stage with large results would otherwise hold them for the whole
//! duration of the longer path.

use crate::{catalog::RelayStage, time::Millis};

/// How much earlier than needed a stage starts, since its pieces wait for running
/// calls: more than half of a call.
const LEAD_TIME: Millis = Millis(150);

/// Progress of one stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StageProgress {
    #[default]
    Waiting,
    Running,
    Done,
}

/// The stages of one request with the expected duration of each.
#[derive(Debug, Clone)]
pub struct StagePlan<'a> {
    stages: &'a [RelayStage],
    durations: Vec<Millis>,
}

impl<'a> StagePlan<'a> {
    /// Creates a plan; `durations` holds one entry per stage, zero for a stage
    /// without pieces.
    pub fn new(stages: &'a [RelayStage], durations: Vec<Millis>) -> Self {
        Self { stages, durations }
    }

    /// Returns the indexes of the stages that should start now.
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

    /// Returns the expected time from the end of a stage to the end of the stages
    /// that depend on it.
    pub fn time_after(&self, stage: usize) -> Millis {
        let followers = stage + 1..self.stages.len();
        let followers = followers.filter(|it| self.stages[*it].after.contains(&stage));
        followers.map(|it| self.path_time(it)).max().unwrap_or_default()
    }

    /// Returns the expected time from now to the end of the last stage. `elapsed` is for how
    /// long a running stage has run.
    pub fn time_left(
        &self,
        progress: &[StageProgress],
        elapsed: impl Fn(usize) -> Millis,
    ) -> Millis {
        let left = |stage: usize| match progress[stage] {
            StageProgress::Waiting => self.path_time(stage),
            StageProgress::Running => {
                let rest = self.durations[stage].0.saturating_sub(elapsed(stage).0);
                Millis(rest) + self.time_after(stage)
            }
            StageProgress::Done => Millis(0),
        };
        (0..self.stages.len()).map(left).max().unwrap_or_default()
    }

    fn path_time(&self, stage: usize) -> Millis {
        self.durations[stage] + self.time_after(stage)
    }
}
