//! Control instances that are replaced for good again and again, at new addresses.

use {
    coord::{
        ids::Version,
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
    },
    harness::{Cluster, ClusterSpec, Daemon, LONG_TIMEOUT, new_change, wait_until},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const VOTERS: usize = 5;
const OTHERS: usize = 3;
/// An accepted change is in force everywhere after this time.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// The time after a loss in which the instances may be out of touch.
const CONTACT: Duration = Duration::from_secs(3);

fn start() -> Cluster {
    let mut spec = ClusterSpec::new(VOTERS, OTHERS);
    spec.args = ["--mend-voters", "on"].map(ToOwned::to_owned).to_vec();
    spec.start()
}

/// Makes a change and returns its version and when it was accepted.
fn accept_change(cluster: &Cluster, round: usize) -> (Version, Instant) {
    let name = format!("p{round}").parse().expect("a valid name");
    let change = new_change(None, vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })]);
    let mut accepted = None;
    wait_until("the change is accepted", LONG_TIMEOUT, || {
        accepted = cluster.daemons().find_map(|it| match it.operator().change(&change) {
            Ok(ChangeOutcome::Accepted { version }) => Some((version, Instant::now())),
            _ => None,
        });
        accepted.is_some()
    });
    accepted.expect("wait_until returned without a version")
}

/// The version of the tables by which an instance decides.
fn version_in_force(daemon: &Daemon) -> u64 {
    let metrics = daemon.operator().metrics();
    let value = metrics.lines().find_map(|it| it.strip_prefix("mangobend_tables_version "));
    value.and_then(|it| it.trim().parse().ok()).unwrap_or_default()
}

/// Takes the leader and the voters after it in the list away for good, and returns the
/// instances in which a change made since isn't in force in time.
fn remove_and_change(cluster: &mut Cluster, count: usize, round: usize) -> Vec<String> {
    let leader = cluster.leader();
    let voters = (0..cluster.instances.len()).filter(|it| {
        cluster.instances[*it].daemon.is_some() && cluster.instances[*it].spec.data.is_some()
    });
    let others = voters.filter(|it| *it != leader);
    let gone: Vec<usize> = [leader].into_iter().chain(others).take(count).collect();
    let began = Instant::now();
    gone.into_iter().for_each(|it| cluster.remove(it));
    let (version, accepted_at) = accept_change(cluster, round);
    let due = (accepted_at + APPLY_TIME).max(began + CONTACT);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let late = cluster.daemons().filter(|it| version_in_force(it) < version.0);
    late.map(|it| format!("round {round}: {} lacks {version}", it.spec.name)).collect()
}

/// Replaces the leader, and with it others, several times; returns who was late.
fn replace_repeatedly(count: usize, rounds: usize) -> Vec<String> {
    let mut cluster = start();
    let mut late = Vec::new();
    for round in 0..rounds {
        late.extend(remove_and_change(&mut cluster, count, round));
        (0..count).for_each(|_| {
            cluster.add(true);
        });
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
