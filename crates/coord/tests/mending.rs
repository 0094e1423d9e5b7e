//! The leader repairs the set of voters without an operator.

mod electorate;

use {
    coord::{control::first_voter, ids::NodeId},
    electorate::{Electorate, peer},
};

/// Starts five voters: three that found the system together and two that join.
fn five_voters() -> Electorate {
    let mut electorate = Electorate::found(3);
    electorate.join(4);
    electorate.join(5);
    electorate.run_until(8000, |it| it.voters().len() == 5);
    electorate
}

#[test]
fn first_voters_found_one_system_though_one_of_them_is_late() {
    let mut electorate = Electorate::found(3);
    electorate.stop(3);

    electorate.run_until(5000, |it| it.leader().is_some());
    electorate.start(3);
    electorate.run_until(5000, |it| it.applied_everywhere());

    let seeds: Vec<_> = (1..=3).map(peer).collect();
    let expected: Vec<NodeId> = seeds.iter().map(|it| first_voter(&seeds, *it)).collect();
    assert_eq!(electorate.voters(), expected);
}

#[test]
fn a_minority_of_the_first_voters_founds_nothing() {
    let mut electorate = Electorate::found(3);
    electorate.stop(2);
    electorate.stop(3);

    electorate.run(10_000);

    assert_eq!(electorate.leader(), None);
}

#[test]
fn instances_with_a_disk_become_voters() {
    let electorate = five_voters();

    assert_eq!(electorate.voter_peers(), (1..=5).map(peer).collect::<Vec<_>>());
}

#[test]
fn a_voter_that_lost_its_disk_is_replaced_before_another_two_are_lost() {
    let mut electorate = five_voters();

    electorate.wipe(5);
    electorate.run_until(4000, |it| it.voters().len() == 5 && it.voters().contains(&it.id(5)));

    electorate.stop(1);
    electorate.stop(2);
    electorate.run_until(4000, |it| it.leader().is_some_and(|id| id != 1 && id != 2));
}

#[test]
fn a_silent_voter_is_replaced_by_an_instance_at_another_address() {
    let mut electorate = five_voters();
    let gone = electorate.id(5);

    electorate.stop(5);
    electorate.run(1000);
    electorate.join(6);
    electorate.run_until(5000, |it| it.voters().contains(&it.id(6)));

    assert!(!electorate.voters().contains(&gone));
    assert_eq!(electorate.voters().len(), 5);
}

#[test]
fn silent_voters_stay_when_too_few_would_remain() {
    let mut electorate = five_voters();

    electorate.stop(4);
    electorate.stop(5);
    electorate.run(30_000);

    assert_eq!(electorate.voters().len(), 5);
}

#[test]
fn a_voter_that_was_replaced_while_it_was_cut_off_votes_again() {
    let mut electorate = five_voters();
    let cut_off = electorate.id(5);

    electorate.stop(5);
    electorate.run(1000);
    electorate.join(6);
    electorate.run_until(5000, |it| it.voters().contains(&it.id(6)));
    electorate.start(5);

    electorate.run_until(10_000, |it| it.voters().contains(&cut_off));
}
