//! Time from the acceptance of a change until it is in force on all instances.

use {
    crate::{
        report::{Report, Target, quantile},
        system::{NON_VOTERS, VOTERS},
    },
    coord::{
        ids::Version,
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
    },
    harness::{Cluster, ClusterSpec, Fault, LONG_TIMEOUT, Operator, new_change, wait_until},
    std::time::Instant,
};

const ROUNDS: usize = 60;
const SEQUENTIAL_CHANGES: u64 = 2000;
const MAX_IN_FORCE_MS: f64 = 5000.0;
const MAX_IN_FORCE_P50_MS: f64 = 1000.0;

pub fn run(report: &mut Report, _seed: u64) {
    let mut cluster = ClusterSpec::new(VOTERS, NON_VOTERS).start();
    let fault_free = in_force_times(&cluster.operator(), ROUNDS);
    add_in_force_figures(report, "quiet", fault_free);
    let silent = Fault { drop_in: true, drop_out: true, ..Fault::default() };
    cluster.set_fault(VOTERS + 1, silent);
    cluster.kill(VOTERS + 2);
    let operator = cluster.operator();
    let mut faulty = in_force_times(&operator, 2);
    cluster.start(VOTERS + 2);
    faulty.extend(in_force_times(&operator, 6));
    cluster.clear_fault(VOTERS + 1);
    faulty.extend(in_force_times(&operator, 6));
    add_in_force_figures(report, "one_cut_off_one_restarts", faulty);
    cluster.wait_ready();
    add_sequential_figures(report, &cluster);
}

fn add_in_force_figures(report: &mut Report, subject: &str, mut times: Vec<f64>) {
    report.add(
        subject,
        "in_force_p50",
        quantile(&mut times, 0.5),
        "ms",
        Target::AtMost(MAX_IN_FORCE_P50_MS),
    );
    report.add(
        subject,
        "in_force_max",
        quantile(&mut times, 1.0),
        "ms",
        Target::AtMost(MAX_IN_FORCE_MS),
    );
}

/// Makes changes one at a time and returns the milliseconds from the acceptance
/// of each until it is in force on all instances.
fn in_force_times(operator: &Operator, count: usize) -> Vec<f64> {
    (0..count)
        .map(|i| {
            let version = submit_change(operator, i as u64);
            let start = Instant::now();
            wait_until("a change is in force", LONG_TIMEOUT, || {
                operator.status().is_ok_and(|it| it.in_force.is_some_and(|it| it >= version))
            });
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect()
}

/// Submits a change until it is accepted, and returns its version.
fn submit_change(operator: &Operator, i: u64) -> Version {
    let name = format!("p{}", i % 20).parse().expect("valid name");
    let kind = if i.is_multiple_of(2) { PoolKind::Model } else { PoolKind::Service };
    let change = new_change(None, vec![Edit::PutPool(Pool { name, kind })]);
    let mut version = None;
    wait_until("a change is accepted", LONG_TIMEOUT, || {
        if let Ok(ChangeOutcome::Accepted { version: it }) = operator.change(&change) {
            version = Some(it);
        }
        version.is_some()
    });
    version.expect("the change was accepted")
}

/// Makes changes through all instances in turn, and adds the rate and the numbers
/// of lost and reverted changes.
fn add_sequential_figures(report: &mut Report, cluster: &Cluster) {
    let operators: Vec<Operator> = cluster.daemons().map(|it| it.operator()).collect();
    let before = operators[0].tables().expect("tables are readable").version;
    let start = Instant::now();
    let (mut last, mut reverted) = (before, 0);
    for i in 0..SEQUENTIAL_CHANGES {
        let version = submit_change(&operators[i as usize % operators.len()], i);
        reverted += u32::from(version <= last);
        last = last.max(version);
    }
    let rate = SEQUENTIAL_CHANGES as f64 / start.elapsed().as_secs_f64();
    let lost = before.0 + SEQUENTIAL_CHANGES - last.0;
    report.add("in_a_row", "rate", rate, "1/s", Target::None);
    report.add("in_a_row", "lost", lost as f64, "changes", Target::AtMost(0.0));
    report.add("in_a_row", "reverted", f64::from(reverted), "changes", Target::AtMost(0.0));
}
