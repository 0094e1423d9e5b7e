//! Lists the scenarios that can be run by name.

mod change;
mod claim;
mod faults;
mod path;
mod repair;
mod roll;
mod slopes;

use crate::report::Report;

/// A benchmark scenario.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    /// Runs the scenario with a seed and adds its figures to the report.
    pub run: fn(&mut Report, u64),
}

/// All scenarios, in the order of `--list`.
pub const ALL: &[Scenario] = &[
    new("path", "what one daemon adds over calling the stand-ins directly", path::run),
    new("change", "from accepted to in force everywhere", change::run),
    new("claim", "requests that run at most once beside repeatable ones", claim::run),
    new("repair", "without a leader after a kill, and a replacement", repair::run),
    new("roll", "a rolling restart under load", roll::run),
    new("steady", "0.7 of capacity", faults::steady),
    new("burst", "one team at 3 times its share", faults::burst),
    new("slow", "one endpoint of each pool 10 times slower", faults::slow),
    new("cold", "several warm endpoints go cold with no word", faults::cold),
    new("domain", "a failure domain out under 0.8 load and back", faults::domain),
    new("silent", "connections go dead with no error", faults::silent),
    new("slopes", "what control costs, by instances, endpoints, changes and claims", slopes::run),
    new("kill", "an instance and an endpoint die together", faults::kill),
];

const fn new(name: &'static str, about: &'static str, run: fn(&mut Report, u64)) -> Scenario {
    Scenario { name, about, run }
}
