//! The log after its latest snapshot, as held in memory.

use {
    super::Config,
    crate::{
        ids::{Index, Term},
        tables::{Command, State},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// The first entry of a leader's term.
    Empty,
    Command(Command),
    Config(Config),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub index: Index,
    pub payload: Payload,
}

/// All state up to and including one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub config: Config,
    pub state: State,
}

/// The entries that follow a snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    pub snapshot: Option<Arc<Snapshot>>,
    /// The position and term before the first held entry; it may lie before
    /// the snapshot, since some entries are kept for followers that lag.
    base: (Index, Term),
    entries: Vec<Entry>,
}

impl Log {
    /// Makes a log from what was durable.
    pub fn restore(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> Self {
        let base = match (entries.first(), &snapshot) {
            (Some(it), Some(snap)) if it.index <= snap.index => (it.index.prev(), Term(0)),
            (_, Some(snap)) => (snap.index, snap.term),
            _ => (Index(0), Term(0)),
        };
        Self { snapshot, base, entries }
    }

    /// The position of the last entry.
    pub fn last_index(&self) -> Index {
        Index(self.base.0.0 + self.entries.len() as u64)
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.term(self.last_index()).expect("the term of the last entry is known")
    }

    /// The position of the first held entry.
    pub fn first_index(&self) -> Index {
        self.base.0.next()
    }

    /// The term at a position, if it is still known.
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

    /// The entry at a position.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(offset as usize)
    }

    /// At most `max` entries from a position on; empty if it was dropped.
    pub fn entries_from(&self, index: Index, max: usize) -> &[Entry] {
        let Some(offset) = index.0.checked_sub(self.first_index().0) else {
            return &[];
        };
        let start = (offset as usize).min(self.entries.len());
        let end = (start + max).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends the entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        self.entries.push(entry);
    }

    /// Drops the entry at a position and all after it.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.first_index().0);
        self.entries.truncate(keep as usize);
    }

    /// Takes a newer snapshot and keeps `trailing` entries before it.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, trailing: u64) {
        let base = Index(snapshot.index.0.saturating_sub(trailing));
        if base > self.base.0 {
            let term = self.term(base).expect("a compacted entry is held");
            self.entries.drain(..(base.0 - self.base.0.0) as usize);
            self.base = (base, term);
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces everything by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.base = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.snapshot = Some(snapshot);
    }

    /// The latest configuration in the log, and where it stands.
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
