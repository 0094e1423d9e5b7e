//! Runs simulated endpoints.

fn main() -> std::process::ExitCode {
    standin::run::run()
}
