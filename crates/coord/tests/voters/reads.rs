//! Reads of the leader's state.

use {
    crate::voter_cluster::VoterCluster,
    coord::{catalog::Catalog, ids::CatalogVersion, tables::Command},
    std::sync::Arc,
};

fn catalog(version: u64) -> Command {
    let version = CatalogVersion(version);
    let catalog = Arc::new(Catalog { version, ..Catalog::default() });
    Command::Catalog { catalog, document: "{}".into() }
}

/// Five voters with a first catalog, and the number of their leader.
fn five_voters() -> (VoterCluster, u64) {
    let mut cluster = VoterCluster::bootstrap(5);
    cluster.run_until(5000, |it| it.leader().is_some());
    cluster.propose(catalog(1));
    cluster.run(500);
    let leader = cluster.leader().expect("an instance leads");
    assert_eq!(cluster.catalog(leader), CatalogVersion(1));
    (cluster, leader)
}

#[test]
fn a_leader_answers_a_read_within_two_steps_and_a_round_trip() {
    let (mut cluster, leader) = five_voters();

    cluster.read(leader);
    assert!(cluster.reads(leader).is_empty(), "no majority has followed it since");
    cluster.run(50);

    assert!(matches!(cluster.reads(leader), [Ok(())]));
}

#[test]
fn a_leader_that_stood_still_with_its_clock_reads_no_older_catalog() {
    let (mut cluster, old) = five_voters();
    cluster.pause(old);
    cluster.run_until(5000, |it| it.leader().is_some());
    cluster.propose(catalog(2));
    cluster.run(3000);
    cluster.resume(old);
    assert!(cluster.trusts_lease(old), "its clock shows a valid lease");
    assert_eq!(cluster.catalog(old), CatalogVersion(1));

    cluster.read(old);
    cluster.run(1000);

    assert!(matches!(cluster.reads(old), [Err(_)]), "{:?}", cluster.reads(old));
}

#[test]
fn a_leader_that_is_cut_off_answers_no_read() {
    let (mut cluster, leader) = five_voters();
    for number in (1..=5).filter(|it| *it != leader) {
        cluster.pause(number);
    }

    cluster.read(leader);
    cluster.run(2000);

    assert!(matches!(cluster.reads(leader), [Err(_)]), "{:?}", cluster.reads(leader));
}

#[test]
fn an_instance_that_does_not_lead_answers_no_read() {
    let (mut cluster, leader) = five_voters();
    let other = leader % 5 + 1;

    cluster.read(other);
    cluster.run(100);

    assert!(matches!(cluster.reads(other), [Err(_)]));
}
