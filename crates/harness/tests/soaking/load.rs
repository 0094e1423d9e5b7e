//! Callers and operators that never stop, and what they saw.

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

/// How long callers wait.
pub const DEADLINE: Duration = Duration::from_millis(3000);
/// How often a caller resends what doesn't end whole.
const MAX_RETRIES: usize = 3;
/// The calm between two requests of one caller.
const REQUEST_GAP: Duration = Duration::from_millis(10);
/// Pools that changes write in turn.
const POOL_NAMES: usize = 20;

/// One sending of a request.
#[derive(Debug)]
pub struct Attempt {
    /// The instance's place in the list.
    pub instance: usize,
    pub began: Instant,
    pub elapsed: Duration,
    pub result: CallerResult,
}

/// One request with all its sendings.
#[derive(Debug)]
pub struct RequestTrace {
    pub input: String,
    pub attempts: Vec<Attempt>,
}

/// What one operator saw.
#[derive(Debug, Default)]
pub struct OperatorTrace {
    pub accepted: Vec<(ChangeRequest, Version)>,
    /// Reads that were older than a change accepted before them.
    pub stale_reads: Vec<String>,
}

/// What all saw.
#[derive(Debug, Default)]
pub struct Traces {
    pub models: Vec<RequestTrace>,
    pub deposits: Vec<RequestTrace>,
    pub operators: Vec<OperatorTrace>,
}

/// Asks one route again and again until told to end.
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

/// How long to wait before a resend; none after a whole answer.
fn retry_delay(result: &CallerResult) -> Option<Duration> {
    match result {
        CallerResult::Complete(_) => None,
        CallerResult::Failed(it) => {
            Some(Duration::from_millis(it.retry_after_ms.unwrap_or(100).min(500)))
        }
        CallerResult::Broken(_) => Some(Duration::from_millis(100)),
    }
}

/// Changes the tables and reads them at any instance until told to end.
pub fn run_operator(addrs: &[Addrs], seed: u64, stop: &AtomicBool) -> OperatorTrace {
    let mut rng = StdRng::seed_from_u64(seed);
    let operators: Vec<Operator> = addrs.iter().map(|it| Operator::new(it.operator)).collect();
    let mut trace = OperatorTrace::default();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let operator = &operators[rng.random_range(0..operators.len())];
        let name = format!("mark{}", count % POOL_NAMES).parse().expect("a name");
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

/// Whether so many instances hold a lease and so many of them vote.
pub fn is_healthy(status: &Status, instances: usize, voters: usize) -> bool {
    let live = status.members.iter().filter(|it| it.lease);
    let voting = live.clone().filter(|it| it.vote == "voter");
    live.count() >= instances && voting.count() >= voters
}
