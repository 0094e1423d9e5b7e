//! One rollout at one instance.

use {
    super::{
        GRANT_VALIDITY, RolloutAnswer, RolloutEvidence, RolloutGrant, RolloutReport, RolloutSend,
        RolloutSide, RolloutTotals, SendKind, time_buckets::bucket,
    },
    crate::{
        ids::{EndpointName, RouteName, SoftwareVersion},
        tables::{Endpoint, EndpointState, Rollout, RolloutPhase},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// How long the run time of a request at the old version counts, at least.
const RUN_WINDOW: Millis = Millis(10_000);

/// How long before the deadline reports are sent without news too: a phase that is lost on its
/// way otherwise reaches the instance a second later, when the switch should have ended.
const ENDING: Millis = Millis(3000);

/// Sends to the new version.
#[derive(Debug)]
struct Grant {
    sends: u32,
    /// Of these, what is kept for routes with little evidence.
    reserve: u32,
    thin: Vec<RouteName>,
    endpoints: Vec<EndpointName>,
    eager: bool,
    expires: Time,
}

impl Grant {
    fn fits(&self, now: Time, endpoint: &EndpointName, route: &RouteName, kind: SendKind) -> bool {
        let is_reserved = self.sends <= self.reserve && !self.thin.contains(route);
        let is_listed = self.endpoints.contains(endpoint);
        // A stream can't be continued at another version, nor a result be freed there, so
        // that neither is held back for the sake of evidence.
        let is_bound = matches!(kind, SendKind::Resume | SendKind::Free);
        self.sends > 0 && self.expires > now && (is_bound || is_listed && !is_reserved)
    }
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct EvidenceKey {
    route: RouteName,
    endpoint: EndpointName,
    is_new: bool,
}

#[derive(Debug, Default)]
struct EvidenceRow {
    answers: u32,
    failures: u32,
    times: IndexMap<u8, u32>,
    /// The first report that holds the latest change.
    changed: u64,
}

/// The longest run in the current and in the previous window.
#[derive(Debug, Default)]
struct Runs {
    since: Time,
    current: Millis,
    previous: Millis,
}

#[derive(Debug)]
pub(super) struct GateRow {
    pub rollout: Rollout,
    known_at: Time,
    /// The versions that the rollout moves the traffic from.
    old_versions: IndexSet<Option<SoftwareVersion>>,
    /// Whether the endpoints have not been taken in yet.
    is_first: bool,
    /// Whether an endpoint runs the new version.
    has_new: bool,
    /// Whether the pool has, and during the rollout has had, no endpoint of another version.
    /// There is nothing to move the traffic from, and nothing else can serve the callers.
    pub is_alone: bool,
    seq: u64,
    /// The latest report that a leader has acknowledged.
    acked: u64,
    pub reported_at: Time,
    requests: u64,
    new_sends: u64,
    early: Vec<u32>,
    totals: RolloutTotals,
    /// The latest grant that was applied.
    grant: u64,
    /// In the order in which they were made.
    grants: Vec<Grant>,
    evidence: IndexMap<EvidenceKey, EvidenceRow>,
    /// Whether answers of the new version are not in a report yet.
    has_answers: bool,
    /// Whether failures of the new version are not in a report yet.
    has_failures: bool,
    /// Whether a report has said, in the switch, that nothing is in flight at the old version.
    /// The leader may complete the rollout from then on.
    pub is_idle: bool,
    runs: Runs,
}

impl GateRow {
    /// Creates the row of a rollout that is heard of now. `early` are the sends to
    /// the new version before, by time.
    pub fn new(now: Time, rollout: &Rollout, early: Vec<u32>) -> Self {
        Self {
            rollout: rollout.clone(),
            known_at: now,
            old_versions: IndexSet::new(),
            is_first: true,
            has_new: false,
            is_alone: false,
            seq: 0,
            acked: 0,
            reported_at: Time(0),
            requests: 0,
            new_sends: 0,
            early,
            totals: RolloutTotals::default(),
            grant: 0,
            grants: Vec::new(),
            evidence: IndexMap::new(),
            has_answers: false,
            has_failures: false,
            is_idle: false,
            runs: Runs::default(),
        }
    }

    /// Takes in the current row of the tables, and the endpoints of the pool.
    pub fn reload<'a>(&mut self, rollout: &Rollout, endpoints: impl Iterator<Item = &'a Endpoint>) {
        self.rollout = rollout.clone();
        if rollout.phase != RolloutPhase::Trial {
            self.grants.clear();
        }
        self.is_idle &= rollout.phase == RolloutPhase::Switch;
        if !rollout.phase.is_open() {
            // The row stays for as long as the pool has no other rollout, and reports no more.
            self.evidence.clear();
            self.early.clear();
        }
        let is_first = std::mem::take(&mut self.is_first);
        self.has_new = false;
        let mut has_other = false;
        for it in endpoints {
            let is_new = it.version.as_ref() == Some(&rollout.to);
            has_other |= !is_new;
            self.has_new |= is_new && it.state != EndpointState::Leaving;
            // A version that appears after the outcome is not of this rollout.
            if !is_new && (rollout.phase.is_open() || is_first) {
                self.old_versions.insert(it.version.clone());
            }
        }
        self.is_alone = !has_other && self.old_versions.is_empty();
    }

    pub fn side(&self, version: Option<&SoftwareVersion>) -> RolloutSide {
        let is_old = || self.old_versions.contains(&version.cloned());
        match self.rollout.phase {
            _ if version == Some(&self.rollout.to) => RolloutSide::New,
            RolloutPhase::Trial | RolloutPhase::Switch => RolloutSide::Old,
            // Without endpoints of the new version the old ones are better than none.
            RolloutPhase::Completed if self.has_new && is_old() => RolloutSide::Old,
            RolloutPhase::Completed | RolloutPhase::RolledBack => RolloutSide::None,
        }
    }

    pub fn has_grant(
        &self,
        now: Time,
        endpoint: &EndpointName,
        route: &RouteName,
        kind: SendKind,
    ) -> bool {
        self.grants.iter().any(|it| it.fits(now, endpoint, route, kind))
    }

    /// Whether a request should rather go to this endpoint than to one of the old version.
    /// The latter gets half of them, as there must be something to compare with.
    pub fn is_preferred(&self, now: Time, endpoint: &EndpointName, route: &RouteName) -> bool {
        let fits = |it: &Grant| it.eager && it.fits(now, endpoint, route, SendKind::First);
        self.new_sends <= self.requests / 2 && self.grants.iter().any(fits)
    }

    /// Counts a send that is possible.
    pub fn begin(&mut self, now: Time, send: &RolloutSend) {
        self.requests += u64::from(send.kind == SendKind::First);
        if send.side != RolloutSide::New {
            return;
        }
        self.new_sends += 1;
        self.grants.retain(|it| it.sends > 0 && it.expires > now);
        let mut grants = self.grants.iter_mut();
        let grant = grants.find(|it| it.fits(now, &send.endpoint, &send.route, send.kind));
        if let Some(it) = grant {
            it.sends -= 1;
        }
    }

    /// Takes back a send, and the grant that it spent if that is still held. Its request has
    /// reached the pool all the same.
    pub fn cancel(&mut self, now: Time, send: &RolloutSend) {
        if send.side == RolloutSide::New {
            self.new_sends = self.new_sends.saturating_sub(1);
            if let Some(it) = self.grants.iter_mut().find(|it| it.expires > now) {
                it.sends += 1;
            }
        }
    }

    pub fn answer(&mut self, send: &RolloutSend, answer: RolloutAnswer) {
        if !self.rollout.phase.is_open() {
            return;
        }
        let is_failure = answer == RolloutAnswer::Failed;
        let was_failure = send.answer == Some(RolloutAnswer::Failed);
        if send.answer.is_some() && (was_failure || !is_failure) {
            return;
        }
        let is_new = send.side == RolloutSide::New;
        let (route, endpoint) = (send.route.clone(), send.endpoint.clone());
        let row = self.evidence.entry(EvidenceKey { route, endpoint, is_new }).or_default();
        row.changed = self.seq + 1;
        row.answers += u32::from(send.answer.is_none());
        row.failures += u32::from(is_failure);
        if let (RolloutAnswer::Good(time), false) = (answer, send.is_cold) {
            *row.times.entry(bucket(time)).or_default() += 1;
        }
        self.has_answers |= is_new;
        self.has_failures |= is_new && is_failure;
    }

    /// Counts the run time of a request at the old version.
    pub fn add_run(&mut self, now: Time, run: Millis) {
        self.runs.roll(now);
        self.runs.current = self.runs.current.max(run);
    }

    /// Whether a report is worth sending before the usual time.
    pub fn has_news(&self, now: Time) -> bool {
        let is_ending = now.since(self.known_at) + ENDING >= self.rollout.duration;
        self.rollout.phase.is_open() && (self.has_answers || self.acked == 0 || is_ending)
    }

    /// Whether a report is worth sending almost at once. `has_old` is whether something runs at
    /// the old version.
    pub fn has_urgent_news(&self, has_old: bool) -> bool {
        let is_switch = self.rollout.phase == RolloutPhase::Switch;
        is_switch && (self.has_failures || !self.is_idle && !has_old)
    }

    /// Returns a report without what is in flight.
    pub fn report(&mut self, now: Time) -> RolloutReport {
        self.seq += 1;
        self.reported_at = now;
        self.has_answers = false;
        self.has_failures = false;
        self.runs.roll(now);
        let valid = self.grants.iter().filter(|it| it.expires > now);
        let evidence = self.evidence.iter().filter(|(_, it)| it.changed > self.acked);
        let evidence = evidence.map(|(key, it)| RolloutEvidence {
            route: key.route.clone(),
            endpoint: key.endpoint.clone(),
            is_new: key.is_new,
            answers: it.answers,
            failures: it.failures,
            times: it.times.iter().map(|(bucket, count)| (*bucket, *count)).collect(),
        });
        RolloutReport {
            pool: self.rollout.pool.clone(),
            number: self.rollout.number,
            phase: self.rollout.phase,
            known_for: now.since(self.known_at),
            seq: self.seq,
            base: self.acked,
            requests: self.requests,
            new_sends: self.new_sends,
            early: self.early.clone(),
            grant: self.grant,
            held: valid.map(|it| it.sends).sum(),
            old_in_flight: 0,
            new_in_flight: 0,
            old_run: self.runs.current.max(self.runs.previous),
            totals: self.totals,
            evidence: evidence.collect(),
        }
    }

    /// Applies the reply to a renewal that was asked for at `asked`. One that is overtaken
    /// by a later one is ignored: the leader then counts on its sends not being used.
    pub fn apply(&mut self, now: Time, asked: Time, grant: &RolloutGrant) {
        if grant.number != self.rollout.number || grant.id <= self.grant {
            return;
        }
        self.grant = grant.id;
        self.acked = grant.seen.min(self.seq);
        self.totals.requests = self.totals.requests.max(grant.totals.requests);
        self.totals.sends = self.totals.sends.max(grant.totals.sends);
        // The leader counts the validity from the report.
        let expires = asked.min(self.reported_at) + GRANT_VALIDITY;
        let is_usable = expires > now && self.rollout.phase == RolloutPhase::Trial;
        if grant.sends > 0 && is_usable {
            self.grants.push(Grant {
                sends: grant.sends,
                reserve: if grant.thin.is_empty() { 0 } else { grant.sends / 2 },
                thin: grant.thin.clone(),
                endpoints: grant.endpoints.clone(),
                eager: grant.eager,
                expires,
            });
        }
    }
}

impl Runs {
    fn roll(&mut self, now: Time) {
        if now.since(self.since) >= RUN_WINDOW {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
    }
}
