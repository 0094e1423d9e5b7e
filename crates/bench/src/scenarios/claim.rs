//! Latency that the claim adds to an at-most-once request, and the rate of such
//! requests.

use {
    crate::{
        report::{Report, Target, quantile},
        system::System,
    },
    coord::{
        ids::{ClaimKey, Class},
        wire::CallerRequest,
    },
    harness::{Caller, Deployment, TempDir},
    std::{
        fs::File,
        io::Write,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ROUNDS: usize = 200;
const CONCURRENT_CALLERS: usize = 32;
const RATE_DURATION: Duration = Duration::from_secs(8);
const SYNC_SAMPLES: usize = 200;
/// Most latency that a claim may add to the median.
const MAX_ADDED_P50_MS: f64 = 30.0;

pub fn run(report: &mut Report, _seed: u64) {
    let mut sync_ms = sync_times_ms();
    report.add("disk", "sync_p50", quantile(&mut sync_ms, 0.5), "ms", Target::None);
    let system = System::start(Deployment::kilimo(), "shares");
    let callers = system.callers();
    let (mut once_ms, mut plain_ms) = (Vec::new(), Vec::new());
    for i in 0..ROUNDS {
        let caller = &callers[i % callers.len()];
        once_ms.extend(answer_ms(caller, "ledger", i));
        plain_ms.extend(answer_ms(caller, "booking", i));
    }
    for (q, name) in [(0.5, "p50"), (0.99, "p99")] {
        let (with, without) = (quantile(&mut once_ms, q), quantile(&mut plain_ms, q));
        report.add("repeatable", name, without, "ms", Target::None);
        report.add("at_most_once", name, with, "ms", Target::None);
        let target = if q == 0.5 { Target::AtMost(MAX_ADDED_P50_MS) } else { Target::None };
        report.add("at_most_once", &format!("added_{name}"), with - without, "ms", target);
    }
    report.add(
        "at_most_once",
        "whole",
        once_ms.len() as f64,
        "requests",
        Target::AtLeast(ROUNDS as f64),
    );
    let (rate, sent) = concurrent_rate(&callers);
    report.add("at_most_once", "rate", rate, "1/s", Target::None);
    let records = system.stand_ins.records().into_iter();
    let mut effects: Vec<String> = records.flat_map(|(_, it)| it.effects).collect();
    let ledger = |it: &String| it.starts_with("ledger");
    effects.retain(ledger);
    let count = effects.len();
    effects.sort_unstable();
    effects.dedup();
    let doubled = (count - effects.len()) as f64;
    report.add("at_most_once", "doubled", doubled, "effects", Target::AtMost(0.0));
    let lost = (sent + ROUNDS).saturating_sub(effects.len()) as f64;
    report.add("at_most_once", "answered_without_effect", lost, "effects", Target::AtMost(0.0));
}

fn new_request(route: &str, i: usize) -> CallerRequest {
    CallerRequest {
        route: route.parse().expect("valid name"),
        team: "desk".parse().expect("valid name"),
        class: Class::Interactive,
        deadline_ms: 4000,
        key: (route == "ledger").then(ClaimKey::generate),
        stream: false,
        input: format!("{route} {i}"),
    }
}

/// Sends a request and returns its latency in milliseconds, or `None` if the
/// answer is incomplete.
fn answer_ms(caller: &Caller, route: &str, i: usize) -> Option<f64> {
    let start = Instant::now();
    let answer = caller.send(&new_request(route, i));
    answer.complete().map(|_| start.elapsed().as_secs_f64() * 1000.0)
}

/// Returns the rate of complete answers per second with concurrent callers, and
/// their number.
fn concurrent_rate(callers: &[Caller]) -> (f64, usize) {
    let next_input = Arc::new(AtomicUsize::new(ROUNDS));
    let start = Instant::now();
    let threads: Vec<_> = (0..CONCURRENT_CALLERS)
        .map(|i| {
            let (caller, next_input) = (callers[i % callers.len()].clone(), next_input.clone());
            thread::spawn(move || {
                let mut done = 0;
                while start.elapsed() < RATE_DURATION {
                    let i = next_input.fetch_add(1, Ordering::Relaxed);
                    done += usize::from(answer_ms(&caller, "ledger", i).is_some());
                }
                done
            })
        })
        .collect();
    let done: usize =
        threads.into_iter().map(|it| it.join().expect("caller thread doesn't panic")).sum();
    (done as f64 / start.elapsed().as_secs_f64(), done)
}

/// Measures how long the disk takes to sync a write of 512 bytes, in milliseconds.
fn sync_times_ms() -> Vec<f64> {
    let folder = TempDir::new();
    let mut file = File::create(folder.path().join("probe")).expect("probe file is created");
    (0..SYNC_SAMPLES)
        .map(|_| {
            file.write_all(&[1; 512]).expect("probe file is written");
            let start = Instant::now();
            file.sync_data().expect("probe file is synced");
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect()
}
