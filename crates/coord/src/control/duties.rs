//! The leader's periodic work: allocation of shares, removal of stale rows, and
//! changes of the set of voters.

use {
    super::{Completion, LONG_POLL, ProposalError, ShareHolder, Voter, shares::EndpointCapacity},
    crate::{
        ids::{NodeId, PoolName},
        raft::{Config, HEARTBEAT_INTERVAL},
        tables::{Command, Member, SuspectKey},
        time::{Millis, Time},
    },
    indexmap::IndexSet,
    std::net::SocketAddr,
};

/// How long after its lease an instance is removed from the roster.
const MEMBER_EXPIRY: Millis = Millis(30_000);
/// How long after its last renewal an instance counts as silent: twice the time for which a
/// renewal is delayed, so that one slow renewal is no sign of it.
const SILENCE_TIME: Millis = Millis(2 * LONG_POLL.0);
/// The interval between two looks for silent instances.
const SILENCE_CHECK_INTERVAL: Millis = Millis(100);
/// The part of the roster, in percent, beyond which the leader rather than the instances is
/// taken to be cut off.
const MAX_SILENT_PERCENT: usize = 75;
/// The interval between two searches for stale rows.
const CLEANUP_INTERVAL: Millis = Millis(1000);
/// The silence, a few heartbeats long, after which a voter may have failed.
const VOTER_SUSPECT_AFTER: Millis = Millis(4 * HEARTBEAT_INTERVAL.0);
/// The silence after which a voter is removed if another instance can replace it,
/// or if more than [`MIN_VOTERS`] are left, and a learner if
/// another instance can take its place. Longer than a change of leader, shorter than
/// the expected time to the next failure.
const VOTER_REPLACE_AFTER: Millis = Millis(1500);
/// The silence after which a learner is removed when no other instance can take its place.
const LEARNER_REMOVE_AFTER: Millis = Millis(10_000);
/// The number of voters that are kept, silent or not, unless one is replaced:
/// entries on the disks of a majority of five survive the loss of two disks.
const MIN_VOTERS: usize = 5;
/// The interval between two searches for a learner that has caught up.
const PROMOTION_INTERVAL: Millis = Millis(200);
/// How long a suspect is withheld: long enough that its callers have given up, so that one
/// that goes on to crash endpoints costs few of them an hour.
const WITHHOLD_TIME: Millis = Millis(600_000);
/// The least time between two rotations of the record of streams.
const MIN_ROTATION_TIME: Millis = Millis(30_000);
/// How long a proposal to withhold a suspect may take before it is made again.
const PROPOSAL_RETRY: Millis = Millis(1000);

impl Voter {
    /// How long requests may run on after the lease of their sender has expired:
    /// the longest deadline of a route.
    pub(super) fn drain_time(&self) -> Millis {
        let deadlines = self.state.tables.routes.values().map(|it| it.deadline);
        deadlines.max().unwrap_or_default()
    }

    pub(super) fn expire_holders(&mut self, now: Time) {
        let drain = self.drain_time();
        for it in self.shares.holders().collect::<Vec<_>>() {
            if self.is_live(it, now) {
                self.lease_ends.shift_remove(&it);
                continue;
            }
            let ended = *self.lease_ends.entry(it).or_insert(now);
            if now >= ended + drain {
                self.lease_ends.shift_remove(&it);
                self.shares.remove(it);
                self.limits.remove(it);
                self.teams.remove(it);
            }
        }
    }

    /// Looks for instances that have stopped to renew, so that others don't each have to
    /// find out by waiting for them. One that hasn't renewed with this leader counts as
    /// silent once it can't have a lease of an earlier one.
    pub(super) fn update_silent(&mut self, now: Time) {
        if now.since(self.silence_checked_at) < SILENCE_CHECK_INTERVAL {
            return;
        }
        self.silence_checked_at = now;
        let roster = &self.state.tables.roster;
        let (silent, heard): (Vec<&Member>, Vec<&Member>) =
            roster.values().partition(|it| self.is_silent(it.id, now));
        // A restarted instance may be another member at the same address.
        let in_use: IndexSet<SocketAddr> = heard.iter().map(|it| it.peer).collect();
        let lost = silent.iter().filter(|it| !in_use.contains(&it.peer));
        let silent: IndexSet<NodeId> = lost.map(|it| it.id).collect();
        if silent.len() * 100 <= roster.len() * MAX_SILENT_PERCENT {
            self.cut.set_silent(silent);
        }
    }

    /// Whether an instance has stopped to renew.
    fn is_silent(&self, id: NodeId, now: Time) -> bool {
        let Some(granted) = self.leases.granted_at(id) else {
            return !self.leases.may_hold(id, now);
        };
        let received = self.renewals.get(&id).map(|it| it.received);
        now.since(received.unwrap_or(granted).max(granted)) >= SILENCE_TIME
    }

    /// Allocates shares, if that is due.
    pub(super) fn allocate(&mut self, now: Time) {
        if !self.shares.needs_allocation(now) {
            return;
        }
        let endpoints = self.capacities(now);
        let live = self.shares.holders().filter(|it| self.is_live(*it, now)).collect();
        self.shares.allocate(now, &endpoints, &live);
    }

    fn is_live(&self, holder: ShareHolder, now: Time) -> bool {
        let row = self.leases.get(holder.node);
        row.is_some_and(|it| it.incarnation == holder.incarnation && now < it.until)
    }

    /// The endpoints of the pools that some route uses. Relayed requests need no shares.
    fn capacities(&self, now: Time) -> Vec<EndpointCapacity> {
        let tables = &self.state.tables;
        let stages = tables.routes.values().flat_map(|it| &it.stages);
        let used: IndexSet<&PoolName> = stages.map(|it| &it.pool).collect();
        let endpoints = tables.endpoints.values().filter(|it| used.contains(&it.pool));
        endpoints
            .map(|it| EndpointCapacity {
                name: it.name.clone(),
                pool: it.pool.clone(),
                allowed: self.endpoints.allowed(&it.name, now),
            })
            .collect()
    }

    /// Proposes to withhold what endpoints crash under, and to release what was withheld
    /// for long.
    pub(super) fn update_withheld(&mut self, now: Time) {
        let withheld = &self.state.tables.withheld;
        self.crashes.tick(now, withheld);
        self.withheld_since
            .retain(|key, since| withheld.contains(key) || now.since(*since) < PROPOSAL_RETRY);
        for key in withheld {
            self.withheld_since.entry(key.clone()).or_insert(now);
        }
        let is_over = |(key, since): (&SuspectKey, &Time)| {
            (withheld.contains(key) && now.since(*since) >= WITHHOLD_TIME).then(|| key.clone())
        };
        if let Some(key) = self.withheld_since.iter().find_map(is_over) {
            self.withheld_since.insert(key.clone(), now);
            let _ = self.raft.propose(Command::Release(key));
            return;
        }
        let found = self.crashes.suspect_to_withhold(now);
        if let Some(key) = found.filter(|it| !self.withheld_since.contains_key(it)) {
            self.withheld_since.insert(key.clone(), now);
            let _ = self.raft.propose(Command::Withhold(key));
        }
    }

    /// Proposes to record the streams that instances have reported, and to drop old records.
    pub(super) fn write_streams(&mut self, now: Time) {
        if let Some((records, tokens)) = self.intake.take_due(now) {
            match self.raft.propose(Command::RecordStreams(records)) {
                Ok((term, index)) => {
                    self.pending.insert(index, (term, tokens));
                }
                Err(_) => {
                    let leader = self.leader_addr();
                    let err = || Err(ProposalError::NotLeader { leader });
                    let failed = tokens.into_iter().map(|it| Completion::Proposal(it, err()));
                    self.completions.extend(failed);
                }
            }
        }
        if now.since(self.rotated_at) >= self.rotation_time() {
            self.rotated_at = now;
            if !self.state.streams.is_empty() {
                let _ = self.raft.propose(Command::RotateStreams);
            }
        }
    }

    /// How long what is recorded of streams is kept at least: callers take a stream up
    /// within the time that they wait for it.
    fn rotation_time(&self) -> Millis {
        let routes = self.state.tables.catalog.routes.iter();
        let timeouts = routes.filter(|it| it.retry.is_stream()).map(|it| it.timeout.0);
        Millis(2 * timeouts.max().unwrap_or_default()).max(MIN_ROTATION_TIME)
    }

    /// Proposes to drop endpoints without reports and instances without a lease.
    pub(super) fn propose_cleanup(&mut self, now: Time) {
        if now.since(self.last_cleanup) < CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        let roster = &self.state.tables.roster;
        self.told.retain(|id, _| roster.contains_key(id));
        for (name, generation) in self.endpoints.expired(now) {
            let _ = self.raft.propose(Command::DropEndpoint { name, generation });
        }
        let config = self.raft.config();
        let roster = self.state.tables.roster.keys();
        let others = roster.filter(|id| config.addr(**id).is_none());
        let gone = others.filter(|id| now >= self.leases.end(**id) + MEMBER_EXPIRY);
        for id in gone.copied().collect::<Vec<_>>() {
            let _ = self.raft.propose(Command::DropMember { id });
        }
    }

    /// Returns the set of voters with one change, if one is due.
    fn next_config(&self, now: Time) -> Option<Config> {
        let config = self.raft.config();
        let spare = self.spare_member(now);
        if let Some(id) = self.lost_learner(now, spare.map(|(_, peer)| peer)) {
            return Some(config.without(id));
        }
        let lost = self.lost_voter(now);
        let count = config.voters.len();
        if let Some(id) = lost.filter(|_| count > MIN_VOTERS) {
            return Some(config.without(id));
        }
        if let Some((id, peer)) = self.ready_learner() {
            return self.seat_learner(now, id, peer);
        }
        if !config.learners.is_empty() {
            return None;
        }
        // An even number bears no more losses than one less.
        let surplus = lost.filter(|_| count.is_multiple_of(2));
        let joined = spare.map(|(id, peer)| config.with_learner(id, peer));
        joined.or_else(|| surplus.map(|id| config.without(id)))
    }

    /// Returns the next change on the way to make a voter of a learner that has caught up.
    /// From an odd number of voters the one that it replaces leaves just before. The
    /// majority has the same size all along, so that committed entries stay on as many
    /// disks, and a successor that is lost again stops nobody.
    fn seat_learner(&self, now: Time, id: NodeId, addr: SocketAddr) -> Option<Config> {
        let config = self.raft.config();
        if config.voters.len().is_multiple_of(2) {
            return Some(config.with_voter(id, addr));
        }
        let wiped = config.voters.iter().find(|(_, it)| **it == addr).map(|(id, _)| *id);
        match wiped.or_else(|| self.lost_voter(now)) {
            Some(lost) => Some(config.without(lost)),
            // One that may be lost is waited for, since the learner may replace it.
            None if self.silent_voter(now, VOTER_SUSPECT_AFTER).is_some() => None,
            None => Some(config.with_voter(id, addr)),
        }
    }

    /// Returns an instance with a disk and a lease that is neither voter nor learner. One
    /// whose address another instance has renewed from since has lost its disk.
    fn spare_member(&self, now: Time) -> Option<(NodeId, SocketAddr)> {
        let config = self.raft.config();
        let roster = &self.state.tables.roster;
        let is_latest = |member: &Member| {
            let same = roster.values().filter(|it| it.peer == member.peer);
            let latest = same.map(|it| self.leases.granted_at(it.id)).max().flatten();
            latest == self.leases.granted_at(member.id)
        };
        let is_live = |it: &Member| {
            let has_lease = self.leases.get(it.id).is_some_and(|row| now < row.until);
            has_lease && !self.is_silent(it.id, now) && is_latest(it)
        };
        let mut members = roster.values().filter(|it| it.disk && config.addr(it.id).is_none());
        members.find(|it| is_live(it)).map(|it| (it.id, it.peer))
    }

    /// Returns a learner that has caught up.
    fn ready_learner(&self) -> Option<(NodeId, SocketAddr)> {
        let commit = self.raft.commit_index();
        let followers = self.raft.followers();
        let is_ready = |id: &NodeId| followers.get(id).is_some_and(|it| it.matched >= commit);
        let mut learners = self.raft.config().learners.iter();
        learners.find(|(id, _)| is_ready(id)).map(|(id, addr)| (*id, *addr))
    }

    /// How long another voter or learner hasn't replied; zero for this one.
    fn silence(&self, now: Time, id: NodeId) -> Millis {
        self.raft.followers().get(&id).map_or(Millis(0), |it| now.since(it.last_reply))
    }

    /// Returns the voter that hasn't replied for the longest time, at least as long as given.
    fn silent_voter(&self, now: Time, least: Millis) -> Option<NodeId> {
        let voters = self.raft.config().voters.keys().copied();
        let silent = voters.filter(|id| self.silence(now, *id) >= least);
        silent.max_by_key(|id| self.silence(now, *id))
    }

    fn lost_voter(&self, now: Time) -> Option<NodeId> {
        self.silent_voter(now, VOTER_REPLACE_AFTER)
    }

    /// Returns a learner that has lost its disk or is silent, given the address of a spare
    /// instance.
    fn lost_learner(&self, now: Time, spare: Option<SocketAddr>) -> Option<NodeId> {
        let timeout = if spare.is_some() { VOTER_REPLACE_AFTER } else { LEARNER_REMOVE_AFTER };
        let is_lost = |(id, addr): &(&NodeId, &SocketAddr)| {
            Some(**addr) == spare || self.silence(now, **id) >= timeout
        };
        self.raft.config().learners.iter().find(is_lost).map(|(id, _)| *id)
    }

    /// Proposes one change of the set of voters if that is due: only of learners that have
    /// caught up, if an operator changes the rest. Fails while another change is in
    /// progress; the next call tries again.
    pub(super) fn promote(&mut self, now: Time) {
        if now.since(self.last_promotion) < PROMOTION_INTERVAL {
            return;
        }
        self.last_promotion = now;
        let next = match self.repairs_voters {
            true => self.next_config(now),
            false => self.ready_learner().map(|(id, it)| self.raft.config().with_voter(id, it)),
        };
        if let Some(next) = next {
            let _ = self.raft.propose_config(next);
        }
    }
}
