//! The operators' command-line tool.

mod client;
mod command;
mod error;
mod run;
mod show;

fn main() -> std::process::ExitCode {
    run::run()
}
