//! How long the system is without a leader, and how long a replacement takes.

use {
    crate::report::{Report, Target, quantile},
    coord::tables::{ChangeOutcome, Edit, Pool, PoolKind},
    harness::{Cluster, ClusterSpec, LONG_TIMEOUT, Operator, new_change, wait_until},
    std::time::Instant,
};

const KILLS: usize = 12;
const CHANGES: usize = 600;
const WITHOUT_LEADER_MS: f64 = 2000.0;

pub fn run(report: &mut Report, _seed: u64) {
    for voters in [3, 5] {
        let mut cluster = ClusterSpec::new(voters, 1).start();
        let mut times = without_leader(&mut cluster, voters);
        let subject = format!("{voters}_voters");
        let p50 = quantile(&mut times, 0.5);
        report.add(&subject, "without_leader_p50", p50, "ms", Target::None);
        let most = quantile(&mut times, 1.0);
        report.add(&subject, "without_leader_max", most, "ms", Target::AtMost(WITHOUT_LEADER_MS));
        let replaced = replace(&mut cluster);
        report.add(&subject, "replacement_caught_up", replaced, "ms", Target::AtMost(10_000.0));
    }
}

/// Kills the leader again and again; each time ends with an accepted change.
fn without_leader(cluster: &mut Cluster, voters: usize) -> Vec<f64> {
    let observer = cluster.daemon(voters).operator();
    (0..KILLS)
        .map(|i| {
            let leader = cluster.leader();
            cluster.kill(leader);
            let start = Instant::now();
            accept(&observer, i);
            let time = start.elapsed().as_secs_f64() * 1000.0;
            cluster.start(leader);
            cluster.wait_ready();
            time
        })
        .collect()
}

fn accept(operator: &Operator, i: usize) {
    let name = format!("p{}", i % 50).parse().expect("a name");
    let edits = vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })];
    let change = new_change(None, edits);
    wait_until("a change is accepted", LONG_TIMEOUT, || {
        matches!(operator.change(&change), Ok(ChangeOutcome::Accepted { .. }))
    });
}

/// The time from the start of a newcomer until it votes.
fn replace(cluster: &mut Cluster) -> f64 {
    let operator = cluster.operator();
    (0..CHANGES).for_each(|i| accept(&operator, i));
    let start = Instant::now();
    let fresh = cluster.add(true);
    cluster.daemon(fresh).wait_ready(LONG_TIMEOUT);
    cluster.add_voter(fresh);
    start.elapsed().as_secs_f64() * 1000.0
}
