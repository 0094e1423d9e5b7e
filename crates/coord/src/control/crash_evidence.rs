//! Finds the requests, or the part of prompts, under which endpoints crash.
//!
//! What crashes each endpoint that begins to run it is in some request of each of these
//! crashes, and in no request that is answered. Everything else is answered again and
//! again meanwhile. Parts of prompts and whole requests are suspects alike; they differ in
//! what makes crashes independent of each other, and in how many are needed.

use {
    super::{
        CrashReport, SuspectFigures, Wait,
        crash::{Crash, SETTLE_TIME},
    },
    crate::{
        ids::{EndpointName, Generation, PoolName},
        tables::{Suspect, SuspectKey},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    std::collections::VecDeque,
};

/// How long crashes count.
pub const CRASH_WINDOW: Millis = Millis(120_000);
/// Crashes closer together than this count once against a part of prompts: a rack or a
/// domain that fails takes many endpoints at the same moment, with whatever they run.
const MOMENT_GAP: Millis = Millis(200);
/// The least time between two crashes that count against a part if the request at the
/// later one was sent after the earlier one.
const RESEND_GAP: Millis = Millis(50);
/// The number of moments at which endpoints crashed under a part before it is withheld. A
/// rarely used part may be hit twice or three times by crashes of other causes.
const MIN_PART_CRASHES: usize = 4;
/// The same, with moments at which others were more likely the cause, as their answers had
/// begun.
const MIN_PART_PRESENT: usize = 5;
/// The number of endpoints that crashed one after the other under a request before it is
/// withheld.
const MIN_REQUEST_CRASHES: usize = 3;
/// The least time from the first to the last of them. In less, the retries of one request
/// may meet endpoints that crash for other reasons.
const MIN_REQUEST_SPAN: Millis = Millis(100);
/// With as many, a request is on trial.
const TRIAL_CRASHES: usize = 2;
/// How long after the last crash under it a request is on trial.
const TRIAL_LIFETIME: Millis = Millis(30_000);
/// With as many, a request is withheld although another was at all the same crashes.
const MIN_TIED_CRASHES: usize = 5;
/// The least time from the first crash that counts against a part until it is withheld, so
/// that instances have learned that it is suspected and have reported answers, however
/// fast the crashes follow each other.
const MIN_PART_TIME: Millis = Millis(SETTLE_TIME.0 + 3 * MOMENT_GAP.0);
/// By how much a request may seem to have been sent before an earlier crash and still
/// count as sent after it: the times are those of different instances.
const ORDER_TOLERANCE: Millis = Millis(20);
/// The maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// The maximum number of suspects that instances are told.
const MAX_SUSPECTS: usize = 32;
/// How often the suspects are worked out anew without news, and with.
const REFRESH_INTERVAL: Millis = Millis(1000);
const MIN_REFRESH_INTERVAL: Millis = Millis(100);

/// Crashes that count against a suspect, by time.
#[derive(Debug, Default)]
struct Moments {
    at: Vec<Time>,
    /// Since when what speaks against counting each of them would have been reported.
    settled_at: Vec<Time>,
}

impl Moments {
    fn push(&mut self, crash: &Crash) {
        self.at.push(crash.at);
        self.settled_at.push(crash.settled_at());
    }

    /// Counts a crash against a part of a request if it is independent of the last one.
    fn push_apart(&mut self, crash: &Crash, sent: Time) {
        let is_apart = |last: &Time| {
            let gap = crash.at.since(*last);
            gap >= MOMENT_GAP || gap >= RESEND_GAP && sent >= *last
        };
        if self.at.last().is_none_or(is_apart) {
            self.push(crash);
        }
    }

    /// Since when `count` of them are settled; `None` if there are fewer.
    fn settled(&self, count: usize) -> Option<Time> {
        self.settled_at.get(..count)?.iter().max().copied()
    }
}

/// The crashes that speak against one suspect.
#[derive(Debug, Default)]
struct Suspicion {
    /// Those of which it is the most likely cause.
    likely: Moments,
    /// Those, and of a part all moments at which it was in some request of a crash.
    all: Moments,
    /// The positions of the crashes that count against a request.
    counted: Vec<usize>,
    /// The positions of all crashes that it was at.
    present: Vec<usize>,
    /// The greatest position among the suspects of a request. Later ones are shared by
    /// fewer requests.
    position: usize,
    /// The first request with it, and whether there are others.
    source: Option<Suspect>,
    is_shared: bool,
    /// Whether it was at each crash of its pool since the first that counts.
    explains_all: bool,
}

/// The crashes that instances have reported, and the answers that clear suspects.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// By time.
    crashes: VecDeque<Crash>,
    /// When an answer to a suspect was last reported.
    answered: IndexMap<SuspectKey, Time>,
    /// When an answer of each pool was last reported.
    pool_answered: IndexMap<PoolName, Time>,
    /// What the crashes speak against, as of `refreshed_at`; those with the most crashes
    /// come first. Nothing else is withheld, since instances don't report answers to it.
    suspicions: IndexMap<SuspectKey, Suspicion>,
    refreshed_at: Time,
    has_news: bool,
    /// Increases whenever the suspects change.
    revision: u64,
}

impl CrashEvidence {
    /// Records a crash, or another request of a known one.
    pub fn record_crash(&mut self, now: Time, report: &CrashReport) {
        if report.suspects.is_empty() {
            return;
        }
        self.has_news = true;
        let mut new = Crash::new(now, report);
        let request = &new.requests[0];
        let known = self.crashes.iter_mut().rev().find(|it| it.is_same(&new, request));
        if let Some(known) = known {
            new.requests.drain(..).for_each(|it| known.add_report(report.presumed, it));
            return;
        }
        let place = self.crashes.partition_point(|it| it.at <= new.at);
        self.crashes.insert(place, new);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Records that an endpoint has announced one of its starts.
    pub fn record_announcement(&mut self, now: Time, name: &EndpointName, generation: Generation) {
        for it in &mut self.crashes {
            self.has_news |= it.note_announced(now, name, generation);
        }
    }

    /// Records that a request with a suspect is answered.
    pub fn record_answer(&mut self, now: Time, key: &SuspectKey) {
        self.record_pool_answer(now, &key.pool);
        let mut crashes = self.crashes.iter().filter(|it| it.pool == key.pool);
        if crashes.any(|it| it.contains(&key.suspect)) {
            self.answered.insert(key.clone(), now);
            self.has_news = true;
        }
    }

    /// Records that a pool with suspects answers a request.
    pub fn record_pool_answer(&mut self, now: Time, pool: &PoolName) {
        if self.crashes.iter().any(|it| it.pool == *pool) {
            self.pool_answered.insert(pool.clone(), now);
        }
    }

    /// Returns what endpoints have crashed under and what wasn't answered since.
    pub fn suspects(&self) -> Vec<SuspectKey> {
        self.suspicions.keys().cloned().collect()
    }

    /// Returns the requests that only one instance may send, one at a time, since another
    /// crash would decide. A trial ends with time, as that instance may be gone.
    pub fn trials(&self) -> Vec<SuspectKey> {
        let is_recent = |at: &Time| self.refreshed_at.since(*at) < TRIAL_LIFETIME;
        let is_trial = |(key, it): &(&SuspectKey, &Suspicion)| {
            key.suspect.is_request()
                && it.likely.at.len() >= TRIAL_CRASHES
                && it.likely.at.last().is_some_and(is_recent)
        };
        self.suspicions.iter().filter(is_trial).map(|(key, _)| key.clone()).collect()
    }

    /// Returns a number that increases whenever the suspects or trials change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what to withhold now, if there is something: that with the most crashes, once
    /// answers to it would have been reported, and of equals what fewer requests share. A part
    /// that follows it in prompts, and is due by crashes that it was at too, goes first: fewer
    /// requests are refused for it.
    pub fn suspect_to_withhold(&self, now: Time) -> Option<SuspectKey> {
        let wait = |key: &SuspectKey, it: &Suspicion| self.waits_for(now, key, it);
        let rows = || self.suspicions.iter();
        let rank = |it: &Suspicion| (it.weight(), it.position);
        let is_outweighed = |(key, it): &(&SuspectKey, &Suspicion)| {
            rows().any(|(other, more)| {
                let waits = || wait(other, more) == Some(Wait::Reports);
                other.pool == key.pool && rank(more) > rank(it) && waits()
            })
        };
        let due = rows().filter(|(key, it)| wait(key, it).is_none());
        let (worst, most) = due.filter(|it| !is_outweighed(it)).max_by_key(|(_, it)| rank(it))?;
        let follows = |(key, it): &(&SuspectKey, &Suspicion)| {
            let is_part = !key.suspect.is_request() && !worst.suspect.is_request();
            is_part && key.pool == worst.pool && it.position > most.position && it.is_within(most)
        };
        let narrower = rows().filter(follows).filter(|(key, it)| wait(key, it).is_none());
        let narrowest = narrower.max_by_key(|(_, it)| rank(it));
        Some(narrowest.map_or(worst, |(key, _)| key).clone())
    }

    /// Returns what the evidence says of the suspects under which more than one endpoint
    /// crashed; those with the most crashes come first.
    pub fn figures(&self, now: Time) -> Vec<SuspectFigures> {
        let figures = |(key, it): (&SuspectKey, &Suspicion)| {
            Some(SuspectFigures {
                key: key.clone(),
                likely: it.likely.at.len(),
                present: it.present.len(),
                first: *it.all.at.first()?,
                waits_for: self.waits_for(now, key, it),
            })
        };
        self.suspicions.iter().filter_map(figures).filter(|it| it.present > 1).collect()
    }

    /// Returns why a suspect isn't withheld yet. None is while its pool answers nothing,
    /// unless it was at all crashes: then neither parts nor requests are what the pool fails
    /// for.
    fn waits_for(&self, now: Time, key: &SuspectKey, it: &Suspicion) -> Option<Wait> {
        let is_request = key.suspect.is_request();
        let settled = match is_request {
            true => it.likely.settled(MIN_REQUEST_CRASHES),
            false => {
                let decisive =
                    [it.likely.settled(MIN_PART_CRASHES), it.all.settled(MIN_PART_PRESENT)];
                decisive.into_iter().flatten().min()
            }
        };
        let (Some(settled), Some(&first)) = (settled, it.all.at.first()) else {
            return Some(Wait::Crashes);
        };
        let is_settled = now >= settled && (is_request || now.since(first) >= MIN_PART_TIME);
        let answers = self.pool_answered.get(&key.pool).is_some_and(|at| *at > first);
        let span = it.likely.at.last().map_or(Millis(0), |last| last.since(first));
        match is_request {
            true if span < MIN_REQUEST_SPAN => Some(Wait::Crashes),
            true if self.is_tied(key, it) => Some(Wait::Distinction),
            false if !it.is_shared => Some(Wait::Distinction),
            _ if !is_settled => Some(Wait::Reports),
            true if !answers && !it.explains_all => Some(Wait::PoolAnswers),
            false if !answers => Some(Wait::PoolAnswers),
            _ => None,
        }
    }

    /// Whether another request was at all the crashes that count, so that the next has to
    /// tell.
    fn is_tied(&self, key: &SuspectKey, suspicion: &Suspicion) -> bool {
        let mut others = self.suspicions.iter().filter(|(other, _)| {
            other.pool == key.pool && other.suspect.is_request() && *other != key
        });
        let explains = |it: &Suspicion| suspicion.counted.iter().all(|at| it.present.contains(at));
        suspicion.likely.at.len() < MIN_TIED_CRASHES && others.any(|(_, it)| explains(it))
    }

    /// Drops what no longer counts, and works out the suspects. `withheld` is what is
    /// withheld already; crashes that it explains count against nothing else.
    pub fn tick(&mut self, now: Time, withheld: &IndexSet<SuspectKey>) {
        let gap = if self.has_news { MIN_REFRESH_INTERVAL } else { REFRESH_INTERVAL };
        let is_idle = self.crashes.is_empty() && self.suspicions.is_empty();
        if is_idle || now.since(self.refreshed_at) < gap {
            return;
        }
        let trials = self.trials();
        self.refreshed_at = now;
        self.has_news = false;
        while self.crashes.front().is_some_and(|it| now.since(it.at) > CRASH_WINDOW) {
            self.crashes.pop_front();
        }
        self.answered.retain(|_, at| now.since(*at) <= CRASH_WINDOW);
        self.pool_answered.retain(|_, at| now.since(*at) <= CRASH_WINDOW);
        let found = self.find_suspicions(withheld);
        let known = std::mem::replace(&mut self.suspicions, found);
        let is_same = known.len() == self.suspicions.len()
            && known.keys().all(|it| self.suspicions.contains_key(it))
            && trials == self.trials();
        self.revision += u64::from(!is_same);
    }

    fn find_suspicions(&self, withheld: &IndexSet<SuspectKey>) -> IndexMap<SuspectKey, Suspicion> {
        let mut rows: IndexMap<SuspectKey, Suspicion> = IndexMap::new();
        let crashes = self.crashes.iter().enumerate().filter(|(_, it)| !it.is_refuted());
        for (position, crash) in crashes {
            let known: Vec<&Suspect> = withheld
                .iter()
                .filter(|it| it.pool == crash.pool && crash.contains(&it.suspect))
                .map(|it| &it.suspect)
                .collect();
            if known.is_empty() {
                self.add_requests(&mut rows, position, crash);
            }
            if !known.iter().any(|it| !it.is_request()) {
                self.add_parts(&mut rows, position, crash, &known);
            }
        }
        rows.sort_by(|_, a, _, b| b.weight().cmp(&a.weight()));
        rows.truncate(MAX_SUSPECTS);
        for (key, row) in rows.iter_mut().filter(|(key, _)| key.suspect.is_request()) {
            let mut later = self
                .crashes
                .iter()
                .filter(|it| it.pool == key.pool && it.at >= row.likely.at[0] && !it.is_refuted());
            row.explains_all = later.all(|it| it.contains(&key.suspect));
        }
        rows
    }

    /// Counts a crash against the requests that were sent to the endpoint after the last
    /// crash that counts against them. What fails at the same moment as others thus counts
    /// once, and each retry of a request by itself.
    fn add_requests(
        &self,
        rows: &mut IndexMap<SuspectKey, Suspicion>,
        position: usize,
        crash: &Crash,
    ) {
        for (lost, suspect) in crash.requests.iter().filter_map(|it| Some((it, it.request()?))) {
            let key = SuspectKey { pool: crash.pool.clone(), suspect: suspect.clone() };
            if self.is_cleared(&key, crash) {
                continue;
            }
            let row = rows.entry(key).or_default();
            row.position = lost.suspects.len();
            row.note_present(position);
            let last = row.likely.at.last();
            if last.is_none_or(|it| crash.at > *it && lost.sent + ORDER_TOLERANCE >= *it) {
                row.likely.push(crash);
                row.all.push(crash);
                row.counted.push(position);
            }
        }
    }

    /// Counts the crash at a position against the parts of its requests. If requests that are
    /// withheld were among these, it counts against their parts only, which may be what they
    /// crash it for.
    fn add_parts(
        &self,
        rows: &mut IndexMap<SuspectKey, Suspicion>,
        at: usize,
        crash: &Crash,
        withheld: &[&Suspect],
    ) {
        for lost in &crash.requests {
            let is_known = lost.request().is_some_and(|it| withheld.contains(&it));
            if !withheld.is_empty() && !is_known {
                continue;
            }
            let parts = lost.suspects.iter().enumerate().filter(|(_, it)| !it.is_request());
            for (position, part) in parts {
                let key = SuspectKey { pool: crash.pool.clone(), suspect: part.clone() };
                if self.is_cleared(&key, crash) {
                    continue;
                }
                let row = rows.entry(key).or_default();
                row.position = row.position.max(position);
                row.add_source(lost.source.as_ref());
                row.note_present(at);
                row.all.push_apart(crash, lost.sent);
                if crash.is_likely(lost) {
                    row.likely.push_apart(crash, lost.sent);
                }
            }
        }
    }

    /// Whether a request with a suspect was answered after a crash.
    fn is_cleared(&self, key: &SuspectKey, crash: &Crash) -> bool {
        self.answered.get(key).is_some_and(|it| *it >= crash.at)
    }
}

impl Suspicion {
    /// The number of moments that it explains, and of those of which it is the most likely
    /// cause.
    fn weight(&self) -> (usize, usize) {
        (self.all.at.len(), self.likely.at.len())
    }

    fn note_present(&mut self, position: usize) {
        if self.present.last() != Some(&position) {
            self.present.push(position);
        }
    }

    /// Whether it was at no crash that another wasn't at.
    fn is_within(&self, other: &Self) -> bool {
        self.present.iter().all(|it| other.present.contains(it))
    }

    /// Notes a request that has the part.
    fn add_source(&mut self, source: Option<&Suspect>) {
        match (source, &self.source) {
            (Some(source), None) => self.source = Some(source.clone()),
            (Some(source), Some(known)) => self.is_shared |= source != known,
            (None, _) => self.is_shared = true,
        }
    }
}
