//! Checks what callers got during planned stops.

use {
    super::{STOP_BOUND, Stop, System},
    crate::relayed_load::{Runs, find_fault, has_last_event},
    harness::Exchange,
    std::time::{Duration, Instant},
};

/// Added to the end of a process for callers that are scheduled late.
const READ_SLACK: Duration = Duration::from_millis(300);
const TIME_LIMIT: &str = "The time limit has passed";
const CUT_OFF: &str = "is cut off by the end of the stop";

/// Returns one line for each request that was lost, refused untruly or run twice, and for each
/// stop that didn't end as it should.
pub fn check_exchanges(system: &System, exchanges: &[Exchange], stops: &[Stop]) -> Vec<String> {
    let arrivals = system.endpoints.arrivals();
    let mut findings = Vec::new();
    for it in exchanges {
        let runs = arrivals.get(&it.id).map_or(&[][..], Vec::as_slice);
        let fault = find_fault(it, runs, is_running_stream(it, runs, stops));
        let late = it.response.complete && is_too_late(it, stops);
        let fault = fault.or(late.then_some("was answered after the end"));
        findings.extend(fault.map(|fault| describe(it, fault, runs, stops)));
    }
    for it in stops {
        if !it.is_in_time() {
            findings.push(format!("{}: ended with {:?}", it.instance, it.status));
        }
        let cut = it.log.lines().filter(|it| it.contains(CUT_OFF));
        let wrong: Vec<&str> = cut.clone().filter(|it| !it.contains("stream-")).collect();
        findings.extend(wrong.iter().map(|line| format!("{}: {line}", it.instance)));
        if it.log.contains(TIME_LIMIT) && cut.count() == 0 {
            findings.push(format!("{}: the time limit passed without a stream", it.instance));
        }
    }
    findings
}

/// Whether an answer of a run that was stopped came after its process had ended.
fn is_too_late(it: &Exchange, stops: &[Stop]) -> bool {
    let of_run = |stop: &&Stop| stop.instance == it.instance && it.sent_at < stop.ended;
    let ended = stops.iter().filter(of_run).map(|it| it.ended).min();
    ended.is_some_and(|ended| it.ended_at > ended + READ_SLACK)
}

/// Whether a stream was cut at the end of a stop, while its endpoint was still sending.
fn is_running_stream(it: &Exchange, runs: Runs, stops: &[Stop]) -> bool {
    let at_end = |stop: &&Stop| {
        let limit = stop.began + STOP_BOUND;
        it.instance == stop.instance
            && it.sent_at < stop.ended
            && it.ended_at + READ_SLACK > limit.min(stop.ended)
    };
    it.response.status == 200
        && it.id.starts_with("stream-")
        && runs.len() == 1
        && !has_last_event(&it.id, &it.response.text())
        && stops.iter().any(|it| at_end(&it))
}

fn describe(it: &Exchange, fault: &str, runs: Runs, stops: &[Stop]) -> String {
    let since = |at: Instant| match stops.iter().find(|stop| stop.instance == it.instance) {
        Some(stop) if at >= stop.began => format!("{:?} after SIGTERM", at - stop.began),
        Some(stop) => format!("{:?} before SIGTERM", stop.began - at),
        None => "without a stop".to_owned(),
    };
    format!(
        "{} at {} {fault}: sent {}, ended {}, {} runs, status {}, {} bytes",
        it.id,
        it.instance,
        since(it.sent_at),
        since(it.ended_at),
        runs.len(),
        it.response.status,
        it.response.body.len()
    )
}
