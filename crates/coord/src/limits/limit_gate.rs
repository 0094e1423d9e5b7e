//! An instance's side of the limits: which endpoints are limited, and what it may send
//! to them.

use {
    super::{
        BrittlePressure, EndpointDoubt, EndpointLimit, LimitDemand, LimitList, LimitListUpdate,
        LimitNotice, LimitReply, LimitReport, LimitRequest, SendGrant, brittle::base_rate,
        knowledge::Knowledge,
    },
    crate::{
        ids::{EndpointName, Generation, Rate},
        tables::{Endpoint, Tables},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// How long a grant is valid. Together with the credit that the leader saves up, it keeps
/// what arrives in 4 s below one and a half times the limit.
pub const GRANT_VALIDITY: Millis = Millis(1000);

/// How long a grant for an endpoint in its cold start, or for a brittle one, is valid.
/// Together with the credit that the leader saves up, it keeps what arrives in one second
/// below one and a half times the rate.
pub const COLD_GRANT_VALIDITY: Millis = Millis(300);

/// How many more requests at a brittle endpoint are reported at once. The leader is to know
/// that an endpoint fills up before it rejects any.
const NEWS_REQUESTS: u32 = 2;

/// How long an instance holds back from a brittle endpoint by itself after a rejection. The
/// leader's list comes sooner unless the instance is cut off or the leader is of an earlier build.
const HOLD_TIME: Millis = Millis(500);

/// A refused connection to an endpoint.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    at: Time,
    /// The first renewal that reported it; 0 before.
    reported: u64,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    sends: u32,
    /// The limit that it was made under.
    limit: Rate,
    expires: Time,
    /// Whether it was made here, by the end of a request at a brittle endpoint.
    is_own: bool,
}

#[derive(Debug, Default)]
struct Row {
    generation: Generation,
    limit: Knowledge,
    /// How many requests the endpoint may reject in a second.
    brittle: Knowledge,
    /// Whether the leader's list says that it may soon reject requests.
    is_pressed: bool,
    /// Requests of this instance there, and how many of them the last renewal reported.
    in_flight: u32,
    reported: u32,
    /// Whether it has rejected a request since the last renewal.
    rejected: bool,
    /// Until when it gets no more than grants allow, as it has rejected a request.
    held_until: Time,
    /// The rate in a cold start, according to the tables.
    cold: Option<Rate>,
    /// Since when this start is in doubt, until the leader has taken that into account.
    doubt: Option<Doubt>,
    /// Since when it is in doubt in the leader's list.
    listed_doubt: Option<Time>,
    /// In the order in which they expire.
    grants: Vec<Grant>,
    /// Sends, and requests for a send without a grant, since the last renewal.
    wanted: u32,
}

/// One send to an endpoint.
#[derive(Debug)]
pub struct SendPermit {
    /// What it was taken from; nothing if the endpoint isn't limited.
    grant: Option<(EndpointName, Generation, Grant)>,
}

/// A change of an endpoint's limit as this instance knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    pub before: Option<Rate>,
    pub limit: Option<Rate>,
}

/// The limits that this instance knows, and the sends that it was granted.
#[derive(Debug, Default)]
pub struct LimitGate {
    rows: IndexMap<EndpointName, Row>,
    /// The incarnations in the tables.
    generations: IndexMap<EndpointName, Generation>,
    /// The rates of cold starts in the pools of the endpoints.
    cold_rates: IndexMap<EndpointName, Rate>,
    /// The number of the leader's list that is held.
    list: u64,
}

impl LimitGate {
    /// Drops the limits and grants of incarnations earlier than those in the tables, and
    /// takes in which endpoints are in a cold start.
    pub fn reload(&mut self, tables: &Tables) {
        let endpoints = tables.endpoints.values();
        self.generations = endpoints.map(|it| (it.name.clone(), it.generation)).collect();
        let rate = |it: &Endpoint| Some((it.name.clone(), tables.pool_cold_rate(&it.pool)?));
        self.cold_rates = tables.endpoints.values().filter_map(rate).collect();
        let generations = &self.generations;
        self.rows.retain(|name, row| generations.get(name).is_some_and(|it| row.generation >= *it));
        for it in tables.endpoints.values() {
            let cold = tables.cold_rate(it);
            let known = self.rows.get(&it.name).map(|row| row.generation);
            // A row of a later generation is of more recent tables.
            let is_current = known.map_or(cold.is_some(), |known| known <= it.generation);
            if is_current {
                self.row(&it.name, it.generation).set_cold(cold);
            }
        }
        self.rows.retain(|_, row| row.is_limited());
    }

    /// Takes in what an answer says. `sent` is when its request was sent: an answer
    /// without a limit ends one only if it was asked for afterwards, since answers may
    /// overtake each other. Returns a change of the limit.
    pub fn note(
        &mut self,
        now: Time,
        sent: Time,
        name: &EndpointName,
        generation: Generation,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        if self.generations.get(name) != Some(&generation) {
            return None;
        }
        let before = self.named_limit(name);
        if before.is_some() || matches!(notice, LimitNotice::Named(_)) {
            let row = self.row(name, generation);
            row.limit.note(now, sent, notice);
            if let LimitNotice::Named(limit) = notice {
                row.lower_grants(limit);
            }
        }
        let limit = self.named_limit(name);
        (limit != before).then_some(LimitChange { before, limit })
    }

    /// Takes in what an answer says of how many requests its endpoint may reject in a
    /// second, as [`Self::note`] does for limits. Returns a change of that.
    pub fn note_brittle(
        &mut self,
        now: Time,
        sent: Time,
        name: &EndpointName,
        generation: Generation,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        if self.generations.get(name) != Some(&generation) {
            return None;
        }
        let named = |gate: &Self| gate.current_row(name)?.brittle.value();
        let before = named(self);
        if before.is_some() || matches!(notice, LimitNotice::Named(_)) {
            self.row(name, generation).brittle.note(now, sent, notice);
        }
        let limit = named(self);
        (limit != before).then_some(LimitChange { before, limit })
    }

    /// Records that a request was sent to an endpoint.
    pub fn note_begin(&mut self, name: &EndpointName, generation: Generation) {
        if let Some(row) = self.rows.get_mut(name).filter(|it| it.generation == generation) {
            row.in_flight += 1;
        }
    }

    /// Records that a request ended at an endpoint, or that nothing of it was sent. If the
    /// endpoint was brittle and had run it (`made_room`), there is room for another: this
    /// instance may send one within a short time.
    pub fn note_end(
        &mut self,
        now: Time,
        name: &EndpointName,
        generation: Generation,
        made_room: bool,
    ) {
        let Some(row) = self.rows.get_mut(name).filter(|it| it.generation == generation) else {
            return;
        };
        row.in_flight = row.in_flight.saturating_sub(1);
        if made_room && row.takes_ends() {
            row.drop_expired(now);
            let expires = now + COLD_GRANT_VALIDITY;
            row.grants.push(Grant { sends: 1, limit: Rate(0), expires, is_own: true });
            row.grants.sort_by_key(|it| it.expires);
        }
    }

    /// Records that an endpoint rejected a request. If it is brittle, what earlier ends left has
    /// been taken by others, and this instance holds back at once, also while it is cut off from
    /// the leader.
    pub fn note_rejection(&mut self, now: Time, name: &EndpointName, generation: Generation) {
        let row = self.rows.get_mut(name).filter(|it| it.generation == generation);
        if let Some(row) = row.filter(|it| it.brittle.value().is_some()) {
            row.grants.retain(|it| !it.is_own);
            row.rejected = true;
            row.held_until = now + HOLD_TIME;
        }
    }

    /// Records that a connection to an endpoint was refused: until a later start of it is
    /// known, or the leader hears of this one, it counts as cold if its pool has cold starts,
    /// and its version isn't known. Returns whether that is new.
    pub fn doubt(&mut self, now: Time, name: &EndpointName, generation: Generation) -> bool {
        if self.generations.get(name) != Some(&generation) {
            return false;
        }
        let row = self.row(name, generation);
        if row.is_doubted() {
            return false;
        }
        row.doubt = Some(Doubt { at: now, reported: 0 });
        if self.cold_rates.contains_key(name) {
            self.rows[name].grants.clear();
        }
        true
    }

    /// Returns the limit of an endpoint, if it names one, is brittle, in a cold start or in
    /// doubt. To a brittle one more may be sent as requests end there.
    pub fn limit(&self, name: &EndpointName) -> Option<Rate> {
        let row = self.current_row(name)?;
        let doubted = self.cold_rates.get(name).copied().filter(|_| row.is_doubted());
        let named = self.named_limit(name).into_iter().chain(row.brittle_rate());
        named.chain(row.cold).chain(doubted).min()
    }

    /// Whether the endpoint may have started again since it announced itself.
    pub fn is_doubted(&self, name: &EndpointName) -> bool {
        self.current_row(name).is_some_and(Row::is_doubted)
    }

    /// Returns the limit that an endpoint names, if it names one. One that this instance
    /// has read to have ended counts until the leader's list is without it.
    fn named_limit(&self, name: &EndpointName) -> Option<Rate> {
        self.current_row(name)?.limit.value()
    }

    fn current_row(&self, name: &EndpointName) -> Option<&Row> {
        let row = self.rows.get(name)?;
        (self.generations.get(name) == Some(&row.generation)).then_some(row)
    }

    /// Whether a send to an endpoint is possible now.
    pub fn may_send(&self, now: Time, name: &EndpointName) -> bool {
        let granted = |row: &Row| row.grants.iter().any(|it| row.is_usable(now, it));
        !self.is_bounded(now, name) || self.rows.get(name).is_some_and(granted)
    }

    /// Whether an endpoint gets no more than grants allow.
    fn is_bounded(&self, now: Time, name: &EndpointName) -> bool {
        let is_held = |it: &Row| it.brittle.value().is_some() && it.held_until > now;
        self.limit(name).is_some() || self.current_row(name).is_some_and(is_held)
    }

    /// Takes one send to an endpoint; nothing if it is limited and none is granted.
    pub fn take(&mut self, now: Time, name: &EndpointName) -> Option<SendPermit> {
        let is_bounded = self.is_bounded(now, name);
        let Some(row) = self.rows.get_mut(name).filter(|it| is_bounded || it.takes_ends()) else {
            return (!is_bounded).then_some(SendPermit { grant: None });
        };
        row.wanted += u32::from(is_bounded);
        row.drop_expired(now);
        // A send that needs no grant takes up the room of an ended request all the same.
        if !is_bounded && !row.grants.iter().any(|it| it.is_own) {
            return Some(SendPermit { grant: None });
        }
        // Those of ended requests go first, so that few are saved up: the room that they stand
        // for is filled by whatever is sent.
        let at = row.grants.iter().position(|it| it.is_own).unwrap_or(0);
        let grant = row.grants.get_mut(at)?;
        grant.sends -= 1;
        let one = Grant { sends: 1, ..*grant };
        Some(SendPermit { grant: Some((name.clone(), row.generation, one)) })
    }

    /// Returns a send that was not used: no byte of it has left.
    pub fn put_back(&mut self, permit: SendPermit) {
        let Some((name, generation, grant)) = permit.grant else {
            return;
        };
        if let Some(row) = self.rows.get_mut(&name).filter(|it| it.generation == generation) {
            row.grants.insert(0, grant);
        }
    }

    /// Counts a request that another send to an endpoint would have served.
    pub fn want(&mut self, name: &EndpointName) {
        if let Some(row) = self.rows.get_mut(name) {
            row.wanted += 1;
        }
    }

    /// Whether an answer has said something that no renewal has reported.
    pub fn has_news(&self) -> bool {
        let is_news = |it: &Row| {
            it.limit.has_news()
                || it.has_brittle_news()
                || it.doubt.is_some_and(|it| it.reported == 0)
        };
        self.rows.values().any(is_news)
    }

    /// Returns the part of a renewal about limits. `seq` is the renewal's number, and
    /// `whole` whether the leader asked for all that is known.
    pub fn request(&mut self, now: Time, seq: u64, whole: bool) -> LimitRequest {
        let mut request = LimitRequest { list: self.list, ..LimitRequest::default() };
        for (name, row) in &mut self.rows {
            let report = |(limit, at)| LimitReport {
                endpoint: name.clone(),
                generation: row.generation,
                limit,
                age: now.since(at),
            };
            request.reports.extend(row.limit.report(seq, whole).map(report));
            request.brittle.extend(row.brittle.report(seq, whole).map(report));
            row.reported = row.in_flight;
            let rejected = std::mem::take(&mut row.rejected);
            if row.brittle.value().is_some() && (row.in_flight > 0 || rejected) {
                let (endpoint, generation) = (name.clone(), row.generation);
                let in_flight = row.in_flight;
                let pressure = BrittlePressure { endpoint, generation, in_flight, rejected };
                request.pressure.push(pressure);
            }
            if let Some(doubt) = row.doubt.as_mut().filter(|it| it.reported == 0) {
                doubt.reported = seq;
            }
            let listed = row.listed_doubt.filter(|_| whole);
            if let Some(at) = row.doubt.map(|it| it.at).or(listed) {
                let (endpoint, generation) = (name.clone(), row.generation);
                request.doubts.push(EndpointDoubt { endpoint, generation, age: now.since(at) });
            }
            let sends = std::mem::take(&mut row.wanted);
            if sends > 0 {
                request.demand.push(LimitDemand { endpoint: name.clone(), sends });
            }
        }
        request
    }

    /// Applies the reply to renewal `seq`, which was sent at `asked`. Returns the limits
    /// that changed by it.
    pub fn apply(
        &mut self,
        now: Time,
        asked: Time,
        seq: u64,
        reply: LimitReply,
    ) -> Vec<(EndpointName, LimitChange)> {
        let limit = |name: &EndpointName| self.named_limit(name);
        let before: IndexMap<EndpointName, Option<Rate>> =
            self.rows.keys().map(|it| (it.clone(), limit(it))).collect();
        let accounted = match reply.list {
            LimitListUpdate::Unknown => false,
            LimitListUpdate::Same => true,
            // A late reply of an earlier leader has a lower number.
            LimitListUpdate::New(list) if list.number <= self.list => false,
            LimitListUpdate::New(list) => {
                self.set_list(now, list);
                true
            }
        };
        if accounted {
            for row in self.rows.values_mut() {
                row.limit.forget_reported(seq);
                row.brittle.forget_reported(seq);
                row.doubt = row.doubt.filter(|it| it.reported == 0 || it.reported > seq);
            }
        }
        for it in &reply.sends {
            self.add_grant(now, it, asked + reply.held);
        }
        self.rows.retain(|_, row| row.is_limited());
        let names: IndexSet<&EndpointName> = before.keys().chain(self.rows.keys()).collect();
        let change = |name: &EndpointName| LimitChange {
            before: before.get(name).copied().flatten(),
            limit: self.named_limit(name),
        };
        let changes = names.into_iter().map(|it| (it.clone(), change(it)));
        changes.filter(|(_, it)| it.before != it.limit).collect()
    }

    fn set_list(&mut self, now: Time, list: LimitList) {
        self.list = list.number;
        for row in self.rows.values_mut() {
            row.limit.set_listed(None);
            row.brittle.set_listed(None);
            row.is_pressed = false;
            row.listed_doubt = None;
        }
        let named_at = |it: &EndpointLimit| Time(now.0.saturating_sub(it.age.0));
        for it in list.limits {
            let row = self.row(&it.endpoint, it.generation);
            row.limit.set_listed(Some((it.limit, named_at(&it))));
            row.lower_grants(it.limit);
        }
        for it in list.brittle {
            let row = self.row(&it.endpoint, it.generation);
            if row.generation == it.generation {
                row.brittle.set_listed(Some((it.limit, named_at(&it))));
                row.lower_grants(base_rate(it.limit));
            }
        }
        for it in &list.pressed {
            if let Some(row) = self.rows.get_mut(it) {
                row.is_pressed = row.brittle.listed_value().is_some();
            }
        }
        for it in list.doubts {
            let row = self.row(&it.endpoint, it.generation);
            if row.generation == it.generation {
                row.listed_doubt = Some(Time(now.0.saturating_sub(it.age.0)));
            }
        }
    }

    /// Adds a grant that was made no earlier than at `made`.
    fn add_grant(&mut self, now: Time, grant: &SendGrant, made: Time) {
        let limit = self.limit(&grant.endpoint).unwrap_or(grant.limit);
        let row = self.rows.get_mut(&grant.endpoint);
        if let Some(row) = row.filter(|it| it.generation == grant.generation) {
            let is_doubted = row.is_doubted() && self.cold_rates.contains_key(&grant.endpoint);
            let is_short = row.cold.is_some() || is_doubted || row.brittle_rate().is_some();
            let validity = if is_short { COLD_GRANT_VALIDITY } else { GRANT_VALIDITY };
            let expires = made + validity;
            if expires <= now {
                return;
            }
            row.grants.push(Grant {
                sends: grant.sends,
                limit: grant.limit,
                expires,
                is_own: false,
            });
            row.grants.sort_by_key(|it| it.expires);
            row.lower_grants(limit);
        }
    }

    /// Returns the row of an incarnation, in place of one of an earlier one.
    fn row(&mut self, name: &EndpointName, generation: Generation) -> &mut Row {
        let row = self.rows.entry(name.clone()).or_default();
        if row.generation < generation {
            *row = Row { generation, ..Row::default() };
        }
        row
    }
}

impl Row {
    fn is_limited(&self) -> bool {
        let is_named = self.limit.is_known() || self.brittle.is_known();
        is_named || self.cold.is_some() || self.is_doubted()
    }

    fn is_doubted(&self) -> bool {
        self.doubt.is_some() || self.listed_doubt.is_some()
    }

    /// Sets the rate in a cold start. Grants made before one began are too many for it.
    fn set_cold(&mut self, cold: Option<Rate>) {
        if self.cold.is_none() && cold.is_some() {
            self.grants.clear();
        }
        self.cold = cold;
    }

    /// The rate of grants to a brittle endpoint. Only the leader's list sets one: a leader of
    /// an earlier build grants nothing, and all would be refused.
    fn brittle_rate(&self) -> Option<Rate> {
        self.brittle.listed_value().filter(|_| self.is_pressed).map(base_rate)
    }

    /// Whether the leader should soon hear of a brittle endpoint.
    fn has_brittle_news(&self) -> bool {
        let has_grown = self.in_flight >= self.reported + NEWS_REQUESTS;
        let is_brittle = self.brittle.value().is_some() && !self.is_pressed;
        self.brittle.has_news() || is_brittle && (self.rejected || has_grown)
    }

    /// Whether an ended request makes room for another: the endpoint is brittle, and no limit
    /// bounds what it gets in sum.
    fn takes_ends(&self) -> bool {
        let is_cold = self.cold.is_some() || self.is_doubted();
        self.brittle.value().is_some() && self.limit.value().is_none() && !is_cold
    }

    fn is_usable(&self, now: Time, grant: &Grant) -> bool {
        grant.sends > 0 && grant.expires > now && (!grant.is_own || self.takes_ends())
    }

    fn drop_expired(&mut self, now: Time) {
        let mut grants = std::mem::take(&mut self.grants);
        grants.retain(|it| self.is_usable(now, it));
        self.grants = grants;
    }

    /// Scales down the grants that were made under a higher limit.
    fn lower_grants(&mut self, limit: Rate) {
        for it in self.grants.iter_mut().filter(|it| it.limit > limit) {
            it.sends = (u64::from(it.sends) * limit.0 / it.limit.0) as u32;
            it.limit = limit;
        }
    }
}
