//! The Raft log and the snapshots of a voter.
//!
//! The log is a sequence of segment files. Each snapshot starts a new segment;
//! segments whose entries are all covered by the snapshot are removed.

use {
    super::{
        DiskError, Folder,
        error::*,
        frame::{self, Parsed},
        retry_while_full,
    },
    coord::{
        ids::{Index, Term},
        raft::{Batch, Entry, HardState, LogOp, RestoredState, Snapshot},
    },
    serde::{Deserialize, Serialize},
    snafu::ResultExt,
    std::{
        fs::{self, File, OpenOptions},
        io::Write,
        path::PathBuf,
        sync::Arc,
    },
};

/// File name prefixes of segments and snapshots, each followed by a number.
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// An operation as stored in the log.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiskOp {
    Hard(HardState),
    Append(Entry),
    Truncate {
        from: Index,
    },
    /// The snapshot file of this index is durable.
    Snapshot {
        index: Index,
        term: Term,
    },
}

struct Segment {
    name: String,
    /// The highest index of its entries; 0 if there are none.
    last: Index,
}

/// The log, open for appending.
pub struct Store {
    folder: Folder,
    file: File,
    path: PathBuf,
    segments: Vec<Segment>,
    seq: u64,
    hard: HardState,
    /// The length of the complete frames in the open segment, in bytes.
    length: u64,
}

impl Store {
    /// Reads the stored state and opens a new segment for writing.
    ///
    /// # Errors
    /// A file can't be read or written, or is damaged elsewhere than at the torn
    /// end of the last segment.
    pub fn open(folder: Folder) -> Result<(Self, RestoredState), DiskError> {
        let mut reader = LogReader::default();
        let names = folder.names()?;
        let all: Vec<&String> = names.iter().filter(|it| is_segment(it)).collect();
        let (removed, logs) = all.split_at(first_in_use(&all));
        for (i, name) in logs.iter().enumerate() {
            reader.read_segment(&folder, name, i + 1 == logs.len())?;
        }
        let snapshot =
            reader.snapshot.map(|(index, _)| read_snapshot(&folder, index)).transpose()?;
        remove_other_snapshots(&folder, &names, reader.snapshot.map(|(index, _)| index));
        let covered = snapshot.as_ref().map_or(Index(0), |it| it.index);
        let mut entries = reader.entries;
        entries.retain(|it| it.index > covered);
        let is_gap = entries.first().is_some_and(|it| it.index != covered.next());
        if is_gap || !removed.is_empty() && snapshot.is_none() {
            let detail = format!("entries after {covered} are missing");
            return Err(DiskError::Damaged { path: folder.file(SEGMENT_PREFIX), at: 0, detail });
        }
        removed.iter().for_each(|it| folder.remove(it));
        let (hard, seq, segments) = (reader.hard, reader.seq, reader.segments);
        let number = segments.last().map_or(0, |it| segment_number(&it.name)) + 1;
        let (file, path, name) = start_segment(&folder, number)?;
        let mut store = Self { folder, file, path, segments, seq, hard, length: 0 };
        store.segments.push(Segment { name, last: Index(0) });
        store.write(&[DiskOp::Hard(hard)])?;
        Ok((store, RestoredState { hard, snapshot, entries }))
    }

    /// The folder that holds the log.
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Writes the operations of a batch as one frame, with one sync; they are
    /// durable on return.
    ///
    /// # Errors
    /// A file can't be written. Nothing in the batch may be acknowledged, and
    /// the process must end.
    pub fn commit(&mut self, batch: Batch) -> Result<(), DiskError> {
        let mut ops = Vec::with_capacity(batch.ops.len());
        let mut snapshots = Vec::new();
        for op in batch.ops {
            ops.push(match op {
                LogOp::Hard(hard) => {
                    self.hard = hard;
                    DiskOp::Hard(hard)
                }
                LogOp::Append(entry) => {
                    self.record_index(entry.index);
                    DiskOp::Append(entry)
                }
                LogOp::Truncate { from } => DiskOp::Truncate { from },
                LogOp::Snapshot(snapshot) => {
                    self.save_snapshot(&snapshot)?;
                    let (index, term) = (snapshot.index, snapshot.term);
                    snapshots.push(index);
                    DiskOp::Snapshot { index, term }
                }
            });
        }
        if !ops.is_empty() {
            self.write(&ops)?;
        }
        if let Some(index) = snapshots.last() {
            self.start_next_segment(*index)?;
        }
        Ok(())
    }

    fn record_index(&mut self, index: Index) {
        let segment = self.segments.last_mut().expect("the log has a segment");
        segment.last = segment.last.max(index);
    }

    fn write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let body = serde_json::to_vec(ops).expect("operations can be serialized as JSON");
        self.seq += 1;
        let mut bytes = Vec::with_capacity(body.len() + frame::HEADER_BYTES);
        frame::encode(&mut bytes, self.seq, &body);
        let (path, file, valid_length) = (&self.path, &self.file, self.length);
        let write = || {
            let mut out = file;
            let written = out.write_all(&bytes).and_then(|()| self.folder.sync_file(path, file));
            written.context(WriteSnafu { path })
        };
        // A partly written frame is cut off before the next attempt.
        retry_while_full(write, || file.set_len(valid_length).context(WriteSnafu { path }))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn save_snapshot(&self, snapshot: &Snapshot) -> Result<(), DiskError> {
        let body = serde_json::to_vec(snapshot).expect("a snapshot can be serialized as JSON");
        let mut bytes = Vec::with_capacity(body.len() + frame::HEADER_BYTES);
        frame::encode(&mut bytes, snapshot.index.0, &body);
        self.folder.replace(&snapshot_name(snapshot.index), &bytes)
    }

    /// Starts a new segment after a snapshot, and removes the segments and
    /// snapshots that it supersedes.
    fn start_next_segment(&mut self, covered: Index) -> Result<(), DiskError> {
        let number = segment_number(&self.segments.last().expect("the log has a segment").name) + 1;
        let (file, path, name) = start_segment(&self.folder, number)?;
        (self.file, self.path, self.length) = (file, path, 0);
        self.segments.push(Segment { name, last: Index(0) });
        let marker = DiskOp::Snapshot { index: covered, term: Term(0) };
        self.write(&[DiskOp::Hard(self.hard), marker])?;
        let newest = self.segments.len() - 1;
        let mut kept = Vec::new();
        for (i, segment) in std::mem::take(&mut self.segments).into_iter().enumerate() {
            let removable = segment.last <= covered && i < newest && kept.is_empty();
            match removable {
                true => self.folder.remove(&segment.name),
                false => kept.push(segment),
            }
        }
        self.segments = kept;
        let names = self.folder.names()?;
        remove_other_snapshots(&self.folder, &names, Some(covered));
        self.folder.sync()
    }
}

/// Replays segments; holds the state restored so far.
#[derive(Default)]
struct LogReader {
    hard: HardState,
    entries: Vec<Entry>,
    snapshot: Option<(Index, Term)>,
    seq: u64,
    segments: Vec<Segment>,
}

impl LogReader {
    fn read_segment(&mut self, folder: &Folder, name: &str, newest: bool) -> Result<(), DiskError> {
        let path = folder.file(name);
        // A process that was killed before its last sync has left bytes that aren't durable.
        let sync = || {
            let synced = File::open(&path).and_then(|it| folder.sync_file(&path, &it));
            synced.context(WriteSnafu { path: &path })
        };
        retry_while_full(sync, || Ok(()))?;
        let bytes = fs::read(&path).context(ReadSnafu { path: &path })?;
        self.segments.push(Segment { name: name.to_owned(), last: Index(0) });
        let mut at = 0;
        loop {
            match frame::decode(&bytes, at) {
                Parsed::End => return Ok(()),
                Parsed::Frame { seq, body, end } => {
                    self.apply_frame(seq, body).map_err(|detail| DiskError::Damaged {
                        path: path.clone(),
                        at: at as u64,
                        detail,
                    })?;
                    at = end;
                }
                Parsed::Invalid if newest && !frame::has_frame_after(&bytes, at) => {
                    return truncate(&path, at as u64);
                }
                Parsed::Invalid => {
                    let detail = "an invalid frame is followed by valid ones".to_owned();
                    return Err(DiskError::Damaged { path, at: at as u64, detail });
                }
            }
        }
    }

    fn apply_frame(&mut self, seq: u64, body: &[u8]) -> Result<(), String> {
        if self.seq != 0 && seq != self.seq + 1 {
            return Err(format!("frame {seq} follows frame {}", self.seq));
        }
        self.seq = seq;
        let ops: Vec<DiskOp> = serde_json::from_slice(body).map_err(|err| err.to_string())?;
        for op in ops {
            self.apply_op(op)?;
        }
        Ok(())
    }

    fn apply_op(&mut self, op: DiskOp) -> Result<(), String> {
        match op {
            DiskOp::Hard(hard) => self.hard = hard,
            DiskOp::Append(entry) => {
                let last = self.entries.last().map(|it| it.index);
                if last.is_some_and(|it| entry.index != it.next()) {
                    return Err(format!("entry {} doesn't follow the previous index", entry.index));
                }
                let segment = self.segments.last_mut().expect("a segment is being read");
                segment.last = segment.last.max(entry.index);
                self.entries.push(entry);
            }
            DiskOp::Truncate { from } => self.entries.retain(|it| it.index < from),
            DiskOp::Snapshot { index, term } => {
                let (old, _) = self.snapshot.unwrap_or_default();
                self.snapshot = Some((index.max(old), term));
                self.entries.retain(|it| it.index > index);
            }
        }
        Ok(())
    }
}

fn is_segment(name: &str) -> bool {
    name.starts_with(SEGMENT_PREFIX)
}

/// The position of the first segment in use. Removals of segments that a snapshot covers
/// may be lost with power, each by itself; what precedes a missing segment was removed if
/// a snapshot follows it.
fn first_in_use(names: &[&String]) -> usize {
    let follows = |pair: &[&String]| segment_number(pair[1]) == segment_number(pair[0]) + 1;
    names.windows(2).rposition(|pair| !follows(pair)).map_or(0, |it| it + 1)
}

fn segment_number(name: &str) -> u64 {
    name.trim_start_matches(SEGMENT_PREFIX).parse().unwrap_or(0)
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", index.0)
}

fn start_segment(folder: &Folder, number: u64) -> Result<(File, PathBuf, String), DiskError> {
    let name = format!("{SEGMENT_PREFIX}{number:020}");
    let path = folder.file(&name);
    let open = || {
        let file = OpenOptions::new().create_new(true).append(true).open(&path);
        file.context(WriteSnafu { path: &path })
    };
    let file = retry_while_full(open, || Ok(()))?;
    folder.sync()?;
    Ok((file, path, name))
}

/// Cuts off a torn end. If it stayed, later segments would make it look like
/// damage in the middle of the log.
fn truncate(path: &PathBuf, at: u64) -> Result<(), DiskError> {
    log::warn!("[disk] {} has a torn end. It is cut at byte {at}.", path.display());
    let file = OpenOptions::new().write(true).open(path);
    file.and_then(|it| it.set_len(at).and_then(|()| it.sync_all())).context(WriteSnafu { path })
}

fn read_snapshot(folder: &Folder, index: Index) -> Result<Arc<Snapshot>, DiskError> {
    let path = folder.file(&snapshot_name(index));
    let bytes = fs::read(&path).context(ReadSnafu { path: &path })?;
    let damaged = |detail: String| DiskError::Damaged { path: path.clone(), at: 0, detail };
    let Parsed::Frame { body, .. } = frame::decode(&bytes, 0) else {
        return Err(damaged("the checksum doesn't match".to_owned()));
    };
    let snapshot = serde_json::from_slice(body).map_err(|err| damaged(err.to_string()))?;
    Ok(Arc::new(snapshot))
}

fn remove_other_snapshots(folder: &Folder, names: &[String], keep: Option<Index>) {
    let keep = keep.map(snapshot_name);
    let others =
        names.iter().filter(|it| it.starts_with(SNAPSHOT_PREFIX) && Some(*it) != keep.as_ref());
    others.for_each(|it| folder.remove(it));
}
