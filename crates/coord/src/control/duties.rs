//! What the leader does on each tick: shares, rows that nobody needs, learners.

use {
    super::{ShareHolder, Voter, shares::Divisible},
    crate::{
        ids::NodeId,
        raft::HEARTBEAT_INTERVAL,
        tables::Command,
        time::{Millis, Time},
    },
    std::net::SocketAddr,
};

/// An instance without a lease for so long leaves the roster.
const FORGET_MEMBER: Millis = Millis(30_000);
/// How often rows that nobody needs are looked for.
const CLEAN_EVERY: Millis = Millis(1000);
/// While a voter has been silent for so long, a newcomer waits whether it is to
/// take its place: a few heartbeats.
const DOUBT_VOTER: Millis = Millis(4 * HEARTBEAT_INTERVAL.0);
/// A voter that was silent for so long leaves if another can take its place:
/// longer than a change of leader, shorter than the time to the next loss.
const REPLACE_VOTER: Millis = Millis(1500);
/// A voter that was silent for so long leaves without one, unless more than
/// [`LEAST_VOTERS`] are left.
const GIVE_UP_VOTER: Millis = Millis(10_000);
/// So many voters are kept, silent or not: with a majority of them on disk two
/// disks can be lost.
const LEAST_VOTERS: usize = 5;
/// How often a learner that caught up is looked for.
const PROMOTE_EVERY: Millis = Millis(200);

impl Voter {
    /// How long work may go on after its sender's lease has ended.
    pub(super) fn drain(&self) -> Millis {
        let deadlines = self.state.tables.routes.values().map(|it| it.deadline);
        deadlines.max().unwrap_or_default()
    }

    pub(super) fn expire_holders(&mut self, now: Time) {
        let drain = self.drain();
        for it in self.shares.holders().collect::<Vec<_>>() {
            if self.is_live(it, now) {
                self.ended.shift_remove(&it);
                continue;
            }
            let ended = *self.ended.entry(it).or_insert(now);
            if now >= ended + drain {
                self.ended.shift_remove(&it);
                self.shares.remove(it);
                self.teams.remove(it);
            }
        }
    }

    pub(super) fn divide(&mut self, now: Time) {
        let endpoints = self.divisible(now);
        let live = self.shares.holders().filter(|it| self.is_live(*it, now)).collect();
        self.shares.divide(now, &endpoints, &live);
    }

    fn is_live(&self, holder: ShareHolder, now: Time) -> bool {
        let row = self.leases.get(holder.node);
        row.is_some_and(|it| it.incarnation == holder.incarnation && now < it.until)
    }

    pub(super) fn divisible(&self, now: Time) -> Vec<Divisible> {
        let endpoints = self.state.tables.endpoints.values();
        endpoints
            .map(|it| Divisible {
                name: it.name.clone(),
                pool: it.pool.clone(),
                allowed: self.endpoints.allowed(&it.name, now),
            })
            .collect()
    }

    /// Proposes to drop what nobody needs any more.
    pub(super) fn clean(&mut self, now: Time) {
        if now.since(self.cleaned) < CLEAN_EVERY {
            return;
        }
        self.cleaned = now;
        for (name, generation) in self.endpoints.forgotten(now) {
            let _ = self.raft.propose(Command::DropEndpoint { name, generation });
        }
        let config = self.raft.config();
        let roster = self.state.tables.roster.keys();
        let others = roster.filter(|id| config.addr(**id).is_none());
        let gone = others.filter(|id| now >= self.leases.end(**id) + FORGET_MEMBER);
        for id in gone.copied().collect::<Vec<_>>() {
            let _ = self.raft.propose(Command::DropMember { id });
        }
    }

    /// Changes the voters by one step. An instance with a disk that doesn't vote
    /// becomes a learner, but first a voter whose place it can take leaves: the
    /// one with its address, whose disk is gone, or else the one that has been
    /// silent for longest. Without such an instance a silent voter leaves only
    /// where enough are left, since what is agreed on must be on their disks.
    fn mend(&mut self, now: Time) {
        let config = self.raft.config().clone();
        let fresh = self.fresh_member(now);
        let mut next = config.clone();
        if let Some(id) = self.leaver(now, fresh.map(|(_, peer)| peer)) {
            next.voters.shift_remove(&id);
            next.learners.shift_remove(&id);
        } else if let Some((id, peer)) = fresh.filter(|_| self.all_are_heard(now)) {
            next.learners.insert(id, peer);
        } else {
            return;
        }
        // A change that is still under way is met again at the next look.
        let _ = self.raft.propose_config(next);
    }

    /// An instance with a disk and a lease that neither votes nor learns.
    fn fresh_member(&self, now: Time) -> Option<(NodeId, SocketAddr)> {
        let config = self.raft.config();
        let mut members = self.state.tables.roster.values().filter(|it| it.disk);
        let fresh = members.find(|it| {
            let live = self.leases.get(it.id).is_some_and(|row| now < row.until);
            live && config.addr(it.id).is_none()
        });
        fresh.map(|it| (it.id, it.peer))
    }

    /// Whether no voter has fallen silent and nobody is being caught up, so that
    /// a newcomer takes nobody's place.
    fn all_are_heard(&self, now: Time) -> bool {
        let mut rows = self.raft.followers().values();
        self.raft.config().learners.is_empty()
            && rows.all(|it| now.since(it.last_reply) < DOUBT_VOTER)
    }

    /// The voter or learner that should leave now.
    fn leaver(&self, now: Time, fresh: Option<SocketAddr>) -> Option<NodeId> {
        let config = self.raft.config();
        let own = self.raft.id();
        let rows = || config.voters.iter().chain(&config.learners).filter(|(id, _)| **id != own);
        let replaced = rows().find(|(_, addr)| Some(**addr) == fresh);
        let silence = |id: &NodeId| {
            self.raft.followers().get(id).map_or(Millis(0), |it| now.since(it.last_reply))
        };
        let (patience, least) = match fresh {
            Some(_) => (REPLACE_VOTER, 1),
            None if config.voters.len() > LEAST_VOTERS => (REPLACE_VOTER, LEAST_VOTERS),
            None => (GIVE_UP_VOTER, LEAST_VOTERS),
        };
        let is_gone = |id: &NodeId| {
            let votes = config.voters.contains_key(id);
            silence(id) >= patience && (!votes || config.voters.len() > least)
        };
        let gone = rows().filter(|(id, _)| is_gone(id)).max_by_key(|(id, _)| silence(id));
        replaced.or(gone).map(|(id, _)| *id)
    }

    /// Makes a learner that has caught up a voter.
    pub(super) fn promote(&mut self, now: Time) {
        if now.since(self.promoted) < PROMOTE_EVERY {
            return;
        }
        self.promoted = now;
        let commit = self.raft.commit_index();
        let config = self.raft.config();
        let ready = config
            .learners
            .iter()
            .find(|(id, _)| self.raft.followers().get(*id).is_some_and(|it| it.matched >= commit));
        let Some((id, addr)) = ready.map(|(id, addr)| (*id, *addr)) else {
            if self.mends {
                self.mend(now);
            }
            return;
        };
        let mut next = config.clone();
        next.learners.shift_remove(&id);
        next.voters.insert(id, addr);
        let _ = self.raft.propose_config(next);
    }
}
