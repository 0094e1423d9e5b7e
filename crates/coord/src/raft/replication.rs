//! Log replication: sending, accepting and committing entries and snapshots.

use {
    super::{
        Acknowledged, ELECTION_TIMEOUT_MAX, Entry, HEARTBEAT_INTERVAL, LogOp, Message, Outgoing,
        Progress, Raft, Role, Snapshot,
        raft::{MAX_APPEND_ENTRIES, MAX_APPEND_SIZE, MAX_UNACKNOWLEDGED},
    },
    crate::{
        ids::{Index, NodeId, Term},
        time::Time,
    },
    indexmap::IndexSet,
    std::sync::Arc,
};

impl Raft {
    /// Sends to all followers, or steps down if no majority has answered for
    /// `ELECTION_TIMEOUT_MAX`.
    pub(super) fn tick_leader(&mut self, now: Time) {
        let quorum_acked = self.config.quorum_value(|id| match id == self.id {
            true => now,
            false => self
                .followers
                .get(&id)
                .map_or(self.leader_since, |it| it.acked_sent.max(self.leader_since)),
        });
        if quorum_acked.is_none_or(|it| now.since(it) > ELECTION_TIMEOUT_MAX) {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        if self.transferring.is_some_and(|it| now.since(it) > ELECTION_TIMEOUT_MAX) {
            self.transferring = None;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_all(now, true);
        } else {
            self.send_all(now, false);
        }
    }

    fn send_all(&mut self, now: Time, heartbeat: bool) {
        for id in self.followers.keys().copied().collect::<Vec<_>>() {
            self.send(now, id, heartbeat);
        }
    }

    fn send(&mut self, now: Time, to: NodeId, heartbeat: bool) {
        let acked = self.acked.iter().map(|(id, it)| (*id, it.index.max(it.before))).collect();
        let starts = self.acked.iter().map(|(id, it)| (*id, *it)).collect();
        let progress = self.followers.get_mut(&to).expect("every follower has a progress entry");
        if heartbeat {
            progress.check_silence(now);
        }
        let prev = progress.next.prev();
        let known = self.log.term(prev).filter(|_| progress.next >= self.log.first_index());
        let Some(prev_term) = known else {
            if progress.is_open() && progress.try_start_snapshot(now) {
                let snapshot = self.log.snapshot.clone().expect("a compacted log has a snapshot");
                let message = Message::Install { term: self.hard.term, snapshot, sent: now.0 };
                self.ready.push(Outgoing { to, message });
            } else if heartbeat {
                let message = Message::Append {
                    term: self.hard.term,
                    prev: Index(0),
                    prev_term: Term(0),
                    entries: Vec::new(),
                    commit: Index(0),
                    sent: now.0,
                    acked,
                    starts,
                };
                self.ready.push(Outgoing { to, message });
            }
            return;
        };
        let under_way = self.log.size_between(progress.sent_after, prev);
        let entries = match progress.is_open() && under_way < MAX_UNACKNOWLEDGED {
            true => self.log.entries_from(progress.next, MAX_APPEND_ENTRIES, MAX_APPEND_SIZE),
            false => &[],
        };
        let entries = entries.to_vec();
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next = Index(progress.next.0 + entries.len() as u64);
        let message = Message::Append {
            term: self.hard.term,
            prev,
            prev_term,
            entries,
            commit: self.commit_index,
            sent: now.0,
            acked,
            starts,
        };
        self.ready.push(Outgoing { to, message });
    }

    /// Follows the sender if its term is current; otherwise rejects the message
    /// with the current term.
    pub(super) fn accept_leader(&mut self, now: Time, from: NodeId, term: Term) -> bool {
        if term < self.hard.term {
            // The sender may lead again by now, and mustn't count this as an answer to a
            // message of its current term.
            self.reply(from, false, Index(0), 0);
            return false;
        }
        assert!(
            self.role != Role::Leader || from == self.id,
            "two leaders in term {term}: {from} and {}",
            self.id
        );
        self.become_follower(now, term, Some(from));
        self.last_contact = now;
        self.reset_election_timeout(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent: u64,
    ) {
        let (prev, prev_term) = prev;
        let compacted = prev < self.log.first_index() && prev <= self.commit_index;
        if !compacted && self.log.term(prev) != Some(prev_term) {
            let hint = self.log.last_index().next().min(prev).max(self.commit_index.next());
            self.reply(from, false, hint, sent);
            return;
        }
        let last = Index(prev.0 + entries.len() as u64);
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit_index = self.commit_index.max(commit.min(last));
        self.update_committed_config();
        self.acknowledge(from, last, sent);
    }

    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit_index || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            let from = entry.index;
            self.log.truncate(from);
            self.durable_index = self.durable_index.min(from.prev());
            self.sync_limit = self.sync_limit.min(from.prev());
            self.ops.push(LogOp::Truncate { from });
            self.reload_config();
        }
        self.push(entry);
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Time,
        from: NodeId,
        term: Term,
        ok: bool,
        index: Index,
        sent: u64,
    ) {
        if self.role != Role::Leader || term != self.hard.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.followers.get_mut(&from) else {
            return;
        };
        // A later time is one of an earlier run of this process.
        if Time(sent) <= now {
            progress.acked_sent = progress.acked_sent.max(Time(sent));
        }
        if ok {
            assert!(index <= last, "a follower acknowledged an index that was never sent");
            progress.accept(index, now);
        } else {
            progress.reject(index, now);
        }
        self.advance_commit();
        self.send(now, from, false);
    }

    pub(super) fn on_install(&mut self, from: NodeId, snapshot: Arc<Snapshot>, sent: u64) {
        let index = snapshot.index;
        if index <= self.commit_index {
            self.reply(from, true, self.commit_index, sent);
            return;
        }
        self.log.install(snapshot.clone());
        self.ops.push(LogOp::Truncate { from: index.next() });
        self.ops.push(LogOp::Snapshot(snapshot.clone()));
        self.sync_limit = Index(0);
        self.durable_index = Index(0);
        self.commit_index = index;
        self.delivered = index;
        self.installed = Some(snapshot);
        self.reload_config();
        self.update_committed_config();
        self.reply(from, true, index, sent);
    }

    /// Acknowledges the durable part at once, so that the leader doesn't take a
    /// voter with a slow disk for unreachable, and the rest once it is durable.
    fn acknowledge(&mut self, to: NodeId, index: Index, sent: u64) {
        let early = index.min(self.durable_index);
        if !self.hard_pending && !self.hard_syncing {
            let message =
                Message::AppendReply { term: self.hard.term, ok: true, index: early, sent };
            self.ready.push(Outgoing { to, message });
            if early == index {
                return;
            }
        }
        self.reply(to, true, index, sent);
    }

    fn reply(&mut self, to: NodeId, ok: bool, index: Index, sent: u64) {
        let message = Message::AppendReply { term: self.hard.term, ok, index, sent };
        self.after_sync.push(Outgoing { to, message });
    }

    /// Adds progress entries for new voters and learners, and removes those of
    /// members that left.
    pub(super) fn update_followers(&mut self, now: Time) {
        let last = self.log.last_index();
        let ids: IndexSet<NodeId> = self.config.ids().filter(|id| *id != self.id).collect();
        self.followers.retain(|id, _| ids.contains(id));
        for id in ids {
            self.followers.entry(id).or_insert_with(|| Progress::new(last, now));
        }
    }

    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let quorum_index = self.config.quorum_value(|id| match id == self.id {
            true => self.durable_index,
            false => self.followers.get(&id).map_or(Index(0), |it| it.matched),
        });
        let Some(quorum_index) = quorum_index.filter(|it| *it > self.commit_index) else {
            return;
        };
        if self.log.term(quorum_index) == Some(self.hard.term) {
            self.commit_index = quorum_index;
            self.update_committed_config();
        }
        let matched = self.followers.iter().map(|(id, it)| (*id, it.matched));
        for (id, index) in matched.chain([(self.id, self.durable_index)]) {
            let incarnation = self.incarnations.get(&id).copied().unwrap_or_default();
            let acked = Acknowledged::new(incarnation, index.min(self.commit_index));
            self.acked.entry(id).or_default().merge(acked);
        }
        self.step_down_if_removed();
    }

    fn step_down_if_removed(&mut self) {
        let removed = !self.config.voters.contains_key(&self.id);
        if removed && self.config_index <= self.commit_index {
            self.role = Role::Follower;
            self.leader = None;
            self.followers.clear();
        }
    }
}
