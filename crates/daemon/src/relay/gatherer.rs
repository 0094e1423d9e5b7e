//! Gathers pieces of all instances into calls of the pools' endpoints.

use {
    super::{
        Dialect, GatherAsk, GatherEvent, GatherReply, Handle, Made, PieceError, PieceItem,
        PieceResult,
        pool::{CallError, QueuedPiece, ShardGatherer},
        relay::time_since,
        upstream::Upstream,
        view::View,
    },
    coord::{
        catalog::BatchTerms,
        ids::{EndpointName, PoolName},
        relay::{GatherCall, Shard},
        tables::Endpoint,
        time::Millis,
    },
    http_body_util::{BodyExt, Full, Limited},
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

/// How many times longer than expected a call may take; endpoints differ in
/// speed.
const PATIENCE: u64 = 3;
/// How much longer than that, for the way and for fetching inputs.
const PATIENCE_MORE: Millis = Millis(500);
/// How long freed results are collected before their endpoint is told.
const FREE_EVERY: Duration = Duration::from_millis(20);
/// The longest answer of a call.
const MAX_ANSWER: usize = 1 << 20;

/// The gatherers of this instance.
pub struct Gatherers {
    dialect: Arc<Dialect>,
    upstream: Rc<Upstream>,
    shards: RefCell<IndexMap<Shard, ShardGatherer>>,
    own: Weak<Self>,
    pieces: Cell<u64>,
    start: Instant,
}

/// Cancels an ask whose asker has left.
struct CancelGuard {
    gatherers: Rc<Gatherers>,
    id: Option<u64>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.gatherers.cancel(id);
        }
    }
}

impl Gatherers {
    /// Gatherers without a pool.
    pub fn new(dialect: Arc<Dialect>, upstream: Rc<Upstream>, start: Instant) -> Rc<Self> {
        Rc::new_cyclic(|own| Self {
            dialect,
            upstream,
            shards: RefCell::default(),
            own: own.clone(),
            pieces: Cell::new(0),
            start,
        })
    }

    /// Takes in the pools and endpoints of another state of the tables.
    pub fn reload(&self, view: &View) {
        let mut rows = self.shards.borrow_mut();
        let batches = view.catalog().services.iter();
        let terms: IndexMap<&PoolName, BatchTerms> =
            batches.filter_map(|(name, it)| Some((name, it.batch?))).collect();
        rows.retain(|shard, row| {
            let kept = view.shards(&shard.pool).contains(shard);
            if !kept {
                row.drain();
            }
            // Calls that run go on.
            kept || !row.asks.is_empty()
        });
        for (pool, terms) in terms {
            for shard in view.shards(pool) {
                let row = rows
                    .entry(shard.clone())
                    .or_insert_with(|| ShardGatherer::new(terms, self.start));
                let own = view.endpoints(pool).iter().filter(|it| shard.includes(it)).cloned();
                row.reload(terms, &own.collect::<Vec<_>>());
            }
        }
        let names: Vec<Shard> = rows.keys().cloned().collect();
        drop(rows);
        names.iter().for_each(|it| self.pump(it));
    }

    /// Takes in what peers ask, until the process ends.
    pub async fn serve(self: Rc<Self>, mut asked: mpsc::UnboundedReceiver<GatherEvent>) {
        while let Some(event) = asked.recv().await {
            match event {
                GatherEvent::Ask { ask, respond } => self.take(*ask, respond),
                GatherEvent::Cancel(id) => self.cancel(id),
                GatherEvent::Free { shard, results } => self.free(&shard, results),
            }
        }
    }

    /// Gathers the pieces of an ask of this instance.
    pub async fn ask(self: &Rc<Self>, ask: GatherAsk) -> GatherReply {
        let mut guard = CancelGuard { gatherers: self.clone(), id: Some(ask.id) };
        let (respond, answer) = oneshot::channel();
        self.take(ask, respond);
        let reply = answer.await.unwrap_or(GatherReply::failed(PieceError::Failed));
        guard.id = None;
        reply
    }

    /// Gives results up.
    pub fn free(&self, shard: &Shard, results: Vec<Made>) {
        let freed = self.with(shard, |row| results.into_iter().for_each(|it| row.queue_free(it)));
        match freed {
            Some(()) => self.pump(shard),
            // The endpoints drop them by themselves when their time has run out.
            None => log::info!(shard:% = shard; "[relay] results not freed, nobody gathers"),
        }
    }

    /// Drops what waits of an ask.
    pub fn cancel(&self, id: u64) {
        let mut rows = self.shards.borrow_mut();
        let found = rows.iter_mut().find(|(_, row)| row.asks.contains_key(&id));
        let Some((shard, row)) = found else {
            return;
        };
        row.drop_ask(id);
        let shard = shard.clone();
        drop(rows);
        self.pump(&shard);
    }

    fn take(&self, ask: GatherAsk, respond: oneshot::Sender<GatherReply>) {
        let now = time_since(self.start);
        let shard = ask.shard.clone();
        let mut rows = self.shards.borrow_mut();
        let row = rows.get_mut(&shard).filter(|it| !it.endpoints.is_empty());
        let Some(row) = row else {
            log::info!(
                request = ask.request.as_str(), pool:% = shard.pool, shard:% = shard;
                "[relay] stage refused: the shard has no endpoint"
            );
            // The asker may have left.
            let _ = respond.send(GatherReply::failed(PieceError::Down));
            return;
        };
        let first = self.pieces.get();
        self.pieces.set(first + u64::from(ask.count));
        row.add(now, first, ask, respond);
        drop(rows);
        self.pump(&shard);
    }

    /// Starts the calls that can be made now.
    fn pump(&self, shard: &Shard) {
        let now = time_since(self.start);
        let mut rows = self.shards.borrow_mut();
        let Some(row) = rows.get_mut(shard) else {
            return;
        };
        let down = shard.domain.is_some() && row.gather.is_down(now);
        if down || row.endpoints.is_empty() {
            row.fail_all(PieceError::Down);
        }
        for (group, wait) in row.gather.expire(now) {
            row.expire_group(group, wait);
        }
        if !row.to_free.is_empty() && !std::mem::replace(&mut row.flush_scheduled, true) {
            let (own, shard) = (self.owned(), shard.clone());
            tokio::task::spawn_local(async move {
                sleep(FREE_EVERY).await;
                own.flush_freed(&shard).await;
            });
        }
        while let Some(call) = row.gather.next(now) {
            let endpoint = row.endpoints[&call.endpoint].clone();
            let pieces = row.take_pieces(&call);
            let (own, shard) = (self.owned(), shard.clone());
            tokio::task::spawn_local(async move { own.call(shard, endpoint, call, pieces).await });
        }
        let wake =
            row.gather.wake(now).filter(|it| row.wake_at.is_none_or(|old| old <= now || *it < old));
        if let Some(at) = wake {
            row.wake_at = Some(at);
            let (own, shard) = (self.owned(), shard.clone());
            tokio::task::spawn_local(async move {
                sleep(Duration::from_millis(at.since(now).0)).await;
                own.pump(&shard);
            });
        }
    }

    async fn call(
        self: Rc<Self>,
        shard: Shard,
        endpoint: Endpoint,
        call: GatherCall,
        pieces: Vec<QueuedPiece>,
    ) {
        let began = time_since(self.start);
        let expected = self.with(&shard, |row| row.gather.duration(call.pieces.len()));
        let patience = expected.map_or(Millis(0), |it| Millis(it.0 * PATIENCE)) + PATIENCE_MORE;
        let items: Vec<PieceItem> = pieces.iter().map(|it| it.item(began)).collect();
        let sent = self.run(&endpoint, &items);
        let answer = match timeout(Duration::from_millis(patience.0), sent).await {
            Ok(it) => it,
            Err(_) => Err(CallError::Silent),
        };
        let now = time_since(self.start);
        let outcome = answer.as_ref().map_or_else(CallError::name, |_| "answered");
        let results = answer.as_ref().map_or(&[][..], Vec::as_slice);
        let made = results.iter().filter(|it| it.is_ok()).count();
        let failed = results.iter().find_map(|it| it.as_ref().err());
        log::info!(
            pool:% = shard.pool, shard:% = shard, endpoint = endpoint.name.as_str(),
            pieces = call.pieces.len(),
            took_ms = now.since(began).0, outcome = outcome, made = made, failed:? = failed,
            used = self.with(&shard, |row| row.gather.used(&endpoint.name)).unwrap_or_default(),
            waiting = self.with(&shard, |row| row.gather.len()).unwrap_or_default();
            "[relay] pieces called"
        );
        let keeps = self.with(&shard, |row| row.finish_call(now, &call, &pieces, answer));
        if let Some(keeps) = keeps {
            self.pump(&shard);
            sleep(Duration::from_millis(keeps.0)).await;
            self.with(&shard, |row| row.expire_results(&pieces));
        }
    }

    async fn run(
        &self,
        endpoint: &Endpoint,
        items: &[PieceItem],
    ) -> Result<Vec<PieceResult>, CallError> {
        let codec = &self.dialect.batches;
        let request = self.request(endpoint, codec.run_path, (codec.encode)(items));
        let sent = self.upstream.send(endpoint, request).await;
        let (response, lease) = sent.map_err(|source| CallError::Lost { source })?;
        let status = response.status();
        let unrun = response.headers().contains_key(&self.dialect.headers.unrun);
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|_| CallError::Improper)?.to_bytes();
        lease.release();
        if status != StatusCode::OK {
            let full = unrun || status == StatusCode::MISDIRECTED_REQUEST;
            return Err(if full { CallError::Refused } else { CallError::Improper });
        }
        let results = (codec.decode)(&body).ok().filter(|it| it.len() == items.len());
        results.ok_or(CallError::Improper)
    }

    /// Tells the endpoints which results aren't needed any more.
    async fn flush_freed(&self, shard: &Shard) {
        let freed = self.with(shard, |row| {
            row.flush_scheduled = false;
            std::mem::take(&mut row.to_free)
        });
        let frees = freed.unwrap_or_default().into_iter().map(|(name, handles)| {
            let (own, shard) = (self.owned(), shard.clone());
            async move { own.free_at(&shard, name, handles).await }
        });
        let mut running: JoinSet<()> = JoinSet::new();
        for free in frees {
            running.spawn_local(free);
        }
        running.join_all().await;
    }

    async fn free_at(&self, shard: &Shard, name: EndpointName, handles: Vec<Handle>) {
        let endpoint = self.with(shard, |row| row.endpoints.get(&name).cloned()).flatten();
        let Some(endpoint) = endpoint else {
            log::info!(
                endpoint = name.as_str(), results = handles.len();
                "[relay] results not freed, the endpoint is out of service"
            );
            return;
        };
        let codec = &self.dialect.batches;
        let request = self.request(&endpoint, codec.free_path, (codec.encode_free)(&handles));
        let problem = match self.upstream.send(&endpoint, request).await {
            Ok((response, lease)) => {
                let status = response.status();
                if response.into_body().collect().await.is_ok() {
                    lease.release();
                }
                (status != StatusCode::OK).then(|| status.to_string())
            }
            Err(err) => Some(err.to_string()),
        };
        match problem {
            None => {
                self.with(shard, |row| row.mark_freed(&handles));
                self.pump(shard);
            }
            // The endpoint drops them by itself when their time has run out.
            Some(problem) => log::info!(
                endpoint = name.as_str(), results = handles.len(), problem = problem.as_str();
                "[relay] results not freed"
            ),
        }
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
            .header(&self.dialect.headers.expected, endpoint.name.as_str())
            .body(Full::new(body.into()))
            .expect("the head is valid")
    }

    fn with<T>(&self, shard: &Shard, act: impl FnOnce(&mut ShardGatherer) -> T) -> Option<T> {
        self.shards.borrow_mut().get_mut(shard).map(act)
    }

    fn owned(&self) -> Rc<Self> {
        self.own.upgrade().expect("it is held while its methods run")
    }
}
