//! What the relayed requests of this instance wait for.

use {
    super::response::Denial,
    indexmap::IndexMap,
    metrics::counter,
    std::{
        cell::{Cell, RefCell},
        rc::{Rc, Weak},
        time::Instant,
    },
};

/// Limit on the requests that are logged one by one at the end of a stop.
const MAX_LINES: usize = 100;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The rest of its body.
    Body,
    /// What the stream came from that it takes up.
    Origin,
    /// The results of its stages.
    Stages,
    /// The end of the pause that its endpoints asked for.
    Pause,
    /// The answer of an endpoint.
    Endpoint,
    /// The answer of the instance that it was handed to.
    Helper,
    /// The rest of an answer that is being forwarded.
    Rest,
}

impl Wait {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Origin => "origin",
            Self::Stages => "stages",
            Self::Pause => "pause",
            Self::Endpoint => "endpoint",
            Self::Helper => "helper",
            Self::Rest => "rest",
        }
    }
}

/// What one request waits for.
pub struct Progress {
    request: String,
    route: String,
    received: Instant,
    wait: Cell<(Wait, Instant)>,
    sends: Cell<u32>,
    /// Whether an endpoint may have run it.
    may_have_run: Cell<bool>,
    /// Set if a stop ended it before its answer began.
    stopped: Cell<Option<Denial>>,
    table: Weak<ProgressTable>,
    key: u64,
}

impl Progress {
    /// Returns the id of the request.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Notes what the request waits for from now on.
    pub fn wait_for(&self, wait: Wait) {
        self.wait.set((wait, Instant::now()));
    }

    /// Notes that the request is sent to an endpoint or another instance, which may run it.
    pub fn note_send(&self, wait: Wait) {
        self.sends.set(self.sends.get() + 1);
        self.may_have_run.set(true);
        self.wait_for(wait);
    }

    /// Sets whether an endpoint may have run the request, once the outcome of a send is known.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Logs what a request waited for that isn't served because this instance stops.
    pub fn log_stopped(&self) {
        let (wait, since) = self.wait.get();
        log::info!(
            request = self.request.as_str(), waits_for = wait.name(),
            waited_ms = since.elapsed().as_millis() as u64, sends = self.sends.get();
            "[relay] request is ended by the stop"
        );
    }

    /// Notes that a stop ends the request before its answer began. Returns what its caller is
    /// told.
    pub fn stop(&self) -> Denial {
        let denial = if self.may_have_run.get() { Denial::Unknown } else { Denial::Stopping };
        self.stopped.set(Some(denial));
        denial
    }

    /// Returns what the caller was told if a stop ended the request.
    pub fn stopped(&self) -> Option<Denial> {
        self.stopped.get()
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(it) = self.table.upgrade() {
            it.requests.borrow_mut().shift_remove(&self.key);
        }
    }
}

/// The unfinished requests of this instance.
#[derive(Default)]
pub struct ProgressTable {
    requests: RefCell<IndexMap<u64, Weak<Progress>>>,
    next: Cell<u64>,
}

impl ProgressTable {
    /// Adds a request that was received and waits for its body. It is removed when the last
    /// copy is dropped.
    pub fn begin(self: &Rc<Self>, request: &str, route: &str, received: Instant) -> Rc<Progress> {
        let key = self.next.get();
        self.next.set(key + 1);
        let progress = Rc::new(Progress {
            request: request.to_owned(),
            route: route.to_owned(),
            received,
            wait: Cell::new((Wait::Body, received)),
            sends: Cell::new(0),
            may_have_run: Cell::new(false),
            stopped: Cell::new(None),
            table: Rc::downgrade(self),
            key,
        });
        self.requests.borrow_mut().insert(key, Rc::downgrade(&progress));
        progress
    }

    /// Logs and counts the requests that the end of a stop cuts off.
    pub fn log_cut_off(&self) {
        let now = Instant::now();
        let unfinished: Vec<Rc<Progress>> =
            self.requests.borrow().values().filter_map(Weak::upgrade).collect();
        for it in &unfinished {
            let (wait, _) = it.wait.get();
            counter!("mangobend_relay_cut_off_total", "waits_for" => wait.name()).increment(1);
        }
        for it in unfinished.iter().take(MAX_LINES) {
            let (wait, since) = it.wait.get();
            log::warn!(
                request = it.request.as_str(), route = it.route.as_str(), waits_for = wait.name(),
                waited_ms = now.duration_since(since).as_millis() as u64,
                age_ms = now.duration_since(it.received).as_millis() as u64,
                sends = it.sends.get();
                "[relay] request is cut off by the end of the stop"
            );
        }
    }
}
