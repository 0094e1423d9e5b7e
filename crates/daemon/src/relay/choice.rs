//! Chooses the endpoint for an attempt of a request.

use {
    super::{forward::Forward, placement::Placement, view::View},
    coord::{
        catalog::RetryPolicy,
        ids::{EndpointName, Rate},
        limits::MIN_LIMIT,
        relay::Preferences,
        rollouts::SendKind,
        streams::resume_filter,
        tables::Endpoint,
        time::Millis,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Spread of the requests that wait for an endpoint's pause to end: about a time of
/// a request.
const RETURN_SPREAD: Millis = Millis(300);

impl Forward {
    /// Returns the endpoints of the pool that may be sent the request. A stream goes on only
    /// at the version that began it, and not at endpoints that may have started again.
    pub(super) fn candidates<'a>(
        &self,
        view: &'a View,
        kind: SendKind,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let is_resumable = self.request.route.retry == RetryPolicy::ResumableStream;
        let is_doubted =
            |it: &Endpoint| is_resumable && self.relay.notices.is_doubted(&it.name, it.generation);
        let endpoints = view.endpoints(&self.request.pool).iter();
        let allowed = self.relay.rollouts.allowed(endpoints, &self.request.route.name, kind);
        resume_filter(self.request.origin.as_ref(), allowed, is_doubted).into_iter()
    }

    /// Returns what the next send of the request is for rollouts.
    pub(super) fn send_kind(&self, tried: &[EndpointName]) -> SendKind {
        match (&self.request.origin, tried) {
            (Some(_), _) => SendKind::Resume,
            // The instance that handed the request over may have counted it.
            (None, []) if !self.request.handed => SendKind::First,
            (None, _) => SendKind::Repeat,
        }
    }

    pub(super) fn choose(&self, tried: &[EndpointName]) -> Option<Endpoint> {
        let view = self.relay.view();
        let kind = self.send_kind(tried);
        let endpoints: Vec<&Endpoint> = self.candidates(&view, kind).collect();
        let preferences = Preferences {
            affinity: self.request.affinity.as_deref(),
            domain: self.request.preferred_domain.as_ref(),
            tried,
        };
        let now = self.relay.now();
        let untried: Vec<&Endpoint> =
            endpoints.iter().copied().filter(|it| !tried.contains(&it.name)).collect();
        let usable = self.relay.notices.table().usable(now, &untried);
        let mut groups =
            self.relay.rollouts.split(usable, &self.request.route.name, kind).into_iter();
        let chosen = groups.find_map(|it| self.choose_among(it, &preferences));
        let chosen = chosen.or_else(|| self.choose_fallback(&preferences));
        if let Some(placement) = &chosen {
            placement.count();
            let (it, table) = (&placement.endpoint, placement.table);
            let resumption = self.request.resumption.as_ref();
            log::info!(
                request = self.request.id.as_str(), endpoint = it.name.as_str(), addr:% = it.addr,
                generation:% = it.generation,
                version = it.version.as_ref().map_or("none", |it| it.as_str()),
                resumes = resumption.and_then(|it| it.first_attempt.as_deref()).unwrap_or("none"),
                last_event = resumption.map_or("none", |it| it.last_event.as_str()),
                in_flight = self.relay.placer().in_flight(&it.name), candidates = endpoints.len(),
                tried = tried.len(), tables = view.tables.version.0,
                load_age_ms = table.map(|it| it.age.0),
                load_thousandths = table.map(|it| (it.estimate * 1000.0) as u64),
                left_ms = self.request.remaining().as_millis() as u64;
                "[relay] placed"
            );
        }
        chosen.map(|it| it.endpoint)
    }

    /// Chooses an endpoint of the old version during the switch to a new one whose endpoints
    /// can't take the request.
    fn choose_fallback(&self, preferences: &Preferences<'_>) -> Option<Placement> {
        let may_fall_back = self.relay.rollouts.may_fall_back(&self.request.pool);
        if !may_fall_back || self.request.origin.is_some() {
            return None;
        }
        let view = self.relay.view();
        let untried = self.candidates(&view, SendKind::Resume);
        let untried: Vec<&Endpoint> =
            untried.filter(|it| !preferences.tried.contains(&it.name)).collect();
        let usable = self.relay.notices.table().usable(self.relay.now(), &untried);
        let route = &self.request.route.name;
        let [_, old] = self.relay.rollouts.split(usable, route, SendKind::First);
        self.choose_among(old, preferences)
    }

    /// Chooses among endpoints that take requests, as far as limits allow.
    fn choose_among(
        &self,
        usable: Vec<&Endpoint>,
        preferences: &Preferences<'_>,
    ) -> Option<Placement> {
        let now = self.relay.now();
        let chosen = self.relay.place(now, &usable, preferences)?;
        let first = &chosen.endpoint;
        if self.relay.notices.may_send(&first.name) {
            return Some(chosen);
        }
        self.relay.notices.want(&first.name);
        let granted: Vec<&Endpoint> =
            usable.into_iter().filter(|it| self.relay.notices.may_send(&it.name)).collect();
        log::info!(
            request = self.request.id.as_str(), endpoint = first.name.as_str(),
            candidates = granted.len();
            "[relay] no send to a limited endpoint granted"
        );
        self.relay.place(now, &granted, preferences)
    }

    /// Whether one of the pool's endpoints names a limit.
    pub(super) fn is_limited(&self) -> bool {
        self.pool_limit() > Rate(0)
    }

    /// Returns the sum of the limits that endpoints of the pool name.
    pub(super) fn pool_limit(&self) -> Rate {
        let view = self.relay.view();
        let endpoints = self.candidates(&view, self.send_kind(&[]));
        let limits = endpoints.filter_map(|it| self.relay.notices.limit(&it.name));
        Rate(limits.map(|it| it.max(MIN_LIMIT).0).sum())
    }

    /// Returns when to try again if none of the endpoints that weren't tried takes
    /// requests and one of them has asked for a pause. The time is spread, so that the
    /// first endpoint to return doesn't get all waiting requests at once.
    pub(super) fn pause_left(&self, tried: &[EndpointName]) -> Option<Duration> {
        let view = self.relay.view();
        let endpoints = self.candidates(&view, self.send_kind(tried));
        let untried: Vec<&Endpoint> = endpoints.filter(|it| !tried.contains(&it.name)).collect();
        let now = self.relay.now();
        let notices = self.relay.notices.table();
        if !notices.usable(now, &untried).is_empty() {
            return None;
        }
        let at = notices.earliest_return(now, &untried)?;
        let spread = rand::random_range(0..RETURN_SPREAD.0);
        Some(Duration::from_millis(at.since(now).0 + spread))
    }

    /// Waits until a change of the tables leaves nothing to wait for before a pause ends: there is
    /// another endpoint, or none. Spread like the end of the pause, whose own spread is left to
    /// it.
    pub(super) async fn pause_overtaken(&self, tried: &[EndpointName], pause: Duration) {
        let spread = Duration::from_millis(RETURN_SPREAD.0);
        let end = Instant::now() + pause.saturating_sub(spread);
        loop {
            self.relay.view_changed().await;
            if Instant::now() < end && self.pause_left(tried).is_none() {
                break;
            }
        }
        sleep(spread.mul_f64(rand::random())).await;
    }
}
