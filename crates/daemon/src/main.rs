//! Runs the daemon of one instance.

fn main() -> std::process::ExitCode {
    daemon::run::run()
}
