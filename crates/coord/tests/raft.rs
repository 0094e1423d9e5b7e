//! Agreement under lost, repeated and reordered messages and crashes.

mod world;

use {
    coord::{ids::Index, ids::NodeId, raft::Entry},
    quickcheck::{Gen, QuickCheck},
    world::{Rough, World},
};

const SMOOTH: Rough = Rough { lose: 0, repeat: 0, crash: 0, cut: 0 };
const ROUGH: Rough = Rough { lose: 60, repeat: 60, crash: 12, cut: 12 };
/// The seed of the generator of schedules.
const SEED: u64 = 5900;

/// Runs a property over schedules from a fixed seed.
fn check(runs: u64, property: fn(u64) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(1000, SEED)).tests(runs).quickcheck(property);
}

/// A world whose voters all vote.
fn grown(voters: u64, seed: u64) -> World {
    let mut world = World::new(voters, seed);
    for _ in 0..400 {
        world.run(20, SMOOTH);
        if world.grow() {
            return world;
        }
    }
    panic!("the voters were not all added");
}

/// Entries proposed and seen committed stay committed at the same place.
fn keeps_accepted(voters: u64, seed: u64) -> bool {
    let mut world = grown(voters, seed);
    for round in 0..400 {
        world.propose();
        world.run(12, ROUGH);
        if round % 31 == 0 {
            let ids = world.ids();
            world.compact(ids[round % ids.len()]);
        }
    }
    let before: Vec<Entry> = world.committed.values().cloned().collect();
    world.settle();
    let (_, at) = world.propose().expect("a settled leader takes proposals");
    world.run(400, SMOOTH);
    let kept = before.iter().all(|it| world.committed.get(&it.index) == Some(it));
    kept && world.committed.contains_key(&at)
}

#[test]
fn three_voters_keep_what_was_accepted() {
    check(120, |seed| keeps_accepted(3, seed));
}

#[test]
fn five_voters_keep_what_was_accepted() {
    check(120, |seed| keeps_accepted(5, seed));
}

#[test]
fn a_lease_ends_before_another_leader_is_elected() {
    check(60, |seed| {
        let mut world = grown(3, seed);
        let old = world.settle();
        world.isolate(old);
        for _ in 0..4000 {
            world.run(1, SMOOTH);
            let others = world.ids().into_iter().filter(|id| *id != old);
            let elected = others.into_iter().any(|id| world.raft(id).has_committed_in_term());
            let now = world.now;
            let leased = world.raft(old).lease().is_some_and(|it| it > now);
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
        let mut world = grown(3, seed);
        let leader = world.settle();
        let lagging = world.ids().into_iter().find(|id| *id != leader).expect("a follower");
        world.crash(lagging);
        for _ in 0..700 {
            world.propose();
            world.run(2, SMOOTH);
        }
        world.run(100, SMOOTH);
        let leader = world.settle();
        world.compact(leader);
        world.run(2000, SMOOTH);
        let commit = world.raft(leader).commit_index();
        commit > Index(700) && world.raft(lagging).commit_index() == commit
    });
}

#[test]
fn a_transfer_moves_leadership_without_an_election_timeout() {
    let mut world = grown(3, 7);
    let old = world.settle();
    world.run(300, SMOOTH);
    let now = world.now;

    assert!(world.raft(old).transfer(now));
    assert!(world.raft(old).lease().is_none(), "a leader that hands over grants no lease");
    world.run(60, SMOOTH);

    let new = world.leader().expect("another voter leads");
    assert_ne!(new, old);
}

#[test]
fn a_removed_voter_does_not_disturb_the_rest() {
    let mut world = grown(3, 11);
    let leader = world.settle();
    let removed = world.ids().into_iter().find(|id| *id != leader).expect("a follower");
    let mut config = world.raft(leader).config().clone();
    config.voters.shift_remove(&removed);
    world.isolate(removed);
    world.run(10, SMOOTH);
    world.raft(leader).propose_config(config).expect("the voter is removed");
    world.run(300, SMOOTH);
    let term = world.raft(leader).term();

    let leader = world.settle();
    world.run(2000, SMOOTH);

    assert_eq!(world.raft(leader).term(), term, "no election took place");
}

#[test]
fn a_second_change_of_voters_waits_for_the_first() {
    let mut world = grown(3, 13);
    let leader = world.settle();
    let others: Vec<NodeId> = world.ids().into_iter().filter(|id| *id != leader).collect();
    let mut one = world.raft(leader).config().clone();
    one.voters.shift_remove(&others[0]);
    let mut two = one.clone();
    two.voters.shift_remove(&others[1]);

    let first = world.raft(leader).propose_config(one);
    let second = world.raft(leader).propose_config(two);

    assert!(first.is_ok());
    assert!(second.is_err());
}
