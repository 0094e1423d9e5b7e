//! Batches pieces from all instances into calls to the endpoints of pools.

use {
    super::{
        BatcherEvent, Dialect, Handle, PieceError, PieceItem, PieceResult, StageReply,
        StageRequest, StoredResult,
        clock::time_since,
        crash_watch::{AttemptWatch, CrashWatch},
        drain_state::{DrainPhase, DrainState},
        notices::Notices,
        rollouts::{Rollouts, SendGuard},
        shard_batcher::{
            CallError, GRANT_CHECK_INTERVAL, GroupState, QueuedPiece, ShardBatcher, Submitter,
        },
        upstream::{SendError, Upstream},
        view::View,
    },
    crate::memory::{BodyBounds, BodyError, BodyRooms, read_body},
    coord::{
        catalog::BatchTerms,
        ids::{EndpointName, PoolName},
        relay::{AnswerProof, BatchCall, Shard},
        tables::{Endpoint, Suspect},
        time::Millis,
    },
    http_body_util::Full,
    hyper::{
        Method, Request, StatusCode,
        header::{CONTENT_TYPE, HOST},
    },
    indexmap::IndexMap,
    std::{
        cell::{Cell, RefCell},
        rc::{Rc, Weak},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Timeout of a call as a multiple of its expected duration, since endpoints differ
/// in speed.
const TIMEOUT_FACTOR: u64 = 3;
/// Added to the timeout of a call for network latency and fetching of inputs.
const TIMEOUT_SLACK: Millis = Millis(500);
/// How long freed results are collected before they are sent to their endpoint.
const FREE_INTERVAL: Duration = Duration::from_millis(20);
/// Size limit of the response to a call.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Size limit of the response to the freeing of results.
const MAX_FREE_BYTES: usize = 64 << 10;
/// Timeout of the freeing of results; shorter than endpoints keep them.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the batchers of an instance share with its relay.
pub struct BatcherContext {
    pub dialect: Arc<Dialect>,
    pub upstream: Rc<Upstream>,
    pub notices: Rc<Notices>,
    pub rollouts: Rc<Rollouts>,
    /// Room for the answers of endpoints.
    pub rooms: BodyRooms,
    pub crashes: CrashWatch,
    pub drain: Arc<DrainState>,
    pub start: Instant,
}

/// The batchers of this instance, one per shard.
pub struct Batchers {
    dialect: Arc<Dialect>,
    upstream: Rc<Upstream>,
    notices: Rc<Notices>,
    rollouts: Rc<Rollouts>,
    rooms: BodyRooms,
    crashes: CrashWatch,
    drain: Arc<DrainState>,
    shards: RefCell<IndexMap<Shard, ShardBatcher>>,
    weak_self: Weak<Self>,
    next_piece: Cell<u64>,
    start: Instant,
}

/// Cancels a stage request of this instance if its submitter is dropped.
struct CancelGuard {
    batchers: Rc<Batchers>,
    id: Option<u64>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.batchers.cancel(id);
        }
    }
}

impl Batchers {
    /// Creates the batchers without any shard.
    pub fn new(context: BatcherContext) -> Rc<Self> {
        let BatcherContext { dialect, upstream, notices, rollouts, rooms, crashes, drain, start } =
            context;
        Rc::new_cyclic(|weak_self| Self {
            dialect,
            upstream,
            notices,
            rollouts,
            rooms,
            crashes,
            drain,
            shards: RefCell::default(),
            weak_self: weak_self.clone(),
            next_piece: Cell::new(0),
            start,
        })
    }

    /// Applies the pools and endpoints of a new state of the tables.
    pub fn reload(&self, view: &View) {
        let mut shards = self.shards.borrow_mut();
        let batches = view.catalog().services.iter();
        let specs: IndexMap<&PoolName, BatchTerms> =
            batches.filter_map(|(name, it)| Some((name, it.batch?))).collect();
        shards.retain(|shard, batcher| {
            let kept = view.shards(&shard.pool).contains(shard);
            if !kept {
                batcher.drain();
            }
            // Keeps the shard until its running calls have ended.
            kept || !batcher.requests.is_empty()
        });
        for (pool, spec) in specs {
            for shard in view.shards(pool) {
                let batcher = shards
                    .entry(shard.clone())
                    .or_insert_with(|| ShardBatcher::new(spec, self.start));
                let endpoints =
                    view.endpoints(pool).iter().filter(|it| shard.includes(it)).cloned();
                batcher.reload(spec, &endpoints.collect::<Vec<_>>());
            }
        }
        let names: Vec<Shard> = shards.keys().cloned().collect();
        drop(shards);
        names.iter().for_each(|it| self.dispatch(it));
    }

    /// Handles messages of peers until their channel is closed.
    pub async fn serve(self: Rc<Self>, mut events: mpsc::UnboundedReceiver<BatcherEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                BatcherEvent::Submit { request, respond } => self.accept(*request, respond),
                BatcherEvent::Cancel(id) => self.cancel(id),
                BatcherEvent::Free { shard, results } => self.release(&shard, results),
            }
        }
    }

    /// Hands stage requests back at the start of a graceful shutdown and before its end.
    pub async fn watch_stop(self: Rc<Self>) {
        self.drain.begun().await;
        self.hand_back(GroupState::is_new);
        self.drain.last_call(Duration::ZERO).await;
        self.hand_back(|_| true);
    }

    fn hand_back(&self, is_due: impl Fn(&GroupState) -> bool) {
        let names: Vec<Shard> = self.shards.borrow().keys().cloned().collect();
        for shard in names {
            self.with_batcher(&shard, |batcher| batcher.hand_back(&is_due));
            self.dispatch(&shard);
        }
    }

    /// Takes a stage request of another instance, which tries the next batcher if this one
    /// stops.
    fn accept(&self, request: StageRequest, respond: oneshot::Sender<StageReply>) {
        let guard = self.drain.track_gathered();
        if self.drain.phase() >= DrainPhase::Leaving {
            guard.hand_back(false);
            // The submitter may be gone.
            let _ = respond.send(StageReply::failed(PieceError::Unreachable));
            return;
        }
        self.enqueue(request, Submitter { respond, guard: Some(guard) });
    }

    /// Submits a stage request of this instance and waits for the reply. In a graceful shutdown
    /// this is for requests that no other batcher takes.
    pub async fn submit(self: &Rc<Self>, request: StageRequest) -> StageReply {
        let mut guard = CancelGuard { batchers: self.clone(), id: Some(request.id) };
        let (respond, answer) = oneshot::channel();
        self.enqueue(request, Submitter { respond, guard: None });
        let reply = answer.await.unwrap_or(StageReply::failed(PieceError::Failed));
        guard.id = None;
        reply
    }

    /// Releases results, so that their endpoints free them.
    pub fn release(&self, shard: &Shard, results: Vec<StoredResult>) {
        let freed = self.with_batcher(shard, |batcher| {
            results.into_iter().for_each(|it| batcher.queue_free(it))
        });
        match freed {
            Some(()) => self.dispatch(shard),
            // The endpoints drop the results on their own when they expire.
            None => {
                log::info!(shard:% = shard; "[relay] results not freed: no batcher for the shard")
            }
        }
    }

    /// Cancels a stage request and releases the results that it already has.
    pub fn cancel(&self, id: u64) {
        let mut shards = self.shards.borrow_mut();
        let found = shards.iter_mut().find(|(_, batcher)| batcher.requests.contains_key(&id));
        let Some((shard, batcher)) = found else {
            return;
        };
        batcher.drop_request(id);
        let shard = shard.clone();
        drop(shards);
        self.dispatch(&shard);
    }

    fn enqueue(&self, request: StageRequest, submitter: Submitter) {
        let now = time_since(self.start);
        let shard = request.shard.clone();
        let mut shards = self.shards.borrow_mut();
        let known = shards.get_mut(&shard);
        // An instance that has just started knows no shards yet; that says nothing of them.
        let missing = if known.is_some() { PieceError::Down } else { PieceError::Unreachable };
        let Some(batcher) = known.filter(|it| !it.endpoints.is_empty()) else {
            log::info!(
                request = request.request_id.as_str(), pool:% = shard.pool, shard:% = shard,
                error:% = missing;
                "[relay] stage refused: the shard has no endpoints"
            );
            // The submitter may be gone.
            let _ = submitter.respond.send(StageReply::failed(missing));
            return;
        };
        let first = self.next_piece.get();
        self.next_piece.set(first + u64::from(request.count));
        batcher.add(now, first, request, submitter);
        drop(shards);
        self.dispatch(&shard);
    }

    /// Starts all calls that can be made now and schedules the next wake-up.
    fn dispatch(&self, shard: &Shard) {
        let now = time_since(self.start);
        let mut shards = self.shards.borrow_mut();
        let Some(batcher) = shards.get_mut(shard) else {
            return;
        };
        batcher.drop_abandoned();
        if self.drain.phase() >= DrainPhase::Leaving {
            let least = Duration::from_millis(batcher.queue.call_duration(1).0);
            let is_late = !self.drain.can_answer_in(least);
            batcher.hand_back(|it| it.called == 0 && (is_late || it.is_foreign && it.is_new()));
        }
        batcher.apply_notices(now, &self.notices, &self.rollouts);
        let down = shard.domain.is_some() && batcher.queue.is_down(now);
        if down || batcher.endpoints.is_empty() || batcher.queue.is_deserted() {
            batcher.fail_all(PieceError::Down);
        }
        for (group, wait) in batcher.queue.expire(now) {
            batcher.expire_group(group, wait);
        }
        if !batcher.to_free.is_empty() && !std::mem::replace(&mut batcher.flush_scheduled, true) {
            let (batchers, shard) = (self.strong(), shard.clone());
            tokio::task::spawn_local(async move {
                sleep(FREE_INTERVAL).await;
                batchers.flush_freed(&shard).await;
            });
        }
        while let Some(call) = batcher.queue.next_call(now) {
            let endpoint = batcher.endpoints[&call.endpoint].clone();
            let mut pieces = batcher.take_pieces(&call);
            let Some(send) = self.rollouts.begin_call(&endpoint, QueuedPiece::send_kind(&pieces))
            else {
                // The rollout has gone on since the endpoints were looked at.
                batcher.put_back(now, &call, &pieces);
                batcher.queue.withhold(&call.endpoint, now + GRANT_CHECK_INTERVAL);
                continue;
            };
            if send.is_counted() {
                pieces.iter_mut().for_each(QueuedPiece::note_counted);
                // The next call may need another grant.
                batcher.apply_notices(now, &self.notices, &self.rollouts);
            }
            if self.notices.limit(&call.endpoint).is_some() {
                // The grant is taken when the call is sent.
                batcher.queue.withhold(&call.endpoint, now + GRANT_CHECK_INTERVAL);
            }
            let (batchers, shard) = (self.strong(), shard.clone());
            tokio::task::spawn_local(async move {
                batchers.run_call(shard, endpoint, call, pieces, send).await
            });
        }
        let wake = batcher
            .queue
            .next_wake(now)
            .filter(|it| batcher.wake_at.is_none_or(|old| old <= now || *it < old));
        if let Some(at) = wake {
            batcher.wake_at = Some(at);
            let (batchers, shard) = (self.strong(), shard.clone());
            tokio::task::spawn_local(async move {
                sleep(Duration::from_millis(at.since(now).0)).await;
                batchers.dispatch(&shard);
            });
        }
    }

    async fn run_call(
        self: Rc<Self>,
        shard: Shard,
        endpoint: Endpoint,
        call: BatchCall,
        pieces: Vec<QueuedPiece>,
        send: SendGuard,
    ) {
        let began = time_since(self.start);
        let expected =
            self.with_batcher(&shard, |batcher| batcher.queue.call_duration(call.pieces.len()));
        let limit = expected.map_or(Millis(0), |it| Millis(it.0 * TIMEOUT_FACTOR)) + TIMEOUT_SLACK;
        let items: Vec<PieceItem> = pieces.iter().map(|it| it.item(began)).collect();
        let watches = self.watch_requests(&endpoint, &pieces);
        let sent = self.send_call(&endpoint, &items);
        let answer = timeout(Duration::from_millis(limit.0), sent).await;
        let answer = answer.unwrap_or(Err(CallError::Silent));
        let send = note_answer(send, &answer);
        match &answer {
            Ok(_) => watches.into_iter().for_each(AttemptWatch::close),
            Err(CallError::Lost { source }) if !source.is_unsent() => {
                watches.into_iter().for_each(|it| it.broke_off(false));
            }
            Err(CallError::Broken) => watches.into_iter().for_each(|it| it.broke_off(true)),
            Err(_) => {}
        }
        let now = time_since(self.start);
        let outcome = answer.as_ref().map_or_else(CallError::name, |_| "answered");
        let results = answer.as_ref().map_or(&[][..], Vec::as_slice);
        let made = results.iter().filter(|it| it.is_ok()).count();
        let failed = results.iter().find_map(|it| it.as_ref().err());
        log::info!(
            pool:% = shard.pool, shard:% = shard, endpoint = endpoint.name.as_str(),
            pieces = call.pieces.len(),
            took_ms = now.since(began).0, outcome = outcome, made = made, failed:? = failed,
            used = self.with_batcher(&shard, |batcher| batcher.queue.used_room(&endpoint.name))
                .unwrap_or_default(),
            waiting = self.with_batcher(&shard, |batcher| batcher.queue.len()).unwrap_or_default();
            "[relay] pieces called"
        );
        let is_suspect = |whole: &Suspect| self.crashes.is_suspect(&shard.pool, whole);
        let result_ttl = self.with_batcher(&shard, |batcher| {
            batcher.finish_call(now, &call, &pieces, answer, send, is_suspect)
        });
        if let Some(result_ttl) = result_ttl {
            self.dispatch(&shard);
            sleep(Duration::from_millis(result_ttl.0)).await;
            self.with_batcher(&shard, |batcher| batcher.expire_results(&pieces));
        }
    }

    /// Starts to watch a call for each request that has pieces in it.
    fn watch_requests(&self, endpoint: &Endpoint, pieces: &[QueuedPiece]) -> Vec<AttemptWatch> {
        let origins = pieces.iter().map(QueuedPiece::origin);
        let requests: IndexMap<&Suspect, &str> =
            origins.filter_map(|(id, whole)| Some((whole?, id))).collect();
        requests.into_iter().map(|(whole, id)| self.crashes.call(id, whole, endpoint)).collect()
    }

    async fn send_call(
        &self,
        endpoint: &Endpoint,
        items: &[PieceItem],
    ) -> Result<Vec<PieceResult>, CallError> {
        let codec = &self.dialect.batches;
        let request = self.request(endpoint, codec.run_path, (codec.encode)(items));
        let sent = self.upstream.send(endpoint, request).await;
        let (response, lease) = sent.map_err(|source| CallError::Lost { source })?;
        let status = response.status();
        let not_run = response.headers().contains_key(&self.dialect.headers.not_run);
        let bounds = BodyBounds::of_answer(MAX_RESPONSE_BYTES);
        let body = read_body(&self.rooms, response.into_body(), &bounds).await;
        let body = body.map_err(|err| {
            log::info!(
                endpoint = endpoint.name.as_str(), error:% = err;
                "[relay] answer of pieces not read"
            );
            match err {
                BodyError::Broken { .. } => CallError::Broken,
                BodyError::TooLong { .. } | BodyError::Stalled | BodyError::NoRoom => {
                    CallError::Improper
                }
            }
        })?;
        let results = match status {
            StatusCode::OK => (codec.decode)(&body).ok().filter(|it| it.len() == items.len()),
            _ => None,
        };
        let handles = results.iter().flatten().flatten().map(|it| it.0.as_str());
        let proof = lease.check_handles(handles);
        let is_refusal =
            status != StatusCode::OK && (not_run || status == StatusCode::MISDIRECTED_REQUEST);
        if proof == AnswerProof::Own && (results.is_some() || is_refusal) {
            lease.release();
        } else {
            // The endpoint sees the connection end and gives up the call, if it still runs.
            lease.close();
            // A full endpoint refuses many calls, which is no sign of a copy.
            let level = match proof {
                AnswerProof::Foreign => log::Level::Info,
                AnswerProof::Own | AnswerProof::Unproven => log::Level::Debug,
            };
            log::log!(
                level, endpoint = endpoint.name.as_str(), pieces = items.len(),
                status = status.as_u16(), proof:? = proof;
                "[relay] connection closed: the answer of pieces may be that of another call"
            );
        }
        match (results, proof) {
            (_, AnswerProof::Foreign) => Err(CallError::Improper),
            (Some(it), AnswerProof::Own) => Ok(it),
            (Some(it), AnswerProof::Unproven) => Ok(it.into_iter().map(repeatable).collect()),
            (None, _) if is_refusal => Err(CallError::Refused),
            (None, _) => Err(CallError::Improper),
        }
    }

    /// Tells the endpoints which results are no longer needed.
    async fn flush_freed(&self, shard: &Shard) {
        let freed = self.with_batcher(shard, |batcher| {
            batcher.flush_scheduled = false;
            std::mem::take(&mut batcher.to_free)
        });
        let frees = freed.unwrap_or_default().into_iter().map(|(name, handles)| {
            let (batchers, shard) = (self.strong(), shard.clone());
            async move { batchers.send_free(&shard, name, handles).await }
        });
        let mut running: JoinSet<()> = JoinSet::new();
        for free in frees {
            running.spawn_local(free);
        }
        running.join_all().await;
    }

    async fn send_free(&self, shard: &Shard, name: EndpointName, handles: Vec<Handle>) {
        let endpoint =
            self.with_batcher(shard, |batcher| batcher.endpoints.get(&name).cloned()).flatten();
        let Some(endpoint) = endpoint else {
            log::info!(
                endpoint = name.as_str(), results = handles.len();
                "[relay] results not freed: the endpoint is out of service"
            );
            return;
        };
        let Some(send) = self.rollouts.begin_free(&endpoint) else {
            log::info!(
                endpoint = name.as_str(), results = handles.len();
                "[relay] results not freed: a rollout allows no sends to the endpoint"
            );
            return;
        };
        let codec = &self.dialect.batches;
        let request = self.request(&endpoint, codec.free_path, (codec.encode_free)(&handles));
        let problem = match timeout(FREE_TIMEOUT, self.free_at(&endpoint, request)).await {
            Ok(Ok(StatusCode::OK)) => None,
            Ok(Ok(status)) => Some(status.to_string()),
            Ok(Err(err)) => Some(err.to_string()),
            Err(_) => Some("no answer in time".to_owned()),
        };
        drop(send);
        match problem {
            None => {
                self.with_batcher(shard, |batcher| batcher.mark_freed(&handles));
                self.dispatch(shard);
            }
            // The endpoint drops the results on its own when they expire.
            Some(problem) => log::info!(
                endpoint = name.as_str(), results = handles.len(), problem = problem.as_str();
                "[relay] endpoint did not free results"
            ),
        }
    }

    /// Sends a request to free results and returns the status. What its body says is
    /// not used, but has to end, without results, for the connection to be reused.
    async fn free_at(
        &self,
        endpoint: &Endpoint,
        request: Request<Full<hyper::body::Bytes>>,
    ) -> Result<StatusCode, SendError> {
        let (response, lease) = self.upstream.send(endpoint, request).await?;
        let status = response.status();
        let bounds = BodyBounds::of_answer(MAX_FREE_BYTES);
        match read_body(&self.rooms, response.into_body(), &bounds).await {
            // An answer to a call of pieces: the own one is yet to come.
            Ok(body) if has_results(&self.dialect, &body) => {
                lease.close();
                log::info!(
                    endpoint = endpoint.name.as_str();
                    "[relay] connection closed: the answer of freed results has results"
                );
            }
            Ok(_) if status != StatusCode::OK => lease.close(),
            Ok(_) => lease.release(),
            Err(err) => log::info!(
                endpoint = endpoint.name.as_str(), error:% = err;
                "[relay] answer of freed results not read"
            ),
        }
        Ok(status)
    }

    fn request(
        &self,
        endpoint: &Endpoint,
        path: &'static str,
        body: Vec<u8>,
    ) -> Request<Full<hyper::body::Bytes>> {
        Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, endpoint.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(&self.dialect.headers.endpoint, endpoint.name.as_str())
            .body(Full::new(body.into()))
            .expect("the request head is valid")
    }

    fn with_batcher<T>(
        &self,
        shard: &Shard,
        act: impl FnOnce(&mut ShardBatcher) -> T,
    ) -> Option<T> {
        self.shards.borrow_mut().get_mut(shard).map(act)
    }

    fn strong(&self) -> Rc<Self> {
        self.weak_self.upgrade().expect("callers hold a strong reference")
    }
}

/// Whether a body is that of an answer to a call of pieces.
fn has_results(dialect: &Dialect, body: &[u8]) -> bool {
    (dialect.batches.decode)(body).is_ok_and(|it| it.iter().any(Result::is_ok))
}

/// Returns the result of a piece of an answer that may be that of an earlier call: a failure that
/// would end the request lets the piece be called again.
fn repeatable(result: PieceResult) -> PieceResult {
    result.map_err(|err| match err {
        PieceError::Late | PieceError::Gone | PieceError::Down => PieceError::Unreachable,
        PieceError::Room | PieceError::Failed | PieceError::Unreachable => err,
    })
}

/// Counts the answer to a call for the rollout of its pool, and returns the send if it isn't
/// taken back. A call that an endpoint refused, or whose connection failed, has no answer.
fn note_answer(
    mut send: SendGuard,
    answer: &Result<Vec<PieceResult>, CallError>,
) -> Option<SendGuard> {
    match answer {
        Ok(it) if it.iter().any(|it| matches!(it, Err(PieceError::Failed))) => send.failed(),
        Ok(_) => send.answered(),
        Err(CallError::Improper) => send.failed(),
        Err(CallError::Silent) => send.timed_out(),
        Err(CallError::Lost { source }) if source.is_unsent() => {
            send.cancel();
            return None;
        }
        Err(CallError::Refused | CallError::Broken | CallError::Lost { .. }) => {}
    }
    Some(send)
}
