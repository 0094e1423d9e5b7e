//! Changes of the tables while processes are killed, frozen and partitioned.

mod fixture;

use {
    coord::{
        ids::{PoolName, Version},
        router::{Outcome, Reason},
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
        wire::{CallerError, CallerRequest},
    },
    fixture::{new_request, start_system},
    harness::{
        Cluster, ClusterSpec, Fault, LONG_TIMEOUT, Operator, TempDir, new_change, wait_until,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// A silently partitioned instance has no lease after this time.
const LEASE_BOUND: Duration = Duration::from_millis(3000);
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const DROP_ALL: Fault = Fault { drop_in: true, drop_out: true, ..Fault::NONE };

fn put_pool(name: &str) -> Edit {
    Edit::PutPool(Pool { name: name.parse().expect("a valid name"), kind: PoolKind::Model })
}

/// Submits a change, and resubmits it under the same id until it is answered.
fn change_until_answered(
    operator: &Operator,
    base: Option<Version>,
    edits: Vec<Edit>,
) -> ChangeOutcome {
    let change = new_change(base, edits);
    let mut answer = None;
    wait_until("the change is answered", LONG_TIMEOUT, || {
        answer = operator.change(&change).ok();
        answer.is_some()
    });
    answer.expect("the request is answered")
}

fn pool_names(cluster: &Cluster, i: usize) -> Vec<PoolName> {
    let tables = cluster.daemon(i).operator().tables().expect("the instance returns its tables");
    tables.pools.into_iter().map(|it| it.name).collect()
}

fn wait_in_force(operator: &Operator, version: Version) -> Duration {
    wait_until("the change is in force on all instances", LONG_TIMEOUT, || {
        operator.status().is_ok_and(|it| it.in_force.is_some_and(|it| it >= version))
    })
}

/// A change acknowledged before a majority has stored it is lost with the leader.
#[test]
fn accepted_changes_survive_the_loss_of_the_leader() {
    let mut cluster = ClusterSpec::new(3, 1).start();
    let outcome = change_until_answered(&cluster.operator(), Some(Version(0)), vec![put_pool("a")]);
    assert_eq!(outcome, ChangeOutcome::Accepted { version: Version(1) });

    let leader = cluster.leader();
    cluster.kill(leader);
    let outcome = change_until_answered(&cluster.operator(), Some(Version(1)), vec![put_pool("b")]);
    cluster.start(leader);
    cluster.wait_ready();

    assert_eq!(outcome, ChangeOutcome::Accepted { version: Version(2) });
    assert_eq!(pool_names(&cluster, leader).len(), 2);
}

/// A change acknowledged before it is on disk is lost when all processes are killed.
#[test]
fn accepted_changes_survive_the_kill_of_all_processes() {
    let mut cluster = ClusterSpec::new(3, 0).start();
    for i in 0..20 {
        change_until_answered(&cluster.operator(), None, vec![put_pool(&format!("p{i}"))]);
    }

    (0..3).for_each(|i| cluster.kill(i));
    (0..3).for_each(|i| cluster.start(i));
    cluster.wait_ready();

    assert_eq!(pool_names(&cluster, 0).len(), 20);
    assert_eq!(cluster.operator().history().expect("the history").len(), 20);
}

/// Five operators submit changes of the same base version through five instances.
#[test]
fn one_of_several_concurrent_changes_is_accepted_and_resends_have_no_effect() {
    let cluster = ClusterSpec::new(3, 2).start();
    let changes: Vec<_> =
        (0..5).map(|i| new_change(Some(Version(0)), vec![put_pool(&format!("p{i}"))])).collect();

    let race = |i: usize| {
        let (operator, change) = (cluster.daemon(i).operator(), changes[i].clone());
        thread::spawn(move || operator.change(&change).expect("the request is answered"))
    };
    let threads: Vec<_> = (0..5).map(race).collect();
    let outcomes: Vec<_> =
        threads.into_iter().map(|it| it.join().expect("the thread doesn't panic")).collect();

    let is_accepted = |it: &&ChangeOutcome| matches!(it, ChangeOutcome::Accepted { .. });
    let is_conflict = |it: &&ChangeOutcome| matches!(it, ChangeOutcome::Conflict { .. });
    assert_eq!(outcomes.iter().filter(is_accepted).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(is_conflict).count(), 4, "{outcomes:?}");
    change_until_answered(&cluster.operator(), None, vec![put_pool("later")]);
    for (i, change) in changes.iter().enumerate() {
        let again =
            cluster.daemon((i + 1) % 5).operator().change(change).expect("the request is answered");
        assert_eq!(again, outcomes[i], "a resend gets the first answer again");
    }
    assert_eq!(pool_names(&cluster, 0).len(), 2);
}

/// All traffic of the instance vanishes without an error. Without the end of its lease
/// it would go on serving from outdated tables.
#[test]
fn a_silently_partitioned_instance_stops_serving_and_catches_up() {
    let system = start_system(3, 1);
    let (cluster, partitioned) = (&system.cluster, 3);
    assert!(
        cluster.daemon(partitioned).caller().send(&new_request("notes", "x")).complete().is_some()
    );

    cluster.set_fault(partitioned, DROP_ALL);
    let start = Instant::now();
    let mut last_answer = Duration::ZERO;
    while start.elapsed() < LEASE_BOUND + Duration::from_secs(1) {
        if cluster
            .daemon(partitioned)
            .caller()
            .send(&new_request("notes", "x"))
            .complete()
            .is_some()
        {
            last_answer = start.elapsed();
        }
    }
    let refused = cluster.daemon(partitioned).caller().send(&new_request("notes", "x"));
    let operator =
        cluster.daemon(partitioned).operator().edit(vec![put_pool("from-the-partition")]);
    let version = match change_until_answered(&cluster.operator(), None, vec![put_pool("new")]) {
        ChangeOutcome::Accepted { version } => version,
        other => panic!("not accepted: {other:?}"),
    };
    let in_force = wait_in_force(&cluster.operator(), version);

    assert!(last_answer < LEASE_BOUND, "it still served a request after {last_answer:?}");
    let refused = refused.failure().cloned().expect("the request is refused");
    assert_eq!(refused.outcome, coord::router::Outcome::NotRun);
    assert!(operator.is_err_and(|it| !it.unknown), "the operator's change is not refused");
    assert!(in_force < Duration::from_secs(5), "in force on all instances after {in_force:?}");
    cluster.clear_fault(partitioned);
    cluster.daemon(partitioned).wait_ready(LONG_TIMEOUT);
    assert!(pool_names(cluster, partitioned).contains(&"new".parse().expect("a valid name")));
}

/// The old leader doesn't know of its successor and could accept changes that the rest
/// never sees.
#[test]
fn a_silently_partitioned_leader_accepts_no_change_and_grants_no_lease() {
    let cluster = ClusterSpec::new(3, 2).start();
    let old = cluster.leader();
    let rest: Vec<usize> = (0..5).filter(|it| *it != old).collect();

    cluster.set_fault(old, DROP_ALL);
    let lost = cluster.daemon(old).operator().edit(vec![put_pool("lost")]);
    let outcome =
        change_until_answered(&cluster.daemon(rest[0]).operator(), None, vec![put_pool("kept")]);
    wait_until("the old leader is not ready", LONG_TIMEOUT, || {
        !cluster.daemon(old).caller().is_ready()
    });
    cluster.clear_fault(old);
    cluster.wait_ready();

    assert!(lost.is_err(), "the old leader accepted a change");
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    for i in 0..5 {
        assert_eq!(
            pool_names(&cluster, i),
            ["kept".parse().expect("a valid name")],
            "instance {i}"
        );
    }
}

/// The follower hears no heartbeats but its messages arrive. Its votes must not depose
/// the leader again and again.
#[test]
fn dropped_traffic_to_a_follower_does_not_stop_changes() {
    let cluster = ClusterSpec::new(3, 0).start();
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;

    cluster.set_fault(follower, Fault { drop_in: true, ..Fault::default() });
    let times: Vec<Duration> = (0..5)
        .map(|i| {
            let start = Instant::now();
            change_until_answered(
                &cluster.daemon(leader).operator(),
                None,
                vec![put_pool(&format!("p{i}"))],
            );
            start.elapsed()
        })
        .collect();
    cluster.clear_fault(follower);
    cluster.wait_ready();

    assert!(times.iter().all(|it| *it < Duration::from_secs(2)), "{times:?}");
    assert_eq!(pool_names(&cluster, follower).len(), 5);
}

/// All bytes on the open connections vanish without an error; new connections work.
#[test]
fn blackholed_peer_connections_are_replaced() {
    let cluster = ClusterSpec::new(3, 2).start();

    for round in 0..4 {
        cluster.instances.iter().for_each(|it| it.proxy.blackhole_open());
        let outcome =
            change_until_answered(&cluster.operator(), None, vec![put_pool(&format!("p{round}"))]);
        let ChangeOutcome::Accepted { version } = outcome else {
            panic!("not accepted: {outcome:?}");
        };
        let delay = wait_in_force(&cluster.operator(), version);
        assert!(delay < Duration::from_secs(5), "in force on all instances after {delay:?}");
    }
    cluster.wait_ready();
}

/// A restarted instance must not serve the tables that it had before the kill.
#[test]
fn an_instance_back_after_hundreds_of_changes_shows_only_current_tables() {
    let mut cluster = ClusterSpec::new(3, 1).start();
    change_until_answered(&cluster.operator(), None, vec![put_pool("first")]);
    cluster.kill(2);
    cluster.kill(3);
    for i in 0..300 {
        change_until_answered(&cluster.operator(), None, vec![put_pool(&format!("p{}", i % 50))]);
    }
    change_until_answered(
        &cluster.operator(),
        None,
        vec![Edit::DeletePool("first".parse().expect("a valid name"))],
    );

    cluster.start(2);
    cluster.start(3);
    for i in [2, 3] {
        cluster.daemon(i).wait_ready(LONG_TIMEOUT);
        let metrics = cluster.daemon(i).operator().metrics();
        let shown = metrics.lines().find(|it| it.starts_with("mangobend_tables_version "));
        assert!(shown.is_some(), "no metric shows the version of the tables");
        assert_eq!(pool_names(&cluster, i).len(), 50);
    }
    // The leader counts the killed process as a lease holder until its lease expires.
    wait_in_force(&cluster.operator(), Version(302));
    let status = cluster.operator().status().expect("the status");
    let holders = status.members.iter().filter(|it| it.lease);
    assert!(holders.into_iter().all(|it| it.version == Some(Version(302))), "{status:?}");
}

/// The frozen process wakes up in the belief that it still leads.
#[test]
fn a_leader_resumed_after_a_freeze_reverts_nothing() {
    let cluster = ClusterSpec::new(3, 1).start();
    let old = cluster.leader();
    let other = (old + 1) % 3;
    change_until_answered(&cluster.operator(), None, vec![put_pool("before")]);

    cluster.daemon(old).proc.signal(SIGSTOP);
    let outcome =
        change_until_answered(&cluster.daemon(other).operator(), None, vec![put_pool("after")]);
    cluster.daemon(old).proc.signal(SIGCONT);
    cluster.wait_ready();

    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    for i in 0..4 {
        assert_eq!(pool_names(&cluster, i).len(), 2, "instance {i}");
    }
}

/// A voter that restarts from an old backup has forgotten votes and entries that it
/// acknowledged.
#[test]
fn an_old_copy_of_a_data_folder_is_refused() {
    let mut cluster = ClusterSpec::new(3, 0).start();
    change_until_answered(&cluster.operator(), None, vec![put_pool("a")]);
    let follower = (cluster.leader() + 1) % 3;
    let folder = cluster.instances[follower].spec.data.clone().expect("a data folder");
    let copy = TempDir::new();
    copy.copy_from(&folder).expect("the folder is copied");
    for i in 0..20 {
        change_until_answered(&cluster.operator(), None, vec![put_pool(&format!("p{i}"))]);
    }

    cluster.kill(follower);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let fresh = TempDir::new();
    fresh.copy_from(copy.path()).expect("the folder is copied");
    for entry in std::fs::read_dir(fresh.path()).expect("the folder is readable") {
        let entry = entry.expect("a directory entry");
        std::fs::copy(entry.path(), folder.join(entry.file_name())).expect("a file is copied");
    }
    cluster.start(follower);

    let daemon = cluster.instances[follower].daemon.as_mut().expect("it was started");
    let status = daemon.proc.wait(LONG_TIMEOUT).expect("the process ends by itself");
    assert!(!status.success());
}

#[test]
fn repeated_leader_kills_lose_no_accepted_change() {
    let mut cluster = ClusterSpec::new(3, 1).start();
    for round in 0..6 {
        let leader = cluster.leader();
        cluster.kill(leader);
        let start = Instant::now();
        change_until_answered(
            &cluster.daemon(3).operator(),
            None,
            vec![put_pool(&format!("p{round}"))],
        );
        let elapsed = start.elapsed();
        cluster.start(leader);
        cluster.wait_ready();

        assert!(elapsed < Duration::from_secs(5), "round {round} took {elapsed:?}");
    }
    assert_eq!(pool_names(&cluster, 0).len(), 6);
}

/// Requests that waited for a share until their deadline could have gone elsewhere.
#[test]
fn an_instance_without_a_share_refuses_at_once_what_can_not_get_one_in_time() {
    let mut system = start_system(3, 1);
    system.cluster.remove(3);
    let leader = system.cluster.leader();
    system.cluster.kill(leader);
    system.cluster.start(leader);
    let caller = system.cluster.daemon(leader).caller();
    let request = CallerRequest { deadline_ms: 2000, ..new_request("notes", "a history") };

    let mut refused = false;
    wait_until("a request has had another end than its deadline", LONG_TIMEOUT, || {
        let began = Instant::now();
        let result = caller.send(&request);
        let is_refusal = |it: &CallerError| {
            (it.outcome, it.reason) == (Outcome::NotRun, Reason::Overload)
                && began.elapsed() < Duration::from_millis(500)
        };
        refused = result.failure().is_some_and(is_refusal);
        refused || result.complete().is_some()
    });

    assert!(refused, "it waited until shares were raised");
}
