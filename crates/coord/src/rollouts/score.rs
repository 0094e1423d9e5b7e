//! Sequential probability ratio tests.

use {crate::ids::EndpointName, indexmap::IndexMap};

/// The probability of calling a good version bad.
const FALSE_ALARM: f64 = 0.001;
/// The probability of calling a bad version good.
const FALSE_CLEARANCE: f64 = 0.0001;
/// A sum of less than this is still that of a good version after it has once been proved
/// good: one failure by chance must not delay the switch, three at once do.
const STILL_GOOD: f64 = -3.0;
/// A sum of less than this is that of a probably good version. Among the few answers that
/// the slack allows, a good version may have one failure.
const PROBABLY_GOOD: f64 = -1.0;
/// A sum above this speaks against a version of which too little is known for a proof: one
/// failure among few answers isn't enough for that, two are.
pub(super) const SUSPICIOUS: f64 = 2.5;

/// By how much more one endpoint speaks against a version than the others do, so that it
/// is an outlier: two failures of it.
const OUTLIER: f64 = 4.0;
/// By how much more than twice the expected failures are too many, however small a part of
/// the answers they are. The test alone doesn't tell a version that fails a little from a
/// good one, and its failures could add up without end.
const MAX_EXCESS: f64 = 20.0;

/// The probability of an event at each answer, if the version is good and if it is bad.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hypotheses {
    pub good: f64,
    pub bad: f64,
}

impl Hypotheses {
    /// The log likelihood ratio of `events` among `answers`.
    pub fn ratio(self, answers: f64, events: f64) -> f64 {
        let other = (answers - events).max(0.0);
        events * (self.bad / self.good).ln() + other * ((1.0 - self.bad) / (1.0 - self.good)).ln()
    }
}

/// The log likelihood ratio of one kind of event: with all endpoints, and without each of
/// them, since one bad endpoint doesn't make a version bad. The sums don't fall below the
/// proof of a good version, so that a version that turns bad later is found as fast as one
/// that was bad from the beginning.
#[derive(Debug, Default)]
pub(super) struct Score {
    all: f64,
    without: IndexMap<EndpointName, f64>,
    proved: bool,
    /// The events that the old version would have had, and those there were, by endpoint.
    expected: f64,
    events: IndexMap<EndpointName, f64>,
}

impl Score {
    /// Adds answers of one endpoint.
    pub fn add(
        &mut self,
        endpoint: &EndpointName,
        hypotheses: Hypotheses,
        answers: f64,
        events: f64,
    ) {
        let ratio = hypotheses.ratio(answers, events);
        self.expected += hypotheses.good * answers;
        *self.events.entry(endpoint.clone()).or_default() += events;
        if !self.without.contains_key(endpoint) {
            self.without.insert(endpoint.clone(), self.all);
        }
        let others = self.without.iter_mut().filter(|(it, _)| *it != endpoint);
        for sum in others.map(|(_, it)| it).chain([&mut self.all]) {
            *sum = (*sum + ratio).max(floor());
        }
        self.proved |= self.lowest() <= floor();
    }

    /// Whether a version is proved bad by more than one endpoint, or by its only one. `tests`
    /// is how many are made, which share the probability of a false alarm.
    pub fn is_bad(&self, tests: usize, has_one: bool) -> bool {
        let least = ((1.0 - FALSE_CLEARANCE) / FALSE_ALARM * tests as f64).ln();
        let is_alone = self.without.len() < 2;
        match is_alone {
            true => has_one && self.all >= least,
            false => self.lowest() >= least,
        }
    }

    /// Whether there were far too many events, without those of the worst endpoint.
    pub fn is_excessive(&self) -> bool {
        let sum: f64 = self.events.values().sum();
        let worst = self.events.values().copied().fold(0.0, f64::max);
        sum - worst - 2.0 * self.expected >= MAX_EXCESS
    }

    /// Whether it has once been proved good, and nothing has spoken against it since.
    pub fn is_good(&self) -> bool {
        self.proved && self.lowest() <= STILL_GOOD
    }

    /// Whether it is probably good, or still good if that was proved.
    pub fn is_probably_good(&self) -> bool {
        self.lowest() <= if self.proved { STILL_GOOD } else { PROBABLY_GOOD }
    }

    /// Whether the evidence speaks against it, without being a proof.
    pub fn is_suspicious(&self) -> bool {
        match self.outlier() {
            Some(_) => self.lowest() > self.suspicious().min(PROBABLY_GOOD),
            None => self.all > self.suspicious(),
        }
    }

    /// Whether the evidence speaks against it so much that it would also if nothing had been
    /// proved before.
    pub fn is_doubtful(&self) -> bool {
        let sum = if self.outlier().is_some() { self.lowest() } else { self.all };
        sum > SUSPICIOUS
    }

    /// Whether the evidence without the worst endpoint speaks against it.
    pub fn is_spreading(&self) -> bool {
        self.without.values().copied().fold(self.all, f64::min) > self.suspicious()
    }

    /// The endpoint that alone speaks against the version.
    pub fn outlier(&self) -> Option<&EndpointName> {
        let (worst, others) = self.without.iter().min_by(|a, b| a.1.total_cmp(b.1))?;
        let is_outlier = self.all > self.suspicious() && self.all - others >= OUTLIER;
        is_outlier.then_some(worst)
    }

    /// The sum above which the evidence speaks against it.
    fn suspicious(&self) -> f64 {
        if self.proved { STILL_GOOD } else { SUSPICIOUS }
    }

    /// The sum without the endpoint that speaks most against the version.
    fn lowest(&self) -> f64 {
        let without = match self.without.len() {
            0 | 1 => self.all,
            _ => self.without.values().copied().fold(self.all, f64::min),
        };
        without.min(self.all)
    }
}

/// The sum that proves a version good.
fn floor() -> f64 {
    (FALSE_CLEARANCE / (1.0 - FALSE_ALARM)).ln()
}
