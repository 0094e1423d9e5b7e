//! In-memory log with its latest snapshot.

use {
    super::Config,
    crate::{
        ids::{Bytes, Index, Term},
        size::json_size,
        tables::{Command, State},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// The no-op that a leader appends at the start of its term.
    Empty,
    Command(Command),
    Config(Config),
}

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub index: Index,
    pub payload: Payload,
}

/// The state after applying all entries up to and including `index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub config: Config,
    pub state: State,
}

/// The latest snapshot and the entries kept in memory.
#[derive(Debug, Clone, Default)]
pub struct Log {
    pub snapshot: Option<Arc<Snapshot>>,
    /// The index and term just before the first kept entry. It may precede the
    /// snapshot, since some entries are kept for followers that lag.
    base: (Index, Term),
    entries: Vec<Entry>,
    /// The size of each kept entry.
    sizes: Vec<Bytes>,
}

impl Log {
    /// Restores the log from durable state.
    pub fn restore(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> Self {
        let base = match (entries.first(), &snapshot) {
            (Some(it), Some(snap)) if it.index <= snap.index => (it.index.prev(), Term(0)),
            (_, Some(snap)) => (snap.index, snap.term),
            _ => (Index(0), Term(0)),
        };
        let sizes = entries.iter().map(json_size).collect();
        Self { snapshot, base, entries, sizes }
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> Index {
        Index(self.base.0.0 + self.entries.len() as u64)
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.term(self.last_index()).expect("the term of the last entry is known")
    }

    /// The index of the first kept entry.
    pub fn first_index(&self) -> Index {
        self.base.0.next()
    }

    /// The term of the entry at `index`, if it is still known.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == Index(0) {
            return Some(Term(0));
        }
        if let Some(it) = self.snapshot.as_ref().filter(|it| it.index == index) {
            return Some(it.term);
        }
        if index == self.base.0 {
            return Some(self.base.1).filter(|it| *it > Term(0));
        }
        self.get(index).map(|it| it.term)
    }

    /// The entry at `index`, if it is kept.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(offset as usize)
    }

    /// At most `max` entries starting at `index`, of at most `max_size` unless the first
    /// alone is larger; empty if the entry at `index` has been compacted.
    pub fn entries_from(&self, index: Index, max: usize, max_size: Bytes) -> &[Entry] {
        let Some(offset) = index.0.checked_sub(self.first_index().0) else {
            return &[];
        };
        let start = (offset as usize).min(self.entries.len());
        let end = (start + max).min(self.entries.len());
        let mut left = max_size.0;
        let fitting = self.sizes[start..end].iter().take_while(|it| {
            let fits = it.0 <= left;
            left = left.saturating_sub(it.0);
            fits
        });
        let count = fitting.count().max(1).min(end - start);
        &self.entries[start..start + count]
    }

    /// The size of the kept entries after one index, up to and including another.
    pub fn size_between(&self, after: Index, last: Index) -> Bytes {
        let offset = |index: Index| {
            let kept = (index.0 + 1).saturating_sub(self.first_index().0) as usize;
            kept.min(self.sizes.len())
        };
        let (start, end) = (offset(after), offset(last));
        Bytes(self.sizes[start.min(end)..end].iter().map(|it| it.0).sum())
    }

    /// Appends the next entry.
    ///
    /// # Panics
    /// If its index doesn't follow the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index().next(),
            "log entries must have consecutive indexes"
        );
        self.sizes.push(json_size(&entry));
        self.entries.push(entry);
    }

    /// Removes the entry at `from` and all later ones.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.first_index().0);
        self.entries.truncate(keep as usize);
        self.sizes.truncate(keep as usize);
    }

    /// Stores a newer snapshot and drops the entries that it covers, except for
    /// the last `trailing` ones, of at most `trailing_size`.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, trailing: u64, trailing_size: Bytes) {
        let mut base = Index(snapshot.index.0.saturating_sub(trailing)).max(self.base.0);
        while self.size_between(base, snapshot.index) > trailing_size {
            base = base.next();
        }
        if base > self.base.0 {
            let term = self.term(base).expect("the term of a kept entry is known");
            let dropped = (base.0 - self.base.0.0) as usize;
            self.entries.drain(..dropped);
            self.sizes.drain(..dropped);
            self.base = (base, term);
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.base = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.sizes.clear();
        self.snapshot = Some(snapshot);
    }

    /// The latest configuration in the log and its index.
    pub fn config(&self) -> Option<(Index, &Config)> {
        let entry = self.entries.iter().rev().find_map(|it| match &it.payload {
            Payload::Config(config) => Some((it.index, config)),
            _ => None,
        });
        let snap = self.snapshot.as_ref().map(|it| (it.index, &it.config));
        match (entry, snap) {
            (Some(entry), Some(snap)) if snap.0 > entry.0 => Some(snap),
            (Some(entry), _) => Some(entry),
            (None, snap) => snap,
        }
    }
}
