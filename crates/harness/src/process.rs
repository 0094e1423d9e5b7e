//! Child processes that are killed when their handle is dropped.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

/// What lines of structured logs contain.
const LOG_MARK: &str = "\"event\":";

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Proc(Child);

impl Proc {
    /// Starts a process and returns it with its first line of output that isn't a log
    /// line. The rest, and its standard error, are appended to `errors`, if given.
    ///
    /// # Panics
    /// If the process can't be started or exits without output.
    pub fn start(command: &mut Command, errors: Option<&Path>) -> (Self, String) {
        let (mut proc, mut output) = Self::spawn_piped(command, errors);
        let mut line = String::new();
        loop {
            line.clear();
            let read = output.read_line(&mut line);
            if read.is_err() || line.is_empty() {
                let status = proc.0.wait();
                panic!("{command:?} exited without output: {status:?}");
            }
            if !line.contains(LOG_MARK) {
                break;
            }
        }
        if let Some(path) = errors {
            append_rest(output, path);
        }
        (proc, line)
    }

    /// Starts a process and returns it with a reader of its standard output,
    /// which may be left unread.
    ///
    /// # Panics
    /// If the process can't be started.
    pub fn spawn_piped(
        command: &mut Command,
        errors: Option<&Path>,
    ) -> (Self, BufReader<ChildStdout>) {
        let errors = errors.map_or_else(Stdio::null, |path| {
            File::options()
                .create(true)
                .append(true)
                .open(path)
                .expect("the log file can't be opened")
                .into()
        });
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(errors).spawn();
        let mut child = child.expect("the process can't be started");
        let output = child.stdout.take().expect("standard output is piped");
        (Self(child), BufReader::new(output))
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Kills the process and reaps it.
    pub fn kill(mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal, given by its number.
    ///
    /// # Panics
    /// If the signal can't be sent.
    pub fn signal(&self, signal: i32) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(sent.is_ok_and(|it| it.success()), "sending the signal failed");
    }

    /// Waits for the process to exit. Returns `None` on a time-out.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.0.try_wait() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Polls a condition until it holds and returns how long that took.
///
/// # Panics
/// If the condition doesn't hold within `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < timeout, "{what}: not within {timeout:?}");
        thread::sleep(Duration::from_millis(20));
    }
    start.elapsed()
}

/// Appends the rest of a process's output to a file, as it is written: daemons log there if
/// they log as JSON.
fn append_rest(mut output: BufReader<ChildStdout>, path: &Path) {
    let file = File::options().append(true).create(true).open(path);
    let mut file = file.expect("the log file can't be opened");
    thread::spawn(move || {
        // The output ends with the process.
        let _ = io::copy(&mut output, &mut file);
    });
}
