//! Replication progress of one follower.

use crate::{
    ids::Index,
    time::{Millis, Time},
};

/// Time without a reply after which the leader probes a follower instead of sending to it.
const PROBE_TIMEOUT: Millis = Millis(300);
/// Time after which the leader resends a snapshot that isn't acknowledged.
const SNAPSHOT_RESEND_TIMEOUT: Millis = Millis(3000);

/// What the leader knows about one voter or learner.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The next index to send.
    pub next: Index,
    /// The last index known to match the leader's log and to be durable.
    pub matched: Index,
    /// When the leader sent the latest message that has been answered.
    pub acked_sent: Time,
    /// When the latest reply arrived.
    pub last_reply: Time,
    /// The entries after this index and before `next` are under way.
    pub sent_after: Index,
    /// Whether the follower's log or connection is in doubt. It is sent heartbeats without
    /// entries until it replies, so that a silent one costs nothing.
    probing: bool,
    /// When the snapshot that isn't acknowledged yet was sent.
    snapshot_sent: Option<Time>,
}

impl Progress {
    /// The progress of a follower whose log isn't known yet; `last` is the
    /// leader's last index.
    pub fn new(last: Index, now: Time) -> Self {
        Self {
            next: last.next(),
            matched: Index(0),
            acked_sent: Time(0),
            last_reply: now,
            sent_after: last,
            probing: true,
            snapshot_sent: None,
        }
    }

    /// Records a successful reply.
    pub fn accept(&mut self, index: Index, now: Time) {
        if index > self.matched {
            self.matched = index;
            self.snapshot_sent = None;
        }
        self.next = match self.probing {
            true => self.matched.next(),
            false => self.next.max(self.matched.next()),
        };
        self.sent_after = self.matched;
        self.probing = false;
        self.last_reply = now;
    }

    /// Records a rejection; `hint` is the index from which to send next.
    pub fn reject(&mut self, hint: Index, now: Time) {
        self.next = hint.max(self.matched.next());
        self.sent_after = self.next.prev();
        self.probing = false;
        self.last_reply = now;
        self.snapshot_sent = None;
    }

    /// Starts to probe if entries were sent and no reply has come for `PROBE_TIMEOUT`.
    pub fn check_silence(&mut self, now: Time) {
        let is_silent = now.since(self.last_reply) >= PROBE_TIMEOUT;
        if !self.probing && self.next > self.matched.next() && is_silent {
            self.next = self.matched.next();
            self.sent_after = self.matched;
            self.probing = true;
        }
    }

    /// Whether entries or a snapshot may be sent.
    pub fn is_open(&self) -> bool {
        !self.probing
    }

    /// Whether a snapshot may be sent now; if so, marks it as sent.
    pub fn try_start_snapshot(&mut self, now: Time) -> bool {
        let pending = self.snapshot_sent.is_some_and(|it| now.since(it) < SNAPSHOT_RESEND_TIMEOUT);
        if !pending {
            self.snapshot_sent = Some(now);
        }
        !pending
    }
}
