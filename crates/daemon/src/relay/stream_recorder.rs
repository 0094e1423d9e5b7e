//! Records what streams came from, and asks for it when a caller takes one up.

use {
    super::{clock::time_since, request::RelayRequest},
    crate::event::{Event, Inbox},
    coord::{
        ids::PoolName,
        streams::{StreamGroup, StreamId, StreamLedger, StreamOrigin, StreamQuery},
        tables::Endpoint,
    },
    indexmap::IndexSet,
    std::{
        cell::RefCell,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::{sleep, timeout, timeout_at},
    },
};

/// How long streams are collected for one message to the leader.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// How long a message to the leader may take: a change of leader.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The delay after a message that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the question what a stream came from may take.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// This instance's streams.
pub struct StreamRecorder {
    ledger: RefCell<StreamLedger>,
    wake: Notify,
    inbox: Inbox,
    start: Instant,
}

/// A stream under way. Dropping it notes that the stream broke off.
pub struct StreamGuard {
    recorder: Rc<StreamRecorder>,
    id: Option<StreamId>,
}

impl StreamGuard {
    /// Notes that the stream is whole, so that nobody takes it up.
    pub fn close(mut self) {
        self.end(true);
    }

    fn end(&mut self, whole: bool) {
        if let Some(id) = self.id.take() {
            let now = time_since(self.recorder.start);
            self.recorder.ledger.borrow_mut().end(now, id, whole);
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl StreamRecorder {
    /// Creates a recorder, and spawns the task that reports streams to the leader.
    /// `mixed` names the pools whose streams are to be recorded.
    pub fn start(
        inbox: Inbox,
        mixed: watch::Receiver<Arc<IndexSet<PoolName>>>,
        start: Instant,
    ) -> Rc<Self> {
        let recorder =
            Rc::new(Self { ledger: RefCell::default(), wake: Notify::new(), inbox, start });
        tokio::task::spawn_local(recorder.clone().watch_mixed(mixed));
        tokio::task::spawn_local(recorder.clone().report());
        recorder
    }

    /// Notes that an endpoint has begun a stream, or goes on with one.
    pub fn begin(self: &Rc<Self>, request: &RelayRequest, endpoint: &Endpoint) -> StreamGuard {
        if let Some(id) = request.stream_id {
            let now = time_since(self.start);
            if self.ledger.borrow_mut().begin(now, id, endpoint) {
                self.wake.notify_one();
            }
        }
        StreamGuard { recorder: self.clone(), id: request.stream_id }
    }

    /// Returns what the stream came from that a request takes up; `None` if that isn't
    /// certain.
    pub async fn find(&self, request: &RelayRequest) -> Option<StreamOrigin> {
        let query = StreamQuery {
            id: request.stream_id,
            host: request.route.host.clone(),
            prefix: request.route.prefix.clone(),
        };
        let (respond, answer) = oneshot::channel();
        if !self.inbox.offer(Event::FindStream { query, respond }) {
            log::warn!(request = request.id.as_str(); "[relay] core loop busy, stream not looked up");
            return None;
        }
        let limit = request.deadline.min(Instant::now() + QUERY_TIMEOUT);
        // No answer in time counts as one that isn't certain.
        timeout_at(limit.into(), answer).await.ok()?.ok().flatten()
    }

    async fn watch_mixed(self: Rc<Self>, mut mixed: watch::Receiver<Arc<IndexSet<PoolName>>>) {
        while mixed.changed().await.is_ok() {
            let pools = mixed.borrow_and_update().clone();
            let names: Vec<String> = pools.iter().map(ToString::to_string).collect();
            log::info!(pools = names.join(","); "[relay] pools whose streams are recorded");
            self.ledger.borrow_mut().set_mixed(IndexSet::clone(&pools));
            self.wake.notify_one();
        }
    }

    async fn report(self: Rc<Self>) {
        loop {
            self.wake.notified().await;
            sleep(COLLECT_TIME).await;
            loop {
                let batch = self.ledger.borrow_mut().take_batch(time_since(self.start));
                if batch.is_empty() {
                    break;
                }
                let recorded = self.record(&batch).await;
                self.ledger.borrow_mut().settle(&batch, recorded);
                if !recorded {
                    log::info!(streams = batch.iter().map(|it| it.ids.len()).sum::<usize>(); "[relay] streams not recorded, trying again");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn record(&self, batch: &[StreamGroup]) -> bool {
        let (respond, answer) = oneshot::channel();
        let event = Event::RecordStreams { records: batch.to_vec(), committed: Some(respond) };
        self.inbox.offer(event) && matches!(timeout(RECORD_TIMEOUT, answer).await, Ok(Ok(true)))
    }
}
