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
    std::{collections::VecDeque, sync::Arc},
};

/// The maximum number of deltas kept. An instance further behind is sent the
/// whole tables.
const MAX_DELTAS: usize = 512;
/// The maximum size of the deltas kept: a few catalogs of thousands of routes.
const MAX_BYTES: Bytes = Bytes(2 << 20);
/// The size of catalog edits in one update up to which it isn't compared with that of the
/// whole catalog, since that has to be encoded for it.
const MAX_UNCOMPARED: Bytes = Bytes(32 << 10);
/// The maximum number of deltas in one update; beyond it the whole tables are
/// cheaper.
const MAX_UPDATE_DELTAS: usize = 128;

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
        while self.rows.len() > MAX_DELTAS || self.size > MAX_BYTES {
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
    pub fn update(&mut self, applied: Index, tables: &Tables) -> Update {
        if self.is_current(applied) {
            return Update::Same;
        }
        let start = self.start_after(applied);
        let edits = self.rows.range(start..).filter(|it| matches!(it.delta, Delta::CatalogEdit(_)));
        let edited: u64 = edits.map(|it| it.size.0).sum();
        let whole = self.rows.len() - start > MAX_UPDATE_DELTAS
            || !self.reaches(applied)
            || edited > MAX_UNCOMPARED.0 && edited > json_size(&self.packed_catalog(tables)).0;
        if whole {
            let catalog = self.packed_catalog(tables);
            let rest = Tables { catalog: Arc::default(), ..tables.clone() };
            return Update::Packed { tables: Box::new(rest), catalog };
        }
        self.deltas_from(start)
    }

    /// As [`Self::update`], for an instance of an earlier build, which reads neither packed
    /// values nor deltas of withheld parts.
    pub fn unpacked_update(&self, applied: Index, tables: &Tables) -> Update {
        if self.is_current(applied) {
            return Update::Same;
        }
        let start = self.start_after(applied);
        let is_new = |it: &Row| {
            matches!(it.delta, Delta::CatalogEdit(_) | Delta::Withhold(_) | Delta::Release(_))
        };
        let whole = self.rows.len() - start > MAX_UPDATE_DELTAS
            || !self.reaches(applied)
            || self.rows.range(start..).any(is_new);
        match whole {
            true => Update::Full(Box::new(tables.clone())),
            false => self.deltas_from(start),
        }
    }

    /// Returns the size of an update for a copy that has applied everything up to an
    /// index: that of its deltas or, for whole tables, of their catalog.
    pub fn update_size(&self, applied: Index, update: &Update) -> Bytes {
        match update {
            Update::Same => Bytes(0),
            Update::Full(tables) => json_size(&tables.catalog),
            Update::Packed { catalog, .. } => json_size(catalog),
            Update::Deltas(_) => {
                let rows = self.rows.range(self.start_after(applied)..);
                Bytes(rows.map(|it| it.size.0).sum())
            }
        }
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

    fn deltas_from(&self, start: usize) -> Update {
        let rows = self.rows.range(start..);
        Update::Deltas(rows.map(|it| (it.index, it.delta.clone())).collect())
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
