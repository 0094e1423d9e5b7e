//! Sends of requests on trial: those that one more crash would have withheld.

use {
    super::rank,
    crate::{
        tables::{SuspectKey, Suspects},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// How long after a send of a request on trial the next may follow, unless it is answered:
/// a long run, the report of its crash and the decision.
const TRIAL_TIME: Millis = Millis(2500);

/// The sends of this instance whose outcome isn't known.
#[derive(Debug)]
pub struct Trials {
    own: SocketAddr,
    until: IndexMap<SuspectKey, Time>,
}

impl Trials {
    /// Creates an empty set for the instance that peers reach at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, until: IndexMap::new() }
    }

    /// Whether a request may be sent now; if it is on trial, the send is recorded. Of the
    /// instances that could send it, one may, and one send at a time. Callers are told
    /// when to come back, and reach that one in the end.
    pub fn may_send(
        &mut self,
        now: Time,
        suspects: &Suspects,
        key: &SuspectKey,
        instances: impl IntoIterator<Item = SocketAddr>,
    ) -> bool {
        if !suspects.trials.contains(key) {
            return true;
        }
        self.until.retain(|_, until| *until > now);
        let subject = key.suspect.to_string();
        let rank_of = |it: &SocketAddr| rank(subject.as_bytes(), it.to_string().as_bytes());
        let chosen = instances.into_iter().max_by_key(rank_of);
        if chosen != Some(self.own) || self.until.contains_key(key) {
            return false;
        }
        self.until.insert(key.clone(), now + TRIAL_TIME);
        true
    }

    /// Records that a send was answered, or not made.
    pub fn end(&mut self, key: &SuspectKey) {
        self.until.swap_remove(key);
    }
}
