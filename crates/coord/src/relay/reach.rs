//! Whether an instance reaches any endpoints at all.
//!
//! One sick endpoint, or a pool that is down, is no sign of it: connections to endpoints of
//! several pools and failure domains are tried. If all of them fail many others are tried,
//! since a few may be down together, and only if none is reached the instance counts as cut
//! off.

use crate::{
    ids::{DomainName, PoolName},
    tables::Endpoint,
    time::{Millis, Time},
};

/// The most endpoints that are tried at a time.
const MAX_TARGETS: usize = 5;
/// The most endpoints that are tried after that if none was reached.
const MAX_OTHERS: usize = 20;
/// The number of endpoints reached with which an instance isn't cut off any more.
const HEALED_TARGETS: usize = 2;
/// The fewest endpoints whose failure says something of the instance.
const MIN_TARGETS: usize = 2;
/// The time between two tries, while there is a reason for them.
const TRY_INTERVAL: Millis = Millis(400);
/// How long no endpoint may answer while requests wait for one before connections are
/// tried: connections that went silent report no failure for seconds.
const QUIET_TIME: Millis = Millis(1500);

/// The endpoints of one try.
#[derive(Debug)]
pub struct Targets<'a> {
    /// Those of as many pools and failure domains as possible.
    pub first: Vec<&'a Endpoint>,
    /// Those to try as well if none of the first is reached.
    pub others: Vec<&'a Endpoint>,
}

/// What an instance knows of its links to endpoints.
#[derive(Debug, Default)]
pub struct Reach {
    is_cut: bool,
    /// Whether a connection has failed since the last try.
    suspicious: bool,
    tried_at: Time,
    /// Requests that wait for the head of their answer.
    waiting: u32,
    /// When an endpoint answered last, or the first of those requests was sent.
    heard_at: Time,
}

impl Reach {
    /// Whether the instance reaches no endpoint.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Notes that a request is sent.
    pub fn note_sent(&mut self, now: Time) {
        if self.waiting == 0 {
            self.heard_at = now;
        }
        self.waiting += 1;
    }

    /// Notes that a request waits no longer.
    pub fn note_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Notes that an endpoint has answered.
    pub fn note_answer(&mut self, now: Time) {
        self.heard_at = now;
    }

    /// Notes that a connection to an endpoint has failed.
    pub fn note_failure(&mut self) {
        self.suspicious = true;
    }

    /// Whether connections are to be tried now.
    pub fn wants_try(&self, now: Time) -> bool {
        let is_quiet = self.waiting > 0 && now.since(self.heard_at) >= QUIET_TIME;
        let has_reason = self.is_cut || self.suspicious || is_quiet;
        has_reason && now.since(self.tried_at) >= TRY_INTERVAL
    }

    /// Returns the endpoints to try. `draw` is random, so that not the same ones are tried
    /// each time.
    pub fn start_try<'a>(
        &mut self,
        now: Time,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        draw: usize,
    ) -> Targets<'a> {
        self.tried_at = now;
        self.suspicious = false;
        let mut rest: Vec<&Endpoint> = endpoints.collect();
        if !rest.is_empty() {
            let start = draw % rest.len();
            rest.rotate_left(start);
        }
        let mut first: Vec<&Endpoint> = Vec::new();
        while first.len() < MAX_TARGETS && !rest.is_empty() {
            let known = |it: &Endpoint| {
                let same = |domain: &DomainName, pool: &PoolName| {
                    usize::from(it.domain == *domain) + usize::from(it.pool == *pool)
                };
                first.iter().map(|old| same(&old.domain, &old.pool)).sum::<usize>()
            };
            let at = (0..rest.len()).min_by_key(|i| known(rest[*i])).expect("one is left");
            first.push(rest.remove(at));
        }
        let step = rest.len().div_ceil(MAX_OTHERS).max(1);
        Targets { first, others: rest.into_iter().step_by(step).collect() }
    }

    /// Takes in which of the endpoints tried could be reached. Returns whether the instance
    /// is cut off if that has changed.
    pub fn finish_try(&mut self, reached: &[bool]) -> Option<bool> {
        let count = reached.iter().filter(|it| **it).count();
        let is_cut = match self.is_cut {
            false => reached.len() >= MIN_TARGETS && count == 0,
            true => count < HEALED_TARGETS.min(reached.len().div_ceil(2)),
        };
        let changed = is_cut != self.is_cut;
        self.is_cut = is_cut;
        changed.then_some(is_cut)
    }
}
