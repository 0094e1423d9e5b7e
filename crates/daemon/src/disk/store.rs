//! The log and the snapshots of a voter.
//!
//! The log is a row of segment files. A snapshot starts a new segment, and
//! segments whose entries it all covers are removed.

use {
    super::{
        DiskError, Folder,
        error::*,
        frame::{self, Parsed},
        when_room,
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

/// The names of segments and snapshots begin so, with a number behind.
const SEGMENT: &str = "log-";
const SNAPSHOT: &str = "snapshot-";

/// An operation as it stands in the log.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiskOp {
    Hard(HardState),
    Append(Entry),
    Truncate {
        from: Index,
    },
    /// The snapshot file of this position is durable.
    Snapshot {
        index: Index,
        term: Term,
    },
}

struct Segment {
    name: String,
    /// The last position of an entry in it.
    last: Index,
}

/// The open log.
pub struct Store {
    folder: Folder,
    file: File,
    path: PathBuf,
    segments: Vec<Segment>,
    seq: u64,
    hard: HardState,
    /// The length of the open segment's whole frames, in bytes.
    length: u64,
}

impl Store {
    /// Reads what is durable and opens the log for writing.
    ///
    /// # Errors
    /// A file can't be read or is damaged elsewhere than at its torn end.
    pub fn open(folder: Folder) -> Result<(Self, RestoredState), DiskError> {
        let mut reader = Reader::default();
        let names = folder.names()?;
        let logs: Vec<&String> = names.iter().filter(|it| is_segment(it)).collect();
        for (i, name) in logs.iter().enumerate() {
            reader.read_segment(&folder, name, i + 1 == logs.len())?;
        }
        let snapshot =
            reader.snapshot.map(|(index, _)| read_snapshot(&folder, index)).transpose()?;
        remove_other_snapshots(&folder, &names, reader.snapshot.map(|(index, _)| index));
        let covered = snapshot.as_ref().map_or(Index(0), |it| it.index);
        let mut entries = reader.entries;
        entries.retain(|it| it.index > covered);
        if entries.first().is_some_and(|it| it.index != covered.next()) {
            let detail = format!("entries after {covered} are missing");
            return Err(DiskError::Damaged { path: folder.file(SEGMENT), at: 0, detail });
        }
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

    /// Makes the operations of a batch durable with one sync.
    ///
    /// # Errors
    /// Nothing may be acknowledged, and the process must end.
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
                    self.note(entry.index);
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
            self.roll(*index)?;
        }
        Ok(())
    }

    fn note(&mut self, index: Index) {
        let segment = self.segments.last_mut().expect("the log has a segment");
        segment.last = segment.last.max(index);
    }

    fn write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let body = serde_json::to_vec(ops).expect("operations can be written as JSON");
        self.seq += 1;
        let mut bytes = Vec::with_capacity(body.len() + frame::HEADER);
        frame::write(&mut bytes, self.seq, &body);
        let (path, file, whole) = (&self.path, &self.file, self.length);
        let write = || {
            let mut file = file;
            file.write_all(&bytes).and_then(|()| file.sync_data()).context(WriteSnafu { path })
        };
        // A part of the frame must not stand before the next try.
        when_room(write, || file.set_len(whole).context(WriteSnafu { path }))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn save_snapshot(&self, snapshot: &Snapshot) -> Result<(), DiskError> {
        let body = serde_json::to_vec(snapshot).expect("a snapshot can be written as JSON");
        let mut bytes = Vec::with_capacity(body.len() + frame::HEADER);
        frame::write(&mut bytes, snapshot.index.0, &body);
        self.folder.replace(&snapshot_name(snapshot.index), &bytes)
    }

    /// Starts a new segment behind a snapshot and removes what it covers.
    fn roll(&mut self, covered: Index) -> Result<(), DiskError> {
        let number = segment_number(&self.segments.last().expect("a segment").name) + 1;
        let (file, path, name) = start_segment(&self.folder, number)?;
        (self.file, self.path, self.length) = (file, path, 0);
        self.segments.push(Segment { name, last: Index(0) });
        let marker = DiskOp::Snapshot { index: covered, term: Term(0) };
        self.write(&[DiskOp::Hard(self.hard), marker])?;
        let newest = self.segments.len() - 1;
        let mut kept = Vec::new();
        for (i, segment) in std::mem::take(&mut self.segments).into_iter().enumerate() {
            let covers_all = segment.last <= covered && i < newest && kept.is_empty();
            match covers_all {
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

/// What was read of the segments so far.
#[derive(Default)]
struct Reader {
    hard: HardState,
    entries: Vec<Entry>,
    snapshot: Option<(Index, Term)>,
    seq: u64,
    segments: Vec<Segment>,
}

impl Reader {
    fn read_segment(&mut self, folder: &Folder, name: &str, newest: bool) -> Result<(), DiskError> {
        let path = folder.file(name);
        let bytes = fs::read(&path).context(ReadSnafu { path: &path })?;
        self.segments.push(Segment { name: name.to_owned(), last: Index(0) });
        let mut at = 0;
        loop {
            match frame::read(&bytes, at) {
                Parsed::End => return Ok(()),
                Parsed::Frame { seq, body, end } => {
                    self.take_frame(seq, body).map_err(|detail| DiskError::Damaged {
                        path: path.clone(),
                        at: at as u64,
                        detail,
                    })?;
                    at = end;
                }
                Parsed::Broken if newest && !frame::any_after(&bytes, at) => {
                    return cut(&path, at as u64);
                }
                Parsed::Broken => {
                    let detail = "a frame is broken and whole ones follow".to_owned();
                    return Err(DiskError::Damaged { path, at: at as u64, detail });
                }
            }
        }
    }

    fn take_frame(&mut self, seq: u64, body: &[u8]) -> Result<(), String> {
        if self.seq != 0 && seq != self.seq + 1 {
            return Err(format!("frame {seq} follows frame {}", self.seq));
        }
        self.seq = seq;
        let ops: Vec<DiskOp> = serde_json::from_slice(body).map_err(|err| err.to_string())?;
        for op in ops {
            self.take_op(op)?;
        }
        Ok(())
    }

    fn take_op(&mut self, op: DiskOp) -> Result<(), String> {
        match op {
            DiskOp::Hard(hard) => self.hard = hard,
            DiskOp::Append(entry) => {
                let last = self.entries.last().map(|it| it.index);
                if last.is_some_and(|it| entry.index != it.next()) {
                    return Err(format!("entry {} doesn't follow the last one", entry.index));
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
    name.starts_with(SEGMENT)
}

fn segment_number(name: &str) -> u64 {
    name.trim_start_matches(SEGMENT).parse().unwrap_or(0)
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT}{:020}", index.0)
}

fn start_segment(folder: &Folder, number: u64) -> Result<(File, PathBuf, String), DiskError> {
    let name = format!("{SEGMENT}{number:020}");
    let path = folder.file(&name);
    let open = || {
        let file = OpenOptions::new().create_new(true).append(true).open(&path);
        file.context(WriteSnafu { path: &path })
    };
    let file = when_room(open, || Ok(()))?;
    folder.sync()?;
    Ok((file, path, name))
}

/// Cuts a torn end off, so that it can't be taken for damage later.
fn cut(path: &PathBuf, at: u64) -> Result<(), DiskError> {
    log::warn!("[disk] {} has a torn end. It is cut at byte {at}.", path.display());
    let file = OpenOptions::new().write(true).open(path);
    file.and_then(|it| it.set_len(at).and_then(|()| it.sync_all())).context(WriteSnafu { path })
}

fn read_snapshot(folder: &Folder, index: Index) -> Result<Arc<Snapshot>, DiskError> {
    let path = folder.file(&snapshot_name(index));
    let bytes = fs::read(&path).context(ReadSnafu { path: &path })?;
    let damaged = |detail: String| DiskError::Damaged { path: path.clone(), at: 0, detail };
    let Parsed::Frame { body, .. } = frame::read(&bytes, 0) else {
        return Err(damaged("the checksum doesn't fit".to_owned()));
    };
    let snapshot = serde_json::from_slice(body).map_err(|err| damaged(err.to_string()))?;
    Ok(Arc::new(snapshot))
}

fn remove_other_snapshots(folder: &Folder, names: &[String], keep: Option<Index>) {
    let keep = keep.map(snapshot_name);
    let others = names.iter().filter(|it| it.starts_with(SNAPSHOT) && Some(*it) != keep.as_ref());
    others.for_each(|it| folder.remove(it));
}
