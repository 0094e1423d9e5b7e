//! From a change's acceptance to its being in force everywhere.

use {
    crate::{
        report::{Report, Target, quantile},
        system::{OTHERS, VOTERS},
    },
    coord::{
        ids::Version,
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
    },
    harness::{Cluster, ClusterSpec, Fault, LONG_TIMEOUT, Operator, new_change, wait_until},
    std::time::Instant,
};

const ROUNDS: usize = 60;
const IN_A_ROW: u64 = 2000;
const EACH_MS: f64 = 5000.0;
const P50_MS: f64 = 1000.0;

pub fn run(report: &mut Report, _seed: u64) {
    let mut cluster = ClusterSpec::new(VOTERS, OTHERS).start();
    let quiet = times(&cluster.operator(), ROUNDS);
    show(report, "quiet", quiet);
    let silent = Fault { drop_in: true, drop_out: true, ..Fault::default() };
    cluster.set_fault(VOTERS + 1, silent);
    cluster.kill(VOTERS + 2);
    let operator = cluster.operator();
    let mut rough = times(&operator, 2);
    cluster.start(VOTERS + 2);
    rough.extend(times(&operator, 6));
    cluster.clear_fault(VOTERS + 1);
    rough.extend(times(&operator, 6));
    show(report, "one_cut_off_one_restarts", rough);
    cluster.wait_ready();
    in_a_row(report, &cluster);
}

fn show(report: &mut Report, subject: &str, mut times: Vec<f64>) {
    report.add(subject, "in_force_p50", quantile(&mut times, 0.5), "ms", Target::AtMost(P50_MS));
    report.add(subject, "in_force_max", quantile(&mut times, 1.0), "ms", Target::AtMost(EACH_MS));
}

/// Makes changes one by one and waits until each is in force everywhere.
fn times(operator: &Operator, count: usize) -> Vec<f64> {
    (0..count)
        .map(|i| {
            let version = accept(operator, i as u64);
            let start = Instant::now();
            wait_until("a change is in force", LONG_TIMEOUT, || {
                operator.status().is_ok_and(|it| it.in_force.is_some_and(|it| it >= version))
            });
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect()
}

fn accept(operator: &Operator, i: u64) -> Version {
    let name = format!("p{}", i % 20).parse().expect("a name");
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

fn in_a_row(report: &mut Report, cluster: &Cluster) {
    let operators: Vec<Operator> = cluster.daemons().map(|it| it.operator()).collect();
    let before = operators[0].tables().expect("the tables").version;
    let start = Instant::now();
    let (mut last, mut reverted) = (before, 0);
    for i in 0..IN_A_ROW {
        let version = accept(&operators[i as usize % operators.len()], i);
        reverted += u32::from(version <= last);
        last = last.max(version);
    }
    let rate = IN_A_ROW as f64 / start.elapsed().as_secs_f64();
    let lost = before.0 + IN_A_ROW - last.0;
    report.add("in_a_row", "rate", rate, "1/s", Target::None);
    report.add("in_a_row", "lost", lost as f64, "changes", Target::AtMost(0.0));
    report.add("in_a_row", "reverted", f64::from(reverted), "changes", Target::AtMost(0.0));
}
