//! The leader's table of endpoints: how many requests each may be given now.

use {
    super::{EndpointReport, FaultKind},
    crate::{
        ids::{EndpointName, Generation, PoolName, Slots},
        tables::{Endpoint, EndpointState, Tables},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// How long after its last report an endpoint gets no requests.
const SILENCE_TIMEOUT: Millis = Millis(3000);
/// How long after its last report an endpoint is removed from the tables.
const ROW_EXPIRY: Millis = Millis(600_000);
/// The minimum time between two steps of a ramp.
const RAMP_INTERVAL: Millis = Millis(400);
/// The minimum time at the cold limit after a fault.
const MIN_COLD_HOLD: Millis = Millis(1000);
/// The maximum time at the cold limit after a refusal: five doublings of the
/// minimum. An endpoint that takes longer to start is tried this often.
const MAX_COLD_HOLD: Millis = Millis(32_000);

/// The divisor of a measured start time that gives the margin by which a hold
/// exceeds it, since a start is measured only from its first report on.
const START_MARGIN_DIVISOR: u64 = 4;

/// The ramp of one endpoint.
#[derive(Debug, Clone)]
struct Row {
    generation: Generation,
    allowed: u32,
    last_report: Time,
    load: u32,
    /// The earliest time of the next step of the ramp.
    next_step: Time,
    /// Whether a request has succeeded since the last step.
    succeeded: bool,
    /// The time at the cold limit after the next refusal.
    hold: Millis,
    /// Whether it has been allowed more than its cold limit, but less than its
    /// full slots, since the last refusal.
    probed: bool,
    /// When it first reported that it is cold.
    cold_since: Option<Time>,
    usable: bool,
    /// What it was allowed at the last tick.
    last_allowed: u32,
}

/// The number of requests that each endpoint may be given over all instances. An
/// endpoint starts at its cold limit and is ramped up while requests succeed.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: IndexMap<EndpointName, Row>,
    /// The hold by pool that covers the longest start this leader measured there.
    pool_holds: IndexMap<PoolName, Millis>,
}

impl EndpointTable {
    /// Updates the rows from the replicated tables. An endpoint that is new, has
    /// a new generation or is back in service starts at its cold limit. Returns
    /// the endpoints with a new generation.
    pub fn reload(&mut self, tables: &Tables, now: Time) -> Vec<EndpointName> {
        let mut renewed = Vec::new();
        self.rows.retain(|name, _| tables.endpoints.contains_key(name));
        for endpoint in tables.endpoints.values() {
            let usable = tables.is_in_service(endpoint);
            let row =
                self.rows.entry(endpoint.name.clone()).or_insert_with(|| Row::new(endpoint, now));
            let fresh = row.generation != endpoint.generation;
            let back = usable && !row.usable;
            let colder = endpoint.state == EndpointState::Cold;
            if fresh || back || colder {
                row.reset_to_cold(endpoint, now);
            }
            if fresh {
                (row.hold, row.probed) = (MIN_COLD_HOLD, false);
                renewed.push(endpoint.name.clone());
            }
            if let Some(start) = row.track_start(endpoint, fresh, now) {
                let longest = self.pool_holds.entry(endpoint.pool.clone()).or_default();
                let hold = Millis(start.0 + start.0 / START_MARGIN_DIVISOR);
                *longest = hold.max(*longest).min(MAX_COLD_HOLD);
            }
            row.generation = endpoint.generation;
            row.usable = usable;
        }
        renewed
    }

    /// Records an endpoint's own report.
    pub fn record_report(&mut self, report: &EndpointReport, now: Time) {
        if let Some(row) = self.rows.get_mut(&report.endpoint)
            && row.generation == report.generation
        {
            row.last_report = now;
            row.load = report.load;
        }
    }

    /// Records a fault, which resets the endpoint to its cold limit.
    pub fn record_fault(&mut self, endpoint: &Endpoint, kind: FaultKind, now: Time) {
        let Some(row) = self.rows.get_mut(&endpoint.name) else {
            return;
        };
        row.reset_to_cold(endpoint, now);
        match kind {
            FaultKind::Refused => {
                let start = self.pool_holds.get(&endpoint.pool).copied().unwrap_or_default();
                row.delay_ramp(start, now);
            }
            FaultKind::Failed => row.next_step = now + MIN_COLD_HOLD + MIN_COLD_HOLD,
            FaultKind::Silent => {}
        }
    }

    /// Records that a request succeeded at an endpoint.
    pub fn record_success(&mut self, name: &EndpointName, generation: Generation) {
        if let Some(row) = self.rows.get_mut(name).filter(|it| it.generation == generation) {
            row.succeeded = true;
        }
    }

    /// Raises the limit of an endpoint to what earlier leaders have granted of it.
    pub fn restore(&mut self, name: &EndpointName, held: Slots, endpoint: &Endpoint) {
        if let Some(row) = self.rows.get_mut(name) {
            row.allowed = row.allowed.max(held.0).min(endpoint.slots.0);
        }
    }

    /// Advances the ramps. Returns whether the limit of some endpoint differs
    /// from that at the last tick.
    pub fn tick(&mut self, tables: &Tables, now: Time) -> bool {
        let mut changed = false;
        for (name, row) in &mut self.rows {
            let Some(endpoint) = tables.endpoints.get(name) else {
                continue;
            };
            if row.is_silent(now) {
                row.reset_to_cold(endpoint, now);
            }
            let ready =
                endpoint.state == EndpointState::Warm && row.succeeded && now >= row.next_step;
            if ready && row.allowed < endpoint.slots.0 {
                row.allowed = row.allowed.saturating_mul(2).clamp(1, endpoint.slots.0);
                row.next_step = now + RAMP_INTERVAL;
                row.succeeded = false;
                row.probed = row.allowed < endpoint.slots.0;
                if !row.probed {
                    row.hold = MIN_COLD_HOLD;
                }
            }
            let allowed = row.allowed_at(now);
            changed |= allowed != row.last_allowed;
            row.last_allowed = allowed;
        }
        changed
    }

    /// Returns how many requests an endpoint may be given now over all instances.
    pub fn allowed(&self, name: &EndpointName, now: Time) -> Slots {
        Slots(self.rows.get(name).map_or(0, |it| it.allowed_at(now)))
    }

    /// Returns the load that an endpoint reported last.
    pub fn load(&self, name: &EndpointName) -> Option<u32> {
        self.rows.get(name).map(|it| it.load)
    }

    /// Returns the endpoints that haven't reported for so long that they are to be
    /// removed from the tables.
    pub fn expired(&self, now: Time) -> Vec<(EndpointName, Generation)> {
        let rows = self.rows.iter().filter(|(_, it)| now.since(it.last_report) > ROW_EXPIRY);
        rows.map(|(name, it)| (name.clone(), it.generation)).collect()
    }
}

impl Row {
    fn new(endpoint: &Endpoint, now: Time) -> Self {
        Self {
            generation: endpoint.generation,
            allowed: endpoint.cold_slots.0,
            last_report: now,
            load: 0,
            next_step: now,
            succeeded: false,
            hold: MIN_COLD_HOLD,
            probed: false,
            cold_since: None,
            usable: true,
            last_allowed: 0,
        }
    }

    fn reset_to_cold(&mut self, endpoint: &Endpoint, now: Time) {
        self.allowed = endpoint.cold_slots.0.min(endpoint.slots.0);
        self.next_step = now + MIN_COLD_HOLD;
        self.succeeded = false;
    }

    /// Keeps the endpoint at its cold limit for at least as long as a start in its
    /// pool takes. The hold doubles if the last step led to the refusal.
    fn delay_ramp(&mut self, start: Millis, now: Time) {
        if std::mem::take(&mut self.probed) {
            self.hold = Millis(self.hold.0 * 2).min(MAX_COLD_HOLD);
        }
        self.next_step = now + self.hold.max(start);
    }

    /// Records when a start begins. Returns the duration of one that has ended.
    fn track_start(&mut self, endpoint: &Endpoint, fresh: bool, now: Time) -> Option<Millis> {
        if endpoint.state == EndpointState::Cold {
            let since = self.cold_since.filter(|_| !fresh).unwrap_or(now);
            self.cold_since = Some(since);
            return None;
        }
        let since = self.cold_since.take().filter(|_| !fresh)?;
        Some(now.since(since))
    }

    fn allowed_at(&self, now: Time) -> u32 {
        let used = self.usable && !self.is_silent(now);
        if used { self.allowed } else { 0 }
    }

    fn is_silent(&self, now: Time) -> bool {
        now.since(self.last_report) > SILENCE_TIMEOUT
    }
}
