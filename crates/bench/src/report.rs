//! Prints figures as JSON lines, each with its target.

use serde::Serialize;

/// The bound that a figure must meet.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    AtLeast(f64),
    AtMost(f64),
    /// No bound; the figure is printed for comparison.
    None,
}

/// One printed figure.
#[derive(Serialize)]
struct FigureLine<'a> {
    scenario: &'a str,
    seed: u64,
    /// What the figure belongs to, such as a policy.
    subject: &'a str,
    figure: &'a str,
    value: f64,
    unit: &'a str,
    target: Target,
    holds: bool,
}

/// Prints the figures of one scenario run and counts the missed targets.
pub struct Report {
    scenario: &'static str,
    seed: u64,
    missed_targets: u32,
}

impl Report {
    /// Creates a report without figures.
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self { scenario, seed, missed_targets: 0 }
    }

    /// Prints a figure and checks it against its target.
    pub fn add(&mut self, subject: &str, figure: &str, value: f64, unit: &str, target: Target) {
        let holds = match target {
            Target::AtLeast(bound) => value >= bound,
            Target::AtMost(bound) => value <= bound,
            Target::None => true,
        };
        self.missed_targets += u32::from(!holds);
        let (scenario, seed) = (self.scenario, self.seed);
        let line = FigureLine { scenario, seed, subject, figure, value, unit, target, holds };
        println!("{}", serde_json::to_string(&line).expect("figure serializes to JSON"));
    }

    /// Returns whether all targets were met.
    pub fn all_targets_met(self) -> bool {
        self.missed_targets == 0
    }
}

/// Returns the `q` quantile of the values (0.5 is the median), and NaN if there
/// are none. Sorts the values in place.
pub fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_unstable_by(f64::total_cmp);
    let index = (q * (values.len() - 1) as f64).round() as usize;
    values[index]
}
