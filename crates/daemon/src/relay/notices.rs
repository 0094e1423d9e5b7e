//! Reads from answers that an endpoint is leaving or wants no requests for a while.

use {
    super::{HeaderNames, clock::time_since},
    crate::answer_notices::{read_limit, read_notices},
    coord::{
        ids::{EndpointName, Generation, Rate},
        limits::LimitNotice,
        relay::{EndpointNotice, EndpointNotices},
        tables::{Endpoint, Tables},
        time::{Millis, Time},
    },
    hyper::{Response, header::HeaderName},
    indexmap::IndexMap,
    metrics::counter,
    std::{
        cell::{Cell, Ref, RefCell},
        time::Instant,
    },
};

/// The notices of the endpoints, as this instance has read them.
pub struct Notices {
    table: RefCell<EndpointNotices>,
    leaving: HeaderName,
    limit: HeaderName,
    /// The limits that endpoints name at present.
    limits: RefCell<IndexMap<EndpointName, (Generation, Rate)>>,
    /// Up to when ended pauses are logged.
    swept: Cell<Time>,
    start: Instant,
}

impl Notices {
    /// Creates an empty set.
    pub fn new(names: &HeaderNames, leave_grace: Millis, start: Instant) -> Self {
        Self {
            table: RefCell::new(EndpointNotices::new(leave_grace)),
            leaving: names.leaving.clone(),
            limit: names.limit.clone(),
            limits: RefCell::default(),
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
        self.table().may_send(time_since(self.start), name)
    }

    /// Drops the notices of incarnations that are no longer in the tables.
    pub fn reload(&self, tables: &Tables) {
        self.table.borrow_mut().reload(tables.endpoints.values());
        self.limits.borrow_mut().retain(|name, _| tables.endpoints.contains_key(name));
    }

    /// Reads the head of an endpoint's answer. Returns whether the endpoint has just
    /// said that it is leaving.
    pub fn read<B>(&self, endpoint: &Endpoint, response: &Response<B>) -> bool {
        self.note_limit(endpoint, read_limit(response, &self.limit));
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

    /// Logs a limit that an endpoint names for the first time, changes or ends.
    fn note_limit(&self, endpoint: &Endpoint, notice: LimitNotice) {
        let mut limits = self.limits.borrow_mut();
        let known = limits.get(&endpoint.name).filter(|it| it.0 == endpoint.generation);
        let before = known.map(|it| it.1);
        let limit = match notice {
            LimitNotice::Named(limit) => Some(limit),
            LimitNotice::Absent => None,
            LimitNotice::Unreadable => {
                log::info!(
                    endpoint = endpoint.name.as_str(), generation:% = endpoint.generation;
                    "[relay] limit of an endpoint isn't a number"
                );
                return;
            }
        };
        if limit == before {
            return;
        }
        match limit {
            Some(it) => limits.insert(endpoint.name.clone(), (endpoint.generation, it)),
            None => limits.swap_remove(&endpoint.name),
        };
        log::info!(
            endpoint = endpoint.name.as_str(), generation:% = endpoint.generation,
            limit_milli = limit.map_or(-1, |it| it.0 as i64),
            before_milli = before.map_or(-1, |it| it.0 as i64);
            "[relay] limit of an endpoint"
        );
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

fn count(endpoint: &Endpoint, notice: &'static str) {
    let pool = endpoint.pool.to_string();
    counter!("mangobend_endpoint_notices_total", "pool" => pool, "notice" => notice).increment(1);
}
