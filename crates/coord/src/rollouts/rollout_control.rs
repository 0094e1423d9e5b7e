//! The leader's side of one rollout.

use {
    super::{
        RolloutBounds, RolloutFigures, RolloutGrant, RolloutReason, RolloutReport, RolloutTotals,
        RolloutView, comparison::Comparison, exposure::Exposure, switch_plan::SwitchPlan,
        trial_endpoints::trial_endpoints,
    },
    crate::{
        control::{LEASE_DURATION, LEASE_MARGIN, ShareHolder},
        ids::{EndpointName, Term},
        tables::{Endpoint, EndpointState, Rollout, RolloutPhase},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// The time between two rounds of grants. Shorter ones cost more replies, longer ones let
/// sends wait.
const GRANT_INTERVAL: Millis = Millis(100);
/// The part of the slack that trials may use. The rest is for counts that are out of date.
const SLACK_PART: f64 = 0.8;
/// The part of the share that trials use, before the version is proved good and after. What
/// they leave is for a version that turns bad during the switch.
const SHARE_PART: f64 = 0.9;
const PROVED_SHARE_PART: f64 = 0.5;
/// The part of the slack that may be sent without any answer yet.
const FIRST_PART: f64 = 0.2;
/// The time for which instances are granted sends, so that they don't lack any before
/// their next renewal, and by how much more, as requests don't come evenly.
const GRANT_AHEAD_S: f64 = 0.7;
const GRANT_EXCESS: f64 = 1.5;
/// How long a wave of sends to the same endpoints lasts. A version that fails under load
/// needs the load for some time to show it.
const WAVE: Millis = Millis(1000);
/// The time of sends that is saved up for a wave at most. A version that turns bad between
/// two must be found in time.
const MAX_SAVED_S: f64 = 4.0;
/// The number of endpoints that must have had a wave since another alone speaks against the
/// version.
const MIN_OTHERS: usize = 2;
/// The part of the usual answers of a wave that they must have given.
const TRIED_PART: f64 = 0.5;
/// How long before an endpoint stands out the waves of others may have begun: the answers of
/// the wave that shows it are scored that much later.
const TRIED_TIME: Millis = Millis(2000);
/// How long after the end of a wave its answers have been reported and scored.
const WAVE_DELAY: Millis = Millis(1500);
/// The part of the slack from which a wave is made if the switch needs the rest of the bound.
const LIMITED_WAVE_PART: f64 = 0.4;
/// How long the rate of requests is measured before the first wave.
const FIRST_WAVE_DELAY: Millis = Millis(500);
/// The part of the slack that is kept for a last check before the switch, and how long that
/// takes. Without it a version that turned bad seconds ago on a pool with little traffic
/// could be switched to.
const CHECK_PART: f64 = 0.15;
const CHECK_TIME: Millis = Millis(2500);
/// The answers that the check takes, at most, and the time whose requests are as many.
const CHECK_ANSWERS: f64 = 6.0;
const CHECK_ANSWERS_S: f64 = 0.2;
/// No switch begins with less time left than this, or than a quarter of the duration: hardly any
/// instance would hear of it before the deadline.
const LATEST_SWITCH: Millis = Millis(250);
/// How long before the deadline a switch with little evidence is completed. The outcome has
/// to be accepted and told.
const COMPLETION_TIME: Millis = Millis(500);
/// The same while there are sends whose answers may yet speak against the version.
const LATEST_COMPLETION: Millis = Millis(250);
/// How long all requests go to the new version before it is completed, if there is time. One
/// that fails under load shows it only then.
const LOADED_TIME: Millis = Millis(1000);
/// How long the new version may leave all sends unanswered, at least, before the leader takes
/// it for silent. Instances report answers within 200 ms.
const SILENCE: Millis = Millis(750);
/// With less time left than this the switch doesn't wait for the last check: the pool has too
/// little traffic for it.
const LATEST_CHECK: Millis = Millis(1800);
/// How many more requests than expected there may be until the deadline, and the part of
/// the slack that they may use.
const RATE_EXCESS: f64 = 1.5;
const FREE_SLACK_PART: f64 = 0.9;
/// The part of the bound from which a suspicion suffices to end a switch.
const SUSPICIOUS_PART: f64 = 0.8;
/// The time in which requests go on to the new version after answers that speak against it: they
/// are reported within 100 ms, the rollback is accepted, and reaches the instances.
const STOP_TIME: Millis = Millis(600);
/// How many more requests than at the peak the new endpoints must be able to run at a time,
/// if they are fewer than the old ones.
const CAPACITY_FACTOR: f64 = 1.25;
/// The time in which the peak of requests in flight falls to about a third.
const PEAK_DECAY_MS: f64 = 5000.0;
/// How long to wait for the first endpoint of another version. A pool without any has
/// nothing to compare, and its requests must not wait for grants.
const OLD_WAIT: Millis = Millis(1000);

/// How this leader learned of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStart {
    /// The order was accepted in its term, so that no other leader has granted anything.
    Fresh,
    /// An earlier leader may have granted sends. The time is that at which this voter
    /// applied the order.
    Inherited(Time),
}

/// Endpoints that trial sends go to for some time.
#[derive(Debug, Default)]
struct Wave {
    endpoints: Vec<EndpointName>,
    until: Time,
    /// Whether requests go to them rather than to others.
    eager: bool,
}

/// The leader's side of one open rollout: what may be sent to the new version, and how the
/// versions compare.
#[derive(Debug)]
pub struct RolloutControl {
    rollout: Rollout,
    bounds: RolloutBounds,
    /// The age of the order at a time. Instances may have known of it for longer than this
    /// process has run, so that no time of its clock stands for the order.
    age: (Time, Millis),
    /// When this leader has begun.
    began: Time,
    exposure: Exposure,
    comparison: Comparison,
    /// The sends that trials may use, and the number of requests that it was worked out for.
    allowed: f64,
    allowed_for: u64,
    granted_at: Time,
    wave: Wave,
    /// The number of waves by endpoint.
    used: IndexMap<EndpointName, usize>,
    /// The endpoint that alone has last spoken against the version. It gets no waves.
    outlier: Option<EndpointName>,
    /// When the others had the first wave since then, or the latest without such an endpoint,
    /// and their answers before it.
    tried: IndexMap<EndpointName, (Time, f64)>,
    /// The peak of requests in flight, which decays with time, and when it was last seen.
    peak: (f64, Time),
    /// Whether the pool has had an endpoint of another version.
    had_old: bool,
    /// When this leader has first seen the switch.
    switched: Option<Time>,
}

impl RolloutControl {
    /// Creates the control of a voter that leads in `term`.
    pub fn new(
        now: Time,
        start: RolloutStart,
        term: Term,
        rollout: &Rollout,
        bounds: RolloutBounds,
    ) -> Self {
        let age = match start {
            RolloutStart::Fresh => Millis(0),
            RolloutStart::Inherited(at) => now.since(at),
        };
        Self {
            rollout: rollout.clone(),
            bounds,
            age: (now, age),
            began: now,
            exposure: Exposure::new(now, term, start == RolloutStart::Fresh),
            comparison: Comparison::default(),
            allowed: f64::from(bounds.slack) * SLACK_PART,
            allowed_for: 0,
            granted_at: Time(0),
            wave: Wave::default(),
            used: IndexMap::new(),
            outlier: None,
            tried: IndexMap::new(),
            peak: (0.0, now),
            had_old: false,
            switched: None,
        }
    }

    /// Records what an instance reports. Late and repeated reports change nothing.
    pub fn record(&mut self, now: Time, from: ShareHolder, report: &RolloutReport) {
        if report.number != self.rollout.number || report.pool != self.rollout.pool {
            return;
        }
        if report.known_for > self.age(now) {
            self.age = (now, report.known_for);
        }
        if self.exposure.record(self.age(now), from, report) {
            for it in &report.evidence {
                self.comparison.record(now, from, it);
            }
        }
    }

    /// Divides the sends that are possible now among instances that can be answered at
    /// once. A row without sends acknowledges reports; the instance is to be answered with
    /// it too.
    pub fn grant(
        &mut self,
        now: Time,
        view: &RolloutView,
        ready: &IndexSet<ShareHolder>,
    ) -> Vec<(ShareHolder, RolloutGrant)> {
        if now.since(self.granted_at) < GRANT_INTERVAL {
            return Vec::new();
        }
        self.granted_at = now;
        self.exposure.check_ready(now, view);
        let has_lease = |it: &ShareHolder| view.instances.get(it).is_some_and(|end| now < *end);
        let known = ready.iter().filter(|it| self.exposure.row(it).is_some() && has_lease(it));
        let known: Vec<ShareHolder> = known.copied().collect();
        let mut sends: IndexMap<ShareHolder, u32> = IndexMap::new();
        for _ in 0..self.new_sends(now, view, &known) {
            if let Some(holder) = self.exposure.next_turn(&known) {
                *sends.entry(holder).or_default() += 1;
            }
        }
        let thin = self.comparison.thin_routes();
        let wants = |it: &ShareHolder| {
            sends.contains_key(it) || self.exposure.row(it).is_some_and(|it| it.wants_reply(now))
        };
        let told: Vec<ShareHolder> = known.into_iter().filter(wants).collect();
        let notes = told.into_iter().map(|it| {
            let sends = sends.get(&it).copied().unwrap_or(0);
            (it, sends, self.exposure.note_reply(now, it, sends))
        });
        let notes: Vec<_> = notes.collect();
        // The sums include all grants of the round.
        let totals = self.totals();
        let grants = notes.into_iter().map(|(holder, sends, (id, seen))| {
            let (endpoints, thin) = match sends {
                0 => (Vec::new(), Vec::new()),
                _ => (self.wave.endpoints.clone(), thin.clone()),
            };
            let (pool, number) = (self.rollout.pool.clone(), self.rollout.number);
            let eager = self.wave.eager && sends > 0;
            let grant =
                RolloutGrant { pool, number, id, sends, endpoints, thin, eager, seen, totals };
            (holder, grant)
        });
        grants.collect()
    }

    /// Returns the phase that the rollout goes on to now, if it does.
    pub fn decide(
        &mut self,
        now: Time,
        view: &RolloutView,
    ) -> Option<(RolloutPhase, RolloutReason)> {
        self.exposure.check_ready(now, view);
        if self.exposure.is_ready {
            self.exposure.sample(now);
        }
        self.comparison.tick(now, view.phase == RolloutPhase::Switch);
        let outlier = self.comparison.outlier();
        if outlier.is_some() && outlier != self.outlier.as_ref() {
            self.outlier = outlier.cloned();
            self.tried.retain(|_, it| now.since(it.0) < TRIED_TIME);
        }
        self.had_old |= self.comparison.has_old() || self.endpoints(view, false).next().is_some();
        self.update_peak(now, view);
        if view.phase == RolloutPhase::Switch {
            self.switched.get_or_insert(now);
        }
        if !view.phase.is_open() {
            return None;
        }
        if !view.exists {
            return Some((RolloutPhase::RolledBack, RolloutReason::Removed));
        }
        let has_one = self.endpoints(view, true).count() == 1;
        if let Some(reason) = self.comparison.find_bad(has_one) {
            return Some((RolloutPhase::RolledBack, reason));
        }
        match view.phase {
            RolloutPhase::Trial => self.decide_trial(now, view),
            RolloutPhase::Switch => self.decide_switch(now, view),
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }

    /// Returns the sums over all instances.
    pub fn totals(&self) -> RolloutTotals {
        self.exposure.totals()
    }

    /// Returns the answers by route, for the log.
    pub fn figures(&self) -> Vec<RolloutFigures> {
        self.comparison.figures()
    }

    fn decide_trial(&self, now: Time, view: &RolloutView) -> Option<(RolloutPhase, RolloutReason)> {
        let left = self.left(now);
        let has_capacity = self.has_capacity(view);
        if left == Millis(0) {
            let reason = if has_capacity && self.endpoints(view, true).next().is_some() {
                RolloutReason::NoEvidence
            } else {
                RolloutReason::NoCapacity
            };
            return Some((RolloutPhase::RolledBack, reason));
        }
        let is_alone = !self.had_old && self.age(now) >= OLD_WAIT && self.exposure.is_ready;
        if is_alone && has_capacity {
            return Some((RolloutPhase::Switch, RolloutReason::Good));
        }
        let latest = LATEST_SWITCH.min(Millis(self.rollout.duration.0 / 4));
        if !self.exposure.is_ready || !has_capacity || left < latest {
            return None;
        }
        let is_due = self.plan(now, view).is_due();
        let is_free = self.is_free(now);
        let is_early = is_free && left.0 <= self.rollout.duration.0 / 2;
        let is_enough = match is_free {
            true => self.comparison.is_clean(),
            false => self.comparison.is_good() || self.comparison.is_probably_good(),
        };
        let checked = CHECK_ANSWERS.min(self.rate(now) * CHECK_ANSWERS_S).floor();
        let is_checked =
            self.comparison.covers_routes() && self.comparison.recent_answers() >= checked;
        let is_enough = is_enough && (is_checked || left <= LATEST_CHECK);
        let is_due = (is_due || is_early) && is_enough && self.has_tried_others(now, view);
        is_due.then_some((RolloutPhase::Switch, RolloutReason::Good))
    }

    fn decide_switch(
        &self,
        now: Time,
        view: &RolloutView,
    ) -> Option<(RolloutPhase, RolloutReason)> {
        let left = self.left(now);
        // A version that hangs gives no answers that could speak against it.
        let is_clean = self.comparison.is_clean() && !self.is_silent(now, view);
        let is_loaded = self.switched.is_some_and(|it| now.since(it) >= LOADED_TIME);
        let latest = match self.exposure.unanswered(now, view, self.comparison.new_answers() as u64)
        {
            0 => COMPLETION_TIME,
            _ => LATEST_COMPLETION,
        };
        let is_enough = is_loaded && self.comparison.is_good() || left <= latest;
        // A new leader has the evidence only once all instances have sent theirs again.
        let is_known = self.exposure.is_ready;
        if is_known && is_clean && is_enough && self.exposure.is_switched(now, view) {
            return Some((RolloutPhase::Completed, RolloutReason::Switched));
        }
        let totals = self.exposure.totals();
        let bound = self.bounds.share * totals.requests as f64 + f64::from(self.bounds.slack);
        let until = self.rate(now) * STOP_TIME.min(left).0 as f64 / 1000.0;
        let is_used_up = totals.sends as f64 + until >= bound * SUSPICIOUS_PART;
        if is_used_up && self.comparison.is_doubtful() {
            return Some((RolloutPhase::RolledBack, RolloutReason::Suspicious));
        }
        let over = Millis(self.age(now).0.saturating_sub(self.rollout.duration.0));
        let longest = LEASE_DURATION + LEASE_MARGIN + view.longest_timeout;
        // A few slow answers speak against a good version for a moment too, and one that waits for
        // old requests after the deadline has many more answers.
        let is_against = match over <= COMPLETION_TIME {
            true => !is_clean,
            false => self.comparison.is_doubtful() || self.is_silent(now, view),
        };
        match left == Millis(0) {
            true if is_against && is_known => {
                Some((RolloutPhase::RolledBack, RolloutReason::NoEvidence))
            }
            true if over >= longest => Some((RolloutPhase::RolledBack, RolloutReason::NotSwitched)),
            _ => None,
        }
    }

    /// Whether sends to the new version are unanswered and it has answered none for as long as
    /// requests run at the old version.
    fn is_silent(&self, now: Time, view: &RolloutView) -> bool {
        let answers = self.comparison.new_answers() as u64;
        let time = SILENCE.max(self.exposure.old_run(now, view));
        let since = Time(now.0.saturating_sub(time.0));
        now.since(self.began) >= time
            && self.exposure.unanswered(now, view, answers) > 0
            && !self.comparison.has_answers_since(since)
    }

    /// The number of sends to grant in this round.
    fn new_sends(&mut self, now: Time, view: &RolloutView, known: &[ShareHolder]) -> u64 {
        let totals = self.exposure.totals();
        let is_proved = self.comparison.is_good();
        let is_last = self.left(now).0 <= 2 * self.switch_time(now, view).0;
        let part = if is_proved && !is_last { PROVED_SHARE_PART } else { SHARE_PART };
        let added = totals.requests.saturating_sub(self.allowed_for) as f64;
        self.allowed += added * self.bounds.share * part;
        self.allowed_for = self.allowed_for.max(totals.requests);
        let is_open = view.phase == RolloutPhase::Trial && self.left(now) > Millis(0);
        let is_check = self.is_check(now, view);
        let kept = if is_check { 0.0 } else { f64::from(self.bounds.slack) * CHECK_PART };
        let is_enough = self.comparison.is_probably_good()
            && self.comparison.covers_routes()
            && self.has_tried_others(now, view);
        let limit = match is_enough {
            true => self.plan(now, view).trial_limit(),
            false => f64::MAX,
        };
        let free = self.allowed.min(limit) - kept - totals.sends as f64;
        let is_limited = limit < self.allowed;
        if !is_open || !self.exposure.is_ready || known.is_empty() || free < 1.0 {
            return 0;
        }
        if now >= self.wave.until && self.age(now) >= FIRST_WAVE_DELAY {
            self.start_wave(now, view, free, part, is_limited);
        }
        if now >= self.wave.until || self.wave.endpoints.is_empty() {
            return 0;
        }
        let rate = match self.wave.eager {
            true => self.rate(now),
            false => self.usual_rate(now, view, self.wave.endpoints.len()),
        };
        let ahead = (rate * GRANT_AHEAD_S * GRANT_EXCESS).ceil() as u64;
        let least = self.exposure.active(known).max(1);
        let wanted = ahead.max(least).saturating_sub(self.exposure.outstanding(now, view));
        wanted.min(free as u64).min(self.unanswered_left(now, view))
    }

    /// Starts a wave to as many endpoints as use up what is free until the switch, each
    /// with the load of an old endpoint, if enough is saved up for that. `is_limited` is whether
    /// the switch needs the rest of the bound.
    fn start_wave(
        &mut self,
        now: Time,
        view: &RolloutView,
        free: f64,
        part: f64,
        is_limited: bool,
    ) {
        let rate = self.rate(now);
        let trial = self.left(now).0.saturating_sub(self.switch_time(now, view).0).max(1000);
        let old = self.endpoints(view, false).count() as f64;
        let usable = rate * self.bounds.share * part + free * 1000.0 / trial as f64;
        let most = self.endpoints(view, true).count();
        let needed = if usable < rate { old * usable / (rate - usable) } else { f64::MAX };
        let count = (needed as usize).clamp(1, most.max(1));
        let outlier = self.outlier.as_ref();
        let saved = rate * self.bounds.share * part * MAX_SAVED_S;
        // Other endpoints show soon whether they are like an outlier.
        let ahead_s = if outlier.is_some() { 0.0 } else { GRANT_AHEAD_S };
        let wave_s = WAVE.0 as f64 / 1000.0 + ahead_s;
        let wave = self.usual_rate(now, view, count) * wave_s;
        let least = match (self.is_check(now, view), is_limited) {
            (true, _) => CHECK_ANSWERS,
            (_, true) => saved.min(f64::from(self.bounds.slack) * LIMITED_WAVE_PART),
            _ => saved,
        };
        if free < wave.min(least).max(1.0) {
            return;
        }
        let endpoints = trial_endpoints(&self.rollout, view, count, &self.used, outlier);
        for it in &endpoints {
            *self.used.entry(it.clone()).or_default() += 1;
            let answers = self.comparison.answers_of(it);
            let first = self.tried.entry(it.clone()).or_insert((now, answers));
            if self.outlier.is_none() {
                *first = (now, answers);
            }
        }
        self.wave = Wave { endpoints, until: now + WAVE, eager: count >= most };
    }

    /// Whether the last check before the switch is due.
    fn is_check(&self, now: Time, view: &RolloutView) -> bool {
        self.left(now) <= self.switch_time(now, view) + CHECK_TIME
    }

    /// Whether enough other endpoints have been tried since one alone speaks against the
    /// version.
    fn has_tried_others(&self, now: Time, view: &RolloutView) -> bool {
        let Some(outlier) = &self.outlier else {
            return true;
        };
        let least = self.usual_rate(now, view, 1) * WAVE.0 as f64 / 1000.0 * TRIED_PART;
        let is_tried = |it: &Endpoint| {
            let answers = self.comparison.answers_of(&it.name);
            self.tried.get(&it.name).is_some_and(|(at, before)| {
                now >= *at + WAVE + WAVE_DELAY && answers - before >= least
            })
        };
        let others = || self.endpoints(view, true).filter(|it| it.name != *outlier);
        others().filter(|it| is_tried(it)).count() >= MIN_OTHERS.min(others().count())
    }

    /// The requests in a second that this many new endpoints get if all endpoints get the
    /// same.
    fn usual_rate(&self, now: Time, view: &RolloutView, count: usize) -> f64 {
        let old = self.endpoints(view, false).count();
        self.rate(now) * count as f64 / (count + old).max(1) as f64
    }

    /// How many more sends may be without an answer: as many as there are answers, if
    /// nothing speaks against the version, and a few at first.
    fn unanswered_left(&self, now: Time, view: &RolloutView) -> u64 {
        let answers = self.comparison.new_answers() as u64;
        let first = (f64::from(self.bounds.slack) * FIRST_PART).max(1.0) as u64;
        let most = if self.comparison.is_spreading() { first } else { first + answers };
        most.saturating_sub(self.exposure.unanswered(now, view, answers))
    }

    /// Whether all requests until the deadline could go to the new version within its
    /// bound.
    fn is_free(&self, now: Time) -> bool {
        let totals = self.exposure.totals();
        let left_s = self.left(now).0 as f64 / 1000.0;
        let requests = self.rate(now) * RATE_EXCESS * left_s;
        let sends = totals.sends as f64 + requests;
        let slack = f64::from(self.bounds.slack) * FREE_SLACK_PART;
        sends <= self.bounds.share * (totals.requests as f64 + requests) + slack
    }

    /// The requests of the pool in a second, now or on average.
    fn rate(&self, now: Time) -> f64 {
        let age_s = self.age(now).0.max(FIRST_WAVE_DELAY.0) as f64 / 1000.0;
        let mean = self.exposure.totals().requests as f64 / age_s;
        self.exposure.rate().max(mean)
    }

    /// How long before the deadline the switch is expected to begin.
    fn switch_time(&self, now: Time, view: &RolloutView) -> Millis {
        self.plan(now, view).time()
    }

    /// What the time of the switch depends on.
    fn plan(&self, now: Time, view: &RolloutView) -> SwitchPlan {
        let totals = self.exposure.totals();
        SwitchPlan {
            bounds: self.bounds,
            duration: self.rollout.duration,
            left: self.left(now),
            run: self.exposure.old_run(now, view),
            rate: self.rate(now),
            requests: totals.requests,
            sends: totals.sends,
        }
    }

    /// The time since the order.
    fn age(&self, now: Time) -> Millis {
        let (at, age) = self.age;
        age + now.since(at)
    }

    /// The time left until the deadline.
    fn left(&self, now: Time) -> Millis {
        Millis(self.rollout.duration.0.saturating_sub(self.age(now).0))
    }

    /// Whether the warm endpoints of the new version can carry the pool's traffic.
    fn has_capacity(&self, view: &RolloutView) -> bool {
        let slots = |is_new| {
            let warm = self.endpoints(view, is_new).filter(|it| it.state == EndpointState::Warm);
            warm.map(|it| f64::from(it.slots.0)).sum::<f64>()
        };
        let new = slots(true);
        new > 0.0 && (new >= slots(false) || new >= self.peak.0 * CAPACITY_FACTOR)
    }

    fn update_peak(&mut self, now: Time, view: &RolloutView) {
        let (peak, at) = self.peak;
        let kept = peak * (-(now.since(at).0 as f64) / PEAK_DECAY_MS).exp();
        self.peak = (kept.max(self.exposure.in_flight(now, view) as f64), now);
    }

    /// The endpoints of the pool that run the new version, or another.
    fn endpoints<'a>(
        &self,
        view: &'a RolloutView,
        is_new: bool,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let to = self.rollout.to.clone();
        view.endpoints.iter().filter(move |it| (it.version.as_ref() == Some(&to)) == is_new)
    }
}
