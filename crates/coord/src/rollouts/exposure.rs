//! What the instances have sent to the new version, and what they still may.

use {
    super::{EARLY_BIN, GRANT_VALIDITY, RolloutReport, RolloutTotals, RolloutView},
    crate::{
        control::{LEASE_DURATION, LEASE_MARGIN, LONG_POLL, ShareHolder},
        ids::Term,
        tables::RolloutPhase,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// How often reports are acknowledged without sends: as often as renewals are replied to
/// without any news.
const REPLY_INTERVAL: Millis = LONG_POLL;
/// The time over which the rate of requests is measured, and the time between two samples.
const RATE_WINDOW: Millis = Millis(3000);
const RATE_INTERVAL: Millis = Millis(250);
/// The part of an instance's demand that is kept from one report to the next.
const DEMAND_DECAY: f64 = 0.7;
/// The demand that each instance is assumed to have, so that one without any gets a send
/// now and then and can serve its first request.
const BASE_DEMAND: f64 = 0.05;

/// A number of sends, valid until a time since its holder learned of the rollout.
#[derive(Debug)]
struct Sent {
    id: u64,
    sends: u32,
    expires: Millis,
}

/// What one run of an instance has reported, and what it was granted.
#[derive(Debug)]
pub(super) struct HolderRow {
    seq: u64,
    /// The latest report up to which the evidence is complete; 0 if it isn't.
    pub seen: u64,
    phase: RolloutPhase,
    known_for: Millis,
    requests: u64,
    new_sends: u64,
    /// The sends to the new version after the order and before the instance knew of it.
    early: u64,
    held: u32,
    /// The latest grant that the holder has applied.
    grant: u64,
    /// What may not have reached the holder.
    sent: VecDeque<Sent>,
    old_in_flight: u32,
    new_in_flight: u32,
    old_run: Millis,
    demand: f64,
    /// The sends that it is due and hasn't got.
    due: f64,
    /// The report that was last replied to, and when.
    replied: (u64, Time),
}

impl HolderRow {
    /// The sends that are granted and may yet be used.
    fn outstanding(&self) -> u64 {
        u64::from(self.held) + self.sent.iter().map(|it| u64::from(it.sends)).sum::<u64>()
    }

    /// Whether its latest report is to be replied to without sends too.
    pub fn wants_reply(&self, now: Time) -> bool {
        let (seq, at) = self.replied;
        seq == 0 || seq < self.seq && now.since(at) >= REPLY_INTERVAL
    }
}

/// Sums over all instances, and the rows that they are made of. The row of an instance that
/// is gone stays: what it has sent or could have sent counts until the rollout ends.
#[derive(Debug)]
pub(super) struct Exposure {
    rows: IndexMap<ShareHolder, HolderRow>,
    /// Grants of this leader have higher ids.
    first_id: u64,
    next_id: u64,
    since: Time,
    /// Whether no grant of an earlier leader can be used any more.
    pub is_ready: bool,
    /// The greatest sums that instances were told by earlier leaders.
    told: RolloutTotals,
    /// The part of them by instances that this leader hasn't heard of.
    lost: RolloutTotals,
    /// The number of requests at times in the past.
    samples: VecDeque<(Time, u64)>,
}

impl Exposure {
    pub fn new(now: Time, term: Term, is_fresh: bool) -> Self {
        Self {
            rows: IndexMap::new(),
            first_id: term.0 << 32,
            next_id: term.0 << 32,
            since: now,
            is_ready: is_fresh,
            told: RolloutTotals::default(),
            lost: RolloutTotals::default(),
            samples: VecDeque::new(),
        }
    }

    /// Takes in the counts of a report. Returns whether its evidence can be taken in too:
    /// it is later than those before and goes on from one of them.
    /// `age` is the time since the order.
    pub fn record(&mut self, age: Millis, from: ShareHolder, report: &RolloutReport) -> bool {
        self.told.requests = self.told.requests.max(report.totals.requests);
        self.told.sends = self.told.sends.max(report.totals.sends);
        let row = self.rows.entry(from).or_insert_with(|| HolderRow {
            seq: 0,
            seen: 0,
            phase: report.phase,
            known_for: Millis(0),
            requests: report.requests,
            new_sends: 0,
            early: 0,
            held: 0,
            grant: 0,
            sent: VecDeque::new(),
            old_in_flight: 0,
            new_in_flight: 0,
            old_run: Millis(0),
            demand: 0.0,
            due: 0.0,
            replied: (0, Time(0)),
        });
        if report.seq <= row.seq {
            return false;
        }
        row.demand =
            row.demand * DEMAND_DECAY + report.requests.saturating_sub(row.requests) as f64;
        row.seq = report.seq;
        row.phase = report.phase;
        row.known_for = report.known_for;
        row.requests = report.requests;
        row.new_sends = report.new_sends;
        let unknown = age.0.saturating_sub(report.known_for.0);
        let bins = usize::try_from(unknown.div_ceil(EARLY_BIN.0)).unwrap_or(usize::MAX);
        row.early = report.early.iter().take(bins).map(|it| u64::from(*it)).sum();
        row.held = report.held;
        row.grant = report.grant;
        row.sent.retain(|it| it.id > report.grant && it.expires > report.known_for);
        row.old_in_flight = report.old_in_flight;
        row.new_in_flight = report.new_in_flight;
        row.old_run = report.old_run;
        let is_complete = report.base <= row.seen;
        if is_complete {
            row.seen = report.seq;
        }
        is_complete
    }

    /// Finds out whether sends may be granted: each instance with a lease has applied a
    /// reply of this leader, after which it takes no grants of earlier ones, or has had no
    /// lease under this leader for as long as one lasts.
    pub fn check_ready(&mut self, now: Time, view: &RolloutView) {
        if self.is_ready {
            return;
        }
        let is_settled =
            |holder| self.rows.get(holder).is_some_and(|it: &HolderRow| it.grant > self.first_id);
        let leased = view.instances.iter().filter(|(_, end)| now < **end);
        let all = leased.map(|it| it.0).all(is_settled);
        let is_heard = view.unheard_until.is_none_or(|it| now >= it);
        let ended = self.since + LEASE_DURATION + LEASE_MARGIN + GRANT_VALIDITY;
        if all && is_heard || now >= ended {
            self.is_ready = true;
            let known = self.known();
            self.lost.requests = self.told.requests.saturating_sub(known.requests);
            self.lost.sends = self.told.sends.saturating_sub(known.sends);
        }
    }

    /// The sums over the instances that this leader has heard of.
    fn known(&self) -> RolloutTotals {
        RolloutTotals {
            requests: self.rows.values().map(|it| it.requests).sum(),
            sends: self.rows.values().map(|it| it.new_sends + it.early + it.outstanding()).sum(),
        }
    }

    pub fn totals(&self) -> RolloutTotals {
        let known = self.known();
        if self.is_ready {
            let requests = known.requests + self.lost.requests;
            return RolloutTotals { requests, sends: known.sends + self.lost.sends };
        }
        RolloutTotals {
            requests: known.requests.max(self.told.requests),
            sends: known.sends.max(self.told.sends),
        }
    }

    /// The sends that are granted and may yet be used, by instances that may have a lease.
    pub fn outstanding(&self, now: Time, view: &RolloutView) -> u64 {
        self.leased(now, view).map(HolderRow::outstanding).sum()
    }

    /// The sends to the new version that may yet be answered, by instances that may have a
    /// lease. `answers` is how many have been.
    pub fn unanswered(&self, now: Time, view: &RolloutView, answers: u64) -> u64 {
        let in_flight: u64 = self.leased(now, view).map(|it| u64::from(it.new_in_flight)).sum();
        let sent: u64 = self.rows.values().map(|it| it.new_sends + it.early).sum();
        self.outstanding(now, view) + in_flight.min(sent.saturating_sub(answers))
    }

    /// The rows of instances that may have a lease.
    fn leased(&self, now: Time, view: &RolloutView) -> impl Iterator<Item = &HolderRow> {
        let leased = view.instances.iter().filter(move |(_, end)| now < **end);
        leased.filter_map(|(holder, _)| self.rows.get(holder))
    }

    /// The requests in flight at both versions, at instances that may have a lease.
    pub fn in_flight(&self, now: Time, view: &RolloutView) -> u64 {
        let sum = |it: &HolderRow| u64::from(it.old_in_flight) + u64::from(it.new_in_flight);
        self.leased(now, view).map(sum).sum()
    }

    /// The longest recent run of a request at the old version.
    pub fn old_run(&self, now: Time, view: &RolloutView) -> Millis {
        self.leased(now, view).map(|it| it.old_run).max().unwrap_or_default()
    }

    /// Whether no instance sends to the old version or has a request running there.
    pub fn is_switched(&self, now: Time, view: &RolloutView) -> bool {
        let is_done = |holder: &ShareHolder, end: Time| {
            let row = self.rows.get(holder);
            let has_ended =
                |it: &HolderRow| it.phase == RolloutPhase::Switch && it.old_in_flight == 0;
            let is_restarted =
                |it: &ShareHolder| it.node == holder.node && it.incarnation > holder.incarnation;
            row.is_some_and(has_ended)
                || now >= end + view.longest_timeout
                || view.instances.keys().any(is_restarted)
        };
        view.unheard_until.is_none_or(|it| now >= it + view.longest_timeout)
            && view.instances.iter().all(|(holder, end)| is_done(holder, *end))
    }

    /// Samples the number of requests.
    pub fn sample(&mut self, now: Time) {
        if self.samples.back().is_some_and(|it| now.since(it.0) < RATE_INTERVAL) {
            return;
        }
        let requests = self.totals().requests;
        self.samples.push_back((now, requests));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= RATE_WINDOW {
            self.samples.pop_front();
        }
    }

    /// The requests of the pool in a second.
    pub fn rate(&self) -> f64 {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return 0.0;
        };
        let time = last.0.since(first.0).0.max(RATE_INTERVAL.0);
        last.1.saturating_sub(first.1) as f64 * 1000.0 / time as f64
    }

    /// The instance that gets the next send: smooth weighted round-robin by demand.
    pub fn next_turn(&mut self, ready: &[ShareHolder]) -> Option<ShareHolder> {
        let sum: f64 = ready.iter().map(|it| self.rows[it].demand + BASE_DEMAND).sum();
        for holder in ready {
            let row = &mut self.rows[holder];
            row.due += (row.demand + BASE_DEMAND) / sum;
        }
        let due = |it: &&ShareHolder| self.rows[*it].due;
        let next = *ready.iter().max_by(|a, b| due(a).total_cmp(&due(b)))?;
        self.rows[&next].due -= 1.0;
        Some(next)
    }

    pub fn row(&self, holder: &ShareHolder) -> Option<&HolderRow> {
        self.rows.get(holder)
    }

    /// The number of instances in `ready` that have had requests lately.
    pub fn active(&self, ready: &[ShareHolder]) -> u64 {
        ready.iter().filter(|it| self.rows[*it].demand >= 1.0).count() as u64
    }

    /// Notes a reply with a grant. Returns its id, and the report that it acknowledges.
    pub fn note_reply(&mut self, now: Time, holder: ShareHolder, sends: u32) -> (u64, u64) {
        self.next_id += 1;
        let row = &mut self.rows[&holder];
        row.replied = (row.seq, now);
        if sends > 0 {
            let expires = row.known_for + GRANT_VALIDITY;
            row.sent.push_back(Sent { id: self.next_id, sends, expires });
        }
        (self.next_id, row.seen)
    }
}
