//! Elections: pre-votes, votes and role changes.

use {
    super::{
        ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HardState, Message, Outgoing, Payload, Raft,
        Role,
    },
    crate::{
        ids::{Index, NodeId, Term},
        time::{Millis, Time},
    },
    rand::Rng,
};

impl Raft {
    /// Whether a message asks for a vote while this voter knows a live leader.
    /// Such requests are dropped, since leader leases depend on it. Elections
    /// started by a leadership transfer are let through, and a voter that is a
    /// majority by itself drops none.
    pub(super) fn is_disruptive(&self, now: Time, message: &Message) -> bool {
        let Message::Vote { transfer: false, .. } = message else {
            return false;
        };
        let leader_alive = match self.role {
            Role::Leader => self.lease().is_some_and(|it| it > now),
            _ => now.since(self.last_contact) < ELECTION_TIMEOUT_MIN,
        };
        leader_alive && !self.config.is_quorum(|id| id == self.id)
    }

    pub(super) fn start_pre_vote(&mut self, now: Time) {
        self.reset_election_timeout(now);
        if !self.config.voters.contains_key(&self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.id].into_iter().collect();
        self.request_votes(self.hard.term.next(), true, false);
        self.count_votes(now);
    }

    pub(super) fn start_election(&mut self, now: Time, transfer: bool) {
        self.reset_election_timeout(now);
        self.role = Role::Candidate;
        self.leader = None;
        self.set_hard_state(HardState { term: self.hard.term.next(), vote: Some(self.id) });
        self.votes = [self.id].into_iter().collect();
        self.request_votes(self.hard.term, false, transfer);
        self.count_votes(now);
    }

    fn request_votes(&mut self, term: Term, pre: bool, transfer: bool) {
        let (last, last_term) = (self.log.last_index(), self.log.last_term());
        let others: Vec<NodeId> =
            self.config.voters.keys().copied().filter(|id| *id != self.id).collect();
        for to in others {
            let message = Message::Vote { term, last, last_term, pre, transfer };
            self.after_sync.push(Outgoing { to, message });
        }
    }

    fn count_votes(&mut self, now: Time) {
        if !self.config.is_quorum(|id| self.votes.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, false),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: Time) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since = now;
        self.next_heartbeat = now;
        self.transferring = None;
        self.followers.clear();
        self.append(Payload::Empty);
        self.update_followers(now);
        self.tick_leader(now);
    }

    pub(super) fn become_follower(&mut self, now: Time, term: Term, leader: Option<NodeId>) {
        if term > self.hard.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        if self.role != Role::Follower {
            self.reset_election_timeout(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.transferring = None;
        self.followers.clear();
    }

    pub(super) fn on_vote(
        &mut self,
        now: Time,
        from: NodeId,
        term: Term,
        last: (Term, Index),
        pre: bool,
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let may_vote = match pre {
            true => term > self.hard.term,
            false => {
                term == self.hard.term
                    && self.role == Role::Follower
                    && self.hard.vote.is_none_or(|it| it == from)
            }
        };
        let granted = up_to_date && may_vote;
        if granted && !pre {
            self.reset_election_timeout(now);
            self.set_hard_state(HardState { term, vote: Some(from) });
        }
        let term = if granted { term } else { self.hard.term };
        let message = Message::VoteReply { term, pre, granted };
        self.after_sync.push(Outgoing { to: from, message });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Time,
        from: NodeId,
        term: Term,
        pre: bool,
        granted: bool,
    ) {
        let expected = match self.role {
            Role::PreCandidate => pre && term == self.hard.term.next(),
            Role::Candidate => !pre && term == self.hard.term,
            Role::Follower | Role::Leader => false,
        };
        if expected && granted {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn reset_election_timeout(&mut self, now: Time) {
        let wait = self.rng.random_range(ELECTION_TIMEOUT_MIN.0..=ELECTION_TIMEOUT_MAX.0);
        self.election_deadline = now + Millis(wait);
    }
}
