//! Runs the stages of a request in the order of their dependencies.

use {
    super::{
        DrainPhase, Handle, PieceError, PieceInput, StageReply, StageRequest, StoredResult,
        relay::Relay, request::RelayRequest,
    },
    coord::{
        catalog::BatchTerms,
        ids::{Bytes, PoolName},
        relay::{Shard, StagePlan, StageProgress},
        tables::Suspect,
        time::Millis,
    },
    std::{
        collections::VecDeque,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep_until},
};

/// How much earlier than needed stages aim to finish, since the durations of the
/// following steps vary.
const TARGET_MARGIN: Millis = Millis(100);
/// How much earlier than its pool states a result counts as expired, from when it was received:
/// results of one stage may be made one call apart.
const EXPIRY_MARGIN: Millis = Millis(200);
/// Limit on unreachable batchers per shard.
const MAX_BATCHERS: usize = 2;
/// Limit on batchers known per shard; those that hand a request back cost one round trip. If a
/// quarter of the instances stop at once, all of these do in one of 65,536 cases.
const MAX_KNOWN: usize = 8;
/// Limit on shards tried per stage.
const MAX_SHARDS: usize = 2;
/// Limit on stage requests sent per stage that aren't handed back; each may cost a connection
/// timeout.
const MAX_REQUESTS: usize = 3;

/// Why the stages of a request have no results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StagesError {
    Failed(PieceError),
    /// A graceful shutdown of this instance would end before the request does.
    Stopping,
}

/// Results of one stage, with the batcher that produced them.
struct StageOutput {
    shard: Shard,
    batcher: SocketAddr,
    results: Vec<StoredResult>,
    /// Until when the results can be used.
    expires: Instant,
}

impl StageOutput {
    fn handles(&self) -> impl Iterator<Item = Handle> + '_ {
        self.results.iter().map(|it| it.handle.clone())
    }
}

/// Results of the stages of a request. Released on drop.
pub struct StageResults {
    relay: Rc<Relay>,
    stages: Vec<Option<StageOutput>>,
    /// Indexes of the stages whose results the request itself needs.
    last: Vec<usize>,
}

impl StageResults {
    /// Returns the handles that the request itself needs, in the order of the
    /// stages.
    pub fn inputs(&self) -> Vec<Handle> {
        let outputs = self.last.iter().filter_map(|it| self.stages[*it].as_ref());
        outputs.flat_map(StageOutput::handles).collect()
    }

    /// Releases all results.
    pub fn close(self) {
        drop(self);
    }

    fn release(&mut self, stage: usize) {
        let Some(output) = self.stages[stage].take().filter(|it| !it.results.is_empty()) else {
            return;
        };
        let relay = self.relay.clone();
        tokio::task::spawn_local(async move {
            let StageOutput { shard, batcher, results, .. } = output;
            // The batcher that tracks the room of the endpoints should free the
            // results; if it is unreachable, this instance frees them.
            let released = batcher != relay.peer
                && relay.batcher_clients.release(batcher, &shard, &results).await;
            if !released {
                relay.batchers.release(&shard, results);
            }
        });
    }
}

impl Drop for StageResults {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.release(stage);
        }
    }
}

/// Runs all stages of a request with a body of `size` bytes. `whole` is the suspect that
/// stands for the request.
///
/// # Errors
/// A stage has no results, so the request can't run.
pub async fn run(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    whole: &Suspect,
    size: usize,
) -> Result<StageResults, StagesError> {
    let run_time = relay.expected_run_time(&request.pool, size);
    let whole_time = relay.expected_whole_time(request, size);
    let route = &request.route;
    let mut results = StageResults {
        relay: relay.clone(),
        stages: route.stages.iter().map(|_| None).collect(),
        last: route.final_stages().collect(),
    };
    let mut plan = StagePlan::new(&route.stages, stage_durations(relay, request));
    let mut progress = vec![StageProgress::Waiting; route.stages.len()];
    let mut began = vec![Instant::now(); route.stages.len()];
    let mut running = JoinSet::new();
    let mut stopping = relay.drain.answer_by().is_some();
    loop {
        let elapsed = |it: usize| Millis(began[it].elapsed().as_millis() as u64);
        if !relay.drain.can_answer_in(to_duration(plan.time_left(&progress, elapsed) + whole_time))
        {
            return Err(StagesError::Stopping);
        }
        for stage in plan.ready(&progress) {
            progress[stage] = StageProgress::Running;
            began[stage] = Instant::now();
            let after = plan.time_after(stage);
            let due = Due {
                target: time_before(request.target, after + run_time + TARGET_MARGIN),
                deadline: time_before(request.deadline, after + run_time),
                stop: relay.drain.answer_by().map(|it| time_before(it, after + whole_time)),
                inputs: inputs_due(relay, request, &results, stage),
            };
            let mut job = StageJob::new(relay, request, &results, stage, due);
            job.stage_request.whole = Some(whole.clone());
            let relay = relay.clone();
            running.spawn_local(async move { (stage, job.run(relay).await) });
        }
        let rest = plan.time_left(&progress, |_| Millis(u64::MAX));
        let ended = tokio::select! {
            // A request whose stages have ended goes on, however little time is left.
            biased;
            it = running.join_next() => it,
            () = relay.drain.begun(), if !stopping => {
                stopping = true;
                plan = StagePlan::new(&route.stages, stage_durations(relay, request));
                continue;
            }
            () = relay.drain.last_call(to_duration(rest + whole_time)) => {
                return Err(StagesError::Stopping);
            }
            // A call of pieces may take longer than the request has time.
            () = sleep_until(time_before(request.deadline, rest + run_time).into()) => {
                return Err(StagesError::Failed(PieceError::Late));
            }
        };
        let Some(ended) = ended else {
            return Ok(results);
        };
        let (stage, output) = ended.expect("a stage's task neither panics nor is aborted");
        results.stages[stage] = Some(output?);
        progress[stage] = StageProgress::Done;
        release_consumed(request, &mut results);
    }
}

/// Whether stages whose inputs were lost may run once more: the request still ends in time, and
/// the results that a stage needs outlast its wait.
pub fn may_restart(relay: &Relay, request: &RelayRequest, size: usize) -> bool {
    let stages = &request.route.stages;
    let durations = stage_durations(relay, request);
    let outlasts = |stage: usize| {
        let inputs = stages[stage].after.iter().filter(|it| request.piece_counts[**it] > 0);
        let lives = inputs.filter_map(|it| Some(batch_terms(relay, &stages[*it].pool)?.result_ttl));
        lives.min().is_none_or(|it| durations[stage] <= it)
    };
    if !(0..stages.len()).all(outlasts) {
        return false;
    }
    let plan = StagePlan::new(stages, durations);
    let left = plan.time_left(&vec![StageProgress::Waiting; stages.len()], |_| Millis(0));
    let run_time = relay.expected_run_time(&request.pool, size);
    Instant::now() + to_duration(left + run_time) <= request.deadline
}

fn batch_terms(relay: &Relay, pool: &PoolName) -> Option<BatchTerms> {
    relay.view().catalog().services.get(pool).and_then(|it| it.batch)
}

/// Returns when the results of a stage are due so that its call begins before an input expires.
fn inputs_due(
    relay: &Relay,
    request: &RelayRequest,
    results: &StageResults,
    stage: usize,
) -> Option<Instant> {
    let spec = &request.route.stages[stage];
    let inputs = spec.after.iter().filter_map(|it| results.stages[*it].as_ref());
    let expires = inputs.filter(|it| !it.results.is_empty()).map(|it| it.expires).min()?;
    Some(expires + to_duration(batch_terms(relay, &spec.pool)?.call_duration(1)))
}

fn to_duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}

/// Returns the time that is so long before another, or now if there is none.
fn time_before(at: Instant, time: Millis) -> Instant {
    at.checked_sub(to_duration(time)).unwrap_or_else(Instant::now)
}

/// Returns the expected duration of each stage: the wait in the queue and one full
/// call, since pieces of other requests fill the call up.
fn stage_durations(relay: &Relay, request: &RelayRequest) -> Vec<Millis> {
    let time = |stage: usize| {
        let pool = &request.route.stages[stage].pool;
        let batch = batch_terms(relay, pool);
        let count = request.piece_counts[stage];
        let first = relay.shards(pool, request).into_iter().next();
        let wait = first.map_or(Millis(0), |it| relay.expected_wait(&it, request.priority));
        batch.filter(|_| count > 0).map_or(Millis(0), |it| wait + it.max_call_duration())
    };
    (0..request.route.stages.len()).map(time).collect()
}

/// Returns the total size of the inputs and results of a stage.
fn transfer_size(request: &RelayRequest, stage: usize) -> Bytes {
    let stages = &request.route.stages;
    let result_size = |it: usize| u64::from(request.piece_counts[it]) * stages[it].result_size.0;
    let read: u64 = stages[stage].after.iter().map(|it| result_size(*it)).sum();
    Bytes(result_size(stage) + read)
}

/// Releases results that are needed neither by the request itself nor by an
/// unfinished stage.
fn release_consumed(request: &RelayRequest, results: &mut StageResults) {
    let stages = &request.route.stages;
    for stage in 0..stages.len() {
        let mut followers = (0..stages.len()).filter(|it| stages[*it].after.contains(&stage));
        let needed =
            results.last.contains(&stage) || followers.any(|it| results.stages[it].is_none());
        let output = results.stages[stage].as_mut().filter(|_| !needed);
        if let Some(output) = output {
            let empty = StageOutput {
                shard: output.shard.clone(),
                batcher: output.batcher,
                results: Vec::new(),
                expires: output.expires,
            };
            results.release(stage);
            results.stages[stage] = Some(empty);
        }
    }
}

/// When the results of a stage are due.
struct Due {
    /// So that the request meets its target.
    target: Instant,
    /// So that it ends before its deadline.
    deadline: Instant,
    /// So that it ends before a graceful shutdown does.
    stop: Option<Instant>,
    /// So that its inputs haven't expired.
    inputs: Option<Instant>,
}

impl Due {
    /// Returns after when the results are useless.
    fn last(&self) -> Instant {
        [self.stop, self.inputs].into_iter().flatten().fold(self.deadline, Instant::min)
    }

    /// Returns what a stage ends with that can't be done in time.
    fn late_error(&self) -> StagesError {
        match self.last() {
            it if it == self.deadline => StagesError::Failed(PieceError::Late),
            it if Some(it) == self.stop => StagesError::Stopping,
            _ => StagesError::Failed(PieceError::Gone),
        }
    }
}

/// One stage of one request.
struct StageJob {
    stage_request: StageRequest,
    due: Due,
    /// Batchers to try, with the shard that each serves, in order.
    candidates: VecDeque<(Shard, SocketAddr)>,
}

impl StageJob {
    fn new(
        relay: &Relay,
        request: &RelayRequest,
        results: &StageResults,
        stage: usize,
        due: Due,
    ) -> Self {
        let view = relay.view();
        let spec = &request.route.stages[stage];
        let inputs = spec.after.iter().filter_map(|it| results.stages[*it].as_ref());
        let input = match spec.after.is_empty() {
            true => PieceInput::Source(request.source.clone()),
            false => PieceInput::Results(inputs.flat_map(StageOutput::handles).collect()),
        };
        let shards = relay.shards(&spec.pool, request);
        let is_last = |addr: SocketAddr| match addr == relay.peer {
            true => relay.drain.phase() >= DrainPhase::Leaving,
            false => relay.batcher_clients.is_avoided(addr),
        };
        let batchers = |shard: &Shard| {
            let batchers = view.batchers(shard);
            let able = batchers.iter().copied().filter(|it| !relay.is_peer_cut(*it));
            let (last, mut order): (Vec<_>, Vec<_>) = able.partition(|it| is_last(*it));
            order.extend(last);
            order.truncate(MAX_KNOWN);
            order.into_iter().map(|it| (shard.clone(), it)).collect::<Vec<_>>()
        };
        let mut candidates: Vec<_> = shards.iter().take(MAX_SHARDS).flat_map(batchers).collect();
        candidates.sort_by_key(|(_, it)| is_last(*it));
        let candidates = candidates.into();
        let whole = Shard { pool: spec.pool.clone(), domain: None };
        let stage_request = StageRequest {
            id: rand::random(),
            shard: shards.first().cloned().unwrap_or(whole),
            request_id: request.id.clone(),
            whole: None,
            repeated: request.handed,
            stage,
            count: request.piece_counts[stage],
            input,
            priority: request.priority,
            size: spec.result_size,
            transfer_size: transfer_size(request, stage),
            preferred_domain: request.preferred_domain.clone(),
            target: Millis(0),
            deadline: Millis(0),
        };
        Self { stage_request, due, candidates }
    }

    async fn run(mut self, relay: Rc<Relay>) -> Result<StageOutput, StagesError> {
        let began = Instant::now();
        let (mut shard, mut batcher) = (self.stage_request.shard.clone(), relay.peer);
        if self.stage_request.count == 0 {
            return Ok(StageOutput { shard, batcher, results: Vec::new(), expires: began });
        }
        let mut answer = Err(PieceError::Unreachable);
        let (mut handed_back, mut own_handed) = (0, false);
        // The shards that were tried in vain, once for each try.
        let mut failed: Vec<Shard> = Vec::new();
        while failed.len() < MAX_REQUESTS
            && let Some((candidate, addr)) = self.candidates.pop_front()
        {
            if failed.iter().filter(|it| **it == candidate).count() >= MAX_BATCHERS {
                continue;
            }
            (shard, batcher) = (candidate, addr);
            let reply = self.submit(&relay, &shard, batcher).await;
            self.stage_request.repeated = true;
            let Some(reply) = reply else {
                answer = Err(PieceError::Unreachable);
                failed.push(shard.clone());
                continue;
            };
            answer = reply.answer;
            if answer == Err(PieceError::Unreachable) {
                if batcher == relay.peer && !std::mem::replace(&mut own_handed, true) {
                    // This instance goes on with what no other takes.
                    self.candidates.push_back((shard.clone(), batcher));
                }
                handed_back += 1;
                continue;
            }
            relay.record_wait(&shard, self.stage_request.priority, reply.wait);
            if answer != Err(PieceError::Down) {
                break;
            }
            relay.record_down(&shard);
            failed.push(shard.clone());
            self.candidates.retain(|(it, _)| *it != shard);
        }
        let outcome = answer.as_ref().map_or_else(ToString::to_string, |_| "done".to_owned());
        log::info!(
            request = self.stage_request.request_id.as_str(), stage = self.stage_request.stage,
            pool:% = shard.pool, shard:% = shard,
            pieces = self.stage_request.count, gathered_by:% = batcher, outcome = outcome.as_str(),
            handed_back = handed_back, took_ms = began.elapsed().as_millis() as u64;
            "[relay] stage ended"
        );
        match answer {
            Ok(results) => {
                let ttl = batch_terms(&relay, &shard.pool).map_or(Millis(0), |it| it.result_ttl);
                let kept = Millis(ttl.0.saturating_sub(EXPIRY_MARGIN.0));
                let expires = Instant::now() + to_duration(kept);
                Ok(StageOutput { shard, batcher, results, expires })
            }
            Err(PieceError::Late) => Err(self.due.late_error()),
            Err(err) => Err(StagesError::Failed(err)),
        }
    }

    /// Submits the stage to a batcher and returns the reply, if it can be reached.
    async fn submit(
        &self,
        relay: &Rc<Relay>,
        shard: &Shard,
        batcher: SocketAddr,
    ) -> Option<StageReply> {
        let now = Instant::now();
        let left = |until: Instant| Millis(until.saturating_duration_since(now).as_millis() as u64);
        let (target, deadline) = (left(self.due.target), left(self.due.last()));
        let request =
            StageRequest { shard: shard.clone(), target, deadline, ..self.stage_request.clone() };
        match batcher == relay.peer {
            true => Some(relay.batchers.submit(request).await),
            false => tokio::select! {
                reply = relay.batcher_clients.submit(batcher, request) => reply,
                () = relay.until_peer_cut(batcher) => None,
            },
        }
    }
}
