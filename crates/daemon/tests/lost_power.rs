//! Data folders whose machine loses power, in which whatever wasn't synced is gone, and
//! whose disk is full for a while.

use {
    coord::{
        ids::{Index, NodeId, Term},
        raft::{Batch, Config, Entry, HardState, LogOp, Payload, RestoredState, Snapshot},
        tables::State,
    },
    daemon::disk::{DiskError, Folder, Store},
    harness::TempDir,
    std::{
        collections::HashMap,
        fs::{self, File, OpenOptions},
        io,
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
};

/// A data folder on a disk that keeps of each file what was synced last.
struct Disk {
    folder: TempDir,
    /// The length up to which each file is durable, in bytes.
    synced: Arc<Mutex<HashMap<PathBuf, u64>>>,
    /// Whether the process is killed before its next sync.
    killed: Arc<AtomicBool>,
    /// How many of the next syncs find the disk full.
    refusals: Arc<AtomicU32>,
}

impl Disk {
    fn new() -> Self {
        let folder = TempDir::new();
        Self { folder, synced: Arc::default(), killed: Arc::default(), refusals: Arc::default() }
    }

    fn open(&self) -> Result<(Store, RestoredState), DiskError> {
        self.killed.store(false, Ordering::Relaxed);
        let (synced, killed) = (self.synced.clone(), self.killed.clone());
        let refusals = self.refusals.clone();
        let sync = move |path: &Path, file: &File| {
            if killed.load(Ordering::Relaxed) {
                return Err(io::Error::other("the process is killed"));
            }
            let count = |left: u32| left.checked_sub(1);
            if refusals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, count).is_ok() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let length = file.metadata()?.len();
            synced.lock().expect("the lock").insert(path.to_owned(), length);
            Ok(())
        };
        Store::open(Folder::open_with(self.folder.path(), Box::new(sync))?)
    }

    /// Writes entries and kills the process before they are synced.
    fn kill_in_commit(&self, mut store: Store, batch: Batch) {
        self.killed.store(true, Ordering::Relaxed);
        store.commit(batch).expect_err("the sync doesn't happen");
    }

    fn lose_power(&self) {
        let synced = self.synced.lock().expect("the lock");
        for name in self.segments() {
            let path = self.folder.path().join(name);
            let file = OpenOptions::new().write(true).open(&path).expect("a segment");
            file.set_len(synced.get(&path).copied().unwrap_or(0)).expect("a shorter segment");
        }
    }

    fn segments(&self) -> Vec<String> {
        let entries = fs::read_dir(self.folder.path()).expect("the folder").flatten();
        let names = entries.filter_map(|it| it.file_name().into_string().ok());
        let mut segments: Vec<String> = names.filter(|it| it.starts_with("log-")).collect();
        segments.sort();
        segments
    }
}

fn batch(ops: Vec<LogOp>) -> Batch {
    Batch { ops, after_sync: Vec::new(), last: Index(0) }
}

fn entries(indexes: impl IntoIterator<Item = u64>) -> Batch {
    let entry = |index| Entry { term: Term(1), index: Index(index), payload: Payload::Empty };
    batch(indexes.into_iter().map(|it| LogOp::Append(entry(it))).collect())
}

fn snapshot(index: u64) -> Batch {
    let config = Config::single(NodeId(1), ([127, 0, 0, 1], 1).into());
    let (index, term) = (Index(index), Term(1));
    let snapshot = Snapshot { index, term, config, state: State::default() };
    batch(vec![LogOp::Snapshot(Arc::new(snapshot))])
}

fn indexes(restored: &RestoredState) -> Vec<u64> {
    restored.entries.iter().map(|it| it.index.0).collect()
}

#[test]
fn entries_found_after_a_kill_outlast_a_loss_of_power() {
    let disk = Disk::new();
    let (mut store, _) = disk.open().expect("a new folder");
    store.commit(entries(1..=3)).expect("the first entries");
    disk.kill_in_commit(store, entries([4]));
    let (store, found) = disk.open().expect("the folder after the kill");
    assert_eq!(indexes(&found), [1, 2, 3, 4], "what the restarted process may acknowledge");
    drop(store);

    disk.lose_power();

    let (_, restored) = disk.open().expect("the folder after the loss of power");
    assert_eq!(indexes(&restored), [1, 2, 3, 4]);
}

#[test]
fn a_vote_found_after_a_kill_outlasts_a_loss_of_power() {
    let disk = Disk::new();
    let (mut store, _) = disk.open().expect("a new folder");
    store.commit(entries(1..=3)).expect("the first entries");
    let vote = HardState { term: Term(7), vote: Some(NodeId(2)) };
    disk.kill_in_commit(store, batch(vec![LogOp::Hard(vote)]));
    let (store, found) = disk.open().expect("the folder after the kill");
    assert_eq!(found.hard, vote);
    drop(store);

    disk.lose_power();

    let (_, restored) = disk.open().expect("the folder after the loss of power");
    assert_eq!(restored.hard, vote);
}

#[test]
fn a_removed_segment_that_comes_back_without_its_successor_is_ignored() {
    let disk = Disk::new();
    for index in 1..=3 {
        let (mut store, _) = disk.open().expect("the folder");
        store.commit(entries([index])).expect("an entry");
    }
    let first = disk.folder.path().join(&disk.segments()[0]);
    let bytes = fs::read(&first).expect("the first segment");
    let (mut store, _) = disk.open().expect("the folder");
    store.commit(snapshot(3)).expect("the snapshot, which removes earlier segments");
    store.commit(entries([4])).expect("an entry after it");
    drop(store);
    assert!(!first.exists(), "the first segment is removed");

    fs::write(&first, bytes).expect("the removal is undone");

    let (_, restored) = disk.open().expect("the folder after the loss of power");
    assert_eq!(restored.snapshot.map(|it| it.index), Some(Index(3)));
    assert_eq!(restored.entries.first().map(|it| it.index), Some(Index(4)));
}

#[test]
fn a_missing_segment_that_no_snapshot_covers_is_damage_and_nothing_is_removed() {
    let disk = Disk::new();
    let (mut store, _) = disk.open().expect("a new folder");
    store.commit(entries([1])).expect("an entry");
    drop(store);
    drop(disk.open().expect("the folder, with a second segment"));
    drop(disk.open().expect("the folder, with a third segment"));
    let segments = disk.segments();

    fs::remove_file(disk.folder.path().join(&segments[1])).expect("the second segment is lost");

    assert!(matches!(disk.open(), Err(DiskError::Damaged { .. })));
    assert!(disk.segments().contains(&segments[0]), "the first entry is still there");
}

#[test]
fn what_is_written_around_full_disks_is_whole_and_outlasts_a_loss_of_power() {
    let disk = Disk::new();
    let (mut store, _) = disk.open().expect("a new folder");
    for (index, refused) in [(1, 0), (2, 2), (3, 0), (4, 1)] {
        disk.refusals.store(refused, Ordering::Relaxed);
        store.commit(entries([index])).expect("an entry, once there is room");
    }
    disk.refusals.store(2, Ordering::Relaxed);
    store.commit(snapshot(3)).expect("the snapshot, once there is room");
    store.commit(entries([5])).expect("an entry after it");
    drop(store);

    disk.lose_power();
    disk.refusals.store(2, Ordering::Relaxed);

    let (_, restored) = disk.open().expect("the folder, once there is room");
    assert_eq!(restored.snapshot.as_ref().map(|it| it.index), Some(Index(3)));
    assert_eq!(indexes(&restored), [4, 5]);
}
