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

/// Calls that come so many times beyond the cold bound make it fall over.
const FALL_FACTOR: u32 = 4;

/// One stand-in, shared by its tasks.
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
    /// Calls that were taken and haven't ended.
    flying: u32,
    running: u32,
    waiting: BTreeMap<(Class, u64), oneshot::Sender<()>>,
    serial: u64,
    runs: HashMap<(RequestId, AttemptId), Arc<Notify>>,
    overs: u32,
}

/// What becomes of a call on arrival.
pub enum Admission {
    Taken { cancel: Arc<Notify> },
    Refused { cold: bool },
}

impl StandIn {
    /// A stand-in in a cold start.
    pub fn new(spec: EndpointSpec, addr: SocketAddr) -> Self {
        let warm_at = Instant::now() + Duration::from_millis(spec.cold_ms);
        let inner = Inner {
            control: Control::default(),
            record: Record::default(),
            generation: Generation(wall().0),
            warm_at,
            leaving: false,
            flying: 0,
            running: 0,
            waiting: BTreeMap::new(),
            serial: 0,
            runs: HashMap::new(),
            overs: 0,
        };
        Self { spec, addr, inner: Mutex::new(inner) }
    }

    /// The present misbehaviour.
    pub fn control(&self) -> Control {
        self.lock().control.clone()
    }

    /// Takes new orders.
    pub fn set_control(&self, mut control: Control) {
        let mut inner = self.lock();
        if std::mem::take(&mut control.cold) {
            inner.warm_at = Instant::now() + Duration::from_millis(self.spec.cold_ms);
            inner.overs = 0;
        }
        if std::mem::take(&mut control.leave) {
            inner.leaving = true;
        }
        if control.die {
            std::process::exit(0);
        }
        inner.control = control;
    }

    /// The record so far.
    pub fn record(&self) -> Record {
        let inner = self.lock();
        Record { running: inner.flying, ..inner.record.clone() }
    }

    /// What it says of itself now. A silent cold turn shows as warm.
    pub fn announcement(&self, started_cold: bool) -> Announcement {
        let inner = self.lock();
        let state = match (inner.leaving, started_cold) {
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
            },
            load: inner.flying,
        }
    }

    /// Takes a call in, or refuses it before anything begins.
    pub fn admit(&self, run: &RunRequest) -> Admission {
        let mut inner = self.lock();
        let cold = Instant::now() < inner.warm_at;
        let over = cold && inner.flying >= self.spec.cold_slots.0;
        let taken = !over && !inner.leaving;
        let flying = inner.flying + 1;
        inner.record.runs.push(RunRecord {
            request: run.ident.request,
            stage: run.ident.stage.clone(),
            attempt: run.ident.attempt,
            fence: run.fence,
            at: wall(),
            from_piece: run.from_piece,
            taken,
            cold,
            flying,
        });
        if cold {
            inner.record.most_cold = inner.record.most_cold.max(flying);
        }
        if over {
            inner.record.cold_breaches += 1;
            inner.overs += 1;
            if inner.overs > FALL_FACTOR * self.spec.cold_slots.0 {
                inner.fall_over(self.spec.cold_ms);
            }
        }
        if !taken {
            return Admission::Refused { cold };
        }
        inner.flying = flying;
        let cancel = Arc::new(Notify::new());
        inner.runs.insert((run.ident.request, run.ident.attempt), cancel.clone());
        Admission::Taken { cancel }
    }

    /// Waits for a place in the batch, the most urgent class first.
    pub async fn enter(&self, class: Class) {
        let turn = {
            let mut inner = self.lock();
            if inner.running < self.spec.slots.0 {
                inner.running += 1;
                return;
            }
            inner.serial += 1;
            let key = (class, inner.serial);
            let (sender, turn) = oneshot::channel();
            inner.waiting.insert(key, sender);
            turn
        };
        let _ = turn.await;
    }

    /// Leaves the batch.
    pub fn leave(&self) {
        let mut inner = self.lock();
        while let Some((_, next)) = inner.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        inner.running = inner.running.saturating_sub(1);
    }

    /// Ends a call.
    pub fn end(&self, run: &RunRequest, began: Instant, completed: bool) {
        let mut inner = self.lock();
        inner.flying = inner.flying.saturating_sub(1);
        inner.runs.remove(&(run.ident.request, run.ident.attempt));
        inner.record.busy_ms += began.elapsed().as_millis() as u64;
        inner.record.completed += u32::from(completed);
    }

    /// Counts an effect that was run.
    pub fn count_effect(&self, run: &RunRequest) {
        if self.spec.kind == Kind::Service {
            self.lock().record.effects.push(run.input.clone());
        }
    }

    /// Ends a run early.
    pub fn cancel(&self, request: RequestId, attempt: AttemptId) {
        let mut inner = self.lock();
        if let Some(run) = inner.runs.get(&(request, attempt)).cloned() {
            inner.record.cancelled += 1;
            run.notify_one();
        }
    }

    /// A time of this stand-in, with its present slowness.
    pub fn time(&self, ms: u64) -> Duration {
        let inner = self.lock();
        let cold = if Instant::now() < inner.warm_at { 2 } else { 1 };
        Duration::from_millis(ms * cold * inner.control.slow.max(1))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no task panics with the state")
    }
}

impl Inner {
    /// Breaks all that runs and starts cold again under a new generation.
    fn fall_over(&mut self, cold_ms: u64) {
        for run in self.runs.values() {
            run.notify_one();
        }
        self.overs = 0;
        self.generation = Generation(self.generation.0 + 1);
        self.warm_at = Instant::now() + Duration::from_millis(cold_ms);
    }
}

/// The wall clock.
pub fn wall() -> WallTime {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(passed.as_millis() as u64)
}
