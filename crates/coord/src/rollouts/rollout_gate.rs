//! An instance's side of rollouts: which version it may send to, and what it reports.

use {
    super::{
        EARLY_BIN, RolloutAnswer, RolloutGrant, RolloutReport, RolloutSend, gate_row::GateRow,
    },
    crate::{
        control::{LEASE_DURATION, LEASE_MARGIN},
        ids::{DomainName, EndpointName, PoolName, RouteName, SoftwareVersion},
        tables::{Endpoint, EndpointState, Rollout, RolloutPhase},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    std::collections::{BTreeMap, VecDeque},
};

/// How long a grant is valid from when the renewal was asked for. Longer ones would delay
/// the end of a bad version at instances out of contact.
pub const GRANT_VALIDITY: Millis = Millis(1000);

/// How long after a report answers of the new version may wait for the next. The usual time
/// between renewals would delay the end of a bad version too long.
const NEWS_INTERVAL: Millis = Millis(200);

/// The same in the switch, when all requests go to the new version.
const SWITCH_INTERVAL: Millis = Millis(100);

/// The same for failures of the new version in the switch, and for the news that nothing runs at
/// the old version any more. The switch ends that much earlier.
const URGENT_INTERVAL: Millis = Millis(50);

/// How long sends are remembered that an instance makes before it knows of a rollout. One
/// that hears of no order for longer has no lease, and sends nothing.
const EARLY_TIME: Millis = Millis(LEASE_DURATION.0 + LEASE_MARGIN.0);

/// The side of an endpoint in the rollout of its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutSide {
    /// No rollout concerns it.
    None,
    /// It runs a version that the rollout moves the traffic from.
    Old,
    /// It runs the version that the rollout is to.
    New,
}

/// What is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// The first attempt of a request.
    First,
    /// Another attempt of it.
    Repeat,
    /// The resumption of a stream, at the version that began it.
    Resume,
    /// The freeing of results. An endpoint that stops meanwhile loses nothing that is needed.
    Free,
}

/// How recently a neighbour must have answered for a time-out to count against the endpoint:
/// a lost failure domain lets the requests of all its endpoints time out, some of which
/// answered just before it was lost.
const SIGN_OF_LIFE: Millis = Millis(250);

/// The sends to one version that haven't ended, and when each began. Their ids increase.
type Running = BTreeMap<u64, Time>;

/// What this instance may send to which version, and the answers that it has counted.
#[derive(Debug, Default)]
pub struct RolloutGate {
    rows: IndexMap<PoolName, GateRow>,
    /// Sends that haven't ended, also those of pools without a rollout, since one may be
    /// ordered while they run.
    running: IndexMap<PoolName, IndexMap<Option<SoftwareVersion>, Running>>,
    next_id: u64,
    /// When the renewal that was last replied to was asked for, and the sends to each version
    /// since then. A rollout may have been ordered meanwhile.
    asked: Time,
    recent: IndexMap<(PoolName, Option<SoftwareVersion>), VecDeque<Time>>,
    /// The pool and failure domain of each endpoint.
    places: IndexMap<EndpointName, (PoolName, DomainName)>,
    /// When each endpoint last answered.
    answered: IndexMap<EndpointName, Time>,
}

impl RolloutGate {
    /// Takes in the rollouts and endpoints of the tables.
    pub fn reload(
        &mut self,
        now: Time,
        rollouts: &IndexMap<PoolName, Rollout>,
        endpoints: &IndexMap<EndpointName, Endpoint>,
    ) {
        self.rows.retain(|pool, _| rollouts.contains_key(pool));
        self.answered.retain(|name, _| endpoints.contains_key(name));
        let ruled = endpoints.iter().filter(|(_, it)| rollouts.contains_key(&it.pool));
        let place = |it: &Endpoint| (it.pool.clone(), it.domain.clone());
        self.places = ruled.map(|(name, it)| (name.clone(), place(it))).collect();
        for (pool, rollout) in rollouts {
            let key = (pool.clone(), Some(rollout.to.clone()));
            let early = || self.recent.get(&key).map_or(Vec::new(), |it| count_early(now, it));
            let row = self.rows.entry(pool.clone());
            let row = row.or_insert_with(|| GateRow::new(now, rollout, early()));
            if row.rollout.number != rollout.number {
                *row = GateRow::new(now, rollout, early());
            }
            row.reload(rollout, endpoints.values().filter(|it| it.pool == *pool));
        }
    }

    /// Returns the side of an endpoint.
    pub fn side(&self, endpoint: &Endpoint) -> RolloutSide {
        let row = self.rows.get(&endpoint.pool);
        row.map_or(RolloutSide::None, |it| it.side(endpoint.version.as_ref()))
    }

    /// Whether a send to an endpoint is possible now.
    pub fn may_send(
        &self,
        now: Time,
        endpoint: &Endpoint,
        route: &RouteName,
        kind: SendKind,
    ) -> bool {
        let Some(row) = self.rows.get(&endpoint.pool) else {
            return true;
        };
        match (row.side(endpoint.version.as_ref()), row.rollout.phase) {
            (RolloutSide::New, _) if row.is_alone => true,
            (RolloutSide::None, _) | (RolloutSide::Old, RolloutPhase::Trial) => true,
            (RolloutSide::Old, RolloutPhase::Switch) => {
                kind == SendKind::Free || kind == SendKind::Resume && !row.is_idle
            }
            (RolloutSide::Old, RolloutPhase::Completed) => false,
            (RolloutSide::Old, RolloutPhase::RolledBack) => true,
            (RolloutSide::New, RolloutPhase::Trial) => {
                row.has_grant(now, &endpoint.name, route, kind)
            }
            (RolloutSide::New, it) => it != RolloutPhase::RolledBack,
        }
    }

    /// Splits endpoints of a pool that a request may go to into those to be tried first, and
    /// those to be tried if none of these takes it. During the trial another attempt is tried
    /// at the old version first, so that callers don't notice failures of the new one.
    pub fn split<'a>(
        &self,
        now: Time,
        endpoints: Vec<&'a Endpoint>,
        route: &RouteName,
        kind: SendKind,
    ) -> [Vec<&'a Endpoint>; 2] {
        let row = endpoints.first().and_then(|it| self.rows.get(&it.pool));
        let Some(row) = row else {
            return [endpoints, Vec::new()];
        };
        let is_new = |it: &&Endpoint| row.side(it.version.as_ref()) == RolloutSide::New;
        let is_preferred = |it: &&Endpoint| is_new(it) && row.is_preferred(now, &it.name, route);
        let (first, rest) = match (row.rollout.phase, kind) {
            (RolloutPhase::Trial, SendKind::First) => endpoints.into_iter().partition(is_preferred),
            (RolloutPhase::Trial, _) => endpoints.into_iter().partition(|it| !is_new(it)),
            (RolloutPhase::Switch, _) => endpoints.into_iter().partition(is_new),
            _ => (endpoints, Vec::new()),
        };
        [first, rest]
    }

    /// Returns the endpoints of one pool that calls of a stage may not go to now. In the
    /// switch those of the old version may be called while `is_open` holds for no new one.
    pub fn barred<'a>(
        &self,
        now: Time,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        is_open: impl Fn(&EndpointName) -> bool,
    ) -> IndexSet<EndpointName> {
        let mut endpoints = endpoints.peekable();
        let Some(pool) = endpoints.peek().map(|it| it.pool.clone()) else {
            return IndexSet::new();
        };
        if !self.rows.contains_key(&pool) {
            return IndexSet::new();
        }
        let route = call_route(&pool);
        let (mut barred, mut old, mut has_open) = (IndexSet::new(), Vec::new(), false);
        for it in endpoints {
            let is_allowed = self.may_send(now, it, &route, SendKind::First);
            match self.side(it) {
                RolloutSide::Old if !is_allowed => old.push(it.name.clone()),
                _ if !is_allowed => {
                    barred.insert(it.name.clone());
                }
                RolloutSide::New => has_open |= is_open(&it.name),
                RolloutSide::None | RolloutSide::Old => {}
            }
        }
        if has_open || !self.may_fall_back(&pool) {
            barred.extend(old);
        }
        barred
    }

    /// Whether requests that no endpoint of the new version can take may go to the old one:
    /// in the switch, until a report has said that nothing is in flight there.
    pub fn may_fall_back(&self, pool: &PoolName) -> bool {
        let row = self.rows.get(pool);
        row.is_some_and(|it| it.rollout.phase == RolloutPhase::Switch && !it.is_idle)
    }

    /// Counts a send of a request to the old version that no endpoint of the new one can
    /// take; nothing if that isn't possible.
    pub fn begin_fallback(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        route: &RouteName,
    ) -> Option<RolloutSend> {
        let is_old = self.side(endpoint) == RolloutSide::Old;
        let may_fall_back = is_old && self.may_fall_back(&endpoint.pool);
        may_fall_back.then(|| self.begin(now, endpoint, route, SendKind::Resume)).flatten()
    }

    /// Counts a send to the old version that began before this instance knew of the rollout.
    pub fn adopt(&mut self, now: Time, endpoint: &Endpoint) -> RolloutSend {
        self.count(now, endpoint, &call_route(&endpoint.pool), SendKind::Resume)
    }

    /// Counts a send, and spends a grant if it needs one; nothing if the send isn't
    /// possible.
    pub fn begin(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        route: &RouteName,
        kind: SendKind,
    ) -> Option<RolloutSend> {
        self.may_send(now, endpoint, route, kind).then(|| self.count(now, endpoint, route, kind))
    }

    fn count(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        route: &RouteName,
        kind: SendKind,
    ) -> RolloutSend {
        self.next_id += 1;
        let mut send = RolloutSend {
            id: self.next_id,
            pool: endpoint.pool.clone(),
            version: endpoint.version.clone(),
            endpoint: endpoint.name.clone(),
            route: route.clone(),
            side: RolloutSide::None,
            kind,
            number: None,
            is_cold: endpoint.state == EndpointState::Cold,
            began: now,
            answer: None,
        };
        if let Some(row) = self.rows.get_mut(&endpoint.pool) {
            send.side = row.side(endpoint.version.as_ref());
            send.number = Some(row.rollout.number);
            row.begin(now, &send);
        }
        if endpoint.version.is_some() {
            let key = (endpoint.pool.clone(), endpoint.version.clone());
            let recent = self.recent.entry(key).or_default();
            recent.push_back(now);
            while recent.front().is_some_and(|it| now.since(*it) >= EARLY_TIME) {
                recent.pop_front();
            }
        }
        let pool = self.running.entry(endpoint.pool.clone()).or_default();
        pool.entry(endpoint.version.clone()).or_default().insert(send.id, now);
        send
    }

    /// Takes back a send of which no byte has left. The next attempt is a repeat.
    pub fn cancel(&mut self, now: Time, send: RolloutSend) {
        self.stop_running(&send);
        if let Some(row) = self.counting_row(&send) {
            row.cancel(now, &send);
        }
    }

    /// Counts the answer to a send, when its first byte arrives. A later failure of the same
    /// send replaces a good answer. Refusals that say that the request hasn't run, and
    /// failed connections, are no answers.
    pub fn answer(&mut self, now: Time, send: &mut RolloutSend, answer: RolloutAnswer) {
        self.answered.insert(send.endpoint.clone(), now);
        if let Some(row) = self.counting_row(send) {
            row.answer(send, answer);
        }
        send.answer = Some(answer);
    }

    /// Counts a failure if no answer came in time, and returns whether it did: only if the
    /// endpoint has answered meanwhile, or another of its pool in its failure domain has
    /// answered within [`SIGN_OF_LIFE`]. Otherwise the domain may be lost, which says nothing
    /// of the version.
    pub fn time_out(&mut self, now: Time, send: &mut RolloutSend) -> bool {
        let recent = send.began.max(Time(now.0.saturating_sub(SIGN_OF_LIFE.0)));
        let is_failure = self.has_answered(&send.endpoint, send.began)
            || self.neighbours(&send.endpoint).any(|it| self.has_answered(it, recent));
        if is_failure {
            self.answer_late(now, send);
        }
        is_failure
    }

    /// Counts a time-out as a failure. The endpoint has shown no sign of life by it.
    fn answer_late(&mut self, now: Time, send: &mut RolloutSend) {
        let at = self.answered.get(&send.endpoint).copied();
        self.answer(now, send, RolloutAnswer::Failed);
        match at {
            Some(at) => self.answered.insert(send.endpoint.clone(), at),
            None => self.answered.swap_remove(&send.endpoint),
        };
    }

    fn has_answered(&self, endpoint: &EndpointName, since: Time) -> bool {
        self.answered.get(endpoint).is_some_and(|it| *it > since)
    }

    /// The other endpoints of the pool in the failure domain of this one.
    fn neighbours(&self, endpoint: &EndpointName) -> impl Iterator<Item = &EndpointName> {
        let place = self.places.get(endpoint);
        let others = self
            .places
            .iter()
            .filter(move |(name, it)| *name != endpoint && place.is_some_and(|place| place == *it));
        others.map(|(name, _)| name)
    }

    /// Ends a send, with or without an answer.
    pub fn end(&mut self, now: Time, send: RolloutSend) {
        self.stop_running(&send);
        if let Some(row) = self.rows.get_mut(&send.pool)
            && row.side(send.version.as_ref()) == RolloutSide::Old
        {
            row.add_run(now, now.since(send.began));
        }
    }

    /// Whether a renewal is worth sending before the usual time.
    pub fn has_news(&self, now: Time) -> bool {
        let is_due = |row: &GateRow| {
            let waited = now.since(row.reported_at);
            let runs = self.running.get(&row.rollout.pool);
            let has_old = runs.is_some_and(|it| it.keys().any(|it| is_old(row, it)));
            let interval = match row.rollout.phase {
                RolloutPhase::Switch => SWITCH_INTERVAL,
                _ => NEWS_INTERVAL,
            };
            waited >= interval && row.has_news(now)
                || waited >= URGENT_INTERVAL && row.has_urgent_news(has_old)
        };
        self.rows.values().any(is_due)
    }

    /// Returns the part of a renewal about rollouts: a row for each that is open. What a
    /// lost one holds is in the next again.
    pub fn take_reports(&mut self, now: Time) -> Vec<RolloutReport> {
        let Self { rows, running, .. } = self;
        let open = rows.values_mut().filter(|it| it.rollout.phase.is_open());
        let report = |row: &mut GateRow| {
            let mut report = row.report(now);
            for (version, sends) in running.get(&row.rollout.pool).into_iter().flatten() {
                let count = u32::try_from(sends.len()).unwrap_or(u32::MAX);
                if !is_old(row, version) {
                    report.new_in_flight += count;
                    continue;
                }
                report.old_in_flight += count;
                let first = sends.values().next().map_or(Millis(0), |it| now.since(*it));
                report.old_run = report.old_run.max(first);
            }
            let is_switch = row.rollout.phase == RolloutPhase::Switch;
            row.is_idle |= is_switch && report.old_in_flight == 0;
            report
        };
        open.map(report).collect()
    }

    /// Applies the reply to a renewal that was asked for at `asked`, after the reply's
    /// tables. To be called with replies without grants too.
    pub fn apply(&mut self, now: Time, asked: Time, grants: &[RolloutGrant]) {
        self.asked = self.asked.max(asked);
        for sends in self.recent.values_mut() {
            while sends.front().is_some_and(|it| *it < self.asked) {
                sends.pop_front();
            }
        }
        self.recent.retain(|_, sends| !sends.is_empty());
        for it in grants {
            if let Some(row) = self.rows.get_mut(&it.pool) {
                row.apply(now, asked, it);
            }
        }
    }

    /// The row of the rollout that counts a send, if it is still the pool's latest.
    fn counting_row(&mut self, send: &RolloutSend) -> Option<&mut GateRow> {
        let row = self.rows.get_mut(&send.pool)?;
        (Some(row.rollout.number) == send.number).then_some(row)
    }

    fn stop_running(&mut self, send: &RolloutSend) {
        let Some(pool) = self.running.get_mut(&send.pool) else {
            return;
        };
        if let Some(sends) = pool.get_mut(&send.version) {
            sends.remove(&send.id);
        }
        pool.retain(|_, sends| !sends.is_empty());
        if pool.is_empty() {
            self.running.swap_remove(&send.pool);
        }
    }
}

/// Whether a version is another than that of the rollout.
fn is_old(row: &GateRow, version: &Option<SoftwareVersion>) -> bool {
    version.as_ref() != Some(&row.rollout.to)
}

/// The route of calls of a stage, which hold pieces of several: the pool stands for it.
pub fn call_route(pool: &PoolName) -> RouteName {
    pool.as_str().parse().expect("names of pools and routes have one form")
}

/// The numbers of sends in the bins of time before now, the latest first.
fn count_early(now: Time, sends: &VecDeque<Time>) -> Vec<u32> {
    let mut bins = Vec::new();
    for at in sends.iter().filter(|it| now.since(**it) < EARLY_TIME) {
        let bin = (now.since(*at).0 / EARLY_BIN.0) as usize;
        if bin >= bins.len() {
            bins.resize(bin + 1, 0);
        }
        bins[bin] += 1;
    }
    bins
}
