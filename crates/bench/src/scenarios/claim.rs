//! What a claim adds to a request that runs at most once.

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
const WORKERS: usize = 32;
const TIME: Duration = Duration::from_secs(8);
const SYNCS: usize = 200;
/// What a claim may add to the median.
const ADDED_P50_MS: f64 = 30.0;

pub fn run(report: &mut Report, _seed: u64) {
    let mut sync = sync_times();
    report.add("disk", "sync_p50", quantile(&mut sync, 0.5), "ms", Target::None);
    let system = System::start(Deployment::kilimo(), "shares");
    let callers = system.callers();
    let (mut once, mut plain) = (Vec::new(), Vec::new());
    for i in 0..ROUNDS {
        let caller = &callers[i % callers.len()];
        once.extend(ask(caller, "ledger", i));
        plain.extend(ask(caller, "booking", i));
    }
    for (part, name) in [(0.5, "p50"), (0.99, "p99")] {
        let (with, without) = (quantile(&mut once, part), quantile(&mut plain, part));
        report.add("repeatable", name, without, "ms", Target::None);
        report.add("at_most_once", name, with, "ms", Target::None);
        let target = if part == 0.5 { Target::AtMost(ADDED_P50_MS) } else { Target::None };
        report.add("at_most_once", &format!("added_{name}"), with - without, "ms", target);
    }
    report.add(
        "at_most_once",
        "whole",
        once.len() as f64,
        "requests",
        Target::AtLeast(ROUNDS as f64),
    );
    let (rate, sent) = rate(&callers);
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

fn request(route: &str, i: usize) -> CallerRequest {
    CallerRequest {
        route: route.parse().expect("a name"),
        team: "desk".parse().expect("a name"),
        class: Class::Interactive,
        deadline_ms: 4000,
        key: (route == "ledger").then(ClaimKey::generate),
        stream: false,
        input: format!("{route} {i}"),
    }
}

/// The time of a whole answer, in milliseconds.
fn ask(caller: &Caller, route: &str, i: usize) -> Option<f64> {
    let start = Instant::now();
    let answer = caller.send(&request(route, i));
    answer.complete().map(|_| start.elapsed().as_secs_f64() * 1000.0)
}

/// Whole answers a second with many callers at once, and their number.
fn rate(callers: &[Caller]) -> (f64, usize) {
    let serial = Arc::new(AtomicUsize::new(ROUNDS));
    let start = Instant::now();
    let threads: Vec<_> = (0..WORKERS)
        .map(|i| {
            let (caller, serial) = (callers[i % callers.len()].clone(), serial.clone());
            thread::spawn(move || {
                let mut done = 0;
                while start.elapsed() < TIME {
                    let i = serial.fetch_add(1, Ordering::Relaxed);
                    done += usize::from(ask(&caller, "ledger", i).is_some());
                }
                done
            })
        })
        .collect();
    let done: usize = threads.into_iter().map(|it| it.join().expect("an end")).sum();
    (done as f64 / start.elapsed().as_secs_f64(), done)
}

fn sync_times() -> Vec<f64> {
    let folder = TempDir::new();
    let mut file = File::create(folder.path().join("probe")).expect("a file");
    (0..SYNCS)
        .map(|_| {
            file.write_all(&[1; 512]).expect("bytes are written");
            let start = Instant::now();
            file.sync_data().expect("the file is synced");
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect()
}
