//! An instance's own streams, and which of them are recorded.

use {
    super::{StreamGroup, StreamId, StreamOrigin},
    crate::{
        ids::{EndpointName, Generation, PoolName},
        tables::Endpoint,
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// The most records in one message.
const MAX_BATCH: usize = 512;
/// How long after its end a stream that broke off may still be recorded. Callers take
/// streams up within seconds.
const KEEP_TIME: Millis = Millis(30_000);
/// The most streams kept; those beyond aren't recorded.
const MAX_STREAMS: usize = 16_384;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordState {
    None,
    /// It was sent to the leader and isn't answered.
    Sent,
    Done,
}

#[derive(Debug)]
struct Row {
    origin: StreamOrigin,
    endpoint: (EndpointName, Generation),
    /// Answers with the stream that are under way.
    active: u32,
    /// When the last one broke off.
    ended: Time,
    state: RecordState,
}

/// The streams of one instance that are under way or broke off.
#[derive(Debug, Default)]
pub struct StreamLedger {
    rows: IndexMap<StreamId, Row>,
    mixed: IndexSet<PoolName>,
}

impl StreamLedger {
    /// Sets the pools whose streams are to be recorded.
    pub fn set_mixed(&mut self, pools: IndexSet<PoolName>) {
        self.mixed = pools;
    }

    /// Notes that an endpoint has begun a stream, or goes on with it. Returns whether it
    /// is to be recorded.
    pub fn begin(&mut self, now: Time, id: StreamId, endpoint: &Endpoint) -> bool {
        if self.rows.len() >= MAX_STREAMS {
            self.prune(now);
        }
        if self.rows.len() >= MAX_STREAMS {
            return false;
        }
        // A stream that is taken up again is recorded anew, so that its record isn't dropped.
        let row = Row {
            origin: StreamOrigin::of(endpoint),
            endpoint: (endpoint.name.clone(), endpoint.generation),
            active: 1 + self.rows.get(&id).map_or(0, |it| it.active),
            ended: now,
            state: RecordState::None,
        };
        self.rows.insert(id, row);
        self.mixed.contains(&endpoint.pool)
    }

    /// Notes the end of an answer with a stream.
    pub fn end(&mut self, now: Time, id: StreamId, whole: bool) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.active = row.active.saturating_sub(1);
            row.ended = now;
            if whole && row.active == 0 {
                self.rows.swap_remove(&id);
            }
        }
    }

    /// Returns the records that the leader hasn't got yet, for one message.
    pub fn take_batch(&mut self, now: Time) -> Vec<StreamGroup> {
        self.prune(now);
        let mixed = &self.mixed;
        let open = self
            .rows
            .iter_mut()
            .filter(|(_, it)| it.state == RecordState::None && mixed.contains(&it.origin.pool));
        let mut groups: IndexMap<_, Vec<StreamId>> = IndexMap::new();
        for (id, row) in open.take(MAX_BATCH) {
            row.state = RecordState::Sent;
            groups.entry((row.endpoint.clone(), row.origin.clone())).or_default().push(*id);
        }
        let group =
            |((endpoint, origin), ids)| StreamGroup { origin, endpoint: Some(endpoint), ids };
        groups.into_iter().map(group).collect()
    }

    /// Notes whether a batch is recorded; if not, it is taken again.
    pub fn settle(&mut self, batch: &[StreamGroup], recorded: bool) {
        for id in batch.iter().flat_map(|it| &it.ids) {
            if let Some(row) = self.rows.get_mut(id).filter(|it| it.state == RecordState::Sent) {
                row.state = if recorded { RecordState::Done } else { RecordState::None };
            }
        }
    }

    fn prune(&mut self, now: Time) {
        self.rows.retain(|_, it| it.active > 0 || now.since(it.ended) < KEEP_TIME);
    }
}
