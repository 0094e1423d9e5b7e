//! What a leader knows of one other voter or learner.

use crate::{
    ids::Index,
    time::{Millis, Time},
};

/// How long the leader waits for a reply before it sends again.
const RESEND: Millis = Millis(300);
/// How long the leader waits for a snapshot to be taken in.
const SNAPSHOT_RESEND: Millis = Millis(3000);

/// A row of the leader's table of followers.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The next position to send.
    pub next: Index,
    /// The last position known to match and durable.
    pub matched: Index,
    /// When the latest answered message was sent.
    pub acked: Time,
    /// When the latest reply came.
    pub heard: Time,
    /// When it was last gone back to what is known to match.
    rewound: Time,
    snapshot: Option<Time>,
}

impl Progress {
    /// A follower of which nothing is known yet.
    pub fn new(last: Index, now: Time) -> Self {
        Self {
            next: last.next(),
            matched: Index(0),
            acked: Time(0),
            heard: now,
            rewound: now,
            snapshot: None,
        }
    }

    /// Takes in a good reply.
    pub fn accept(&mut self, index: Index, now: Time) {
        if index > self.matched {
            self.matched = index;
            self.snapshot = None;
        }
        self.next = self.next.max(self.matched.next());
        self.heard = now;
    }

    /// Takes in a refusal that names where to go on.
    pub fn reject(&mut self, hint: Index, now: Time) {
        self.next = hint.max(self.matched.next());
        self.heard = now;
        self.snapshot = None;
    }

    /// Goes back to what is known to match when replies stay out.
    pub fn rewind(&mut self, now: Time) {
        let quiet = now.since(self.heard.max(self.rewound)) >= RESEND;
        if self.next > self.matched.next() && quiet {
            self.next = self.matched.next();
            self.rewound = now;
        }
    }

    /// Whether a snapshot may be sent now, and marks it sent.
    pub fn start_snapshot(&mut self, now: Time) -> bool {
        let waits = self.snapshot.is_some_and(|it| now.since(it) < SNAPSHOT_RESEND);
        if !waits {
            self.snapshot = Some(now);
        }
        !waits
    }
}
