//! Counts and logs what is refused or closed for lack of room or time.

use {
    metrics::counter,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// The shortest time between two log lines with the same part and reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

struct Logged {
    part: &'static str,
    reason: &'static str,
    at: Instant,
    /// Since that line.
    count: u64,
}

/// When each part and reason was logged last. There are a few dozen.
static LOGGED: Mutex<Vec<Logged>> = Mutex::new(Vec::new());

/// Counts a refused request or closed connection, and logs it with its client unless one with
/// the same part and reason was logged within a second. The next line tells how many weren't.
pub fn note_refusal(part: &'static str, reason: &'static str, from: Option<SocketAddr>) {
    counter!("mangobend_memory_refusals_total", "part" => part, "reason" => reason).increment(1);
    let now = Instant::now();
    let mut logged = LOGGED.lock().unwrap_or_else(PoisonError::into_inner);
    let found = logged.iter_mut().find(|it| it.part == part && it.reason == reason);
    let count = match found {
        Some(it) if now.duration_since(it.at) < LOG_INTERVAL => {
            it.count += 1;
            return;
        }
        Some(it) => {
            it.at = now;
            std::mem::take(&mut it.count) + 1
        }
        None => {
            logged.push(Logged { part, reason, at: now, count: 0 });
            1
        }
    };
    drop(logged);
    let from = from.map_or_else(|| "none".to_owned(), |it| it.to_string());
    log::warn!(
        of = part, reason = reason, from = from, count = count; "[memory] refused or closed"
    );
}
