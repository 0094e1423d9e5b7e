//! The leader's handling of renewals.

use {
    super::{
        Completion, EndpointReport, Grants, Holding, LEASE_DURATION, LEASE_MARGIN, LeaseRow,
        RenewError, RenewReply, RenewRequest, ShareHolder, Token, Update, UpdateForm, Voter,
        VoterList,
        voter::{Renewal, Revisions, Told},
    },
    crate::{
        ids::{EndpointName, Index, NodeId, Slots},
        limits::LimitReply,
        raft::Role,
        time::{Millis, Time},
    },
};

/// What each instance in the roster adds to the least time between two replies with news to
/// the same one. Replies to all instances thus take the same part of the leader's time
/// however many there are.
const NEWS_GAP_PER_INSTANCE: Millis = Millis(1);

impl Voter {
    /// Checks whether this voter can answer a renewal of the sender now.
    pub(super) fn check_renewal(
        &self,
        now: Time,
        request: &RenewRequest,
    ) -> Result<(), RenewError> {
        if self.raft.role() != Role::Leader {
            return Err(RenewError::NotLeader { leader: self.leader_addr() });
        }
        if !self.can_grant(now) || self.applied < request.applied {
            return Err(RenewError::NotReady);
        }
        let member = self.state.tables.roster.get(&request.node);
        match member {
            Some(it) if it.incarnation == request.incarnation => Ok(()),
            _ => Err(RenewError::NotMember),
        }
    }

    /// Records what a renewal reports.
    pub(super) fn record_request(&mut self, now: Time, request: &RenewRequest) {
        let holder = holder_of(request);
        self.leases.record_progress(request.node, request.applied, request.version);
        if let Some(held) = &request.holdings {
            self.restore_shares(holder, request.grants_number, held);
        }
        self.shares.confirm(holder, request.grants_number, &request.excess);
        self.shares.set_demand(holder, &request.demand);
        self.teams.report(holder, &request.teams);
        if let Some(limits) = &request.limits {
            for it in &limits.reports {
                self.limits.record(now, it, &self.state.tables);
            }
            for it in &limits.brittle {
                self.limits.record_brittle(now, it, &self.state.tables);
            }
            self.limits.record_pressure(now, holder, &limits.pressure, &self.state.tables);
            for it in &limits.doubts {
                self.limits.record_doubt(now, it, &self.state.tables);
            }
            self.limits.add_demand(holder, &limits.demand);
        }
        self.rollouts.record(now, holder, &request.rollouts);
        self.record_load(now, holder, request);
        self.cut.record(request.node, request.cut);
        for it in &request.crashes {
            self.crashes.record_crash(now, it);
        }
        for it in &request.answered {
            self.crashes.record_answer(now, it);
        }
        for it in &request.answered_pools {
            self.crashes.record_pool_answer(now, it);
        }
        for it in &request.reports {
            self.endpoints.record_report(it, now);
            self.limits.record_announcement(now, &it.endpoint, it.generation);
            self.crashes.record_announcement(now, &it.endpoint, it.generation);
        }
        for (name, generation) in &request.healthy {
            self.endpoints.record_success(name, *generation);
        }
        for it in &request.faults {
            let endpoint = self.state.tables.endpoints.get(&it.endpoint);
            if let Some(endpoint) = endpoint.filter(|e| e.generation == it.generation) {
                self.endpoints.record_fault(endpoint, it.kind, now);
                self.shares.revoke(&it.endpoint, Some(holder));
            }
        }
    }

    /// Registers a holder with the shares that it reports, as granted by this or an
    /// earlier leader.
    fn restore_shares(&mut self, holder: ShareHolder, number: u64, held: &[Holding]) {
        self.shares.register(holder, number, held);
        self.unreported.swap_remove(&holder.node);
        for it in held {
            if let Some(endpoint) = self.state.tables.endpoints.get(&it.endpoint) {
                let sum = Slots(self.shares.granted(&it.endpoint));
                self.endpoints.restore(&it.endpoint, sum, endpoint);
            }
        }
    }

    /// Ends the lease of an instance that is stopping.
    pub(super) fn release_lease(&mut self, token: Token, request: &RenewRequest) {
        self.leases.remove(request.node);
        self.load.remove(holder_of(request));
        if let Some(old) = self.renewals.shift_remove(&request.node) {
            self.completions
                .push(Completion::Renewal(old.token, Box::new(Err(RenewError::Superseded))));
        }
        let reply = self.reply(request, None);
        self.completions.push(Completion::Renewal(
            token,
            Box::new(Ok(RenewReply { lease: Millis(0), ..reply })),
        ));
    }

    /// Answers the delayed renewals that are due or whose senders there is news for.
    pub(super) fn answer_renewals(&mut self, now: Time) {
        let revisions = self.revisions();
        let due = |(node, it): &(&NodeId, &Renewal)| {
            now >= it.deadline
                || self.limits.has_grants(holder_of(&it.request))
                || self.rollouts.has_grants(holder_of(&it.request))
                || (it.seen != revisions || self.has_limit_news(it))
                    && !self.is_held_back(now, **node)
        };
        let nodes: Vec<NodeId> = self.renewals.iter().filter(due).map(|(node, _)| *node).collect();
        for node in nodes {
            self.answer_renewal(now, node);
        }
    }

    /// Whether an instance got news so shortly ago that more has to wait. Changes of
    /// rollouts don't wait.
    fn is_held_back(&self, now: Time, node: NodeId) -> bool {
        let applied = self.renewals.get(&node).map(|it| it.request.applied);
        if applied.is_some_and(|it| it < self.rollouts.last()) {
            return false;
        }
        let gap = Millis(self.state.tables.roster.len() as u64 * NEWS_GAP_PER_INSTANCE.0);
        let told_at = self.told.get(&node).and_then(|it| it.at);
        told_at.is_some_and(|at| now < at + gap)
    }

    /// Answers one renewal if it is due or there is something new for its sender.
    pub(super) fn answer_renewal(&mut self, now: Time, node: NodeId) {
        if self.raft.lease().is_none_or(|it| it <= now) {
            let it = self.renewals.shift_remove(&node).expect("the renewal is pending");
            let err = Err(RenewError::NotReady);
            self.completions.push(Completion::Renewal(it.token, Box::new(err)));
            return;
        }
        let revisions = self.revisions();
        let is_held_back = self.is_held_back(now, node);
        let it = &mut self.renewals[&node];
        let holder = holder_of(&it.request);
        let known = self.shares.contains(holder);
        let granted = self.limits.has_grants(holder) || self.rollouts.has_grants(holder);
        let is_due = now >= it.deadline || !known || granted;
        if is_held_back && !is_due {
            return;
        }
        it.seen = revisions;
        let it = &self.renewals[&node];
        let mut grants = None;
        if known && self.may_raise(now) {
            let allowed = |name: &EndpointName| self.endpoints.allowed(name, now);
            grants = self.shares.next_grants(holder, allowed);
        }
        if grants.is_none()
            && known
            && it.request.grants_number != self.shares.grants_number(holder)
        {
            grants = self.shares.last_grants(holder);
        }
        let has_update = it.request.applied < self.feed.last() || it.request.applied == Index(0);
        let told = self.told.get(&node).copied().unwrap_or_default();
        let news = granted || self.has_limit_news(it) || told.revisions != self.news();
        let told_at = if grants.is_some() || has_update || news { Some(now) } else { told.at };
        if grants.is_none() && !has_update && known && !news && now < it.deadline {
            return;
        }
        let it = self.renewals.shift_remove(&node).expect("the renewal is pending");
        let row = LeaseRow {
            incarnation: it.request.incarnation,
            until: now,
            index: it.request.applied,
            version: it.request.version,
        };
        self.leases.grant(now, node, row);
        self.told.insert(node, Told { revisions: self.news(), at: told_at });
        let mut reply = self.reply(&it.request, grants);
        let held = now.since(it.received);
        reply.limits = it.request.limits.as_ref().map(|limits| LimitReply {
            list: self.limits.list_update(now, limits.list, known),
            sends: self.limits.take_grants(holder),
            held,
        });
        reply.rollouts = self.rollouts.take_grants(holder);
        reply.load = self.load_reply(now, &it.request);
        reply.shares_in = self.shares_in(now);
        self.completions.push(Completion::Renewal(it.token, Box::new(Ok(reply))));
    }

    /// Divides sends to limited endpoints among the instances whose renewals wait for a
    /// reply.
    pub(super) fn grant_sends(&mut self, now: Time) {
        let is_ready = self.limits.check_ready(now, || self.unreported.is_empty());
        if !is_ready || self.raft.lease().is_none_or(|it| it <= now) {
            return;
        }
        let waiting = self.renewals.values().filter(|it| it.request.limits.is_some());
        let holders = waiting.map(|it| holder_of(&it.request));
        let ready = holders.filter(|it| self.shares.contains(*it)).collect();
        self.limits.grant(now, &ready);
    }

    /// Whether there is something new about limits for the sender of a renewal.
    fn has_limit_news(&self, renewal: &Renewal) -> bool {
        let Some(limits) = &renewal.request.limits else {
            return false;
        };
        let holder = holder_of(&renewal.request);
        let known = self.shares.contains(holder);
        self.limits.has_grants(holder) || self.limits.has_new_list(limits.list, known)
    }

    fn revisions(&self) -> Revisions {
        let (suspects, cut) = self.news();
        Revisions { shares: self.shares.revision(), suspects, cut, last: self.feed.last() }
    }

    /// The revisions of what all instances are told.
    fn news(&self) -> (u64, u64) {
        (self.crashes.revision(), self.cut.revision())
    }

    fn reply(&mut self, request: &RenewRequest, grants: Option<Grants>) -> RenewReply {
        let tables = &self.state.tables;
        let form = match (request.packed, request.packed_tables) {
            (false, _) => UpdateForm::Plain,
            (true, false) => UpdateForm::PackedCatalog,
            (true, true) if request.reads_rollouts => UpdateForm::WithRollouts,
            (true, true) => UpdateForm::Packed,
        };
        let update = self.feed.update(request.applied, form, tables);
        let size = self.feed.update_size(request.applied, &update);
        let count = self.feed.count_after(request.applied);
        self.update_stats.record(request.node, request.applied, &update, (count, size));
        let index = match update {
            Update::Same => request.applied,
            Update::Deltas(_) | Update::PackedDeltas(_) => self.feed.last(),
            Update::Full(_) | Update::Packed { .. } | Update::PackedTables { .. } => self.applied,
        };
        let loads = grants.iter().flat_map(|it| &it.shares).filter_map(|it| self.load_of(it));
        RenewReply {
            term: self.raft.term(),
            seq: request.seq,
            lease: LEASE_DURATION,
            update,
            index,
            loads: loads.collect(),
            teams: self.teams.totals(&request.teams),
            grants,
            want_holdings: !self.shares.contains(holder_of(request)),
            suspects: self.crashes.suspects(),
            trials: self.crashes.trials(),
            limits: None,
            load: None,
            mixed: self.mixed.clone(),
            cut: self.cut.nodes(),
            rollouts: Vec::new(),
            voters: request
                .voters
                .filter(|it| *it != self.raft.config_index())
                .map(|_| VoterList::of(&self.raft)),
            shares_in: None,
        }
    }

    fn load_of(&self, holding: &Holding) -> Option<EndpointReport> {
        let endpoint = self.state.tables.endpoints.get(&holding.endpoint)?;
        let load = self.endpoints.load(&holding.endpoint)?;
        let generation = endpoint.generation;
        Some(EndpointReport { endpoint: holding.endpoint.clone(), generation, load })
    }

    /// Whether shares may be raised. A new leader waits until each instance has
    /// reported its shares, or shares that weren't reported can no longer be in use.
    fn may_raise(&self, now: Time) -> bool {
        now >= self.settled_at() || self.unreported.is_empty()
    }

    /// Returns the time from which shares that weren't reported are out of use.
    fn settled_at(&self) -> Time {
        self.raft.leader_since() + LEASE_DURATION + LEASE_MARGIN + self.drain_time()
    }

    /// Returns for how long no share is expected to be raised. Instances that may hold a lease
    /// are expected to report soon, others not at all.
    fn shares_in(&self, now: Time) -> Option<Millis> {
        let is_soon = self.unreported.iter().any(|it| self.leases.may_hold(*it, now));
        (!is_soon && !self.may_raise(now)).then(|| self.settled_at().since(now))
    }
}

pub(super) fn holder_of(request: &RenewRequest) -> ShareHolder {
    ShareHolder { node: request.node, incarnation: request.incarnation }
}
