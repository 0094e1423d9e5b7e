//! Replication progress of one follower.

use crate::{
    ids::Index,
    time::{Millis, Time},
};

/// Time without a reply after which the leader resends entries.
const RESEND_TIMEOUT: Millis = Millis(300);
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
    /// When `next` was last reset to the index after `matched`.
    last_rewind: Time,
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
            last_rewind: now,
            snapshot_sent: None,
        }
    }

    /// Records a successful reply.
    pub fn accept(&mut self, index: Index, now: Time) {
        if index > self.matched {
            self.matched = index;
            self.snapshot_sent = None;
        }
        self.next = self.next.max(self.matched.next());
        self.last_reply = now;
    }

    /// Records a rejection; `hint` is the index from which to send next.
    pub fn reject(&mut self, hint: Index, now: Time) {
        self.next = hint.max(self.matched.next());
        self.last_reply = now;
        self.snapshot_sent = None;
    }

    /// Resets `next` to resend entries if no reply has come for
    /// `RESEND_TIMEOUT`.
    pub fn rewind(&mut self, now: Time) {
        let timed_out = now.since(self.last_reply.max(self.last_rewind)) >= RESEND_TIMEOUT;
        if self.next > self.matched.next() && timed_out {
            self.next = self.matched.next();
            self.last_rewind = now;
        }
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
