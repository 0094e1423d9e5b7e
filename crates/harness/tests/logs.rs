//! Log output to a pipe whose reader has stopped reading.

mod fixture;

use {
    fixture::new_request,
    harness::{Addrs, Caller, DaemonSpec, LONG_TIMEOUT, Operator, Proc, TempDir, wait_until},
    std::{
        io::{BufRead, BufReader},
        process::ChildStdout,
        time::{Duration, Instant},
    },
};

/// More requests, with a log line each, than fit into the queue of log lines and the
/// pipe together.
const REQUESTS: usize = 20_000;
/// A request with an unknown route is refused without waiting for anything, so a longer
/// time means that it was blocked by the log.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Starts an instance that logs to a pipe, and reads its output up to the line with its
/// addresses.
fn start_logging_to_pipe(folder: &TempDir) -> (Proc, BufReader<ChildStdout>, Addrs) {
    let spec = DaemonSpec {
        name: "a".to_owned(),
        domain: "north".to_owned(),
        data: Some(folder.path().join("a")),
        args: ["--log-format", "json"].map(ToOwned::to_owned).to_vec(),
        ..DaemonSpec::default()
    };
    let (proc, mut output) = Proc::spawn_piped(&mut spec.command(), None);
    let mut line = String::new();
    let addrs = loop {
        line.clear();
        output.read_line(&mut line).expect("the daemon prints its addresses");
        if let Ok(addrs) = serde_json::from_str(&line) {
            break addrs;
        }
    };
    (proc, output, addrs)
}

/// A full pipe blocks the log writer. If requests waited for it, a stopped reader of the
/// log would stop the instance.
#[test]
fn a_blocked_log_reader_loses_lines_and_delays_no_request() {
    let folder = TempDir::new();
    let (proc, mut output, addrs) = start_logging_to_pipe(&folder);
    Operator::new(addrs.operator).bootstrap().expect("the system is bootstrapped");
    let caller = Caller::new(addrs.caller);
    wait_until("it is ready", LONG_TIMEOUT, || caller.is_ready());
    let request = new_request("nowhere", "x");

    let times: Vec<Duration> = (0..REQUESTS)
        .map(|_| {
            let began = Instant::now();
            assert!(
                caller.send(&request).failure().is_some(),
                "the route doesn't exist, but the request wasn't refused"
            );
            began.elapsed()
        })
        .collect();
    let dropped = read_until(&mut output, "lines dropped");

    let delayed = times.iter().filter(|it| **it > MAX_RESPONSE_TIME).count();
    assert_eq!(delayed, 0, "the longest took {:?}", times.iter().max());
    assert!(
        dropped.is_some_and(|it| it.contains("\"count\":")),
        "the dropped lines are not counted"
    );
    proc.kill();
}

/// Reads up to the first line that contains `pattern`.
fn read_until(output: &mut BufReader<ChildStdout>, pattern: &str) -> Option<String> {
    let end = Instant::now() + LONG_TIMEOUT;
    while Instant::now() < end {
        let mut line = String::new();
        if output.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.contains(pattern) {
            return Some(line);
        }
    }
    None
}
