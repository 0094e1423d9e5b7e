//! Control instances that are replaced for good again and again, at new addresses.

use {
    harness::{Cluster, ClusterSpec},
    std::time::Instant,
};

const VOTERS: usize = 5;
const OTHERS: usize = 3;

fn start() -> Cluster {
    let mut spec = ClusterSpec::new(VOTERS, OTHERS);
    spec.args = ["--mend-voters", "on"].map(ToOwned::to_owned).to_vec();
    spec.start()
}

/// Replaces the leader, and with it the voters after it in the list, several times. Returns
/// the instances in which a change made after a loss wasn't in force in time.
fn replace_repeatedly(count: usize, rounds: usize) -> Vec<String> {
    let mut cluster = start();
    let mut late = Vec::new();
    for round in 0..rounds {
        let leader = cluster.leader();
        let gone: Vec<usize> = (0..count).map(|it| (leader + it) % VOTERS).collect();

        let loss = Instant::now();
        gone.iter().for_each(|it| cluster.remove(*it));
        let found = cluster.instances_late_after(loss);

        late.extend(found.into_iter().map(|it| format!("round {round}: {it}")));
        gone.iter().for_each(|it| cluster.start_successor(*it));
        cluster.wait_mended();
        cluster.wait_ready();
    }
    late
}

/// Instances that lost the leader asked the addresses of all that were ever removed, one
/// after the other, and went on by old tables meanwhile.
#[test]
fn a_new_leader_is_found_in_time_after_many_pairs_were_replaced() {
    let late = replace_repeatedly(2, 5);

    assert!(late.is_empty(), "{}", late.join("\n"));
}

#[test]
fn a_new_leader_is_found_in_time_after_many_single_leaders_were_replaced() {
    let late = replace_repeatedly(1, 6);

    assert!(late.is_empty(), "{}", late.join("\n"));
}
