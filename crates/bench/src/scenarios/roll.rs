//! A restart of all instances one by one under load.

use {
    crate::{
        load::{Ended, Shape, plan, send},
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

const TERM: i32 = 15;
const TIME: Duration = Duration::from_secs(45);
const LOAD: f64 = 0.5;

pub fn run(report: &mut Report, seed: u64) {
    let mut system = System::start(Deployment::kilimo(), "shares");
    warm_up(&system, seed);
    let rate = LOAD * capacity(&system.user);
    let shape = Shape { rate, time: TIME, once: 0.05, burst: None };
    let requests = plan(&system.user, shape, system.cluster.instances.len(), seed);
    let callers = system.callers();
    let sender = thread::spawn(move || send(requests, &callers));
    let start = Instant::now();
    let count = system.cluster.instances.len();
    for i in 0..count {
        system.cluster.daemon(i).proc.signal(TERM);
        let instance = &mut system.cluster.instances[i];
        let status = instance.daemon.as_mut().expect("it runs").proc.wait(LONG_TIMEOUT);
        assert!(status.is_some_and(|it| it.success()), "an instance ends well");
        instance.daemon = None;
        system.cluster.start(i);
        system.cluster.daemon(i).wait_ready(LONG_TIMEOUT);
    }
    report.add(
        "all_instances",
        "rolled",
        start.elapsed().as_secs_f64(),
        "s",
        Target::AtMost(TIME.as_secs_f64()),
    );
    let ended = sender.join().expect("the load ends");
    show(report, &ended, &system);
}

fn show(report: &mut Report, ended: &[Ended], system: &System) {
    let cut = ended.iter().filter(|it| it.is_broken()).count();
    let failed = ended.iter().filter_map(|it| it.answer.failure());
    let refused = failed.clone().filter(|it| it.reason == Reason::Stopping).count();
    let unknown = failed.filter(|it| it.outcome == Outcome::Unknown).count();
    let good = ended.iter().filter(|it| it.is_good()).count();
    let zero = Target::AtMost(0.0);
    report.add("load", "requests", ended.len() as f64, "requests", Target::None);
    report.add("load", "cut_off", cut as f64, "requests", zero);
    report.add("load", "unknown", unknown as f64, "requests", zero);
    report.add("load", "refused_as_stopping", refused as f64, "requests", Target::None);
    report.add(
        "load",
        "attainment",
        good as f64 / ended.len() as f64,
        "ratio",
        Target::AtLeast(0.95),
    );
    report.add("load", "false_not_run", false_not_run(ended, system) as f64, "requests", zero);
}

/// Requests that were said not to have run and whose effect was counted.
pub fn false_not_run(ended: &[Ended], system: &System) -> usize {
    let records = system.stand_ins.records().into_iter();
    let effects: Vec<String> = records.flat_map(|(_, it)| it.effects).collect();
    let said = ended.iter().filter(|it| {
        it.answer.failure().is_some_and(|it| it.outcome == Outcome::NotRun)
            && it.planned.request.key.is_some()
    });
    said.filter(|it| effects.contains(&it.planned.request.input)).count()
}
