//! The gatherer of one shard: who asked for which piece, and which results take
//! up room.

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

/// How often one piece is called.
const MOST_TRIES: u32 = 3;

/// One ask on its way.
pub struct AskRow {
    ask: StageRequest,
    since: Time,
    target: Time,
    due: Time,
    results: RefCell<Vec<Option<StoredResult>>>,
    respond: RefCell<Option<oneshot::Sender<StageReply>>>,
}

/// A piece that waits for a call or is in one.
#[derive(Clone)]
pub struct Waiting {
    row: Rc<AskRow>,
    number: u32,
    tries: u32,
}

/// The gatherer of one shard.
pub struct ShardRow {
    pub queue: BatchQueue,
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    pieces: HashMap<PieceId, Waiting>,
    pub asks: HashMap<u64, Rc<AskRow>>,
    /// Results that take up room.
    held: HashMap<Handle, (EndpointName, Bytes)>,
    pub freeing: IndexMap<EndpointName, Vec<Handle>>,
    /// Whether the endpoints are about to be told.
    pub flushes: bool,
    /// Until when the pump sleeps, if it does.
    pub wakes: Option<Time>,
    start: Instant,
}

/// Why a call has no results.
pub enum CallError {
    Unrun,
    Silent,
    Improper,
    Lost { source: SendError },
}

impl CallError {
    /// The name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unrun => "refused",
            Self::Silent => "silent",
            Self::Improper => "improper",
            Self::Lost { source } if source.is_unsent() => "unsent",
            Self::Lost { .. } => "lost",
        }
    }

    /// Whether the endpoint has begun nothing.
    fn is_unrun(&self) -> bool {
        match self {
            Self::Unrun => true,
            Self::Lost { source } => source.is_unsent(),
            Self::Silent | Self::Improper => false,
        }
    }
}

impl Waiting {
    /// The piece as it goes into a call.
    pub fn item(&self, now: Time) -> PieceItem {
        let ask = &self.row.ask;
        PieceItem {
            request_id: ask.request_id.clone(),
            stage: ask.stage,
            number: self.number,
            remaining: self.row.due.since(now),
            input: ask.input.clone(),
        }
    }
}

impl ShardRow {
    /// A shard without endpoints.
    pub fn new(terms: BatchSpec, start: Instant) -> Self {
        Self {
            queue: BatchQueue::new(terms),
            endpoints: IndexMap::new(),
            pieces: HashMap::new(),
            asks: HashMap::new(),
            held: HashMap::new(),
            freeing: IndexMap::new(),
            flushes: false,
            wakes: None,
            start,
        }
    }

    /// Takes in other terms and endpoints.
    pub fn reload(&mut self, terms: BatchSpec, endpoints: &[Endpoint]) {
        self.endpoints = endpoints.iter().map(|it| (it.name.clone(), it.clone())).collect();
        let names = endpoints.iter().map(|it| (it.name.clone(), it.domain.clone())).collect();
        self.queue.reload(terms, &names);
        if endpoints.is_empty() {
            self.drain();
        }
    }

    /// Calls no endpoint any more; what waits is handed back.
    pub fn drain(&mut self) {
        self.endpoints.clear();
        self.queue.drain();
        self.fail_all(PieceError::Down);
    }

    /// Fails all that waits.
    pub fn fail_all(&mut self, err: PieceError) {
        for id in self.pieces.keys().copied().collect::<Vec<_>>() {
            self.fail(id, err);
        }
    }

    /// Adds the pieces of an ask, numbered from `first`.
    pub fn add(
        &mut self,
        now: Time,
        first: u64,
        ask: StageRequest,
        respond: oneshot::Sender<StageReply>,
    ) {
        let count = ask.count;
        let row = Rc::new(AskRow {
            since: now,
            target: now + ask.target,
            due: now + ask.deadline,
            results: RefCell::new(vec![None; count as usize]),
            respond: RefCell::new(Some(respond)),
            ask,
        });
        self.asks.insert(row.ask.id, row.clone());
        for number in 0..count {
            let id = PieceId(first + u64::from(number));
            self.wait(id, Waiting { row: row.clone(), number, tries: 0 });
        }
    }

    fn wait(&mut self, id: PieceId, waiting: Waiting) {
        let row = &waiting.row;
        self.queue.push(Piece {
            id,
            group: GroupId(row.ask.id),
            priority: row.ask.priority,
            target: row.target,
            deadline: row.due,
            size: row.ask.size,
            preferred_domain: row.ask.preferred_domain.clone(),
            transfer_size: row.ask.transfer_size,
            queued_at: row.since,
        });
        self.pieces.insert(id, waiting);
    }

    /// Takes the pieces of a call out of the queue.
    pub fn start(&mut self, call: &BatchCall) -> Vec<Waiting> {
        let ids = call.pieces.iter().map(|it| it.id);
        ids.filter_map(|id| self.pieces.remove(&id)).collect()
    }

    /// Takes in the end of a call. Returns for how long its results are kept.
    pub fn finish(
        &mut self,
        now: Time,
        call: &BatchCall,
        pieces: &[Waiting],
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
                for ((piece, waiting), result) in call.pieces.iter().zip(pieces).zip(results) {
                    self.take_result(call, piece, waiting, result);
                }
            }
            Err(err) => {
                let cost = u32::from(!err.is_unrun());
                for (piece, waiting) in call.pieces.iter().zip(pieces) {
                    self.again(piece.id, waiting, cost);
                }
            }
        }
        self.queue.result_ttl()
    }

    fn take_result(
        &mut self,
        call: &BatchCall,
        piece: &Piece,
        waiting: &Waiting,
        result: PieceResult,
    ) {
        match result {
            Ok(handle) => {
                self.held.insert(handle.clone(), (call.endpoint.clone(), piece.size));
                let made = StoredResult { handle, endpoint: call.endpoint.clone() };
                waiting.row.results.borrow_mut()[waiting.number as usize] = Some(made.clone());
                match self.asks.contains_key(&waiting.row.ask.id) {
                    true => self.settle(&waiting.row),
                    false => self.give_up(made),
                }
                return;
            }
            Err(PieceError::Room) => self.again(piece.id, waiting, 0),
            Err(PieceError::Failed | PieceError::Unreachable) => self.again(piece.id, waiting, 1),
            Err(err) => self.fail_ask(&waiting.row, err),
        }
        self.queue.release_room(&call.endpoint, piece.size);
    }

    /// Answers an ask whose pieces are all done.
    fn settle(&mut self, row: &Rc<AskRow>) {
        let done: Option<Vec<StoredResult>> = row.results.borrow().iter().cloned().collect();
        let Some(results) = done else {
            return;
        };
        self.asks.remove(&row.ask.id);
        self.queue.remove_group(GroupId(row.ask.id));
        let respond = row.respond.borrow_mut().take();
        let reply = self.reply(row, Ok(results));
        if let Some(Err(StageReply { answer: Ok(results), .. })) = respond.map(|it| it.send(reply))
        {
            results.into_iter().for_each(|it| self.give_up(it));
        }
    }

    fn again(&mut self, id: PieceId, waiting: &Waiting, cost: u32) {
        let tries = waiting.tries + cost;
        if tries >= MOST_TRIES {
            self.fail_ask(&waiting.row, PieceError::Failed);
        } else if self.asks.contains_key(&waiting.row.ask.id) {
            self.wait(id, Waiting { tries, ..waiting.clone() });
        }
    }

    fn fail(&mut self, id: PieceId, err: PieceError) {
        if let Some(waiting) = self.pieces.remove(&id) {
            self.fail_ask(&waiting.row, err);
        }
    }

    /// Gives a group up that can't be done in time.
    pub fn expire(&mut self, group: GroupId, wait: Millis) {
        if let Some(row) = self.asks.get(&group.0).cloned() {
            log::info!(
                request = row.ask.request_id.as_str(), pool:% = row.ask.shard.pool,
                shard:% = row.ask.shard,
                waiting = self.queue.len(), wait_ms = wait.0;
                "[relay] pieces given up, the queue is too long"
            );
            self.fail_ask(&row, PieceError::Late);
        }
    }

    fn fail_ask(&mut self, row: &Rc<AskRow>, err: PieceError) {
        if let Some(respond) = row.respond.borrow_mut().take() {
            // The asker may have left.
            let _ = respond.send(self.reply(row, Err(err)));
        }
        self.drop_ask(row.ask.id);
    }

    fn reply(&self, row: &AskRow, answer: StageOutcome) -> StageReply {
        let wait = self.queue.expected_wait(time_since(self.start), row.ask.priority);
        StageReply { answer, wait }
    }

    /// Drops an ask and gives up what was made of it.
    pub fn drop_ask(&mut self, id: u64) {
        let Some(row) = self.asks.remove(&id) else {
            return;
        };
        self.pieces.retain(|_, it| it.row.ask.id != id);
        self.queue.remove_group(GroupId(id));
        let made: Vec<StoredResult> = row.results.borrow().iter().flatten().cloned().collect();
        made.into_iter().for_each(|it| self.give_up(it));
    }

    /// Has the endpoint of a result told that it isn't needed any more, whoever
    /// had it made. Its room counts as taken until the endpoint knows.
    pub fn give_up(&mut self, made: StoredResult) {
        self.freeing.entry(made.endpoint).or_default().push(made.handle);
    }

    /// Takes in that results are gone.
    pub fn gone(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some((endpoint, size)) = self.held.remove(handle) {
                self.queue.release_room(&endpoint, size);
            }
        }
    }

    /// Takes in that the time of a call's results has run out.
    pub fn run_out(&mut self, pieces: &[Waiting]) {
        for it in pieces {
            let made = it.row.results.borrow()[it.number as usize].clone();
            self.gone(made.map(|it| it.handle).as_slice());
        }
    }
}
