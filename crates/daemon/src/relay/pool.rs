//! The gatherer of one shard: pending asks, their queued pieces, and the results
//! that take up room at endpoints.

use {
    super::{
        Handle, PieceError, PieceItem, PieceResult, StageOutcome, StageReply, StageRequest,
        StoredResult, relay::time_since, upstream::SendError,
    },
    coord::{
        catalog::BatchSpec,
        ids::{Bytes, EndpointName},
        relay::{BatchCall, BatchQueue, CallOutcome, GroupId, Piece, PieceId},
        tables::Endpoint,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Instant},
    tokio::sync::oneshot,
};

/// A piece fails after this many calls. Calls that were refused or not sent, or
/// that found no room for the result, don't count.
const MAX_TRIES: u32 = 3;

/// An ask that has no reply yet, with the results so far.
pub struct PendingAsk {
    ask: StageRequest,
    since: Time,
    target: Time,
    due: Time,
    results: RefCell<Vec<Option<StoredResult>>>,
    respond: RefCell<Option<oneshot::Sender<StageReply>>>,
}

/// A piece that is queued or in a call.
#[derive(Clone)]
pub struct QueuedPiece {
    pending: Rc<PendingAsk>,
    number: u32,
    tries: u32,
}

/// The gatherer of one shard.
pub struct ShardGatherer {
    pub queue: BatchQueue,
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    pieces: HashMap<PieceId, QueuedPiece>,
    pub asks: HashMap<u64, Rc<PendingAsk>>,
    /// Results that take up room, with their endpoint and size.
    stored: HashMap<Handle, (EndpointName, Bytes)>,
    /// Results that their endpoints are yet to be told to free.
    pub to_free: IndexMap<EndpointName, Vec<Handle>>,
    /// Whether a task that sends `to_free` is scheduled.
    pub flush_scheduled: bool,
    /// When the pump is next scheduled to run, if at all.
    pub wake_at: Option<Time>,
    start: Instant,
}

/// Why a call returned no results.
pub enum CallError {
    /// The endpoint states that it has not run the call.
    Refused,
    /// The endpoint did not respond in time.
    Silent,
    /// The response is invalid.
    Improper,
    /// The call could not be sent, or its connection failed.
    Lost { source: SendError },
}

impl CallError {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Improper => "improper",
            Self::Lost { source } if source.is_unsent() => "unsent",
            Self::Lost { .. } => "lost",
        }
    }

    /// Whether the endpoint certainly has not started the call.
    fn has_not_run(&self) -> bool {
        match self {
            Self::Refused => true,
            Self::Lost { source } => source.is_unsent(),
            Self::Silent | Self::Improper => false,
        }
    }
}

impl QueuedPiece {
    /// Builds the item for this piece in a call.
    pub fn item(&self, now: Time) -> PieceItem {
        let ask = &self.pending.ask;
        PieceItem {
            request_id: ask.request_id.clone(),
            stage: ask.stage,
            number: self.number,
            remaining: self.pending.due.since(now),
            input: ask.input.clone(),
        }
    }
}

impl ShardGatherer {
    /// Creates a gatherer without endpoints.
    pub fn new(terms: BatchSpec, start: Instant) -> Self {
        Self {
            queue: BatchQueue::new(terms),
            endpoints: IndexMap::new(),
            pieces: HashMap::new(),
            asks: HashMap::new(),
            stored: HashMap::new(),
            to_free: IndexMap::new(),
            flush_scheduled: false,
            wake_at: None,
            start,
        }
    }

    /// Replaces the batch terms and the endpoints.
    pub fn reload(&mut self, terms: BatchSpec, endpoints: &[Endpoint]) {
        self.endpoints = endpoints.iter().map(|it| (it.name.clone(), it.clone())).collect();
        let names = endpoints.iter().map(|it| (it.name.clone(), it.domain.clone())).collect();
        self.queue.reload(terms, &names);
        if endpoints.is_empty() {
            self.drain();
        }
    }

    /// Stops calling endpoints and fails all queued pieces.
    pub fn drain(&mut self) {
        self.endpoints.clear();
        self.queue.drain();
        self.fail_all(PieceError::Down);
    }

    /// Fails the asks of all queued pieces.
    pub fn fail_all(&mut self, err: PieceError) {
        for id in self.pieces.keys().copied().collect::<Vec<_>>() {
            self.fail_piece(id, err);
        }
    }

    /// Queues the pieces of an ask, with piece ids from `first`.
    pub fn add(
        &mut self,
        now: Time,
        first: u64,
        ask: StageRequest,
        respond: oneshot::Sender<StageReply>,
    ) {
        let count = ask.count;
        let pending = Rc::new(PendingAsk {
            since: now,
            target: now + ask.target,
            due: now + ask.deadline,
            results: RefCell::new(vec![None; count as usize]),
            respond: RefCell::new(Some(respond)),
            ask,
        });
        self.asks.insert(pending.ask.id, pending.clone());
        for number in 0..count {
            let id = PieceId(first + u64::from(number));
            self.enqueue(id, QueuedPiece { pending: pending.clone(), number, tries: 0 });
        }
    }

    fn enqueue(&mut self, id: PieceId, queued: QueuedPiece) {
        let pending = &queued.pending;
        self.queue.push(Piece {
            id,
            group: GroupId(pending.ask.id),
            priority: pending.ask.priority,
            target: pending.target,
            deadline: pending.due,
            size: pending.ask.size,
            preferred_domain: pending.ask.preferred_domain.clone(),
            transfer_size: pending.ask.transfer_size,
            queued_at: pending.since,
        });
        self.pieces.insert(id, queued);
    }

    /// Removes the pieces of a starting call from the queue.
    pub fn take_pieces(&mut self, call: &BatchCall) -> Vec<QueuedPiece> {
        let ids = call.pieces.iter().map(|it| it.id);
        ids.filter_map(|id| self.pieces.remove(&id)).collect()
    }

    /// Records the end of a call and requeues or fails pieces without a result.
    /// Returns how long the endpoint keeps the results.
    pub fn finish_call(
        &mut self,
        now: Time,
        call: &BatchCall,
        pieces: &[QueuedPiece],
        answer: Result<Vec<PieceResult>, CallError>,
    ) -> Millis {
        let end = match &answer {
            Ok(results) => {
                let pairs = call.pieces.iter().zip(results);
                let refused = pairs.filter(|(_, it)| matches!(it, Err(PieceError::Room)));
                match refused.map(|(piece, _)| piece.size.0).sum() {
                    0 => CallOutcome::Answered,
                    size => CallOutcome::Full { refused: Bytes(size) },
                }
            }
            Err(_) => CallOutcome::Failed,
        };
        self.queue.finish_call(now, call, end);
        match answer {
            Ok(results) => {
                for ((piece, queued), result) in call.pieces.iter().zip(pieces).zip(results) {
                    self.handle_result(call, piece, queued, result);
                }
            }
            Err(err) => {
                let cost = u32::from(!err.has_not_run());
                for (piece, queued) in call.pieces.iter().zip(pieces) {
                    self.requeue(piece.id, queued, cost);
                }
            }
        }
        self.queue.result_ttl()
    }

    fn handle_result(
        &mut self,
        call: &BatchCall,
        piece: &Piece,
        queued: &QueuedPiece,
        result: PieceResult,
    ) {
        match result {
            Ok(handle) => {
                self.stored.insert(handle.clone(), (call.endpoint.clone(), piece.size));
                let made = StoredResult { handle, endpoint: call.endpoint.clone() };
                queued.pending.results.borrow_mut()[queued.number as usize] = Some(made.clone());
                match self.asks.contains_key(&queued.pending.ask.id) {
                    true => self.answer_if_done(&queued.pending),
                    false => self.queue_free(made),
                }
                return;
            }
            Err(PieceError::Room) => self.requeue(piece.id, queued, 0),
            Err(PieceError::Failed | PieceError::Unreachable) => self.requeue(piece.id, queued, 1),
            Err(err) => self.fail_ask(&queued.pending, err),
        }
        self.queue.release_room(&call.endpoint, piece.size);
    }

    /// Replies to an ask if all its pieces have results.
    fn answer_if_done(&mut self, pending: &Rc<PendingAsk>) {
        let done: Option<Vec<StoredResult>> = pending.results.borrow().iter().cloned().collect();
        let Some(results) = done else {
            return;
        };
        self.asks.remove(&pending.ask.id);
        self.queue.remove_group(GroupId(pending.ask.id));
        let respond = pending.respond.borrow_mut().take();
        let reply = self.reply(pending, Ok(results));
        if let Some(Err(StageReply { answer: Ok(results), .. })) = respond.map(|it| it.send(reply))
        {
            results.into_iter().for_each(|it| self.queue_free(it));
        }
    }

    fn requeue(&mut self, id: PieceId, queued: &QueuedPiece, cost: u32) {
        let tries = queued.tries + cost;
        if tries >= MAX_TRIES {
            self.fail_ask(&queued.pending, PieceError::Failed);
        } else if self.asks.contains_key(&queued.pending.ask.id) {
            self.enqueue(id, QueuedPiece { tries, ..queued.clone() });
        }
    }

    fn fail_piece(&mut self, id: PieceId, err: PieceError) {
        if let Some(queued) = self.pieces.remove(&id) {
            self.fail_ask(&queued.pending, err);
        }
    }

    /// Fails the ask of a group that can't finish in time.
    pub fn expire_group(&mut self, group: GroupId, wait: Millis) {
        if let Some(pending) = self.asks.get(&group.0).cloned() {
            log::info!(
                request = pending.ask.request_id.as_str(), pool:% = pending.ask.shard.pool,
                shard:% = pending.ask.shard,
                waiting = self.queue.len(), wait_ms = wait.0;
                "[relay] pieces given up, the queue is too long"
            );
            self.fail_ask(&pending, PieceError::Late);
        }
    }

    fn fail_ask(&mut self, pending: &Rc<PendingAsk>, err: PieceError) {
        if let Some(respond) = pending.respond.borrow_mut().take() {
            // The receiver may be gone.
            let _ = respond.send(self.reply(pending, Err(err)));
        }
        self.drop_ask(pending.ask.id);
    }

    fn reply(&self, pending: &PendingAsk, answer: StageOutcome) -> StageReply {
        let wait = self.queue.expected_wait(time_since(self.start), pending.ask.priority);
        StageReply { answer, wait }
    }

    /// Drops an ask and frees its results.
    pub fn drop_ask(&mut self, id: u64) {
        let Some(pending) = self.asks.remove(&id) else {
            return;
        };
        self.pieces.retain(|_, it| it.pending.ask.id != id);
        self.queue.remove_group(GroupId(id));
        let made: Vec<StoredResult> = pending.results.borrow().iter().flatten().cloned().collect();
        made.into_iter().for_each(|it| self.queue_free(it));
    }

    /// Queues a result, of any gatherer, to be freed at its endpoint. Its room
    /// counts as taken until the endpoint confirms.
    pub fn queue_free(&mut self, made: StoredResult) {
        self.to_free.entry(made.endpoint).or_default().push(made.handle);
    }

    /// Releases the room of results that their endpoint no longer keeps.
    pub fn mark_freed(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some((endpoint, size)) = self.stored.remove(handle) {
                self.queue.release_room(&endpoint, size);
            }
        }
    }

    /// Releases the room of a call's results whose retention time has passed.
    pub fn expire_results(&mut self, pieces: &[QueuedPiece]) {
        for it in pieces {
            let made = it.pending.results.borrow()[it.number as usize].clone();
            self.mark_freed(made.map(|it| it.handle).as_slice());
        }
    }
}
