//! Reads from answers that an endpoint is leaving or wants no requests for a while.

use {
    super::{HeaderNames, clock::time_since},
    crate::answer_notices::{read_limit, read_notices},
    coord::{
        ids::{EndpointName, Generation, Rate},
        limits::{LimitChange, LimitNotice, SendPermit, SharedGate},
        relay::{EndpointNotice, EndpointNotices},
        tables::{Endpoint, Tables},
        time::{Millis, Time},
    },
    hyper::{Response, StatusCode, header::HeaderName},
    indexmap::IndexMap,
    metrics::counter,
    std::{
        cell::{Cell, Ref, RefCell},
        rc::Rc,
        time::Instant,
    },
};

/// How long before an answer a refused connection counts.
const REFUSAL_TIME: Millis = Millis(1000);

/// The notices of the endpoints, as this instance has read them.
pub struct Notices {
    table: RefCell<EndpointNotices>,
    leaving: HeaderName,
    limit: HeaderName,
    brittle: HeaderName,
    gate: SharedGate,
    /// The starts of endpoints that refused a connection, and when, until an answer shows
    /// that this instance reaches any.
    refusals: RefCell<IndexMap<EndpointName, (Generation, Time)>>,
    /// Up to when ended pauses are logged.
    swept: Cell<Time>,
    start: Instant,
}

/// A request at an endpoint, which ends when this is dropped.
pub struct SendGuard {
    notices: Rc<Notices>,
    endpoint: EndpointName,
    generation: Generation,
    /// Whether the endpoint has answered and didn't reject it, so that its end makes room.
    pub is_taken: bool,
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = time_since(self.notices.start);
        let mut gate = self.notices.gate.lock();
        gate.note_end(now, &self.endpoint, self.generation, self.is_taken);
    }
}

impl Notices {
    /// Creates an empty set.
    pub fn new(names: &HeaderNames, leave_grace: Millis, gate: SharedGate, start: Instant) -> Self {
        Self {
            table: RefCell::new(EndpointNotices::new(leave_grace)),
            leaving: names.leaving.clone(),
            limit: names.limit.clone(),
            brittle: names.brittle.clone(),
            gate,
            refusals: RefCell::default(),
            swept: Cell::new(Time(0)),
            start,
        }
    }

    /// Borrows the notices.
    pub fn table(&self) -> Ref<'_, EndpointNotices> {
        self.table.borrow()
    }

    /// Whether a request may be sent to an endpoint now.
    pub fn may_send(&self, name: &EndpointName) -> bool {
        let now = time_since(self.start);
        self.table().may_send(now, name) && self.gate.lock().may_send(now, name)
    }

    /// Takes the permit for one send to an endpoint; nothing if it may not be sent to.
    pub fn take_permit(&self, name: &EndpointName) -> Option<SendPermit> {
        let now = time_since(self.start);
        let open = self.table().may_send(now, name);
        open.then(|| self.gate.lock().take(now, name)).flatten()
    }

    /// Returns the permit of a request of which nothing was sent.
    pub fn put_back(&self, permit: SendPermit) {
        self.gate.lock().put_back(permit);
    }

    /// Counts a request at an endpoint until the guard is dropped.
    pub fn begin(self: &Rc<Self>, endpoint: &Endpoint) -> SendGuard {
        let (endpoint, generation) = (endpoint.name.clone(), endpoint.generation);
        self.gate.lock().note_begin(&endpoint, generation);
        SendGuard { notices: self.clone(), endpoint, generation, is_taken: false }
    }

    /// Records that an endpoint refused a connection. An instance that is cut off is refused
    /// by all, so that this counts only once an endpoint answers soon afterwards.
    pub fn note_refusal(&self, endpoint: &Endpoint) {
        let refusal = (endpoint.generation, time_since(self.start));
        self.refusals.borrow_mut().insert(endpoint.name.clone(), refusal);
    }

    /// Whether an endpoint may have started again since it announced this start.
    pub fn is_doubted(&self, name: &EndpointName, generation: Generation) -> bool {
        let now = time_since(self.start);
        let refused = self.refusals.borrow().get(name).copied();
        let is_recent =
            |(of, at): (Generation, Time)| of == generation && now.since(at) <= REFUSAL_TIME;
        refused.is_some_and(is_recent) || self.gate.lock().is_doubted(name)
    }

    /// Puts in doubt the endpoints that have refused connections shortly before an endpoint
    /// answered.
    fn doubt_refused(&self) {
        if self.refusals.borrow().is_empty() {
            return;
        }
        let now = time_since(self.start);
        let mut refusals = self.refusals.borrow_mut();
        for (name, (generation, at)) in refusals.drain(..) {
            if now.since(at) <= REFUSAL_TIME && self.gate.lock().doubt(at, &name, generation) {
                log::info!(
                    endpoint = name.as_str(), generation:% = generation;
                    "[relay] an endpoint may have started again"
                );
            }
        }
    }

    /// Returns the limit of an endpoint, if it has one.
    pub fn limit(&self, name: &EndpointName) -> Option<Rate> {
        self.gate.lock().limit(name)
    }

    /// Counts a request that another send to an endpoint would have served.
    pub fn want(&self, name: &EndpointName) {
        self.gate.lock().want(name);
    }

    /// The time on the clock by which notices are kept.
    pub fn now(&self) -> Time {
        time_since(self.start)
    }

    /// Drops the notices of incarnations that are no longer in the tables.
    pub fn reload(&self, tables: &Tables) {
        self.table.borrow_mut().reload(tables.endpoints.values());
        self.gate.lock().reload(tables);
    }

    /// Reads the head of an endpoint's answer to a request that was sent at `sent`.
    /// Returns whether the endpoint has just said that it is leaving.
    pub fn read<B>(&self, endpoint: &Endpoint, sent: Time, response: &Response<B>) -> bool {
        self.doubt_refused();
        let limit = read_limit(response, &self.limit);
        // Another endpoint may have answered, at an address that is used again.
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if limit != LimitNotice::Absent || !misdirected {
            self.note_limit(endpoint, sent, limit);
        }
        let brittle = read_limit(response, &self.brittle);
        if brittle != LimitNotice::Absent || !misdirected {
            self.note_brittle(endpoint, sent, brittle);
        }
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let now = time_since(self.start);
            self.gate.lock().note_rejection(now, &endpoint.name, endpoint.generation);
        }
        let mut newly_leaving = false;
        for notice in read_notices(response, &self.leaving) {
            match notice {
                EndpointNotice::Pause(pause) => self.note_pause(endpoint, pause),
                EndpointNotice::Leaving => newly_leaving = self.note_leaving(endpoint),
            }
        }
        newly_leaving
    }

    /// Logs the pauses that have ended since the last call.
    pub fn log_ended(&self) {
        let now = time_since(self.start);
        let last = self.swept.replace(now);
        for name in self.table().ended_pauses(last, now) {
            log::info!(endpoint = name.as_str(); "[relay] pause of an endpoint ended");
        }
    }

    fn note_limit(&self, endpoint: &Endpoint, sent: Time, notice: LimitNotice) {
        let (name, generation) = (&endpoint.name, endpoint.generation);
        if notice == LimitNotice::Unreadable {
            log::info!(
                endpoint = name.as_str(), generation:% = generation;
                "[relay] limit of an endpoint isn't a number"
            );
        }
        let now = time_since(self.start);
        if let Some(it) = self.gate.lock().note(now, sent, name, generation, notice) {
            log_limit(name, &it, "answer");
        }
    }

    fn note_brittle(&self, endpoint: &Endpoint, sent: Time, notice: LimitNotice) {
        let (name, generation) = (&endpoint.name, endpoint.generation);
        if notice == LimitNotice::Unreadable {
            log::info!(
                endpoint = name.as_str(), generation:% = generation;
                "[relay] the rejections that an endpoint allows aren't a number"
            );
        }
        let now = time_since(self.start);
        if let Some(it) = self.gate.lock().note_brittle(now, sent, name, generation, notice) {
            let number = |it: Option<Rate>| it.map_or(-1, |it| it.0 as i64);
            log::info!(
                endpoint = name.as_str(), rejections = number(it.limit),
                before = number(it.before);
                "[relay] rejections that an endpoint allows"
            );
        }
    }

    fn note_pause(&self, endpoint: &Endpoint, pause: Millis) {
        let now = time_since(self.start);
        let until =
            self.table.borrow_mut().note_pause(now, &endpoint.name, endpoint.generation, pause);
        log::info!(
            endpoint = endpoint.name.as_str(), generation:% = endpoint.generation,
            pause_ms = pause.0, left_ms = until.map_or(0, |it| it.since(now).0),
            stale = until.is_none();
            "[relay] an endpoint asks for a pause"
        );
        count(endpoint, "pause");
    }

    fn note_leaving(&self, endpoint: &Endpoint) -> bool {
        let now = time_since(self.start);
        let (name, generation) = (&endpoint.name, endpoint.generation);
        let new = self.table.borrow_mut().note_leaving(now, name, generation);
        if new {
            log::info!(
                endpoint = endpoint.name.as_str(), generation:% = endpoint.generation;
                "[relay] an endpoint says that it is leaving"
            );
            count(endpoint, "leaving");
        }
        new
    }
}

/// Logs a change of an endpoint's limit, in requests per 1000 seconds (-1: none), and how
/// this instance learned of it.
pub fn log_limit(name: &EndpointName, change: &LimitChange, source: &str) {
    let number = |it: Option<Rate>| it.map_or(-1, |it| it.0 as i64);
    log::info!(
        endpoint = name.as_str(), limit = number(change.limit), before = number(change.before),
        source = source;
        "[relay] limit of an endpoint"
    );
}

fn count(endpoint: &Endpoint, notice: &'static str) {
    let pool = endpoint.pool.to_string();
    counter!("mangobend_endpoint_notices_total", "pool" => pool, "notice" => notice).increment(1);
}
