//! Crashes of endpoints, as instances report them and as the leader knows them.

use {
    crate::{
        ids::{EndpointName, Generation, PoolName},
        tables::Suspect,
        time::{Millis, Time},
    },
    serde::{Deserialize, Serialize},
};

/// The least time in which a crashed endpoint is up again.
const RESTART_TIME: Millis = Millis(1000);
/// By how much the times of a crash may differ that instances report.
const REPORT_SKEW: Millis = Millis(100);
/// How long after a crash an announcement of the endpoint may still arrive that was sent
/// before it.
const ANNOUNCE_MARGIN: Millis = Millis(500);
/// How long announcements that would refute a presumed crash are waited for after it, and
/// after the leader has heard of it: endpoints announce themselves about once a second, and
/// an instance tells the leader with its next renewal.
const REFUTE_TIME: Millis = Millis(2000);
const ANNOUNCE_TIME: Millis = Millis(1200);
/// The maximum number of requests of one crash that are remembered.
const MAX_REQUESTS: usize = 64;
/// How long answers are waited for after the leader has heard of the decisive crashes:
/// instances learn of suspects and report answers within two renewals.
pub(super) const SETTLE_TIME: Millis = Millis(1000);

/// A request that ended at an endpoint's crash, without its whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub pool: PoolName,
    /// The shared parts of its prompt in order, unless the answer had gone on after its
    /// first event, and the request itself.
    #[serde(rename = "parts")]
    pub suspects: Vec<Suspect>,
    /// Tells requests with different prompts apart: the request with all parts of its
    /// prompt. Earlier builds don't report it.
    #[serde(default)]
    pub source: Option<Suspect>,
    /// Whether the endpoint had begun to answer: the head had arrived.
    pub began: bool,
    /// How long the request had been at the endpoint.
    #[serde(default)]
    pub ran: Millis,
    /// How long before the renewal was sent the connection ended.
    #[serde(default)]
    pub age: Millis,
    /// Whether the address still accepted connections, but nothing answered there. An
    /// announcement of the same start of the endpoint refutes the crash.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub presumed: bool,
}

/// A request at a crash.
#[derive(Debug)]
pub(super) struct LostRequest {
    pub suspects: Vec<Suspect>,
    pub source: Option<Suspect>,
    pub began: bool,
    pub sent: Time,
}

impl LostRequest {
    /// The suspect that stands for the request itself.
    pub fn request(&self) -> Option<&Suspect> {
        self.suspects.iter().find(|it| it.is_request())
    }
}

/// A crash of an endpoint, as the leader knows it.
#[derive(Debug)]
pub(super) struct Crash {
    pub at: Time,
    /// When this leader first heard of it. A new one is told of crashes of long ago.
    known_at: Time,
    endpoint: EndpointName,
    generation: Generation,
    pub pool: PoolName,
    /// Whether all reports of it presume it.
    presumed: bool,
    /// When this start of the endpoint was heard of again.
    alive_at: Option<Time>,
    pub requests: Vec<LostRequest>,
}

impl Crash {
    /// A crash of which one request is reported.
    pub fn new(now: Time, report: &CrashReport) -> Self {
        let at = Time(now.0.saturating_sub(report.age.0));
        let request = LostRequest {
            suspects: report.suspects.clone(),
            source: report.source.clone(),
            began: report.began,
            sent: Time(at.0.saturating_sub(report.ran.0)),
        };
        Self {
            at,
            known_at: now,
            endpoint: report.endpoint.clone(),
            generation: report.generation,
            pool: report.pool.clone(),
            presumed: report.presumed,
            alive_at: None,
            requests: vec![request],
        }
    }

    /// Whether a crash of which one request is reported is this one. It is another if the
    /// endpoint was up in between, also under the same start.
    pub fn is_same(&self, new: &Self, request: &LostRequest) -> bool {
        if !self.is_of(&new.endpoint, new.generation) {
            return false;
        }
        let may_follow = self.presumed || request.sent >= self.at;
        let is_heard = may_follow && self.alive_at.is_some_and(|it| new.at > it);
        let was_reached = request.began || !new.presumed;
        let is_up_again = was_reached && request.sent >= self.at + RESTART_TIME;
        !(is_heard || is_up_again)
    }

    /// Adds another report of this crash. What is sent to an endpoint that is down didn't
    /// crash it.
    pub fn add_report(&mut self, presumed: bool, request: LostRequest) {
        if !presumed || request.sent <= self.at + REPORT_SKEW {
            self.presumed &= presumed;
            self.add(request);
        }
    }

    /// Notes that a start of an endpoint has announced itself; returns whether that refutes
    /// this crash.
    pub fn note_announced(&mut self, now: Time, name: &EndpointName, start: Generation) -> bool {
        let is_news = self.alive_at.is_none() && now.since(self.at) >= ANNOUNCE_MARGIN;
        if !is_news || !self.is_of(name, start) {
            return false;
        }
        self.alive_at = Some(now);
        self.presumed
    }

    fn is_of(&self, name: &EndpointName, start: Generation) -> bool {
        self.endpoint == *name && self.generation == start
    }

    /// Adds a request. Of copies of one that which was sent last counts.
    fn add(&mut self, request: LostRequest) {
        let is_same = |it: &LostRequest| {
            it.suspects == request.suspects
                && it.source == request.source
                && it.began == request.began
        };
        match self.requests.iter().position(is_same) {
            Some(at) => {
                let known = &mut self.requests[at];
                known.sent = known.sent.max(request.sent);
            }
            None if self.requests.len() < MAX_REQUESTS => self.requests.push(request),
            None => {}
        }
    }

    /// Whether the parts of a request are the most likely cause: its answer had begun, or
    /// that of none had.
    pub fn is_likely(&self, request: &LostRequest) -> bool {
        request.began || !self.requests.iter().any(|it| it.began)
    }

    /// Since when answers, and announcements that refute it, would have been reported.
    pub fn settled_at(&self) -> Time {
        let settled = self.known_at + SETTLE_TIME;
        match self.presumed {
            true => settled.max(self.at + REFUTE_TIME).max(self.known_at + ANNOUNCE_TIME),
            false => settled,
        }
    }

    /// Whether the endpoint lives on.
    pub fn is_refuted(&self) -> bool {
        self.presumed && self.alive_at.is_some()
    }

    pub fn contains(&self, suspect: &Suspect) -> bool {
        self.requests.iter().any(|it| it.suspects.contains(suspect))
    }
}
