//! Replacement of permanently lost instances, and damaged or full disks.

mod fixture;

use {
    coord::tables::{ChangeOutcome, Edit, Pool, PoolKind},
    harness::{Caller, Cluster, ClusterSpec, LONG_TIMEOUT, Operator, new_change, wait_until},
    std::{
        fs::{self, OpenOptions},
        io::{Read, Seek, SeekFrom, Write},
        path::{Path, PathBuf},
        process::{Command, Stdio},
    },
};

fn put_pool(name: &str) -> Edit {
    Edit::PutPool(Pool { name: name.parse().expect("a valid name"), kind: PoolKind::Model })
}

fn change_until_accepted(operator: &Operator, edits: Vec<Edit>) {
    let change = new_change(None, edits);
    wait_until("the change is accepted", LONG_TIMEOUT, || {
        matches!(operator.change(&change), Ok(ChangeOutcome::Accepted { .. }))
    });
}

fn pool_count(cluster: &Cluster) -> usize {
    cluster.operator().tables().expect("the tables").pools.len()
}

/// Loses a voter with its disk, replaces it, and kills another voter right after.
fn replace_and_lose_another(voters: usize) {
    let mut cluster = ClusterSpec::new(voters, 0).start();
    for i in 0..30 {
        change_until_accepted(&cluster.operator(), vec![put_pool(&format!("p{i}"))]);
    }
    let ids = cluster.voter_ids();
    let lost = cluster.instances[1].spec.name.clone();
    let lost_id =
        ids.into_iter().find(|(name, _)| *name == lost).expect("the instance is a voter").1;

    cluster.kill(1);
    fs::remove_dir_all(cluster.instances[1].spec.data.as_ref().expect("a voter has a data folder"))
        .expect("the folder is removed");
    let replacement = cluster.add(true);
    cluster.daemon(replacement).wait_ready(LONG_TIMEOUT);
    cluster.add_voter(replacement);
    cluster.remove_voter(&lost_id);
    cluster.kill(2);
    change_until_accepted(&cluster.operator(), vec![put_pool("after")]);

    assert_eq!(pool_count(&cluster), 31);
    let names: Vec<String> = cluster.voter_ids().into_iter().map(|it| it.0).collect();
    assert!(names.contains(&cluster.instances[replacement].spec.name), "{names:?}");
    assert!(!names.contains(&lost), "{names:?}");
}

#[test]
fn three_voters_tolerate_another_loss_right_after_a_repair() {
    replace_and_lose_another(3);
}

#[test]
fn five_voters_tolerate_another_loss_right_after_a_repair() {
    replace_and_lose_another(5);
}

/// With an empty disk it has forgotten its votes. As the old voter it could vote twice in
/// a term.
#[test]
fn a_voter_that_lost_its_disk_rejoins_as_a_new_member() {
    let mut cluster = ClusterSpec::new(3, 0).start();
    change_until_accepted(&cluster.operator(), vec![put_pool("a")]);
    let before = cluster.voter_ids();

    cluster.kill(2);
    fs::remove_dir_all(cluster.instances[2].spec.data.as_ref().expect("a voter has a data folder"))
        .expect("the folder is removed");
    cluster.start(2);
    cluster.daemon(2).wait_ready(LONG_TIMEOUT);

    let name = cluster.instances[2].spec.name.clone();
    let status = cluster.operator().status().expect("the status");
    let mut named = status.members.iter().filter(|it| it.name.as_str() == name);
    let replacement = named.find(|it| it.vote == "none").expect("a new member without a vote");
    let old = before.iter().find(|it| it.0 == name).expect("the instance was a voter");
    assert_ne!(replacement.id.to_string(), old.1);
    cluster.remove_voter(&old.1);
    cluster.add_voter(2);
    change_until_accepted(&cluster.operator(), vec![put_pool("b")]);
    assert_eq!(pool_count(&cluster), 2);
}

/// The log file with the highest number.
fn newest_log_file(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|it| it.expect("a directory entry").path());
    let logs =
        files.filter(|it| it.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-")));
    logs.max().expect("there is a log file")
}

/// A killed single voter with ten accepted changes, and its data folder.
fn killed_voter() -> (Cluster, PathBuf) {
    let mut cluster = ClusterSpec::new(1, 0).start();
    for i in 0..10 {
        change_until_accepted(&cluster.operator(), vec![put_pool(&format!("p{i}"))]);
    }
    cluster.kill(0);
    let folder = cluster.instances[0].spec.data.clone().expect("a voter has a data folder");
    (cluster, folder)
}

/// A crash during a write leaves a partial record at the end, which was never
/// acknowledged.
#[test]
fn a_torn_tail_of_the_log_is_truncated() {
    let (mut cluster, folder) = killed_voter();
    let mut file =
        OpenOptions::new().append(true).open(newest_log_file(&folder)).expect("the log opens");
    file.write_all(b"MGBL\x40\0\0\0torn").expect("bytes are written");
    drop(file);

    cluster.start(0);
    cluster.daemon(0).wait_ready(LONG_TIMEOUT);

    assert_eq!(pool_count(&cluster), 10);
}

/// Records after the damage were acknowledged. Truncating there would lose them.
#[test]
fn a_log_damaged_in_the_middle_prevents_the_start() {
    let (cluster, folder) = killed_voter();
    let path = newest_log_file(&folder);
    let mut file = OpenOptions::new().read(true).write(true).open(&path).expect("the log opens");
    let mut byte = [0];
    file.seek(SeekFrom::Start(400)).expect("the log is long enough");
    file.read_exact(&mut byte).expect("a byte is read");
    file.seek(SeekFrom::Start(400)).expect("the log is long enough");
    file.write_all(&[byte[0] ^ 0x20]).expect("a byte is written");
    drop(file);

    let output = cluster.instances[0].spec.command().output().expect("the daemon exits");

    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("is damaged at byte"), "{text}");
    assert!(text.contains(&*path.to_string_lossy()), "the file is not named: {text}");
}

/// A change must not be acknowledged if it can't be written. The one in flight when the
/// disk is full may be stored or not.
#[test]
fn a_full_disk_stops_the_voter_without_losing_an_accepted_change() {
    let (mut cluster, folder) = killed_voter();
    let spec = cluster.instances[0].spec.clone();
    let command = spec.command();
    // `ulimit -f` counts blocks of 512 bytes and limits each file; what is there fits.
    let mut limited = Command::new("sh");
    limited.arg("-c").arg("trap '' XFSZ; ulimit -f 12; exec \"$0\" \"$@\"");
    limited.arg(command.get_program()).args(command.get_args()).stdout(Stdio::null());
    let mut child = limited.stderr(Stdio::null()).spawn().expect("the daemon starts");
    let addrs = spec.addrs.expect("the daemon was started before");
    let (operator, caller) = (Operator::new(addrs.operator), Caller::new(addrs.caller));
    wait_until("the voter has a lease", LONG_TIMEOUT, || caller.is_ready());
    let mut accepted = 10;
    for i in 0..200 {
        match operator.edit(vec![put_pool(&format!("q{i}"))]) {
            Ok(ChangeOutcome::Accepted { .. }) => accepted += 1,
            _ => break,
        }
    }
    wait_until("the voter has exited", LONG_TIMEOUT, || matches!(child.try_wait(), Ok(Some(_))));

    cluster.start(0);
    cluster.daemon(0).wait_ready(LONG_TIMEOUT);

    assert!(accepted < 210, "the disk never became full");
    let shown = pool_count(&cluster);
    assert!(shown == accepted || shown == accepted + 1, "{accepted} accepted, {shown} shown");
    assert!(folder.exists());
}

#[test]
fn a_second_process_on_the_same_data_folder_is_refused() {
    let cluster = ClusterSpec::new(1, 0).start();
    let mut spec = cluster.instances[0].spec.clone();
    spec.addrs = None;

    let output = spec.command().output().expect("the daemon exits");

    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("is in use by another process"), "{text}");
    change_until_accepted(&cluster.operator(), vec![put_pool("still-there")]);
}

#[test]
fn a_second_bootstrap_is_refused_and_a_joining_instance_bootstraps_nothing() {
    let cluster = ClusterSpec::new(1, 0).start();
    let again = cluster.operator().bootstrap();
    assert!(again.is_err_and(|it| it.detail.contains("belongs to system")));

    let other = ClusterSpec::new(1, 0).start();
    let mut spec = cluster.instances[0].spec.clone();
    spec.join = vec![other.daemon(0).addrs.peer];
    drop(cluster);
    let folder = harness::TempDir::new();
    let data = folder.path().join("copy");
    spec.data = Some(data);
    spec.addrs = None;
    spec.log = None;
    let joined = spec.start();
    joined.wait_ready(LONG_TIMEOUT);

    let joined_status = joined.operator().status().expect("the status");
    let other_status = other.operator().status().expect("the status");
    assert_eq!(
        joined_status.leader, other_status.leader,
        "the instance bootstrapped a system instead of joining"
    );
}
