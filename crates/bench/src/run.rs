//! Parses the command line and runs the chosen scenario.

use {
    crate::{report::Report, scenarios},
    lexopt::{Arg, Parser, ValueExt},
    snafu::{ResultExt, Snafu},
    std::process::ExitCode,
};

const HELP: &str = "usage: bench NAME [--seed N] | bench --list\n";
const DEFAULT_SEED: u64 = 1;

#[derive(Debug, Snafu)]
enum BenchError {
    #[snafu(display("{source}\n{HELP}"))]
    Usage { source: lexopt::Error },
    #[snafu(display("there is no scenario {name:?}; see --list"))]
    UnknownScenario { name: String },
}

/// Runs one scenario and exits with 0 if all targets are met, 1 if one is
/// missed, and 2 after a usage error.
pub fn run() -> ExitCode {
    match run_scenario() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("bench: {err}");
            ExitCode::from(2)
        }
    }
}

fn run_scenario() -> Result<bool, BenchError> {
    let (mut name, mut seed) = (None, DEFAULT_SEED);
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next().context(UsageSnafu)? {
        match arg {
            Arg::Long("list") => {
                scenarios::ALL.iter().for_each(|it| println!("{:<10}{}", it.name, it.about));
                return Ok(true);
            }
            Arg::Long("seed") => {
                seed = parser.value().and_then(|it| it.parse()).context(UsageSnafu)?;
            }
            Arg::Value(it) => name = Some(it.string().context(UsageSnafu)?),
            other => return Err(other.unexpected()).context(UsageSnafu),
        }
    }
    let name = name.unwrap_or_default();
    let Some(scenario) = scenarios::ALL.iter().find(|it| it.name == name) else {
        return UnknownScenarioSnafu { name }.fail();
    };
    let mut report = Report::new(scenario.name, seed);
    (scenario.run)(&mut report, seed);
    Ok(report.all_targets_met())
}
