//! Runs the stages of a request, each as soon as those that it needs are done.

use {
    super::{
        GatherAsk, GatherReply, Handle, Made, PieceError, PieceInput, relay::Relay,
        request::RelayRequest,
    },
    coord::{
        ids::Bytes,
        relay::{Plan, Progress, Shard},
        time::Millis,
    },
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// How much earlier than needed stages aim to be done, for what varies behind
/// them.
const MARGIN: Duration = Duration::from_millis(100);
/// The most instances that are asked to gather for one shard.
const MOST_HOLDERS: usize = 2;
/// The most shards that are asked for one stage.
const MOST_SHARDS: usize = 2;
/// The most asks for one stage; each may cost a connection's time-out.
const MOST_ASKS: usize = 3;

/// The results of one stage, and who gathered them.
struct StageMade {
    shard: Shard,
    by: SocketAddr,
    results: Vec<Made>,
}

impl StageMade {
    fn handles(&self) -> impl Iterator<Item = Handle> + '_ {
        self.results.iter().map(|it| it.handle.clone())
    }
}

/// The results of a request's stages. They are given up when it is dropped.
pub struct Results {
    relay: Rc<Relay>,
    stages: Vec<Option<StageMade>>,
    /// Positions of the stages whose results the request itself needs.
    last: Vec<usize>,
}

impl Results {
    /// The results that the request itself needs, in the order of the stages.
    pub fn inputs(&self) -> Vec<Handle> {
        let made = self.last.iter().filter_map(|it| self.stages[*it].as_ref());
        made.flat_map(StageMade::handles).collect()
    }

    /// Gives all results up.
    pub fn close(self) {
        drop(self);
    }

    fn give_up(&mut self, stage: usize) {
        let Some(made) = self.stages[stage].take().filter(|it| !it.results.is_empty()) else {
            return;
        };
        let relay = self.relay.clone();
        tokio::task::spawn_local(async move {
            let StageMade { shard, by, results } = made;
            // Endpoints are told by the gatherer, who counts their room, or else
            // from here.
            let told = by != relay.peer && relay.links.free(by, &shard, &results).await;
            if !told {
                relay.gatherers.free(&shard, results);
            }
        });
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.give_up(stage);
        }
    }
}

/// Runs all stages of a request with a body of `size` bytes.
///
/// # Errors
/// A stage has no result, so the request can't run.
pub async fn run(
    relay: &Rc<Relay>,
    ask: &RelayRequest,
    size: usize,
) -> Result<Results, PieceError> {
    let run_time = relay.expected_run_time(&ask.pool, size);
    let route = &ask.route;
    let mut results = Results {
        relay: relay.clone(),
        stages: route.stages.iter().map(|_| None).collect(),
        last: route.last_stages().collect(),
    };
    let plan = Plan::new(&route.stages, times(relay, ask));
    let mut progress = vec![Progress::Waiting; route.stages.len()];
    let mut running = JoinSet::new();
    loop {
        for stage in plan.due(&progress) {
            progress[stage] = Progress::Running;
            let job = Job::new(relay, ask, &results, stage, plan.tail(stage) + run_time);
            let relay = relay.clone();
            running.spawn_local(async move { (stage, job.run(relay).await) });
        }
        let Some(ended) = running.join_next().await else {
            return Ok(results);
        };
        let (stage, made) = ended.expect("a stage's task neither panics nor is aborted here");
        results.stages[stage] = Some(made?);
        progress[stage] = Progress::Done;
        give_up_consumed(ask, &mut results);
    }
}

/// The expected time of each stage: its place in the queue and one call, which
/// others' pieces fill.
fn times(relay: &Relay, ask: &RelayRequest) -> Vec<Millis> {
    let view = relay.view();
    let time = |stage: usize| {
        let pool = &ask.route.stages[stage].pool;
        let terms = view.catalog().services.get(pool).and_then(|it| it.batch);
        let count = ask.piece_counts[stage];
        let first = relay.shards(pool, ask).into_iter().next();
        let wait = first.map_or(Millis(0), |it| relay.expected_wait(&it, ask.priority));
        terms.filter(|_| count > 0).map_or(Millis(0), |it| wait + it.full())
    };
    (0..ask.route.stages.len()).map(time).collect()
}

/// What the pieces of a stage read and make, in all.
fn moved(ask: &RelayRequest, stage: usize) -> Bytes {
    let stages = &ask.route.stages;
    let made = |it: usize| u64::from(ask.piece_counts[it]) * stages[it].size.0;
    let read: u64 = stages[stage].after.iter().map(|it| made(*it)).sum();
    Bytes(made(stage) + read)
}

/// Gives up the results that only stages which are done needed.
fn give_up_consumed(ask: &RelayRequest, results: &mut Results) {
    let stages = &ask.route.stages;
    for stage in 0..stages.len() {
        let mut followers = (0..stages.len()).filter(|it| stages[*it].after.contains(&stage));
        let needed =
            results.last.contains(&stage) || followers.any(|it| results.stages[it].is_none());
        let made = results.stages[stage].as_mut().filter(|_| !needed);
        if let Some(made) = made {
            let rest = StageMade { shard: made.shard.clone(), by: made.by, results: Vec::new() };
            results.give_up(stage);
            results.stages[stage] = Some(rest);
        }
    }
}

/// One stage of one request.
struct Job {
    ask: GatherAsk,
    target: Instant,
    due: Instant,
    /// Whom to ask for which shard, in order.
    asks: Vec<(Shard, SocketAddr)>,
}

impl Job {
    fn new(
        relay: &Relay,
        ask: &RelayRequest,
        results: &Results,
        stage: usize,
        tail: Millis,
    ) -> Self {
        let view = relay.view();
        let row = &ask.route.stages[stage];
        let made = row.after.iter().filter_map(|it| results.stages[*it].as_ref());
        let input = match row.after.is_empty() {
            true => PieceInput::Source(ask.source.clone()),
            false => PieceInput::Results(made.flat_map(StageMade::handles).collect()),
        };
        let tail = Duration::from_millis(tail.0);
        let shards = relay.shards(&row.pool, ask);
        let holders = |shard: &Shard| {
            let holders = view.holders(shard);
            let near = holders.iter().take(MOST_HOLDERS).map(|it| (shard.clone(), *it));
            near.collect::<Vec<_>>()
        };
        let mut asks: Vec<_> = shards.iter().take(MOST_SHARDS).flat_map(holders).collect();
        asks.sort_by_key(|(_, it)| relay.links.is_avoided(*it));
        let whole = Shard { pool: row.pool.clone(), domain: None };
        let gather = GatherAsk {
            id: rand::random(),
            shard: shards.first().cloned().unwrap_or(whole),
            request: ask.id.clone(),
            stage,
            count: ask.piece_counts[stage],
            input,
            priority: ask.priority,
            size: row.size,
            moved: moved(ask, stage),
            home: ask.home.clone(),
            target: Millis(0),
            due: Millis(0),
        };
        Self {
            ask: gather,
            target: ask.target.checked_sub(tail + MARGIN).unwrap_or(ask.received),
            due: ask.deadline.checked_sub(tail).unwrap_or(ask.received),
            asks,
        }
    }

    async fn run(self, relay: Rc<Relay>) -> Result<StageMade, PieceError> {
        let began = Instant::now();
        let (mut shard, mut by) = (self.ask.shard.clone(), relay.peer);
        if self.ask.count == 0 {
            return Ok(StageMade { shard, by, results: Vec::new() });
        }
        let mut answer = Err(PieceError::Unreachable);
        let mut down: Option<&Shard> = None;
        for (asked, holder) in self.asks.iter().take(MOST_ASKS) {
            if down == Some(asked) {
                continue;
            }
            (shard, by) = (asked.clone(), *holder);
            let reply = self.ask_holder(&relay, &shard, by).await;
            relay.record_wait(&shard, self.ask.priority, reply.wait);
            answer = reply.answer;
            match answer {
                Err(PieceError::Unreachable) => {}
                Err(PieceError::Down) => {
                    relay.record_down(&shard);
                    down = Some(asked);
                }
                _ => break,
            }
        }
        let outcome = answer.as_ref().map_or_else(ToString::to_string, |_| "done".to_owned());
        log::info!(
            request = self.ask.request.as_str(), stage = self.ask.stage, pool:% = shard.pool,
            shard:% = shard,
            pieces = self.ask.count, gathered_by:% = by, outcome = outcome.as_str(),
            took_ms = began.elapsed().as_millis() as u64;
            "[relay] stage ended"
        );
        answer.map(|results| StageMade { shard, by, results })
    }

    async fn ask_holder(
        &self,
        relay: &Rc<Relay>,
        shard: &Shard,
        holder: SocketAddr,
    ) -> GatherReply {
        let now = Instant::now();
        let left = |until: Instant| Millis(until.saturating_duration_since(now).as_millis() as u64);
        let (target, due) = (left(self.target), left(self.due));
        let ask = GatherAsk { shard: shard.clone(), target, due, ..self.ask.clone() };
        match holder == relay.peer {
            true => relay.gatherers.ask(ask).await,
            false => relay.links.ask(holder, ask).await,
        }
    }
}
