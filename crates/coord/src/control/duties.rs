//! What the leader does on each tick: shares, rows that nobody needs, learners.

use {
    super::{ShareHolder, Voter, shares::Divisible},
    crate::{
        ids::NodeId,
        tables::Command,
        time::{Millis, Time},
    },
};

/// An instance without a lease for so long leaves the roster.
const FORGET_MEMBER: Millis = Millis(30_000);
/// How often rows that nobody needs are looked for.
const CLEAN_EVERY: Millis = Millis(1000);
/// A voter that was silent for so long leaves the voters. Longer than a
/// restart or a short cut, shorter than the time to the next loss.
const GIVE_UP_VOTER: Millis = Millis(10_000);
/// No silent voter leaves so few, unless another takes its place.
const LEAST_VOTERS: usize = 3;
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

    /// Changes the voters by one step: a voter or learner whose address belongs
    /// to a newer member is gone, an instance with a disk becomes a learner,
    /// and a voter that was silent for long leaves.
    fn mend(&mut self, now: Time) {
        let config = self.raft.config().clone();
        let own = self.raft.id();
        let roster = &self.state.tables.roster;
        let live = |id: &NodeId| self.leases.get(*id).is_some_and(|it| now < it.until);
        let disks = roster.values().filter(|it| it.disk && live(&it.id));
        let fresh: Vec<_> =
            disks.filter(|it| config.addr(it.id).is_none()).map(|it| (it.id, it.peer)).collect();
        let rows = config.voters.iter().chain(&config.learners);
        let replaced = rows.filter(|(id, addr)| {
            **id != own && !live(id) && fresh.iter().any(|(_, peer)| peer == *addr)
        });
        let silent = |id: &NodeId| {
            let row = self.raft.followers().get(id);
            row.is_some_and(|it| now.since(it.heard) >= GIVE_UP_VOTER)
        };
        let gone = |id: &NodeId| *id != own && !live(id) && silent(id);
        let spare = config.voters.len() > LEAST_VOTERS || !fresh.is_empty();
        let voters = config.voters.keys().filter(|id| spare && gone(id));
        let learners = config.learners.keys().filter(|id| gone(id));
        let leaver =
            replaced.map(|(id, _)| *id).next().or_else(|| learners.chain(voters).next().copied());
        let mut next = config.clone();
        if let Some(id) = leaver {
            next.voters.shift_remove(&id);
            next.learners.shift_remove(&id);
        } else if let Some((id, peer)) = fresh.first().filter(|_| config.learners.is_empty()) {
            next.learners.insert(*id, *peer);
        } else {
            return;
        }
        // A change that is still under way is met again at the next look.
        let _ = self.raft.propose_config(next);
    }

    /// Makes a learner that has caught up a voter.
    pub(super) fn promote(&mut self, now: Time) {
        if now.since(self.promoted) < PROMOTE_EVERY {
            return;
        }
        self.promoted = now;
        let commit = self.raft.commit();
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
