//! The batcher of one shard: pending stage requests, their queued pieces, and the
//! results that take up room at endpoints.

use {
    super::{
        Handle, PieceError, PieceItem, PieceResult, StageOutcome, StageReply, StageRequest,
        StoredResult,
        clock::time_since,
        drain_state::GatherGuard,
        notices::Notices,
        rollouts::{Rollouts, SendGuard},
        upstream::SendError,
    },
    coord::{
        catalog::BatchTerms,
        ids::{Bytes, EndpointName},
        relay::{Availability, BatchCall, BatchQueue, CallOutcome, GroupId, Piece, PieceId},
        rollouts::SendKind,
        tables::{Endpoint, Suspect},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Instant},
    tokio::sync::oneshot,
};

/// A piece fails after this many calls. Calls that were refused or not sent, or
/// that found no room for the result, don't count.
const MAX_TRIES: u32 = 3;
/// How often a limited endpoint without a granted send is looked at again.
pub const GRANT_CHECK_INTERVAL: Millis = Millis(50);

/// A stage request that has no reply yet, with the results so far.
pub struct PendingRequest {
    request: StageRequest,
    queued_at: Time,
    target: Time,
    deadline: Time,
    results: RefCell<Vec<Option<StoredResult>>>,
    submitter: RefCell<Option<Submitter>>,
}

/// Who waits for the reply to a stage request.
pub struct Submitter {
    pub respond: oneshot::Sender<StageReply>,
    /// Set for another instance.
    pub guard: Option<GatherGuard>,
}

/// How far the pieces of a stage request are.
pub struct GroupState {
    /// Whether another instance submitted it.
    pub is_foreign: bool,
    /// Pieces in calls.
    pub called: usize,
    /// Pieces with a result.
    pub made: usize,
}

/// A piece that is queued or in a call.
#[derive(Clone)]
pub struct QueuedPiece {
    pending: Rc<PendingRequest>,
    number: u32,
    tries: u32,
    /// Whether the piece was in a call that was counted for a rollout.
    repeated: bool,
}

/// The batcher of one shard.
pub struct ShardBatcher {
    pub queue: BatchQueue,
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    pieces: HashMap<PieceId, QueuedPiece>,
    /// Stage requests without a reply, by id.
    pub requests: HashMap<u64, Rc<PendingRequest>>,
    /// Results that take up room.
    stored: HashMap<Handle, Stored>,
    /// Results that their endpoints are yet to be told to free.
    pub to_free: IndexMap<EndpointName, Vec<Handle>>,
    /// Whether a task that sends `to_free` is scheduled.
    pub flush_scheduled: bool,
    /// When the next calls are scheduled to be started, if at all.
    pub wake_at: Option<Time>,
    start: Instant,
}

/// A result that its endpoint keeps.
struct Stored {
    endpoint: EndpointName,
    size: Bytes,
    /// The call that made it, if it may concern the old version of a rollout. Endpoints fetch
    /// inputs from those that made them, so that the call counts as in flight as long as a
    /// result of it is kept.
    _send: Option<Rc<SendGuard>>,
}

/// Why a call returned no results.
pub enum CallError {
    /// The endpoint states that it has not run the call.
    Refused,
    /// The endpoint did not respond in time.
    Silent,
    /// The response is invalid.
    Improper,
    /// The connection failed within the body of the response.
    Broken,
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
            Self::Broken => "broken",
            Self::Lost { source } if source.is_unsent() => "unsent",
            Self::Lost { .. } => "lost",
        }
    }

    /// Whether the endpoint certainly has not started the call.
    fn has_not_run(&self) -> bool {
        match self {
            Self::Refused => true,
            Self::Lost { source } => source.is_unsent(),
            Self::Silent | Self::Improper | Self::Broken => false,
        }
    }
}

impl GroupState {
    /// Whether no piece was started.
    pub fn is_new(&self) -> bool {
        self.called == 0 && self.made == 0
    }
}

impl QueuedPiece {
    /// The id of the request that it belongs to, and the suspect that stands for it.
    pub fn origin(&self) -> (&str, Option<&Suspect>) {
        let request = &self.pending.request;
        (request.request_id.as_str(), request.whole.as_ref())
    }

    /// Notes that a call with the piece is counted for a rollout.
    pub fn note_counted(&mut self) {
        self.repeated = true;
    }

    /// What a call with these pieces is for rollouts. Calls with a piece that was counted
    /// before don't count as requests, so that the exposure stays in its bound.
    pub fn send_kind(pieces: &[Self]) -> SendKind {
        match pieces.iter().any(|it| it.repeated) {
            true => SendKind::Repeat,
            false => SendKind::First,
        }
    }

    /// Builds the item for this piece in a call.
    pub fn item(&self, now: Time) -> PieceItem {
        let request = &self.pending.request;
        PieceItem {
            request_id: request.request_id.clone(),
            stage: request.stage,
            number: self.number,
            remaining: self.pending.deadline.since(now),
            input: request.input.clone(),
        }
    }
}

impl ShardBatcher {
    /// Creates a batcher without endpoints.
    pub fn new(spec: BatchTerms, start: Instant) -> Self {
        Self {
            queue: BatchQueue::new(spec),
            endpoints: IndexMap::new(),
            pieces: HashMap::new(),
            requests: HashMap::new(),
            stored: HashMap::new(),
            to_free: IndexMap::new(),
            flush_scheduled: false,
            wake_at: None,
            start,
        }
    }

    /// Replaces the batch spec and the endpoints.
    pub fn reload(&mut self, spec: BatchTerms, endpoints: &[Endpoint]) {
        self.endpoints = endpoints.iter().map(|it| (it.name.clone(), it.clone())).collect();
        let names = endpoints.iter().map(|it| (it.name.clone(), it.domain.clone())).collect();
        self.queue.reload(spec, &names);
        if endpoints.is_empty() {
            self.drain();
        }
    }

    /// Withholds calls from endpoints that are leaving, asked for a pause, or are limited
    /// and have no send granted.
    pub fn apply_notices(&mut self, now: Time, notices: &Notices, rollouts: &Rollouts) {
        for name in self.endpoints.keys() {
            self.queue.set_limit(name, notices.limit(name));
        }
        let is_granted = |name: &EndpointName| notices.may_send(name);
        let ungranted: Vec<EndpointName> = match self.queue.is_empty() {
            true => Vec::new(),
            false => self.endpoints.keys().filter(|it| !is_granted(it)).cloned().collect(),
        };
        ungranted.iter().for_each(|it| notices.want(it));
        let notices = &notices.table();
        let barred = rollouts.barred(self.endpoints.values(), |name| {
            notices.availability(now, name) == Availability::Open && !ungranted.contains(name)
        });
        let is_open = |name: &&EndpointName| {
            notices.availability(now, name) == Availability::Open && !barred.contains(*name)
        };
        let any_open = self.endpoints.keys().any(|it| is_open(&it));
        for name in self.endpoints.keys() {
            let until = match notices.availability(now, name) {
                Availability::Leaving if any_open || !notices.may_send(now, name) => {
                    BatchQueue::NEVER
                }
                Availability::Paused { until } => until,
                Availability::Open | Availability::Leaving
                    if barred.contains(name) || ungranted.contains(name) =>
                {
                    now + GRANT_CHECK_INTERVAL
                }
                Availability::Open | Availability::Leaving => now,
            };
            self.queue.withhold(name, until);
        }
    }

    /// Stops calling endpoints and fails all queued pieces.
    pub fn drain(&mut self) {
        self.endpoints.clear();
        self.queue.drain();
        self.fail_all(PieceError::Down);
    }

    /// Fails the stage requests of all queued pieces.
    pub fn fail_all(&mut self, err: PieceError) {
        for id in self.pieces.keys().copied().collect::<Vec<_>>() {
            self.fail_piece(id, err);
        }
    }

    /// Queues the pieces of a stage request, with piece ids from `first`.
    pub fn add(&mut self, now: Time, first: u64, request: StageRequest, submitter: Submitter) {
        let count = request.count;
        let pending = Rc::new(PendingRequest {
            queued_at: now,
            target: now + request.target,
            deadline: now + request.deadline,
            results: RefCell::new(vec![None; count as usize]),
            submitter: RefCell::new(Some(submitter)),
            request,
        });
        self.requests.insert(pending.request.id, pending.clone());
        for number in 0..count {
            let id = PieceId(first + u64::from(number));
            let repeated = pending.request.repeated;
            self.enqueue(id, QueuedPiece { pending: pending.clone(), number, tries: 0, repeated });
        }
    }

    fn enqueue(&mut self, id: PieceId, queued: QueuedPiece) {
        let pending = &queued.pending;
        self.queue.push(Piece {
            id,
            group: GroupId(pending.request.id),
            priority: pending.request.priority,
            target: pending.target,
            deadline: pending.deadline,
            size: pending.request.size,
            preferred_domain: pending.request.preferred_domain.clone(),
            transfer_size: pending.request.transfer_size,
            queued_at: pending.queued_at,
        });
        self.pieces.insert(id, queued);
    }

    /// Removes the pieces of a starting call from the queue.
    pub fn take_pieces(&mut self, call: &BatchCall) -> Vec<QueuedPiece> {
        let ids = call.pieces.iter().map(|it| it.id);
        ids.filter_map(|id| self.pieces.remove(&id)).collect()
    }

    /// Queues the pieces of a call again that can't be sent now.
    pub fn put_back(&mut self, now: Time, call: &BatchCall, pieces: &[QueuedPiece]) {
        self.queue.finish_call(now, call, CallOutcome::NotSent);
        for (piece, queued) in call.pieces.iter().zip(pieces) {
            self.requeue(piece.id, queued, 0);
        }
    }

    /// Records the end of a call and requeues or fails pieces without a result; those of
    /// requests that may crash endpoints (`is_suspect`) aren't called at another.
    /// Returns how long the endpoint keeps the results.
    pub fn finish_call(
        &mut self,
        now: Time,
        call: &BatchCall,
        pieces: &[QueuedPiece],
        answer: Result<Vec<PieceResult>, CallError>,
        send: Option<SendGuard>,
        is_suspect: impl Fn(&Suspect) -> bool,
    ) -> Millis {
        let send = send.filter(SendGuard::may_be_old).map(Rc::new);
        let outcome = match &answer {
            Ok(results) => {
                let pairs = call.pieces.iter().zip(results);
                let refused = pairs.filter(|(_, it)| matches!(it, Err(PieceError::Room)));
                match refused.map(|(piece, _)| piece.size.0).sum() {
                    0 => CallOutcome::Answered,
                    size => CallOutcome::Full { refused: Bytes(size) },
                }
            }
            Err(CallError::Lost { source: SendError::Withheld }) => CallOutcome::NotSent,
            Err(CallError::Lost { source: SendError::NoDescriptor }) => CallOutcome::Deferred,
            Err(_) => CallOutcome::Failed,
        };
        self.queue.finish_call(now, call, outcome);
        match answer {
            Ok(results) => {
                for ((piece, queued), result) in call.pieces.iter().zip(pieces).zip(results) {
                    self.handle_result(call, piece, queued, result, send.as_ref());
                }
            }
            Err(err) => {
                let cost = u32::from(!err.has_not_run());
                for (piece, queued) in call.pieces.iter().zip(pieces) {
                    let may_crash = cost > 0 && queued.origin().1.is_some_and(&is_suspect);
                    self.requeue(piece.id, queued, if may_crash { MAX_TRIES } else { cost });
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
        send: Option<&Rc<SendGuard>>,
    ) {
        match result {
            Ok(handle) => {
                let (endpoint, size) = (call.endpoint.clone(), piece.size);
                let kept = Stored { endpoint, size, _send: send.cloned() };
                self.stored.insert(handle.clone(), kept);
                let stored = StoredResult { handle, endpoint: call.endpoint.clone() };
                queued.pending.results.borrow_mut()[queued.number as usize] = Some(stored.clone());
                match self.requests.contains_key(&queued.pending.request.id) {
                    true => self.reply_if_done(&queued.pending),
                    false => self.queue_free(stored),
                }
                return;
            }
            Err(PieceError::Room) => self.requeue(piece.id, queued, 0),
            Err(PieceError::Failed | PieceError::Unreachable) => self.requeue(piece.id, queued, 1),
            Err(err) => self.fail_request(&queued.pending, err),
        }
        self.queue.release_room(&call.endpoint, piece.size);
    }

    /// Replies to a stage request if all its pieces have results.
    fn reply_if_done(&mut self, pending: &Rc<PendingRequest>) {
        let done: Option<Vec<StoredResult>> = pending.results.borrow().iter().cloned().collect();
        let Some(results) = done else {
            return;
        };
        self.requests.remove(&pending.request.id);
        self.queue.remove_group(GroupId(pending.request.id));
        let submitter = pending.submitter.borrow_mut().take();
        let reply = self.reply(pending, Ok(results));
        let sent = submitter.map(|it| it.respond.send(reply));
        if let Some(Err(StageReply { answer: Ok(results), .. })) = sent {
            results.into_iter().for_each(|it| self.queue_free(it));
        }
    }

    fn requeue(&mut self, id: PieceId, queued: &QueuedPiece, cost: u32) {
        let tries = queued.tries + cost;
        if tries >= MAX_TRIES {
            self.fail_request(&queued.pending, PieceError::Failed);
        } else if self.requests.contains_key(&queued.pending.request.id) {
            self.enqueue(id, QueuedPiece { tries, ..queued.clone() });
        }
    }

    fn fail_piece(&mut self, id: PieceId, err: PieceError) {
        if let Some(queued) = self.pieces.remove(&id) {
            self.fail_request(&queued.pending, err);
        }
    }

    /// Fails the stage request of a group that can't finish in time.
    pub fn expire_group(&mut self, group: GroupId, wait: Millis) {
        if let Some(pending) = self.requests.get(&group.0).cloned() {
            log::info!(
                request = pending.request.request_id.as_str(), pool:% = pending.request.shard.pool,
                shard:% = pending.request.shard,
                waiting = self.queue.len(), wait_ms = wait.0;
                "[relay] pieces given up, the queue is too long"
            );
            self.fail_request(&pending, PieceError::Late);
        }
    }

    fn fail_request(&mut self, pending: &Rc<PendingRequest>, err: PieceError) {
        if let Some(submitter) = pending.submitter.borrow_mut().take() {
            // The receiver may be gone.
            let _ = submitter.respond.send(self.reply(pending, Err(err)));
        }
        self.drop_request(pending.request.id);
    }

    fn reply(&self, pending: &PendingRequest, answer: StageOutcome) -> StageReply {
        let wait = self.queue.expected_wait(time_since(self.start), pending.request.priority);
        StageReply { answer, wait }
    }

    /// Returns those stage requests to their submitters that `is_due` selects.
    pub fn hand_back(&mut self, is_due: impl Fn(&GroupState) -> bool) {
        let mut queued: HashMap<u64, usize> = HashMap::new();
        for it in self.pieces.values() {
            *queued.entry(it.pending.request.id).or_default() += 1;
        }
        let state = |id: &u64, it: &PendingRequest| {
            let made = it.results.borrow().iter().flatten().count();
            let waiting = queued.get(id).copied().unwrap_or_default();
            let is_foreign = it.submitter.borrow().as_ref().is_some_and(|it| it.guard.is_some());
            let called = (it.request.count as usize).saturating_sub(made + waiting);
            GroupState { is_foreign, called, made }
        };
        let states = self.requests.iter().map(|(id, it)| (it.clone(), state(id, it)));
        let due: Vec<_> = states.filter(|(_, it)| is_due(it)).collect();
        for (pending, state) in due {
            let guard = pending.submitter.borrow_mut().as_mut().and_then(|it| it.guard.take());
            if let Some(it) = guard {
                it.hand_back(state.called > 0);
            }
            self.fail_request(&pending, PieceError::Unreachable);
        }
    }

    /// Drops the stage requests whose submitters no longer wait for a reply.
    pub fn drop_abandoned(&mut self) {
        let is_gone = |it: &PendingRequest| {
            it.submitter.borrow().as_ref().is_none_or(|it| it.respond.is_closed())
        };
        let gone = self.requests.iter().filter(|(_, it)| is_gone(it)).map(|(id, _)| *id);
        for id in gone.collect::<Vec<_>>() {
            self.drop_request(id);
        }
    }

    /// Drops a stage request and frees its results.
    pub fn drop_request(&mut self, id: u64) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        pending.submitter.borrow_mut().take();
        self.pieces.retain(|_, it| it.pending.request.id != id);
        self.queue.remove_group(GroupId(id));
        let stored: Vec<StoredResult> =
            pending.results.borrow().iter().flatten().cloned().collect();
        stored.into_iter().for_each(|it| self.queue_free(it));
    }

    /// Queues a result, of any batcher, to be freed at its endpoint. Its room
    /// counts as used until the endpoint confirms.
    pub fn queue_free(&mut self, stored: StoredResult) {
        self.to_free.entry(stored.endpoint).or_default().push(stored.handle);
    }

    /// Releases the room of results that their endpoint no longer keeps.
    pub fn mark_freed(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some(it) = self.stored.remove(handle) {
                self.queue.release_room(&it.endpoint, it.size);
            }
        }
    }

    /// Releases the room of a call's results whose retention time has passed.
    pub fn expire_results(&mut self, pieces: &[QueuedPiece]) {
        for it in pieces {
            let stored = it.pending.results.borrow()[it.number as usize].clone();
            self.mark_freed(stored.map(|it| it.handle).as_slice());
        }
    }
}
