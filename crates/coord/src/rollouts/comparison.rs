//! Compares the answers of both versions, by route and at the same time.

use {
    super::{
        RolloutEvidence, RolloutFigures, RolloutReason,
        score::{Hypotheses, SUSPICIOUS, Score},
        time_buckets::TimeBuckets,
    },
    crate::{
        control::ShareHolder,
        ids::{EndpointName, RouteName},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// Answers that the leader hears of within this time count as given at the same time.
const SLICE: Millis = Millis(250);
/// How long after its end a slice is scored. Instances report answers at most 200 ms after
/// the previous report, and a lost report is in the next.
const SETTLE_TIME: Millis = Millis(500);
/// The slices around one in which the old version's answers are compared with it: a fault
/// may be shorter or longer than a slice, and the higher rate of failures counts.
const NEAR: (Millis, Millis) = (SLICE, SLICE);
const WIDE: (Millis, Millis) = (Millis(2000), Millis(500));
/// By how much more often a bad version fails than the old one.
const BAD_FAILURES: f64 = 0.1;
/// By how much more of a bad version's answers are slow. Times vary more than failures do,
/// and a version that is several times slower has most of its answers slow.
const BAD_SLOW: f64 = 0.4;
/// How many times the old version's median a slow answer takes.
const SLOW_FACTOR: f64 = 3.0;
/// The rates of failures and of slow answers that are assumed before the old version has
/// answered, and the number of answers that the assumption counts for.
const USUAL_FAILURES: f64 = 0.005;
const USUAL_SLOW: f64 = 0.05;
const USUAL_WEIGHT: f64 = 40.0;
/// The number of answers that the long-term rate of the old version counts for in a slice,
/// which may have few.
const PAST_WEIGHT: f64 = 10.0;
/// The part of the old version's past that is kept from one slice to the next, so that it
/// covers about a minute.
const PAST_DECAY: f64 = 0.996;
/// The number of times of the old version from which its median is known.
const MIN_TIMES: f64 = 3.0;
/// The bounds of assumed rates: one failure among 100 proves nothing, also if the old
/// version hasn't failed, nor does one slow answer among 20. Among too many none can be
/// told apart.
const FAILURE_RATES: (f64, f64) = (0.01, 0.5);
const SLOW_RATES: (f64, f64) = (0.05, 0.5);
/// A bad version's rate is assumed to be below this.
const MAX_BAD_RATE: f64 = 0.95;
/// The answers of the new version that a route must have before the switch, at most, and
/// the part of the old version's answers that suffices: a version that fails there for
/// half of them shows it among so few.
const ROUTE_ANSWERS: f64 = 10.0;
const ROUTE_ANSWERS_PART: f64 = 0.1;
/// A route is short of answers if it has less than this part of what a route has on
/// average.
const THIN_PART: f64 = 0.75;
/// The part of the pool's new answers below which a route has too little traffic for a
/// proof of its own.
const THIN_SHARE: f64 = 0.25;

/// Answers of one version.
#[derive(Debug, Clone, Default)]
struct Answers {
    count: f64,
    failures: f64,
    times: TimeBuckets,
}

impl Answers {
    fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.failures += other.failures;
        self.times.add_all(&other.times);
    }

    fn scale(&mut self, factor: f64) {
        self.count *= factor;
        self.failures *= factor;
        self.times.scale(factor);
    }
}

/// The answers that the leader has heard of within one slice of time.
#[derive(Debug)]
struct Slice {
    at: Time,
    old: Answers,
    new: IndexMap<EndpointName, Answers>,
    is_scored: bool,
}

/// The tests of one route, or of all routes together.
#[derive(Debug, Default)]
struct Scores {
    failures: Score,
    slow: Score,
}

#[derive(Debug, Default)]
struct RouteRow {
    slices: VecDeque<Slice>,
    /// The old version's answers before the slices; those of long ago count less.
    past: Answers,
    scores: Scores,
    old: Answers,
    new: Answers,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct CountedKey {
    holder: ShareHolder,
    route: RouteName,
    endpoint: EndpointName,
    is_new: bool,
}

/// The answers of both versions that instances have reported, and what they prove.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    /// What each instance has reported so far.
    counted: IndexMap<CountedKey, RolloutEvidence>,
    routes: IndexMap<RouteName, RouteRow>,
    pool: Scores,
    /// The answers of the new version by endpoint.
    answers: IndexMap<EndpointName, f64>,
}

impl Comparison {
    /// Takes in a row of an instance, and counts what is new in it.
    pub fn record(&mut self, now: Time, holder: ShareHolder, row: &RolloutEvidence) {
        let key = CountedKey {
            holder,
            route: row.route.clone(),
            endpoint: row.endpoint.clone(),
            is_new: row.is_new,
        };
        let known = self.counted.insert(key, row.clone());
        let added = difference(row, known.as_ref());
        let route = self.routes.entry(row.route.clone()).or_default();
        let total = if row.is_new { &mut route.new } else { &mut route.old };
        total.add(&added);
        if row.is_new {
            *self.answers.entry(row.endpoint.clone()).or_default() += added.count;
        }
        let slice = route.slice(now);
        match row.is_new {
            true => slice.new.entry(row.endpoint.clone()).or_default().add(&added),
            false => slice.old.add(&added),
        }
    }

    /// Scores what was answered long enough ago that the leader has heard of it. In the switch
    /// the old version gives no answers that it could wait for.
    pub fn tick(&mut self, now: Time, is_switch: bool) {
        let Self { routes, pool, .. } = self;
        let delay = if is_switch { Millis(0) } else { SLICE + SETTLE_TIME };
        for route in routes.values_mut() {
            route.score(now, delay, pool);
        }
    }

    /// Why the new version is bad, if that is proved. `has_one` is whether it has only one
    /// endpoint.
    pub fn find_bad(&self, has_one: bool) -> Option<RolloutReason> {
        let tests = 2 * (self.routes.len() + 1);
        let all = || self.routes.values().map(|it| &it.scores).chain([&self.pool]);
        let is_failing =
            self.pool.failures.is_excessive() || all().any(|it| it.failures.is_bad(tests, has_one));
        if is_failing {
            return Some(RolloutReason::Failures);
        }
        all().any(|it| it.slow.is_bad(tests, has_one)).then_some(RolloutReason::Slow)
    }

    /// Whether the new version is good: on the pool as a whole, and on each route that has
    /// enough of the traffic for a proof of its own.
    pub fn is_good(&self) -> bool {
        let least = THIN_SHARE * self.new_answers();
        let is_good = |it: &RouteRow| it.new.count < least || it.scores.is_good();
        self.pool.is_good() && self.is_clean() && self.routes.values().all(is_good)
    }

    /// Whether it is probably good on the pool as a whole.
    pub fn is_probably_good(&self) -> bool {
        self.pool.failures.is_probably_good() && self.is_clean()
    }

    /// Whether nothing speaks against the new version, also among the latest answers.
    pub fn is_clean(&self) -> bool {
        let waiting: f64 = self.routes.values().map(|it| it.waiting_ratio(None)).sum();
        waiting <= SUSPICIOUS && !self.is_suspicious()
    }

    /// Whether something speaks against the new version, without being a proof.
    pub fn is_suspicious(&self) -> bool {
        let mut all = self.routes.values().map(|it| &it.scores).chain([&self.pool]);
        all.any(|it| it.failures.is_suspicious() || it.slow.is_suspicious())
    }

    /// Whether much speaks against the new version, without being a proof.
    pub fn is_doubtful(&self) -> bool {
        let mut all = self.routes.values().map(|it| &it.scores).chain([&self.pool]);
        all.any(|it| it.failures.is_doubtful() || it.slow.is_doubtful())
    }

    /// Whether something speaks against the new version that isn't about one endpoint alone.
    pub fn is_spreading(&self) -> bool {
        let mut failures: IndexMap<&EndpointName, f64> = IndexMap::new();
        let slices = self.routes.values().flat_map(|it| &it.slices).filter(|it| !it.is_scored);
        for (endpoint, it) in slices.flat_map(|it| &it.new) {
            *failures.entry(endpoint).or_default() += it.failures;
        }
        let worst = failures.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|it| *it.0);
        let waiting: f64 = self.routes.values().map(|it| it.waiting_ratio(worst)).sum();
        let mut all = self.routes.values().map(|it| &it.scores).chain([&self.pool]);
        waiting > SUSPICIOUS || all.any(|it| it.failures.is_spreading() || it.slow.is_spreading())
    }

    /// The number of answers of one endpoint of the new version.
    pub fn answers_of(&self, endpoint: &EndpointName) -> f64 {
        self.answers.get(endpoint).copied().unwrap_or(0.0)
    }

    /// The endpoint that alone speaks against the new version.
    pub fn outlier(&self) -> Option<&EndpointName> {
        let mut all = self.routes.values().map(|it| &it.scores).chain([&self.pool]);
        all.find_map(|it| it.failures.outlier().or(it.slow.outlier()))
    }

    /// The routes that lack a proof while others have one.
    pub fn thin_routes(&self) -> Vec<RouteName> {
        let (good, thin): (Vec<_>, Vec<_>) =
            self.routes.iter().partition(|(_, it)| it.scores.is_good());
        if good.is_empty() {
            return self.least_answered();
        }
        thin.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Whether each route has some answers of the new version, as far as its traffic allows.
    pub fn covers_routes(&self) -> bool {
        let least = |it: &RouteRow| ROUTE_ANSWERS.min(it.old.count * ROUTE_ANSWERS_PART).floor();
        self.routes.values().all(|it| it.new.count >= least(it))
    }

    /// The answers of the new version in the last seconds.
    pub fn recent_answers(&self) -> f64 {
        let slices = self.routes.values().flat_map(|it| &it.slices);
        slices.flat_map(|it| it.new.values()).map(|it| it.count).sum()
    }

    /// Whether the leader has heard of an answer of the new version since then.
    pub fn has_answers_since(&self, since: Time) -> bool {
        let slices = self.routes.values().flat_map(|it| &it.slices);
        let mut recent = slices.filter(|it| it.at >= since).flat_map(|it| it.new.values());
        recent.any(|it| it.count > 0.0)
    }

    /// The routes with fewer answers than others.
    fn least_answered(&self) -> Vec<RouteName> {
        let mean = self.new_answers() / self.routes.len().max(1) as f64;
        let few = self.routes.iter().filter(|(_, it)| it.new.count < mean * THIN_PART);
        few.map(|(name, _)| name.clone()).collect()
    }

    /// The number of answers of the new version.
    pub fn new_answers(&self) -> f64 {
        self.routes.values().map(|it| it.new.count).sum()
    }

    /// Whether the old version has answered anything.
    pub fn has_old(&self) -> bool {
        self.routes.values().any(|it| it.old.count > 0.0)
    }

    pub fn figures(&self) -> Vec<RolloutFigures> {
        let median = |it: &Answers| it.times.median().map(|it| Millis(it.round() as u64));
        let figures = self.routes.iter().map(|(route, it)| RolloutFigures {
            route: route.clone(),
            old_answers: it.old.count as u64,
            old_failures: it.old.failures as u64,
            old_median: median(&it.old),
            new_answers: it.new.count as u64,
            new_failures: it.new.failures as u64,
            new_median: median(&it.new),
        });
        figures.collect()
    }
}

impl Scores {
    fn is_good(&self) -> bool {
        self.failures.is_good() && self.slow.is_good()
    }
}

impl RouteRow {
    /// The slice of answers that are heard of now.
    fn slice(&mut self, now: Time) -> &mut Slice {
        if self.slices.back().is_none_or(|it| it.is_scored || now.since(it.at) >= SLICE) {
            let (old, new) = (Answers::default(), IndexMap::new());
            self.slices.push_back(Slice { at: now, old, new, is_scored: false });
        }
        self.slices.back_mut().expect("one was added")
    }

    /// Scores the slices that began this long ago.
    fn score(&mut self, now: Time, delay: Millis, pool: &mut Scores) {
        for at in 0..self.slices.len() {
            let slice = &self.slices[at];
            if slice.is_scored || now.since(slice.at) < delay {
                continue;
            }
            let (near, wide) = (self.old_around(slice.at, NEAR), self.old_around(slice.at, WIDE));
            let failures = self.failure_rates(&near, &wide);
            let slow = self.slow_rates(&near, &wide);
            for (endpoint, it) in &self.slices[at].new {
                for scores in [&mut self.scores, &mut *pool] {
                    scores.failures.add(endpoint, failures, it.count, it.failures);
                    if let Some((limit, rates)) = slow {
                        let (count, above) = (it.times.count(), it.times.above(limit));
                        scores.slow.add(endpoint, rates, count, above);
                    }
                }
            }
            self.slices[at].is_scored = true;
        }
        let is_past = |it: &Slice| it.is_scored && now.since(it.at) > WIDE.0 + WIDE.1 + SETTLE_TIME;
        while self.slices.front().is_some_and(is_past) {
            let slice = self.slices.pop_front().expect("one is there");
            if slice.old.count > 0.0 {
                self.past.scale(PAST_DECAY);
                self.past.add(&slice.old);
            }
        }
    }

    /// The log likelihood ratio of the failures that are not scored yet, compared with the
    /// old version's past, without those of one endpoint.
    fn waiting_ratio(&self, without: Option<&EndpointName>) -> f64 {
        let waiting = self.slices.iter().filter(|it| !it.is_scored).flat_map(|it| &it.new);
        let mut sum = Answers::default();
        let counted = waiting.filter(|(name, _)| without != Some(*name));
        counted.for_each(|(_, it)| sum.add(it));
        let wide = Answers::default();
        self.failure_rates(&wide, &wide).ratio(sum.count, sum.failures)
    }

    /// The old version's answers from some time before a slice began to some time after.
    fn old_around(&self, at: Time, (before, after): (Millis, Millis)) -> Answers {
        let mut sum = Answers::default();
        let is_near = |it: &&Slice| at.since(it.at) <= before && it.at.since(at) <= after;
        self.slices.iter().filter(is_near).for_each(|it| sum.add(&it.old));
        sum
    }

    fn failure_rates(&self, near: &Answers, wide: &Answers) -> Hypotheses {
        let usual = mix(USUAL_FAILURES, USUAL_WEIGHT, self.past.failures, self.past.count);
        let rate = |it: &Answers| mix(usual, PAST_WEIGHT, it.failures, it.count);
        hypotheses(rate(near).max(rate(wide)), FAILURE_RATES, BAD_FAILURES)
    }

    /// The time above which an answer is slow, and the rates of slow answers; `None` while
    /// too little is known of the old version.
    fn slow_rates(&self, near: &Answers, wide: &Answers) -> Option<(f64, Hypotheses)> {
        let mut all = self.past.times.clone();
        all.add_all(&wide.times);
        let base = if wide.times.count() >= MIN_TIMES { &wide.times } else { &all };
        let limit = base.median().filter(|_| base.count() >= MIN_TIMES)? * SLOW_FACTOR;
        let usual = mix(USUAL_SLOW, USUAL_WEIGHT, all.above(limit), all.count());
        let rate = |it: &Answers| mix(usual, PAST_WEIGHT, it.times.above(limit), it.times.count());
        Some((limit, hypotheses(rate(near).max(rate(wide)), SLOW_RATES, BAD_SLOW)))
    }
}

/// The rate of `events` among `count`, together with an assumed one.
fn mix(assumed: f64, weight: f64, events: f64, count: f64) -> f64 {
    (assumed * weight + events) / (weight + count)
}

fn hypotheses(rate: f64, (least, most): (f64, f64), step: f64) -> Hypotheses {
    let good = rate.clamp(least, most);
    Hypotheses { good, bad: (good + step).min(MAX_BAD_RATE) }
}

/// What a row has beyond an earlier one of the same instance.
fn difference(row: &RolloutEvidence, known: Option<&RolloutEvidence>) -> Answers {
    let before = |it: fn(&RolloutEvidence) -> u32| known.map_or(0, it);
    let mut added = Answers {
        count: f64::from(row.answers.saturating_sub(before(|it| it.answers))),
        failures: f64::from(row.failures.saturating_sub(before(|it| it.failures))),
        times: TimeBuckets::default(),
    };
    for (bucket, count) in &row.times {
        let known = known.and_then(|it| it.times.iter().find(|(it, _)| it == bucket));
        let new = count.saturating_sub(known.map_or(0, |it| it.1));
        added.times.add(*bucket, f64::from(new));
    }
    added
}
