//! Changes of the tables while processes die, freeze and are cut off.

mod fixture;

use {
    coord::{
        ids::{PoolName, Version},
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
    },
    fixture::{ask, small_system},
    harness::{
        Cluster, ClusterSpec, Fault, LONG_TIMEOUT, Operator, TempDir, new_change, wait_until,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The bound on a silent partition: an instance holds no lease after it.
const LEASE_BOUND: Duration = Duration::from_millis(3000);
const SILENT: Fault = Fault { drop_in: true, drop_out: true, cut: false, delay_ms: 0 };

fn put(name: &str) -> Edit {
    Edit::PutPool(Pool { name: name.parse().expect("a name"), kind: PoolKind::Model })
}

/// Makes a change, again with the same identifier until it has an answer.
fn insist(operator: &Operator, base: Option<Version>, edits: Vec<Edit>) -> ChangeOutcome {
    let change = new_change(base, edits);
    let mut answer = None;
    wait_until("a change is answered", LONG_TIMEOUT, || {
        answer = operator.change(&change).ok();
        answer.is_some()
    });
    answer.expect("an answer")
}

fn pools(cluster: &Cluster, i: usize) -> Vec<PoolName> {
    let tables = cluster.daemon(i).operator().tables().expect("the tables are shown");
    tables.pools.into_iter().map(|it| it.name).collect()
}

fn wait_in_force(operator: &Operator, version: Version) -> Duration {
    wait_until("a change is in force everywhere", LONG_TIMEOUT, || {
        operator.status().is_ok_and(|it| it.in_force.is_some_and(|it| it >= version))
    })
}

#[test]
fn what_was_accepted_survives_the_leader() {
    let mut cluster = ClusterSpec::new(3, 1).start();
    let outcome = insist(&cluster.operator(), Some(Version(0)), vec![put("a")]);
    assert_eq!(outcome, ChangeOutcome::Accepted { version: Version(1) });

    let leader = cluster.leader();
    cluster.kill(leader);
    let outcome = insist(&cluster.operator(), Some(Version(1)), vec![put("b")]);
    cluster.start(leader);
    cluster.wait_ready();

    assert_eq!(outcome, ChangeOutcome::Accepted { version: Version(2) });
    assert_eq!(pools(&cluster, leader).len(), 2);
}

#[test]
fn all_processes_killed_at_once_lose_nothing_accepted() {
    let mut cluster = ClusterSpec::new(3, 0).start();
    for i in 0..20 {
        insist(&cluster.operator(), None, vec![put(&format!("p{i}"))]);
    }

    (0..3).for_each(|i| cluster.kill(i));
    (0..3).for_each(|i| cluster.start(i));
    cluster.wait_ready();

    assert_eq!(pools(&cluster, 0).len(), 20);
    assert_eq!(cluster.operator().history().expect("the history").len(), 20);
}

#[test]
fn of_operators_that_race_one_is_accepted_and_resends_change_nothing() {
    let cluster = ClusterSpec::new(3, 2).start();
    let changes: Vec<_> =
        (0..5).map(|i| new_change(Some(Version(0)), vec![put(&format!("p{i}"))])).collect();

    let race = |i: usize| {
        let (operator, change) = (cluster.daemon(i).operator(), changes[i].clone());
        thread::spawn(move || operator.change(&change).expect("an answer"))
    };
    let threads: Vec<_> = (0..5).map(race).collect();
    let outcomes: Vec<_> = threads.into_iter().map(|it| it.join().expect("an end")).collect();

    let is_accepted = |it: &&ChangeOutcome| matches!(it, ChangeOutcome::Accepted { .. });
    let is_conflict = |it: &&ChangeOutcome| matches!(it, ChangeOutcome::Conflict { .. });
    assert_eq!(outcomes.iter().filter(is_accepted).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(is_conflict).count(), 4, "{outcomes:?}");
    insist(&cluster.operator(), None, vec![put("later")]);
    for (i, change) in changes.iter().enumerate() {
        let again = cluster.daemon((i + 1) % 5).operator().change(change).expect("an answer");
        assert_eq!(again, outcomes[i], "a resend gets its first answer");
    }
    assert_eq!(pools(&cluster, 0).len(), 2);
}

#[test]
fn an_instance_cut_off_in_silence_stops_and_catches_up() {
    let system = small_system(3, 1);
    let (cluster, cut) = (&system.cluster, 3);
    assert!(cluster.daemon(cut).caller().send(&ask("notes", "x")).complete().is_some());

    cluster.set_fault(cut, SILENT);
    let start = Instant::now();
    let mut last = Duration::ZERO;
    while start.elapsed() < LEASE_BOUND + Duration::from_secs(1) {
        if cluster.daemon(cut).caller().send(&ask("notes", "x")).complete().is_some() {
            last = start.elapsed();
        }
    }
    let refused = cluster.daemon(cut).caller().send(&ask("notes", "x"));
    let operator = cluster.daemon(cut).operator().edit(vec![put("from-the-cut-off")]);
    let version = match insist(&cluster.operator(), None, vec![put("new")]) {
        ChangeOutcome::Accepted { version } => version,
        other => panic!("not accepted: {other:?}"),
    };
    let in_force = wait_in_force(&cluster.operator(), version);

    assert!(last < LEASE_BOUND, "it still answered after {last:?}");
    let refused = refused.failure().cloned().expect("a refusal");
    assert_eq!(refused.outcome, coord::router::Outcome::NotRun);
    assert!(operator.is_err_and(|it| !it.unknown), "an operator is refused");
    assert!(in_force < Duration::from_secs(5), "in force everywhere after {in_force:?}");
    cluster.clear_fault(cut);
    cluster.daemon(cut).wait_ready(LONG_TIMEOUT);
    assert!(pools(cluster, cut).contains(&"new".parse().expect("a name")));
}

#[test]
fn a_leader_cut_off_in_silence_accepts_nothing_and_grants_no_lease() {
    let cluster = ClusterSpec::new(3, 2).start();
    let old = cluster.leader();
    let rest: Vec<usize> = (0..5).filter(|it| *it != old).collect();

    cluster.set_fault(old, SILENT);
    let lost = cluster.daemon(old).operator().edit(vec![put("lost")]);
    let outcome = insist(&cluster.daemon(rest[0]).operator(), None, vec![put("kept")]);
    wait_until("the old leader isn't ready", LONG_TIMEOUT, || {
        !cluster.daemon(old).caller().is_ready()
    });
    cluster.clear_fault(old);
    cluster.wait_ready();

    assert!(lost.is_err(), "nobody answers at the old leader");
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    for i in 0..5 {
        assert_eq!(pools(&cluster, i), ["kept".parse().expect("a name")], "instance {i}");
    }
}

#[test]
fn one_way_silence_of_a_follower_does_not_stop_changes() {
    let cluster = ClusterSpec::new(3, 0).start();
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;

    cluster.set_fault(follower, Fault { drop_in: true, ..Fault::default() });
    let times: Vec<Duration> = (0..5)
        .map(|i| {
            let start = Instant::now();
            insist(&cluster.daemon(leader).operator(), None, vec![put(&format!("p{i}"))]);
            start.elapsed()
        })
        .collect();
    cluster.clear_fault(follower);
    cluster.wait_ready();

    assert!(times.iter().all(|it| *it < Duration::from_secs(2)), "{times:?}");
    assert_eq!(pools(&cluster, follower).len(), 5);
}

#[test]
fn connections_that_went_silent_are_replaced() {
    let cluster = ClusterSpec::new(3, 2).start();

    for round in 0..4 {
        cluster.instances.iter().for_each(|it| it.proxy.blackhole_open());
        let outcome = insist(&cluster.operator(), None, vec![put(&format!("p{round}"))]);
        let ChangeOutcome::Accepted { version } = outcome else {
            panic!("not accepted: {outcome:?}");
        };
        let passed = wait_in_force(&cluster.operator(), version);
        assert!(passed < Duration::from_secs(5), "in force everywhere after {passed:?}");
    }
    cluster.wait_ready();
}

#[test]
fn a_process_that_comes_back_hundreds_of_changes_later_shows_no_earlier_table() {
    let mut cluster = ClusterSpec::new(3, 1).start();
    insist(&cluster.operator(), None, vec![put("first")]);
    cluster.kill(2);
    cluster.kill(3);
    for i in 0..300 {
        insist(&cluster.operator(), None, vec![put(&format!("p{}", i % 50))]);
    }
    insist(&cluster.operator(), None, vec![Edit::DeletePool("first".parse().expect("a name"))]);

    cluster.start(2);
    cluster.start(3);
    for i in [2, 3] {
        cluster.daemon(i).wait_ready(LONG_TIMEOUT);
        let metrics = cluster.daemon(i).operator().metrics();
        let shown = metrics.lines().find(|it| it.starts_with("mangobend_tables_version "));
        assert!(shown.is_some(), "the number of the tables is shown");
        assert_eq!(pools(&cluster, i).len(), 50);
    }
    // The leader counts the killed process as a holder until its lease ended.
    wait_in_force(&cluster.operator(), Version(302));
    let status = cluster.operator().status().expect("the state");
    let holders = status.members.iter().filter(|it| it.lease);
    assert!(holders.into_iter().all(|it| it.version == Some(Version(302))), "{status:?}");
}

#[test]
fn a_frozen_leader_that_wakes_up_reverts_nothing() {
    let cluster = ClusterSpec::new(3, 1).start();
    let old = cluster.leader();
    let other = (old + 1) % 3;
    insist(&cluster.operator(), None, vec![put("before")]);

    cluster.daemon(old).proc.signal(19);
    let outcome = insist(&cluster.daemon(other).operator(), None, vec![put("after")]);
    cluster.daemon(old).proc.signal(18);
    cluster.wait_ready();

    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    for i in 0..4 {
        assert_eq!(pools(&cluster, i).len(), 2, "instance {i}");
    }
}

#[test]
fn an_old_copy_of_a_data_folder_is_refused() {
    let mut cluster = ClusterSpec::new(3, 0).start();
    insist(&cluster.operator(), None, vec![put("a")]);
    let follower = (cluster.leader() + 1) % 3;
    let folder = cluster.instances[follower].spec.data.clone().expect("a data folder");
    let copy = TempDir::new();
    copy.copy_from(&folder).expect("the folder is copied");
    for i in 0..20 {
        insist(&cluster.operator(), None, vec![put(&format!("p{i}"))]);
    }

    cluster.kill(follower);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    std::fs::create_dir_all(&folder).expect("the folder is made");
    let fresh = TempDir::new();
    fresh.copy_from(copy.path()).expect("the folder is copied");
    for entry in std::fs::read_dir(fresh.path()).expect("a folder") {
        let entry = entry.expect("an entry");
        std::fs::copy(entry.path(), folder.join(entry.file_name())).expect("a file is copied");
    }
    cluster.start(follower);

    let daemon = cluster.instances[follower].daemon.as_mut().expect("it was started");
    let status = daemon.proc.wait(LONG_TIMEOUT).expect("the process ends by itself");
    assert!(!status.success());
}

#[test]
fn leaders_killed_and_restarted_one_after_another_lose_nothing() {
    let mut cluster = ClusterSpec::new(3, 1).start();
    for round in 0..6 {
        let leader = cluster.leader();
        cluster.kill(leader);
        let start = Instant::now();
        insist(&cluster.daemon(3).operator(), None, vec![put(&format!("p{round}"))]);
        let took = start.elapsed();
        cluster.start(leader);
        cluster.wait_ready();

        assert!(took < Duration::from_secs(5), "round {round} took {took:?}");
    }
    assert_eq!(pools(&cluster, 0).len(), 6);
}
