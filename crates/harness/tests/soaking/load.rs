//! Callers and operators that never stop, and what they saw.

use {
    crate::fixture::ask,
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
const RESENDS: usize = 3;
/// The calm between two requests of one caller.
const BETWEEN: Duration = Duration::from_millis(10);
/// Pools that changes write in turn.
const MARKS: usize = 20;

/// One sending of a request.
#[derive(Debug)]
pub struct Sent {
    /// The instance's place in the list.
    pub to: usize,
    pub at: Instant,
    pub took: Duration,
    pub answer: CallerResult,
}

/// One request with all its sendings.
#[derive(Debug)]
pub struct Asked {
    pub input: String,
    pub sent: Vec<Sent>,
}

/// What one operator saw.
#[derive(Debug, Default)]
pub struct Operated {
    pub accepted: Vec<(ChangeRequest, Version)>,
    /// Reads that were older than a change accepted before them.
    pub stale: Vec<String>,
}

/// What all saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub models: Vec<Asked>,
    pub deposits: Vec<Asked>,
    pub operated: Vec<Operated>,
}

/// Asks one route again and again until told to end.
pub fn ask_on(route: &str, addrs: &[Addrs], seed: u64, ends: &AtomicBool) -> Vec<Asked> {
    let mut rng = StdRng::seed_from_u64(seed);
    let callers: Vec<Caller> = addrs.iter().map(|it| Caller::new(it.caller)).collect();
    let mut asked = Vec::new();
    while !ends.load(Ordering::Relaxed) {
        let request = CallerRequest {
            deadline_ms: DEADLINE.as_millis() as u64,
            ..ask(route, &format!("{seed}-{}#{seed}.{}", asked.len(), asked.len()))
        };
        asked.push(ask_until_whole(&request, &callers, &mut rng));
        thread::sleep(BETWEEN);
    }
    asked
}

fn ask_until_whole(request: &CallerRequest, callers: &[Caller], rng: &mut StdRng) -> Asked {
    let mut asked = Asked { input: request.input.clone(), sent: Vec::new() };
    for _ in 0..=RESENDS {
        let to = rng.random_range(0..callers.len());
        let at = Instant::now();
        let answer = callers[to].send(request);
        let (took, wait) = (at.elapsed(), pause_after(&answer));
        asked.sent.push(Sent { to, at, took, answer });
        match wait {
            Some(wait) => thread::sleep(wait),
            None => break,
        }
    }
    asked
}

/// How long to wait before a resend; none after a whole answer.
fn pause_after(answer: &CallerResult) -> Option<Duration> {
    match answer {
        CallerResult::Complete(_) => None,
        CallerResult::Failed(it) => {
            Some(Duration::from_millis(it.retry_after_ms.unwrap_or(100).min(500)))
        }
        CallerResult::Broken(_) => Some(Duration::from_millis(100)),
    }
}

/// Changes the tables and reads them at any instance until told to end.
pub fn operate(addrs: &[Addrs], seed: u64, ends: &AtomicBool) -> Operated {
    let mut rng = StdRng::seed_from_u64(seed);
    let operators: Vec<Operator> = addrs.iter().map(|it| Operator::new(it.operator)).collect();
    let mut seen = Operated::default();
    let mut turn = 0;
    while !ends.load(Ordering::Relaxed) {
        let any = &operators[rng.random_range(0..operators.len())];
        let name = format!("mark{}", turn % MARKS).parse().expect("a name");
        let change = new_change(None, vec![Edit::PutPool(Pool { name, kind: PoolKind::Model })]);
        if let Ok(ChangeOutcome::Accepted { version }) = any.change(&change) {
            seen.accepted.push((change, version));
        }
        let newest = seen.accepted.last().map(|it| it.1);
        let to = rng.random_range(0..operators.len());
        if let (Ok(view), Some(newest)) = (operators[to].tables(), newest)
            && view.version < newest
        {
            seen.stale.push(format!("instance {to} read {} after {newest}", view.version));
        }
        turn += 1;
        thread::sleep(BETWEEN * 5);
    }
    seen
}

/// Whether so many instances hold a lease and so many of them vote.
pub fn is_sound(status: &Status, instances: usize, voters: usize) -> bool {
    let live = status.members.iter().filter(|it| it.lease);
    let voting = live.clone().filter(|it| it.vote == "voter");
    live.count() >= instances && voting.count() >= voters
}
