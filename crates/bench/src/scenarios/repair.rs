//! Time without a leader after the leader is killed, and the time to replace a
//! voter.

use {
    crate::report::{Report, Target, quantile},
    coord::tables::{ChangeOutcome, Edit, Pool, PoolKind},
    harness::{Cluster, ClusterSpec, LONG_TIMEOUT, Operator, new_change, wait_until},
    std::time::Instant,
};

const KILLS: usize = 12;
/// Changes made before the replacement starts, which it has to catch up on.
const LOG_CHANGES: usize = 600;
const MAX_LEADERLESS_MS: f64 = 2000.0;

pub fn run(report: &mut Report, _seed: u64) {
    for voters in [3, 5] {
        let mut cluster = ClusterSpec::new(voters, 1).start();
        let mut times = leaderless_times(&mut cluster, voters);
        let subject = format!("{voters}_voters");
        let p50 = quantile(&mut times, 0.5);
        report.add(&subject, "without_leader_p50", p50, "ms", Target::None);
        let max = quantile(&mut times, 1.0);
        report.add(&subject, "without_leader_max", max, "ms", Target::AtMost(MAX_LEADERLESS_MS));
        let replacement_ms = replacement_time(&mut cluster);
        report.add(
            &subject,
            "replacement_caught_up",
            replacement_ms,
            "ms",
            Target::AtMost(10_000.0),
        );
    }
}

/// Kills the leader repeatedly and returns the milliseconds from each kill until
/// the next change is accepted.
fn leaderless_times(cluster: &mut Cluster, voters: usize) -> Vec<f64> {
    let observer = cluster.daemon(voters).operator();
    (0..KILLS)
        .map(|i| {
            let leader = cluster.leader();
            cluster.kill(leader);
            let start = Instant::now();
            submit_change(&observer, i);
            let elapsed_ms = start.elapsed().as_secs_f64() * 1000.0;
            cluster.start(leader);
            cluster.wait_ready();
            elapsed_ms
        })
        .collect()
}

fn submit_change(operator: &Operator, i: usize) {
    let name = format!("p{}", i % 50).parse().expect("valid name");
    let edits = vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })];
    let change = new_change(None, edits);
    wait_until("a change is accepted", LONG_TIMEOUT, || {
        matches!(operator.change(&change), Ok(ChangeOutcome::Accepted { .. }))
    });
}

/// Returns the milliseconds from the start of a new instance until it is a voter.
fn replacement_time(cluster: &mut Cluster) -> f64 {
    let operator = cluster.operator();
    (0..LOG_CHANGES).for_each(|i| submit_change(&operator, i));
    let start = Instant::now();
    let added = cluster.add(true);
    cluster.daemon(added).wait_ready(LONG_TIMEOUT);
    cluster.add_voter(added);
    start.elapsed().as_secs_f64() * 1000.0
}
