//! The state of one stand-in.

use {
    crate::{Control, EndpointSpec, Kind, Record, RunRecord},
    coord::{
        ids::{AttemptId, Class, Generation, RequestId},
        tables::{Endpoint, EndpointState},
        time::WallTime,
        wire::{Announcement, RunRequest},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Notify, oneshot},
};

/// A stand-in crashes when the calls beyond its cold slots exceed this multiple
/// of the slots.
const CRASH_FACTOR: u32 = 4;

/// A stand-in, shared by its tasks.
pub struct StandIn {
    pub spec: EndpointSpec,
    pub addr: SocketAddr,
    inner: Mutex<Inner>,
}

struct Inner {
    control: Control,
    record: Record,
    generation: Generation,
    warm_at: Instant,
    leaving: bool,
    /// Accepted calls that haven't ended.
    in_flight: u32,
    running: u32,
    waiting: BTreeMap<(Class, u64), oneshot::Sender<()>>,
    next_serial: u64,
    runs: HashMap<(RequestId, AttemptId), Arc<Notify>>,
    cold_overruns: u32,
}

/// The admission decision for a call.
pub enum Admission {
    Accepted { cancel: Arc<Notify> },
    Refused { cold: bool },
}

impl StandIn {
    /// Creates a stand-in that begins a cold start.
    pub fn new(spec: EndpointSpec, addr: SocketAddr) -> Self {
        let warm_at = Instant::now() + Duration::from_millis(spec.cold_ms);
        let inner = Inner {
            control: Control::default(),
            record: Record::default(),
            generation: Generation(wall_clock().0),
            warm_at,
            leaving: false,
            in_flight: 0,
            running: 0,
            waiting: BTreeMap::new(),
            next_serial: 0,
            runs: HashMap::new(),
            cold_overruns: 0,
        };
        Self { spec, addr, inner: Mutex::new(inner) }
    }

    /// The current misbehaviour.
    pub fn control(&self) -> Control {
        self.lock().control.clone()
    }

    /// Carries out one-shot orders and replaces the current misbehaviour.
    pub fn set_control(&self, mut control: Control) {
        let mut inner = self.lock();
        if std::mem::take(&mut control.cold) {
            inner.warm_at = Instant::now() + Duration::from_millis(self.spec.cold_ms);
            inner.cold_overruns = 0;
        }
        if std::mem::take(&mut control.leave) {
            inner.leaving = true;
        }
        if control.exit {
            std::process::exit(0);
        }
        inner.control = control;
    }

    /// A copy of the record.
    pub fn record(&self) -> Record {
        let inner = self.lock();
        Record { running: inner.in_flight, ..inner.record.clone() }
    }

    /// The announcement to send now. `starting` is true during the initial cold
    /// start; a later cold phase is announced as warm.
    pub fn announcement(&self, starting: bool) -> Announcement {
        let inner = self.lock();
        let state = match (inner.leaving, starting) {
            (true, _) => EndpointState::Leaving,
            (_, true) => EndpointState::Cold,
            _ => EndpointState::Warm,
        };
        Announcement {
            endpoint: Endpoint {
                name: self.spec.name.clone(),
                pool: self.spec.pool.clone(),
                domain: self.spec.domain.clone(),
                addr: self.addr,
                generation: inner.generation,
                state,
                slots: self.spec.slots,
                cold_slots: self.spec.cold_slots,
                version: None,
            },
            load: inner.in_flight,
        }
    }

    /// Records a call and accepts it, or refuses it before it runs.
    pub fn admit(&self, run: &RunRequest) -> Admission {
        let mut inner = self.lock();
        let cold = Instant::now() < inner.warm_at;
        let over_limit = cold && inner.in_flight >= self.spec.cold_slots.0;
        let accepted = !over_limit && !inner.leaving;
        let in_flight = inner.in_flight + 1;
        inner.record.runs.push(RunRecord {
            request: run.ident.request,
            stage: run.ident.stage.clone(),
            attempt: run.ident.attempt,
            fence: run.fence,
            at: wall_clock(),
            from_piece: run.from_piece,
            accepted,
            cold,
            in_flight,
        });
        if cold {
            inner.record.peak_cold = inner.record.peak_cold.max(in_flight);
        }
        if over_limit {
            inner.record.cold_breaches += 1;
            inner.cold_overruns += 1;
            if inner.cold_overruns > CRASH_FACTOR * self.spec.cold_slots.0 {
                inner.crash(self.spec.cold_ms);
            }
        }
        if !accepted {
            return Admission::Refused { cold };
        }
        inner.in_flight = in_flight;
        let cancel = Arc::new(Notify::new());
        inner.runs.insert((run.ident.request, run.ident.attempt), cancel.clone());
        Admission::Accepted { cancel }
    }

    /// Waits for a slot. The most urgent class is served first, then the oldest call.
    pub async fn acquire_slot(&self, class: Class) {
        let granted = {
            let mut inner = self.lock();
            if inner.running < self.spec.slots.0 {
                inner.running += 1;
                return;
            }
            inner.next_serial += 1;
            let key = (class, inner.next_serial);
            let (sender, granted) = oneshot::channel();
            inner.waiting.insert(key, sender);
            granted
        };
        let _ = granted.await;
    }

    /// Releases a slot, handing it to the next waiting call.
    pub fn release_slot(&self) {
        let mut inner = self.lock();
        while let Some((_, next)) = inner.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        inner.running = inner.running.saturating_sub(1);
    }

    /// Removes a call that has ended and counts its time.
    pub fn finish(&self, run: &RunRequest, began: Instant, completed: bool) {
        let mut inner = self.lock();
        inner.in_flight = inner.in_flight.saturating_sub(1);
        inner.runs.remove(&(run.ident.request, run.ident.attempt));
        inner.record.busy_ms += began.elapsed().as_millis() as u64;
        inner.record.completed += u32::from(completed);
    }

    /// Records the effect of a call, if this is a service.
    pub fn record_effect(&self, run: &RunRequest) {
        if self.spec.kind == Kind::Service {
            self.lock().record.effects.push(run.input.clone());
        }
    }

    /// Cancels a running attempt.
    pub fn cancel(&self, request: RequestId, attempt: AttemptId) {
        let mut inner = self.lock();
        if let Some(run) = inner.runs.get(&(request, attempt)).cloned() {
            inner.record.cancelled += 1;
            run.notify_one();
        }
    }

    /// A duration scaled by the slow factor, and doubled while cold.
    pub fn scaled(&self, ms: u64) -> Duration {
        let inner = self.lock();
        let cold_factor = if Instant::now() < inner.warm_at { 2 } else { 1 };
        Duration::from_millis(ms * cold_factor * inner.control.slow_factor.max(1))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock poisoned")
    }
}

impl Inner {
    /// Aborts all running calls and starts cold again with a new generation.
    fn crash(&mut self, cold_ms: u64) {
        for run in self.runs.values() {
            run.notify_one();
        }
        self.cold_overruns = 0;
        self.generation = Generation(self.generation.0 + 1);
        self.warm_at = Instant::now() + Duration::from_millis(cold_ms);
    }
}

/// The current wall-clock time.
pub fn wall_clock() -> WallTime {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(passed.as_millis() as u64)
}
