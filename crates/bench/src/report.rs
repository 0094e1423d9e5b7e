//! Figures as JSON lines, each beside its target.

use serde::Serialize;

/// What a figure must be.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    AtLeast(f64),
    AtMost(f64),
    /// Shown for comparison only.
    None,
}

/// One figure.
#[derive(Serialize)]
struct FigureLine<'a> {
    scenario: &'a str,
    seed: u64,
    /// What was measured, such as a policy.
    subject: &'a str,
    figure: &'a str,
    value: f64,
    unit: &'a str,
    target: Target,
    holds: bool,
}

/// The figures of one run.
pub struct Report {
    scenario: &'static str,
    seed: u64,
    missed_targets: u32,
}

impl Report {
    /// A report without figures.
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self { scenario, seed, missed_targets: 0 }
    }

    /// Prints a figure.
    pub fn add(&mut self, subject: &str, figure: &str, value: f64, unit: &str, target: Target) {
        let holds = match target {
            Target::AtLeast(bound) => value >= bound,
            Target::AtMost(bound) => value <= bound,
            Target::None => true,
        };
        self.missed_targets += u32::from(!holds);
        let (scenario, seed) = (self.scenario, self.seed);
        let line = FigureLine { scenario, seed, subject, figure, value, unit, target, holds };
        println!("{}", serde_json::to_string(&line).expect("a figure can be written as JSON"));
    }

    /// Whether all targets were met.
    pub fn all_targets_met(self) -> bool {
        self.missed_targets == 0
    }
}

/// The value that a part of the sorted values lie at or below.
pub fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_unstable_by(f64::total_cmp);
    let index = (q * (values.len() - 1) as f64).round() as usize;
    values[index]
}
