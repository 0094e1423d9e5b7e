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
const AHEAD: Millis = Millis(150);

/// How far each stage of a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Progress {
    #[default]
    Waiting,
    Running,
    Done,
}

/// The stages of one request with the least time that each takes.
#[derive(Debug, Clone)]
pub struct Plan<'a> {
    stages: &'a [RelayStage],
    times: Vec<Millis>,
}

impl<'a> Plan<'a> {
    /// A plan; `times` holds one entry a stage, zero where it is left out.
    pub fn new(stages: &'a [RelayStage], times: Vec<Millis>) -> Self {
        Self { stages, times }
    }

    /// The stages that should start now.
    pub fn due(&self, progress: &[Progress]) -> Vec<usize> {
        let open = (0..self.stages.len()).filter(|it| progress[*it] != Progress::Done);
        let longest = open.map(|it| self.chain(it)).max().unwrap_or_default();
        let is_ready = |it: &usize| {
            let needs = &self.stages[*it].after;
            progress[*it] == Progress::Waiting
                && needs.iter().all(|need| progress[*need] == Progress::Done)
                && self.chain(*it) + AHEAD >= longest
        };
        (0..self.stages.len()).filter(is_ready).collect()
    }

    /// The least time from the end of a stage to the end of the last stage.
    pub fn tail(&self, stage: usize) -> Millis {
        let followers = stage + 1..self.stages.len();
        let followers = followers.filter(|it| self.stages[*it].after.contains(&stage));
        followers.map(|it| self.chain(it)).max().unwrap_or_default()
    }

    fn chain(&self, stage: usize) -> Millis {
        self.times[stage] + self.tail(stage)
    }
}
