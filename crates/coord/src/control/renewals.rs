//! The leader's answers to renewals.

use {
    super::{
        Done, Grants, Heard, Holding, LEASE, LEASE_MARGIN, LeaseRow, RenewError, RenewReply,
        RenewRequest, ShareHolder, Token, Update, Voter, shares::Divisible, voter::Renewal,
    },
    crate::{
        ids::{Index, NodeId, Slots},
        raft::Role,
        time::{Millis, Time},
    },
};

impl Voter {
    pub(super) fn check_renewal(
        &self,
        now: Time,
        request: &RenewRequest,
    ) -> Result<(), RenewError> {
        if self.raft.role() != Role::Leader {
            return Err(RenewError::NotLeader { leader: self.leader_addr() });
        }
        let sure = self.raft.lease().is_some_and(|it| it > now);
        if !self.raft.has_committed_in_term() || !sure || self.applied < request.have {
            return Err(RenewError::NotReady);
        }
        let member = self.state.tables.roster.get(&request.node);
        match member {
            Some(it) if it.incarnation == request.incarnation => Ok(()),
            _ => Err(RenewError::NotMember),
        }
    }

    pub(super) fn learn(&mut self, now: Time, request: &RenewRequest) {
        let holder = holder_of(request);
        self.leases.note(request.node, request.have, request.version);
        if let Some(held) = &request.holdings {
            self.adopt(holder, request.grants, held);
        }
        self.shares.confirm(holder, request.grants, &request.over);
        self.shares.demand(holder, &request.demand);
        self.teams.report(holder, &request.teams);
        for it in &request.heard {
            self.endpoints.hear(it, now);
        }
        for (name, generation) in &request.good {
            self.endpoints.good(name, *generation);
        }
        for it in &request.trouble {
            let endpoint = self.state.tables.endpoints.get(&it.endpoint);
            if let Some(endpoint) = endpoint.filter(|e| e.generation == it.generation) {
                self.endpoints.trouble(endpoint, it.kind, now);
                self.shares.forget(&it.endpoint, Some(holder));
            }
        }
    }

    fn adopt(&mut self, holder: ShareHolder, number: u64, held: &[Holding]) {
        self.shares.adopt(holder, number, held);
        for it in held {
            if let Some(endpoint) = self.state.tables.endpoints.get(&it.endpoint) {
                let sum = Slots(self.shares.sum(&it.endpoint));
                self.endpoints.adopt(&it.endpoint, sum, endpoint);
            }
        }
    }

    /// Ends the lease of an instance that stops.
    pub(super) fn release(&mut self, token: Token, request: &RenewRequest) {
        self.leases.remove(request.node);
        if let Some(old) = self.renewals.shift_remove(&request.node) {
            self.done.push(Done::Renewal(old.token, Box::new(Err(RenewError::Superseded))));
        }
        let reply = self.reply(request, None);
        self.done
            .push(Done::Renewal(token, Box::new(Ok(RenewReply { lease: Millis(0), ..reply }))));
    }

    /// Answers the renewals that are due, or all for which there may be news.
    pub(super) fn answer_renewals(&mut self, now: Time) {
        if self.renewals.is_empty() {
            return;
        }
        let news = self.answered != (self.shares.moves(), self.feed.last());
        self.answered = (self.shares.moves(), self.feed.last());
        let due = |it: &Renewal| news || now >= it.until;
        let nodes = self.renewals.iter().filter(|(_, it)| due(it)).map(|(node, _)| *node);
        let nodes: Vec<NodeId> = nodes.collect();
        if nodes.is_empty() {
            return;
        }
        let endpoints = self.divisible(now);
        for node in nodes {
            self.answer_renewal(now, node, &endpoints);
        }
    }

    /// Answers one renewal, if it is due or there is news for it.
    pub(super) fn answer_renewal(&mut self, now: Time, node: NodeId, endpoints: &[Divisible]) {
        if self.raft.lease().is_none_or(|it| it <= now) {
            let it = self.renewals.shift_remove(&node).expect("the renewal waits");
            let err = Err(RenewError::NotReady);
            self.done.push(Done::Renewal(it.token, Box::new(err)));
            return;
        }
        let it = &self.renewals[&node];
        let holder = holder_of(&it.request);
        let known = self.shares.has(holder);
        let mut grants = if known && self.may_raise(now) {
            self.shares.next_list(holder, endpoints)
        } else {
            None
        };
        if grants.is_none() && known && it.request.grants != self.shares.number(holder) {
            grants = self.shares.last_list(holder);
        }
        let news = it.request.have < self.feed.last() || it.request.have == Index(0);
        let first = self.leases.get(node).is_none_or(|row| row.until <= now + LEASE);
        if grants.is_none() && !news && !first && known && now < it.until {
            return;
        }
        let it = self.renewals.shift_remove(&node).expect("the renewal waits");
        let row = LeaseRow {
            incarnation: it.request.incarnation,
            until: now,
            index: it.request.have,
            version: it.request.version,
        };
        self.leases.grant(now, node, row);
        let reply = self.reply(&it.request, grants);
        self.done.push(Done::Renewal(it.token, Box::new(Ok(reply))));
    }

    fn reply(&self, request: &RenewRequest, grants: Option<Grants>) -> RenewReply {
        let update = self.feed.update(request.have, &self.state.tables);
        let index = match update {
            Update::Same => request.have,
            Update::Steps(_) => self.feed.last(),
            Update::Full(_) => self.applied,
        };
        let loads = grants.iter().flat_map(|it| &it.shares).filter_map(|it| self.load_of(it));
        RenewReply {
            term: self.raft.term(),
            seq: request.seq,
            lease: LEASE,
            update,
            index,
            loads: loads.collect(),
            teams: self.teams.totals(&request.teams),
            grants,
            want_holdings: !self.shares.has(holder_of(request)),
        }
    }

    fn load_of(&self, holding: &Holding) -> Option<Heard> {
        let endpoint = self.state.tables.endpoints.get(&holding.endpoint)?;
        let load = self.endpoints.load(&holding.endpoint)?;
        let generation = endpoint.generation;
        Some(Heard { endpoint: holding.endpoint.clone(), generation, load })
    }

    /// A new leader raises no share before it knows what everyone holds.
    fn may_raise(&self, now: Time) -> bool {
        let settled = self.raft.leader_since() + LEASE + LEASE_MARGIN + self.drain();
        let heard = |id: &NodeId| self.shares.holders().any(|it| it.node == *id);
        now >= settled || self.state.tables.roster.keys().all(heard)
    }
}

fn holder_of(request: &RenewRequest) -> ShareHolder {
    ShareHolder { node: request.node, incarnation: request.incarnation }
}
