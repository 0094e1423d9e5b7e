//! Finds the part of prompts under which endpoints crash.
//!
//! A part that crashes each endpoint which begins to answer it is in some request of each
//! of these crashes, and in no request whose answer had its first bytes. Other parts are
//! answered again and again meanwhile.

use {
    crate::{
        ids::{EndpointName, Generation, PoolName, PromptPart},
        tables::PartKey,
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// How long crashes count.
const WINDOW: Millis = Millis(120_000);
/// Crashes closer together than this count as one: a rack or a domain that fails takes
/// many endpoints at the same moment, with whatever they run.
const MOMENT_GAP: Millis = Millis(200);
/// The number of moments at which endpoints crashed under a part before it is withheld. A
/// rarely used part may be hit twice or three times by crashes of other causes.
const MIN_MOMENTS: usize = 4;
/// How long after the latest of these moments answers to the part are waited for: instances
/// learn of suspects and report answers within two renewals.
const SETTLE_TIME: Millis = Millis(1000);
/// The maximum number of crashes that are remembered, and of requests of one of them.
const MAX_CRASHES: usize = 64;
const MAX_REQUESTS: usize = 64;
/// The maximum number of suspects that instances are told.
const MAX_SUSPECTS: usize = 32;
/// How often the suspects are worked out anew while there are crashes to look at.
const REFRESH_INTERVAL: Millis = Millis(100);

/// A request that ended at an endpoint's crash, without a byte of its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub pool: PoolName,
    /// The shared parts of its prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Whether the endpoint had begun to answer: the head had arrived.
    pub began: bool,
}

#[derive(Debug)]
struct Crash {
    at: Time,
    endpoint: EndpointName,
    generation: Generation,
    pool: PoolName,
    requests: Vec<(Vec<PromptPart>, bool)>,
}

impl Crash {
    /// The requests that may have caused it: those whose answer had begun, if there are
    /// any.
    fn candidates(&self) -> impl Iterator<Item = &Vec<PromptPart>> {
        let any_began = self.requests.iter().any(|(_, began)| *began);
        self.requests.iter().filter(move |(_, began)| *began || !any_began).map(|(parts, _)| parts)
    }

    /// Whether one of its requests has a part that is withheld already.
    fn is_explained(&self, withheld: &IndexSet<PartKey>) -> bool {
        let is_withheld =
            |part: &PromptPart| withheld.iter().any(|it| it.part == *part && it.pool == self.pool);
        self.requests.iter().any(|(parts, _)| parts.iter().any(is_withheld))
    }
}

/// The moments of the crashes under one part.
#[derive(Debug, Default)]
struct Suspicion {
    moments: Vec<Time>,
    /// The greatest position of the part in a prompt. Later parts are shared by fewer
    /// requests.
    position: usize,
}

/// The crashes that instances have reported, and the answers that clear parts.
#[derive(Debug, Default)]
pub struct PartEvidence {
    crashes: VecDeque<Crash>,
    /// When an answer to a suspect was last reported.
    answered: IndexMap<PartKey, Time>,
    /// When an answer of each pool was last reported.
    pool_answered: IndexMap<PoolName, Time>,
    /// The parts that crashes speak against, as of `refreshed_at`; those with the most
    /// moments come first. No other is withheld, since instances don't report answers to it.
    suspicions: IndexMap<PartKey, Suspicion>,
    refreshed_at: Time,
}

impl PartEvidence {
    /// Records a crash, or another request of a known one.
    pub fn record_crash(&mut self, now: Time, report: &CrashReport) {
        if report.parts.is_empty() {
            return;
        }
        let request = (report.parts.clone(), report.began);
        let known = self
            .crashes
            .iter_mut()
            .find(|it| it.endpoint == report.endpoint && it.generation == report.generation);
        if let Some(crash) = known {
            if crash.requests.len() < MAX_REQUESTS {
                crash.requests.push(request);
            }
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            at: now,
            endpoint: report.endpoint.clone(),
            generation: report.generation,
            pool: report.pool.clone(),
            requests: vec![request],
        });
    }

    /// Records that an endpoint has begun to answer a request with a part and goes on.
    pub fn record_answer(&mut self, now: Time, key: &PartKey) {
        if self.crashes.iter().any(|it| it.pool == key.pool) {
            self.pool_answered.insert(key.pool.clone(), now);
            if self.is_in_crash(key) {
                self.answered.insert(key.clone(), now);
            }
        }
    }

    fn is_in_crash(&self, key: &PartKey) -> bool {
        let mut crashes = self.crashes.iter().filter(|it| it.pool == key.pool);
        crashes.any(|it| it.requests.iter().any(|(parts, _)| parts.contains(&key.part)))
    }

    /// Returns the parts under which endpoints have crashed and that weren't answered
    /// since.
    pub fn suspects(&self) -> Vec<PartKey> {
        self.suspicions.keys().cloned().collect()
    }

    /// Returns the part to withhold now, if there is one. None is while its pool answers
    /// nothing: then the parts of prompts aren't what it fails for.
    pub fn part_to_withhold(&self, now: Time) -> Option<PartKey> {
        let is_due = |(key, it): &(&PartKey, &Suspicion)| {
            let decisive = it.moments.get(MIN_MOMENTS - 1);
            let answers = self.pool_answered.get(&key.pool) > it.moments.first();
            answers && decisive.is_some_and(|at| now.since(*at) >= SETTLE_TIME)
        };
        let due = self.suspicions.iter().filter(is_due);
        due.max_by_key(|(_, it)| (it.moments.len(), it.position)).map(|(key, _)| key.clone())
    }

    /// Drops what no longer counts, and works out the suspects. `withheld` are the parts
    /// that are withheld already; crashes that they explain count against no other.
    pub fn tick(&mut self, now: Time, withheld: &IndexSet<PartKey>) {
        let is_idle = self.crashes.is_empty() && self.suspicions.is_empty();
        if is_idle || now.since(self.refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        while self.crashes.front().is_some_and(|it| now.since(it.at) > WINDOW) {
            self.crashes.pop_front();
        }
        self.answered.retain(|_, at| now.since(*at) <= WINDOW);
        self.pool_answered.retain(|_, at| now.since(*at) <= WINDOW);
        self.suspicions = self.find_suspicions(withheld);
    }

    fn find_suspicions(&self, withheld: &IndexSet<PartKey>) -> IndexMap<PartKey, Suspicion> {
        let mut rows: IndexMap<PartKey, Suspicion> = IndexMap::new();
        for crash in self.crashes.iter().filter(|it| !it.is_explained(withheld)) {
            for parts in crash.candidates() {
                for (position, part) in parts.iter().enumerate() {
                    let key = PartKey { pool: crash.pool.clone(), part: part.clone() };
                    if self.answered.get(&key).is_some_and(|it| *it >= crash.at) {
                        continue;
                    }
                    let row = rows.entry(key).or_default();
                    row.position = row.position.max(position);
                    let last = row.moments.last();
                    if last.is_none_or(|it| crash.at.since(*it) >= MOMENT_GAP) {
                        row.moments.push(crash.at);
                    }
                }
            }
        }
        rows.sort_by(|_, a, _, b| b.moments.len().cmp(&a.moments.len()));
        rows.truncate(MAX_SUSPECTS);
        rows
    }
}
