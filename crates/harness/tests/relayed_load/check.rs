//! What may come of a request that was sent whole.

use {
    harness::Exchange,
    std::time::{Duration, Instant},
};

/// A request may cross the close of its connection if it was sent this shortly before.
const CROSSING: Duration = Duration::from_millis(200);

/// When a request reached the endpoints that run requests.
pub type Runs<'a> = &'a [Instant];

/// Returns what was done wrong to a request, if anything. `is_cut` is whether its connection
/// may have been cut for a reason of its own.
pub fn find_fault(it: &Exchange, runs: Runs, is_cut: bool) -> Option<&'static str> {
    match (it.response.complete, it.response.status) {
        _ if runs.len() > 1 => Some("has run twice"),
        (true, 503) if !runs.is_empty() => Some("was refused and has run"),
        (true, _) => None,
        (false, _) if is_cut => None,
        (false, 0) if it.response.body.is_empty() && has_crossed(it, runs) => None,
        (false, _) => Some("has no whole answer"),
    }
}

/// Whether a request met the close of its connection and went no further.
fn has_crossed(it: &Exchange, runs: Runs) -> bool {
    runs.is_empty() && it.ended_at - it.sent_at <= CROSSING
}
