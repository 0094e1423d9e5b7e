//! The log of recent table deltas that instances follow.

use {
    super::Update,
    crate::{
        catalog::Catalog,
        ids::{Bytes, CatalogVersion, Index},
        packed::Packed,
        size::json_size,
        tables::{Delta, Tables},
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc},
};

/// The maximum size of the deltas kept: a few catalogs of thousands of routes, or as many
/// endpoints. An instance further behind is sent the whole tables.
const MAX_BYTES: Bytes = Bytes(2 << 20);
/// The size of catalog edits in one update up to which it isn't compared with that of the
/// whole catalog, since that has to be encoded for it.
const MAX_UNCOMPARED: Bytes = Bytes(32 << 10);
/// The size of deltas up to which they are sent without being compared with the whole
/// tables, and unpacked.
const MAX_PLAIN: Bytes = Bytes(4 << 10);
/// The number of log entries for which the size of the whole tables is taken as unchanged.
const SIZE_INTERVAL: u64 = 256;
/// The maximum number of packed rows of deltas kept for other receivers.
const MAX_PACKED: usize = 64;
/// The maximum number of deltas in an update for an instance that reads none that are
/// packed; beyond it the whole tables are cheaper.
const MAX_UNPACKED_DELTAS: usize = 128;

#[derive(Debug)]
struct Row {
    index: Index,
    delta: Delta,
    size: Bytes,
}

/// Recent deltas of the tables with their log indices.
#[derive(Debug, Default)]
pub struct Feed {
    rows: VecDeque<Row>,
    /// The size of all rows.
    size: Bytes,
    /// All deltas after this index are kept.
    base: Index,
    /// The index of the latest delta.
    last: Index,
    /// The catalog in whole tables, encoded once for each version.
    catalog: Option<(CatalogVersion, Packed<Catalog>)>,
    /// The whole tables without their catalog, encoded once for each last index.
    tables: Option<(Index, Packed<Tables>)>,
    /// The size of these tables, and the last index for which it was worked out.
    tables_size: Option<(Index, Bytes)>,
    /// The deltas from a position to the last one, encoded once for all receivers.
    deltas: IndexMap<usize, Packed<Vec<(Index, Delta)>>>,
}

/// How an instance reads updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateForm {
    /// No packed values, nor deltas of withheld parts.
    Plain,
    /// Packed catalogs.
    PackedCatalog,
    /// Packed catalogs, deltas and tables.
    Packed,
    /// Rollouts too.
    WithRollouts,
}

impl Feed {
    /// Creates an empty feed for tables that have reached the given index.
    pub fn start(at: Index) -> Self {
        Self { base: at, last: at, ..Self::default() }
    }

    /// Appends a delta.
    pub fn push(&mut self, index: Index, delta: Delta) {
        let size = json_size(&delta);
        self.rows.push_back(Row { index, delta, size });
        self.size.0 += size.0;
        self.last = index;
        self.deltas.clear();
        while self.size > MAX_BYTES {
            let row = self.rows.pop_front().expect("the feed isn't empty");
            self.size.0 -= row.size.0;
            self.base = row.index;
        }
    }

    /// Returns the index of the latest delta.
    pub fn last(&self) -> Index {
        self.last
    }

    /// Returns the update for a copy that has applied everything up to an index. It is
    /// no larger than the whole tables.
    pub fn update(&mut self, applied: Index, form: UpdateForm, tables: &Tables) -> Update {
        if self.is_current(applied) {
            return Update::Same;
        }
        match form {
            UpdateForm::Plain => self.plain_update(applied, tables),
            UpdateForm::PackedCatalog => self.partly_packed_update(applied, tables),
            UpdateForm::Packed => {
                let whole = self.has_rollout_after(applied);
                self.packed_update(applied, tables, whole)
            }
            UpdateForm::WithRollouts => self.packed_update(applied, tables, false),
        }
    }

    fn packed_update(&mut self, applied: Index, tables: &Tables, whole: bool) -> Update {
        let size = self.size_after(applied);
        let whole =
            whole || !self.reaches(applied) || size > MAX_PLAIN && size > self.whole_size(tables);
        if whole {
            let catalog = self.packed_catalog(tables);
            return Update::PackedTables { tables: self.packed_tables(tables), catalog };
        }
        let start = self.start_after(applied);
        if size <= MAX_PLAIN {
            return Update::Deltas(self.deltas_from(start));
        }
        let packed = match self.deltas.get(&start) {
            Some(it) => it.clone(),
            None => {
                let packed = Packed::new(&self.deltas_from(start));
                if self.deltas.len() >= MAX_PACKED {
                    self.deltas.clear();
                }
                self.deltas.insert(start, packed.clone());
                packed
            }
        };
        Update::PackedDeltas(packed)
    }

    /// For an instance of an earlier build, which reads no packed deltas.
    fn partly_packed_update(&mut self, applied: Index, tables: &Tables) -> Update {
        let start = self.start_after(applied);
        let edits = self.rows.range(start..).filter(|it| matches!(it.delta, Delta::CatalogEdit(_)));
        let edited: u64 = edits.map(|it| it.size.0).sum();
        let whole = self.rows.len() - start > MAX_UNPACKED_DELTAS
            || !self.reaches(applied)
            || self.has_rollout_after(applied)
            || edited > MAX_UNCOMPARED.0 && edited > json_size(&self.packed_catalog(tables)).0;
        if whole {
            let catalog = self.packed_catalog(tables);
            return Update::Packed { tables: Box::new(without_catalog(tables)), catalog };
        }
        Update::Deltas(self.deltas_from(start))
    }

    /// For an instance of an earlier build, which reads neither packed values nor deltas of
    /// withheld parts.
    fn plain_update(&self, applied: Index, tables: &Tables) -> Update {
        let start = self.start_after(applied);
        let is_new = |it: &Row| {
            matches!(it.delta, Delta::CatalogEdit(_) | Delta::Withhold(_) | Delta::Release(_))
        };
        let whole = self.rows.len() - start > MAX_UNPACKED_DELTAS
            || !self.reaches(applied)
            || self.rows.range(start..).any(is_new)
            || self.has_rollout_after(applied);
        match whole {
            true => Update::Full(Box::new(tables.clone())),
            false => Update::Deltas(self.deltas_from(start)),
        }
    }

    /// Returns the size of an update for a copy that has applied everything up to an
    /// index: that of its deltas, or of whole tables as far as they are packed.
    pub fn update_size(&self, applied: Index, update: &Update) -> Bytes {
        match update {
            Update::Same => Bytes(0),
            Update::Full(tables) => json_size(&tables.catalog),
            Update::Packed { catalog, .. } => json_size(catalog),
            Update::PackedTables { tables, catalog } => {
                Bytes(json_size(tables).0 + json_size(catalog).0)
            }
            Update::PackedDeltas(deltas) => json_size(deltas),
            Update::Deltas(_) => self.size_after(applied),
        }
    }

    /// Returns the number of deltas after an index.
    pub fn count_after(&self, applied: Index) -> u64 {
        (self.rows.len() - self.start_after(applied)) as u64
    }

    /// Whether there are deltas of rollouts after an index. Instances that don't read them
    /// are sent the whole tables.
    fn has_rollout_after(&self, applied: Index) -> bool {
        let mut rows = self.rows.range(self.start_after(applied)..);
        rows.any(|it| matches!(it.delta, Delta::Rollout(_)))
    }

    /// The size of the deltas after an index.
    fn size_after(&self, applied: Index) -> Bytes {
        let rows = self.rows.range(self.start_after(applied)..);
        Bytes(rows.map(|it| it.size.0).sum())
    }

    fn is_current(&self, applied: Index) -> bool {
        applied >= self.last && applied > Index(0)
    }

    /// Whether all deltas after an index are kept.
    fn reaches(&self, applied: Index) -> bool {
        applied >= self.base && applied > Index(0)
    }

    /// The position of the first delta after an index.
    fn start_after(&self, applied: Index) -> usize {
        self.rows.partition_point(|it| it.index <= applied)
    }

    fn deltas_from(&self, start: usize) -> Vec<(Index, Delta)> {
        self.rows.range(start..).map(|it| (it.index, it.delta.clone())).collect()
    }

    /// The size of the whole tables; that of their catalog is taken as packed, like edits.
    fn whole_size(&mut self, tables: &Tables) -> Bytes {
        let catalog = json_size(&self.packed_catalog(tables));
        let rest = match self.tables_size {
            Some((at, size)) if self.last.0 < at.0 + SIZE_INTERVAL => size,
            _ => {
                let size = json_size(&without_catalog(tables));
                self.tables_size = Some((self.last, size));
                size
            }
        };
        Bytes(catalog.0 + rest.0)
    }

    fn packed_tables(&mut self, tables: &Tables) -> Packed<Tables> {
        match &self.tables {
            Some((at, packed)) if *at == self.last => packed.clone(),
            _ => {
                let packed = Packed::new(&without_catalog(tables));
                self.tables = Some((self.last, packed.clone()));
                packed
            }
        }
    }

    fn packed_catalog(&mut self, tables: &Tables) -> Packed<Catalog> {
        let version = tables.catalog.version;
        match &self.catalog {
            Some((known, packed)) if *known == version => packed.clone(),
            _ => {
                let packed = Packed::new(&*tables.catalog);
                self.catalog = Some((version, packed.clone()));
                packed
            }
        }
    }
}

fn without_catalog(tables: &Tables) -> Tables {
    Tables { catalog: Arc::default(), ..tables.clone() }
}
