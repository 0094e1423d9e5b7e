//! Voters that start again while others stand still, with their whole log or without.

use {
    coord::tables::{ChangeOutcome, Edit, Pool, PoolKind},
    harness::{Cluster, ClusterSpec, LONG_TIMEOUT, new_change, wait_until},
    std::{
        fs,
        path::{Path, PathBuf},
        thread,
        time::{Duration, Instant},
    },
};

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// How long other voters stand still while one starts, less than an election timeout.
const FREEZE: Duration = Duration::from_millis(420);
/// How long a process runs after that to count as running.
const SETTLED: Duration = Duration::from_millis(1000);
/// Longer than any election, without a leader.
const NO_LEADER: Duration = Duration::from_secs(4);

fn add_pool(cluster: &Cluster, i: usize, name: &str) -> bool {
    let pool = Pool { name: name.parse().expect("a valid name"), kind: PoolKind::Model };
    let change = new_change(None, vec![Edit::PutPool(pool)]);
    let answer = cluster.daemon(i).operator().change(&change);
    matches!(answer, Ok(ChangeOutcome::Accepted { .. }))
}

fn add_pools(cluster: &Cluster, i: usize, names: &str, count: usize) {
    for number in 0..count {
        let name = format!("{names}{number}");
        wait_until("the change is accepted", LONG_TIMEOUT, || add_pool(cluster, i, &name));
    }
}

fn data_folder(cluster: &Cluster, i: usize) -> PathBuf {
    cluster.instances[i].spec.data.clone().expect("a voter has a data folder")
}

fn file_names(folder: &Path) -> Vec<String> {
    let files = fs::read_dir(folder).expect("the folder is readable");
    files.map(|it| it.expect("an entry").file_name().to_string_lossy().into_owned()).collect()
}

/// The voter's files but for its identity.
fn saved_log(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let logs = file_names(folder).into_iter().filter(|it| it.starts_with("log-"));
    logs.map(|it| (it.clone(), fs::read(folder.join(it)).expect("the file is read"))).collect()
}

/// Replaces the log by an earlier state of it; the identity stays.
fn put_back(folder: &Path, saved: &[(String, Vec<u8>)]) {
    let kept = |it: &String| it.starts_with("identity") || it.starts_with("lock");
    for name in file_names(folder).into_iter().filter(|it| !kept(it)) {
        fs::remove_file(folder.join(name)).expect("the file is removed");
    }
    for (name, bytes) in saved {
        fs::write(folder.join(name), bytes).expect("the file is written");
    }
}

/// Guards against a restarted voter that ends because a peer compares a late message of its
/// start with what it has acknowledged since.
#[test]
fn a_restarted_voter_that_lost_nothing_runs_on_while_others_stand_still() {
    let mut cluster = ClusterSpec::new(5, 0).start();
    for round in 0..4 {
        let leader = cluster.leader();
        let others: Vec<usize> = (0..5).filter(|it| *it != leader).collect();
        let (victim, frozen) = (others[3 - round % 2], &others[..2]);
        cluster.kill(victim);
        add_pools(&cluster, leader, &format!("before{round}-"), 5);

        frozen.iter().for_each(|it| cluster.daemon(*it).proc.signal(SIGSTOP));
        cluster.start(victim);
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < FREEZE {
            add_pool(&cluster, leader, &format!("since{round}-{number}"));
            number += 1;
        }
        frozen.iter().for_each(|it| cluster.daemon(*it).proc.signal(SIGCONT));

        let daemon = cluster.instances[victim].daemon.as_mut().expect("it was started");
        let ended = daemon.proc.wait(SETTLED);
        assert_eq!(ended, None, "round {round}: the restarted voter ended, {number} changes");
        cluster.wait_ready();
    }
}

/// Guards against a voter that lost acknowledged entries and helps to elect a leader without
/// them, at a peer that has met no earlier start of it.
#[test]
fn a_voter_that_lost_entries_ends_and_elects_nobody() {
    let mut cluster = ClusterSpec::new(3, 0).start();
    let leader = cluster.leader();
    let others: Vec<usize> = (0..3).filter(|it| *it != leader).collect();
    let (lost, last) = (others[0], others[1]);
    let folder = data_folder(&cluster, lost);
    cluster.kill(lost);
    let saved = saved_log(&folder);
    cluster.start(lost);
    cluster.wait_ready();
    add_pools(&cluster, leader, "acked", 10);
    thread::sleep(SETTLED);

    cluster.kill(lost);
    put_back(&folder, &saved);
    cluster.kill(leader);
    cluster.start(lost);

    let daemon = cluster.instances[lost].daemon.as_mut().expect("it was started");
    let ended = daemon.proc.wait(NO_LEADER);
    assert!(ended.is_some_and(|it| !it.success()), "the voter runs on without its entries");
    cluster.instances[lost].daemon = None;
    assert!(!add_pool(&cluster, last, "elected"), "a leader was elected");
    cluster.start(leader);
    wait_until("the others have a leader", LONG_TIMEOUT, || add_pool(&cluster, last, "after"));
    assert_eq!(cluster.operator().tables().expect("the tables").pools.len(), 11);
}
