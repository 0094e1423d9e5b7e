//! What a leader knows of one other voter or learner.

use crate::{
    ids::Index,
    time::{Millis, Time},
};

/// How long the leader pending for a reply before it sends again.
const RESEND_TIMEOUT: Millis = Millis(300);
/// How long the leader pending for a snapshot to be taken in.
const SNAPSHOT_RESEND_TIMEOUT: Millis = Millis(3000);

/// A row of the leader's table of followers.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The next position to send.
    pub next: Index,
    /// The last position known to match and durable.
    pub matched: Index,
    /// When the latest answered message was sent.
    pub acked_sent: Time,
    /// When the latest reply came.
    pub last_reply: Time,
    /// When it was last gone back to what is known to match.
    last_rewind: Time,
    snapshot_sent: Option<Time>,
}

impl Progress {
    /// A follower of which nothing is known yet.
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

    /// Takes in a good reply.
    pub fn accept(&mut self, index: Index, now: Time) {
        if index > self.matched {
            self.matched = index;
            self.snapshot_sent = None;
        }
        self.next = self.next.max(self.matched.next());
        self.last_reply = now;
    }

    /// Takes in a refusal that names where to go on.
    pub fn reject(&mut self, hint: Index, now: Time) {
        self.next = hint.max(self.matched.next());
        self.last_reply = now;
        self.snapshot_sent = None;
    }

    /// Goes back to what is known to match when replies stay out.
    pub fn rewind(&mut self, now: Time) {
        let timed_out = now.since(self.last_reply.max(self.last_rewind)) >= RESEND_TIMEOUT;
        if self.next > self.matched.next() && timed_out {
            self.next = self.matched.next();
            self.last_rewind = now;
        }
    }

    /// Whether a snapshot may be sent now, and marks it sent.
    pub fn try_start_snapshot(&mut self, now: Time) -> bool {
        let pending = self.snapshot_sent.is_some_and(|it| now.since(it) < SNAPSHOT_RESEND_TIMEOUT);
        if !pending {
            self.snapshot_sent = Some(now);
        }
        !pending
    }
}
