//! Rolling restart of all instances under load.

use {
    crate::{
        load::{LoadSpec, RequestResult, plan, run_plan},
        report::{Report, Target},
        scenarios::faults::{capacity, warm_up},
        system::System,
    },
    coord::router::{Outcome, Reason},
    harness::{Deployment, LONG_TIMEOUT},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const SIGTERM: i32 = 15;
const LOAD_DURATION: Duration = Duration::from_secs(45);
/// Offered load as a fraction of the capacity.
const LOAD_FACTOR: f64 = 0.5;

pub fn run(report: &mut Report, seed: u64) {
    let mut system = System::start(Deployment::kilimo(), "shares");
    warm_up(&system, seed);
    let rate = LOAD_FACTOR * capacity(&system.deployment);
    let load_spec =
        LoadSpec { rate, duration: LOAD_DURATION, once_fraction: 0.05, burst_factor: None };
    let requests = plan(&system.deployment, load_spec, system.cluster.instances.len(), seed);
    let callers = system.callers();
    let sender = thread::spawn(move || run_plan(requests, &callers));
    let start = Instant::now();
    let count = system.cluster.instances.len();
    for i in 0..count {
        system.cluster.daemon(i).proc.signal(SIGTERM);
        let instance = &mut system.cluster.instances[i];
        let status = instance.daemon.as_mut().expect("instance is running").proc.wait(LONG_TIMEOUT);
        assert!(status.is_some_and(|it| it.success()), "instance {i} exits with {status:?}");
        instance.daemon = None;
        system.cluster.start(i);
        system.cluster.daemon(i).wait_ready(LONG_TIMEOUT);
    }
    report.add(
        "all_instances",
        "rolled",
        start.elapsed().as_secs_f64(),
        "s",
        Target::AtMost(LOAD_DURATION.as_secs_f64()),
    );
    let results = sender.join().expect("load thread doesn't panic");
    add_load_figures(report, &results, &system);
}

fn add_load_figures(report: &mut Report, results: &[RequestResult], system: &System) {
    let cut = results.iter().filter(|it| it.is_broken()).count();
    let failed = results.iter().filter_map(|it| it.answer.failure());
    let refused = failed.clone().filter(|it| it.reason == Reason::Stopping).count();
    let unknown = failed.filter(|it| it.outcome == Outcome::Unknown).count();
    let good = results.iter().filter(|it| it.is_good()).count();
    let zero = Target::AtMost(0.0);
    report.add("load", "requests", results.len() as f64, "requests", Target::None);
    report.add("load", "cut_off", cut as f64, "requests", zero);
    report.add("load", "unknown", unknown as f64, "requests", zero);
    report.add("load", "refused_as_stopping", refused as f64, "requests", Target::None);
    report.add(
        "load",
        "attainment",
        good as f64 / results.len() as f64,
        "ratio",
        Target::AtLeast(0.95),
    );
    report.add("load", "false_not_run", false_not_run(results, system) as f64, "requests", zero);
}

/// Counts the at-most-once requests that were reported as not run although a
/// stand-in recorded their effect.
pub fn false_not_run(results: &[RequestResult], system: &System) -> usize {
    let records = system.stand_ins.records().into_iter();
    let effects: Vec<String> = records.flat_map(|(_, it)| it.effects).collect();
    let reported = results.iter().filter(|it| {
        it.answer.failure().is_some_and(|it| it.outcome == Outcome::NotRun)
            && it.planned.request.key.is_some()
    });
    reported.filter(|it| effects.contains(&it.planned.request.input)).count()
}
