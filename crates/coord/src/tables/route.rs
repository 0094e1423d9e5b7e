//! Routes: the stages that each kind of request runs through.

use {
    crate::{
        ids::{PoolName, RouteName, StageName},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    snafu::{Snafu, ensure},
};

/// The most stages that a route may have.
pub const MAX_STAGES: usize = 16;
/// The longest deadline that a route may allow.
pub const MAX_DEADLINE: Millis = Millis(120_000);

/// One step of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    pub name: StageName,
    pub pool: PoolName,
    /// The stages that must finish first. If empty, the preceding stage in the
    /// list must.
    #[serde(default)]
    pub after: Vec<StageName>,
    /// Whether the stage has side effects, so that it must run at most once per
    /// key.
    #[serde(default)]
    pub effect: bool,
}

/// A row of the route table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: RouteName,
    pub stages: Vec<Stage>,
    /// The longest deadline that a request may set.
    pub deadline: Millis,
}

/// The reason why a route is invalid. The texts are stored in the history.
#[derive(Debug, Snafu)]
#[snafu(module(error), context(suffix(false)), visibility(pub(crate)))]
pub enum RouteError {
    #[snafu(display("route {route} has {count} stages, allowed are 1 to {MAX_STAGES}"))]
    StageCount { route: RouteName, count: usize },
    #[snafu(display(
        "route {route} has a deadline of {deadline}, allowed are 1ms to {MAX_DEADLINE}"
    ))]
    Deadline { route: RouteName, deadline: Millis },
    #[snafu(display("route {route} names stage {stage} twice"))]
    DuplicateStage { route: RouteName, stage: StageName },
    #[snafu(display("route {route} refers to stage {stage}, which it doesn't have"))]
    UnknownStage { route: RouteName, stage: StageName },
    #[snafu(display("route {route} has a cycle through stage {stage}"))]
    Cycle { route: RouteName, stage: StageName },
}

impl Route {
    /// Whether a stage has side effects. Requests on such a route run at most
    /// once and need a key.
    pub fn has_effect(&self) -> bool {
        self.stages.iter().any(|it| it.effect)
    }

    /// Validates the route by itself and returns its stages in execution order.
    /// Whether its pools exist is not checked.
    ///
    /// # Errors
    /// The stage count or deadline is out of range, a stage name is duplicate or
    /// unknown, or the stages form a cycle.
    pub fn sorted_stages(&self) -> Result<Vec<Stage>, RouteError> {
        let route = &self.name;
        let count = self.stages.len();
        ensure!(
            (1..=MAX_STAGES).contains(&count),
            error::StageCount { route: route.clone(), count }
        );
        let deadline = self.deadline;
        ensure!(
            deadline > Millis(0) && deadline <= MAX_DEADLINE,
            error::Deadline { route: route.clone(), deadline }
        );
        self.check_names()?;
        self.topological_sort()
    }

    fn check_names(&self) -> Result<(), RouteError> {
        for (i, stage) in self.stages.iter().enumerate() {
            let duplicate = self.stages[..i].iter().any(|it| it.name == stage.name);
            ensure!(
                !duplicate,
                error::DuplicateStage { route: self.name.clone(), stage: stage.name.clone() }
            );
            for name in &stage.after {
                let known = self.stages.iter().any(|it| it.name == *name);
                ensure!(
                    known,
                    error::UnknownStage { route: self.name.clone(), stage: name.clone() }
                );
            }
        }
        Ok(())
    }

    fn topological_sort(&self) -> Result<Vec<Stage>, RouteError> {
        let mut pending: Vec<(usize, &Stage)> = self.stages.iter().enumerate().collect();
        let mut sorted: Vec<Stage> = Vec::new();
        while !pending.is_empty() {
            let ready = pending.iter().position(|(i, stage)| self.is_ready(*i, stage, &sorted));
            let Some(ready) = ready else {
                let stage = pending[0].1.name.clone();
                return error::Cycle { route: self.name.clone(), stage }.fail();
            };
            sorted.push(pending.remove(ready).1.clone());
        }
        Ok(sorted)
    }

    fn is_ready(&self, i: usize, stage: &Stage, done: &[Stage]) -> bool {
        let is_done = |name: &StageName| done.iter().any(|it| it.name == *name);
        match (stage.after.is_empty(), i) {
            (true, 0) => true,
            (true, _) => is_done(&self.stages[i - 1].name),
            (false, _) => stage.after.iter().all(is_done),
        }
    }
}
