//! Outcome of relayed requests: one log line and the metrics of each.

use {
    super::{
        drain_state::RequestGuard,
        framing::Framing,
        progress::{Progress, Wait},
        request::RelayRequest,
        response::Denial,
    },
    crate::telemetry::SeriesBound,
    coord::{ids::PoolName, tables::Suspect},
    metrics::{counter, histogram},
    std::{cell::RefCell, fmt::Display, rc::Rc, time::Instant},
};

/// Maximum number of routes, and of teams, with metric series of their own.
const MAX_SERIES: usize = 100;

/// The route and team labels that have metric series of their own.
pub struct SeriesLabels {
    routes: RefCell<SeriesBound>,
    teams: RefCell<SeriesBound>,
}

impl Default for SeriesLabels {
    fn default() -> Self {
        let bound = || RefCell::new(SeriesBound::new(MAX_SERIES));
        Self { routes: bound(), teams: bound() }
    }
}

/// Collects what is reported about an active request. Dropping an unfinished
/// record means that the caller disconnected.
pub struct RequestRecord {
    request: String,
    /// The shared parts of the prompt, comma-separated.
    parts: String,
    route: String,
    team: String,
    pool: String,
    version: u64,
    received: Instant,
    first: Option<Instant>,
    bytes: usize,
    /// The complete events of a streamed answer, and whether another had begun.
    events: Option<(u64, bool)>,
    sends: u32,
    endpoint: Option<String>,
    /// The framing of the last response from an endpoint.
    framing: Option<Framing>,
    finished: bool,
    series: Rc<SeriesLabels>,
    progress: Rc<Progress>,
    _guard: RequestGuard,
}

impl RequestRecord {
    /// Creates the record of an accepted request.
    pub fn new(
        request: &RelayRequest,
        version: u64,
        series: Rc<SeriesLabels>,
        progress: Rc<Progress>,
        guard: RequestGuard,
    ) -> Self {
        let team = request.team.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
        Self {
            request: request.id.clone(),
            parts: join_parts(&request.parts),
            route: request.route.name.to_string(),
            team,
            pool: request.pool.to_string(),
            version,
            received: request.received,
            first: None,
            bytes: 0,
            events: None,
            sends: 0,
            endpoint: None,
            framing: None,
            finished: false,
            series,
            progress,
            _guard: guard,
        }
    }

    /// Sets the pool, which what a stream came from may decide.
    pub fn set_pool(&mut self, pool: &PoolName) {
        self.pool = pool.to_string();
    }

    /// Notes what the request waits for from now on.
    pub fn wait_for(&self, wait: Wait) {
        self.progress.wait_for(wait);
    }

    /// Sets whether an endpoint may have run the request, once the outcome of a send is known.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.progress.set_may_have_run(may_have_run);
    }

    /// Counts a send to an endpoint or another instance, for whose answer it waits.
    pub fn add_send(&mut self, endpoint: &str, wait: Wait) {
        self.sends += 1;
        self.progress.note_send(wait);
        self.endpoint = Some(endpoint.to_owned());
        self.framing = None;
    }

    /// Sets the framing of the response from the endpoint.
    pub fn set_framing(&mut self, framing: Framing) {
        self.framing = Some(framing);
    }

    /// Counts response bytes; the first call sets the time to the first byte.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.first.get_or_insert_with(Instant::now);
        self.bytes += bytes;
    }

    /// Sets how many events of a streamed answer are complete, and whether its bytes
    /// end inside another.
    pub fn set_events(&mut self, complete: u64, partial: bool) {
        self.events = Some((complete, partial));
    }

    /// Logs the error that ended a response body early.
    pub fn log_error(&self, err: &impl Display) {
        log::info!(
            request = self.request.as_str(), endpoint = self.endpoint.as_deref().unwrap_or("none"),
            bytes = self.bytes, framing = self.framing_name(), parts = self.parts.as_str(),
            error:% = err;
            "[relay] answer broke off"
        );
    }

    /// Logs the outcome and updates the metrics; later calls do nothing.
    pub fn finish(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        if self.progress.stopped().is_some() || outcome == Denial::Stopping.name() {
            self.progress.log_stopped();
        }
        let took = self.received.elapsed();
        let first = self.first.map(|it| it.duration_since(self.received));
        log::info!(
            request = self.request.as_str(), outcome = outcome, route = self.route.as_str(),
            team = self.team.as_str(), pool = self.pool.as_str(),
            endpoint = self.endpoint.as_deref().unwrap_or("none"), sends = self.sends,
            framing = self.framing_name(), bytes = self.bytes,
            events = self.events.map_or(-1, |(complete, _)| complete as i64),
            partial = self.events.is_some_and(|(_, partial)| partial),
            first_ms = first.map_or(-1, |it| it.as_millis() as i64),
            took_ms = took.as_millis() as u64, catalog = self.version;
            "[relay] ended"
        );
        let route = self.series.routes.borrow_mut().label(&self.route);
        let team = self.series.teams.borrow_mut().label(&self.team);
        counter!("mangobend_relayed_total", "route" => route.clone(), "outcome" => outcome)
            .increment(1);
        let first = first.unwrap_or(took).as_secs_f64();
        histogram!("mangobend_relay_seconds_by_route", "route" => route).record(first);
        histogram!("mangobend_relay_seconds_by_team", "team" => team).record(first);
    }

    fn framing_name(&self) -> &'static str {
        self.framing.map_or("none", Framing::name)
    }
}

/// Logs for what a request is refused that crashes endpoints.
pub fn log_withheld(request: &str, pool: &PoolName, suspect: &Suspect) {
    log::info!(
        request = request, pool:% = pool, suspect:% = suspect;
        "[relay] request is withheld"
    );
}

/// Joins the ids of prompt parts for a log line.
pub fn join_parts(parts: &[Suspect]) -> String {
    parts.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish(self.progress.stopped().map_or("caller_left", Denial::name));
    }
}
