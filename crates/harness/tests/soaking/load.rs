//! Callers and operators that send requests throughout the soak, and the traces that
//! they record.

use {
    crate::fixture::new_request,
    coord::{
        control::Status,
        ids::Version,
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
        wire::{CallerRequest, ChangeRequest},
    },
    harness::{Addrs, Caller, CallerResult, Operator, new_change},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// The deadline of each request.
pub const DEADLINE: Duration = Duration::from_millis(3000);
/// How often a caller retries a request that has no complete answer.
const MAX_RETRIES: usize = 3;
/// The pause between two requests of one caller.
const REQUEST_GAP: Duration = Duration::from_millis(10);
/// The number of pools that changes write in rotation.
const POOL_NAMES: usize = 20;

/// One attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// The index of the instance.
    pub instance: usize,
    pub began: Instant,
    pub elapsed: Duration,
    pub result: CallerResult,
}

/// A request and all its attempts, of which there is at least one.
#[derive(Debug)]
pub struct RequestTrace {
    pub input: String,
    pub attempts: Vec<Attempt>,
}

/// The accepted changes and stale reads of one operator.
#[derive(Debug, Default)]
pub struct OperatorTrace {
    pub accepted: Vec<(ChangeRequest, Version)>,
    /// Descriptions of reads that returned an older version than that of the latest
    /// accepted change.
    pub stale_reads: Vec<String>,
}

/// The traces of all callers and operators.
#[derive(Debug, Default)]
pub struct Traces {
    pub models: Vec<RequestTrace>,
    pub deposits: Vec<RequestTrace>,
    pub operators: Vec<OperatorTrace>,
}

/// Sends requests on one route until `stop` is set.
pub fn run_caller(route: &str, addrs: &[Addrs], seed: u64, stop: &AtomicBool) -> Vec<RequestTrace> {
    let mut rng = StdRng::seed_from_u64(seed);
    let callers: Vec<Caller> = addrs.iter().map(|it| Caller::new(it.caller)).collect();
    let mut traces = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let request = CallerRequest {
            deadline_ms: DEADLINE.as_millis() as u64,
            ..new_request(route, &format!("{seed}-{}#{seed}.{}", traces.len(), traces.len()))
        };
        traces.push(send_with_retries(&request, &callers, &mut rng));
        thread::sleep(REQUEST_GAP);
    }
    traces
}

fn send_with_retries(
    request: &CallerRequest,
    callers: &[Caller],
    rng: &mut StdRng,
) -> RequestTrace {
    let mut trace = RequestTrace { input: request.input.clone(), attempts: Vec::new() };
    for _ in 0..=MAX_RETRIES {
        let instance = rng.random_range(0..callers.len());
        let began = Instant::now();
        let result = callers[instance].send(request);
        let (elapsed, delay) = (began.elapsed(), retry_delay(&result));
        trace.attempts.push(Attempt { instance, began, elapsed, result });
        match delay {
            Some(delay) => thread::sleep(delay),
            None => break,
        }
    }
    trace
}

/// The delay before a retry, or `None` after a complete answer.
fn retry_delay(result: &CallerResult) -> Option<Duration> {
    match result {
        CallerResult::Complete(_) => None,
        CallerResult::Failed(it) => {
            Some(Duration::from_millis(it.retry_after_ms.unwrap_or(100).min(500)))
        }
        CallerResult::Broken(_) => Some(Duration::from_millis(100)),
    }
}

/// Changes and reads the tables through random instances until `stop` is set.
pub fn run_operator(addrs: &[Addrs], seed: u64, stop: &AtomicBool) -> OperatorTrace {
    let mut rng = StdRng::seed_from_u64(seed);
    let operators: Vec<Operator> = addrs.iter().map(|it| Operator::new(it.operator)).collect();
    let mut trace = OperatorTrace::default();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let operator = &operators[rng.random_range(0..operators.len())];
        let name = format!("mark{}", count % POOL_NAMES).parse().expect("a valid name");
        let change = new_change(None, vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })]);
        if let Ok(ChangeOutcome::Accepted { version }) = operator.change(&change) {
            trace.accepted.push((change, version));
        }
        let newest = trace.accepted.last().map(|it| it.1);
        let instance = rng.random_range(0..operators.len());
        if let (Ok(view), Some(newest)) = (operators[instance].tables(), newest)
            && view.version < newest
        {
            trace
                .stale_reads
                .push(format!("instance {instance} read {} after {newest}", view.version));
        }
        count += 1;
        thread::sleep(REQUEST_GAP * 5);
    }
    trace
}

/// Whether at least `instances` members hold a lease, `voters` of them with a vote.
pub fn is_healthy(status: &Status, instances: usize, voters: usize) -> bool {
    let live = status.members.iter().filter(|it| it.lease);
    let voting = live.clone().filter(|it| it.vote == "voter");
    live.count() >= instances && voting.count() >= voters
}
