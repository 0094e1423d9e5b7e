//! Runs benchmark scenarios against real daemons and compares the figures with
//! their targets.

mod load;
mod report;
mod run;
mod scenarios;
mod system;

fn main() -> std::process::ExitCode {
    run::run()
}
