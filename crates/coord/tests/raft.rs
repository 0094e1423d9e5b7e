//! Raft under lost, duplicated and reordered messages, partitions and crashes.

mod raft_cluster;

use {
    coord::{ids::Index, ids::NodeId, raft::Entry},
    quickcheck::{Gen, QuickCheck},
    raft_cluster::{Faults, RaftCluster},
};

const NO_FAULTS: Faults = Faults { loss: 0, duplicate: 0, crash: 0, partition: 0 };
const HEAVY_FAULTS: Faults = Faults { loss: 60, duplicate: 60, crash: 12, partition: 12 };
/// Seed of the schedule generator.
const SEED: u64 = 5900;

/// Checks a property over schedules generated from a fixed seed.
fn check(runs: u64, property: fn(u64) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(1000, SEED)).tests(runs).quickcheck(property);
}

/// A cluster in which all nodes have become voters.
fn full_cluster(voters: u64, seed: u64) -> RaftCluster {
    let mut cluster = RaftCluster::new(voters, seed);
    for _ in 0..400 {
        cluster.run(20, NO_FAULTS);
        if cluster.add_next_voter() {
            return cluster;
        }
    }
    panic!("not all nodes became voters");
}

/// Whether committed entries keep their index through faults, and the recovered
/// cluster still commits new ones.
fn keeps_committed(voters: u64, seed: u64) -> bool {
    let mut cluster = full_cluster(voters, seed);
    for round in 0..400 {
        cluster.propose();
        cluster.run(12, HEAVY_FAULTS);
        if round % 31 == 0 {
            let ids = cluster.ids();
            cluster.compact(ids[round % ids.len()]);
        }
    }
    let before: Vec<Entry> = cluster.committed.values().cloned().collect();
    cluster.recover();
    let (_, at) = cluster.propose().expect("the leader takes proposals after recovery");
    cluster.run(400, NO_FAULTS);
    let kept = before.iter().all(|it| cluster.committed.get(&it.index) == Some(it));
    kept && cluster.committed.contains_key(&at)
}

#[test]
fn three_voters_keep_committed_entries() {
    check(120, |seed| keeps_committed(3, seed));
}

#[test]
fn five_voters_keep_committed_entries() {
    check(120, |seed| keeps_committed(5, seed));
}

#[test]
fn a_lease_ends_before_another_leader_is_elected() {
    check(60, |seed| {
        let mut cluster = full_cluster(3, seed);
        let old = cluster.recover();
        cluster.isolate(old);
        for _ in 0..4000 {
            cluster.run(1, NO_FAULTS);
            let others = cluster.ids().into_iter().filter(|id| *id != old);
            let elected = others.into_iter().any(|id| cluster.raft(id).has_committed_in_term());
            let now = cluster.now;
            let leased = cluster.raft(old).lease().is_some_and(|it| it > now);
            if elected {
                return !leased;
            }
        }
        false
    });
}

#[test]
fn a_voter_that_lags_behind_a_snapshot_catches_up() {
    check(20, |seed| {
        let mut cluster = full_cluster(3, seed);
        let leader = cluster.recover();
        let lagging = cluster.ids().into_iter().find(|id| *id != leader).expect("a follower");
        cluster.crash(lagging);
        for _ in 0..700 {
            cluster.propose();
            cluster.run(2, NO_FAULTS);
        }
        cluster.run(100, NO_FAULTS);
        let leader = cluster.recover();
        cluster.compact(leader);
        cluster.run(2000, NO_FAULTS);
        let commit = cluster.raft(leader).commit_index();
        commit > Index(700) && cluster.raft(lagging).commit_index() == commit
    });
}

#[test]
fn a_transfer_moves_leadership_without_an_election_timeout() {
    let mut cluster = full_cluster(3, 7);
    let old = cluster.recover();
    cluster.run(300, NO_FAULTS);
    let now = cluster.now;

    assert!(cluster.raft(old).transfer(now));
    assert!(
        cluster.raft(old).lease().is_none(),
        "a leader holds no lease while it transfers leadership"
    );
    cluster.run(60, NO_FAULTS);

    let new = cluster.leader().expect("another voter leads");
    assert_ne!(new, old);
}

#[test]
fn a_removed_voter_does_not_disturb_the_rest() {
    let mut cluster = full_cluster(3, 11);
    let leader = cluster.recover();
    let removed = cluster.ids().into_iter().find(|id| *id != leader).expect("a follower");
    let mut config = cluster.raft(leader).config().clone();
    config.voters.shift_remove(&removed);
    cluster.isolate(removed);
    cluster.run(10, NO_FAULTS);
    cluster.raft(leader).propose_config(config).expect("the voter is removed");
    cluster.run(300, NO_FAULTS);
    let term = cluster.raft(leader).term();

    let leader = cluster.recover();
    cluster.run(2000, NO_FAULTS);

    assert_eq!(cluster.raft(leader).term(), term, "no election took place");
}

#[test]
fn a_second_change_of_voters_waits_for_the_first() {
    let mut cluster = full_cluster(3, 13);
    let leader = cluster.recover();
    let others: Vec<NodeId> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    let mut one = cluster.raft(leader).config().clone();
    one.voters.shift_remove(&others[0]);
    let mut two = one.clone();
    two.voters.shift_remove(&others[1]);

    let first = cluster.raft(leader).propose_config(one);
    let second = cluster.raft(leader).propose_config(two);

    assert!(first.is_ok());
    assert!(second.is_err());
}
