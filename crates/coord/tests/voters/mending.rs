//! The leader repairs the set of voters without an operator.

use {
    crate::voter_cluster::{VoterCluster, peer},
    coord::{control::first_voter, ids::NodeId},
};

/// Starts five voters: three that found the system together and two that join.
fn five_voters() -> VoterCluster {
    let mut cluster = VoterCluster::bootstrap(3);
    cluster.join(4);
    cluster.join(5);
    cluster.run_until(8000, |it| it.voters().len() == 5);
    cluster
}

#[test]
fn first_voters_found_one_system_though_one_of_them_is_late() {
    let mut cluster = VoterCluster::bootstrap(3);
    cluster.stop(3);

    cluster.run_until(5000, |it| it.leader().is_some());
    cluster.start(3);
    cluster.run_until(5000, |it| it.all_caught_up());

    let seeds: Vec<_> = (1..=3).map(peer).collect();
    let expected: Vec<NodeId> = seeds.iter().map(|it| first_voter(&seeds, *it)).collect();
    assert_eq!(cluster.voters(), expected);
}

#[test]
fn a_minority_of_the_first_voters_founds_nothing() {
    let mut cluster = VoterCluster::bootstrap(3);
    cluster.stop(2);
    cluster.stop(3);

    cluster.run(10_000);

    assert_eq!(cluster.leader(), None);
}

#[test]
fn instances_with_a_disk_become_voters() {
    let cluster = five_voters();

    assert_eq!(cluster.voter_peers(), (1..=5).map(peer).collect::<Vec<_>>());
}

#[test]
fn a_voter_that_lost_its_disk_is_replaced_before_another_two_are_lost() {
    let mut cluster = five_voters();

    cluster.wipe(5);
    cluster.run_until(4000, |it| it.voters().len() == 5 && it.voters().contains(&it.id(5)));

    cluster.stop(1);
    cluster.stop(2);
    cluster.run_until(4000, |it| it.leader().is_some_and(|id| id != 1 && id != 2));
}

/// Two instances that don't lead.
fn two_followers(cluster: &VoterCluster) -> [u64; 2] {
    let leader = cluster.leader().expect("an instance leads");
    [leader % 5 + 1, (leader + 1) % 5 + 1]
}

#[test]
fn changes_are_on_three_disks_while_two_wiped_voters_are_replaced() {
    let mut cluster = five_voters();
    let lost = two_followers(&cluster);

    cluster.wipe_all(&lost);

    let mut fewest = 5;
    for _ in 0..400 {
        cluster.run(10);
        fewest = fewest.min(cluster.voters().len());
    }
    let new = lost.map(|it| cluster.id(it));
    assert!(new.iter().all(|it| cluster.voters().contains(it)), "both vote again within 4 s");
    assert_eq!(cluster.voters().len(), 5);
    assert_eq!(fewest / 2 + 1, 3, "a majority of {fewest} voters");
}

#[test]
fn a_successor_that_is_lost_at_once_leaves_a_majority() {
    let mut cluster = five_voters();
    let lost = two_followers(&cluster);
    cluster.wipe_all(&lost);
    let is_voter = |it: &VoterCluster, number| it.voters().contains(&it.id(number));
    cluster.run_until(4000, |it| lost.iter().any(|number| is_voter(it, *number)));
    let first = *lost.iter().find(|it| is_voter(&cluster, **it)).expect("a successor votes");

    cluster.wipe_all(&[first]);

    cluster.run_until(6000, |it| lost.iter().all(|number| is_voter(it, *number)));
    assert_eq!(cluster.voters().len(), 5);
}

#[test]
fn the_lost_identity_of_a_wiped_voter_never_becomes_a_learner() {
    let mut cluster = five_voters();
    let lost = two_followers(&cluster);
    let old = lost.map(|it| cluster.id(it));

    cluster.wipe_all(&lost);

    for _ in 0..400 {
        cluster.run(10);
        assert!(!cluster.learners().iter().any(|it| old.contains(it)), "a lost identity learns");
    }
}

#[test]
fn a_lost_voter_of_three_is_replaced_by_an_instance_at_another_address() {
    let mut cluster = VoterCluster::bootstrap(3);
    cluster.run_until(5000, |it| it.voters().len() == 3);
    let lost = cluster.leader().expect("an instance leads") % 3 + 1;
    let gone = cluster.id(lost);

    cluster.stop(lost);
    cluster.run(500);
    cluster.join(4);

    cluster.run_until(4000, |it| it.voters().contains(&it.id(4)) && !it.voters().contains(&gone));
    assert_eq!(cluster.voters().len(), 3);
}

#[test]
fn a_silent_voter_is_replaced_by_an_instance_at_another_address() {
    let mut cluster = five_voters();
    let gone = cluster.id(5);

    cluster.stop(5);
    cluster.run(1000);
    cluster.join(6);
    cluster.run_until(5000, |it| it.voters().contains(&it.id(6)) && !it.voters().contains(&gone));

    assert_eq!(cluster.voters().len(), 5);
}

#[test]
fn silent_voters_stay_when_too_few_would_remain() {
    let mut cluster = five_voters();

    cluster.stop(4);
    cluster.stop(5);
    cluster.run(30_000);

    assert_eq!(cluster.voters().len(), 5);
}

#[test]
fn a_voter_that_was_replaced_while_it_was_cut_off_votes_again() {
    let mut cluster = five_voters();
    let cut_off = cluster.id(5);

    cluster.stop(5);
    cluster.run(1000);
    cluster.join(6);
    cluster.run_until(5000, |it| it.voters().contains(&it.id(6)));
    cluster.start(5);

    cluster.run_until(10_000, |it| it.voters().contains(&cut_off));
}
