//! Watches for endpoints that crash under a request, and for answers to what is suspected
//! of it.

use {
    super::{
        endpoint_checks::{EndpointChecks, LastHeard},
        record::join_parts,
        request::RelayRequest,
    },
    crate::event::{Event, Inbox},
    coord::{
        control::CrashReport,
        ids::PoolName,
        relay::{Trials, entry_addrs},
        tables::{Endpoint, Suspect, SuspectKey, Suspects, Tables},
        time::{Millis, Time},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// The complete events after which the parts of a prompt crash nothing. An endpoint that
/// crashes as it begins to answer may have written its first event or some bytes of it.
const MIN_EVENTS: u64 = 2;

/// Tells the core loop of crashes and answers.
#[derive(Clone)]
pub struct CrashWatch {
    inbox: Inbox,
    suspects: watch::Receiver<Arc<Suspects>>,
    trials: Rc<RefCell<Trials>>,
    checks: Rc<EndpointChecks>,
}

impl CrashWatch {
    /// Creates a watch that reports to `inbox` and follows the list of suspects. `peer` is
    /// the address at which peers reach this instance.
    pub fn new(
        inbox: Inbox,
        suspects: watch::Receiver<Arc<Suspects>>,
        checks: Rc<EndpointChecks>,
        peer: SocketAddr,
    ) -> Self {
        Self { inbox, suspects, trials: Rc::new(RefCell::new(Trials::new(peer))), checks }
    }

    /// Whether a request is suspected.
    pub fn is_suspect(&self, pool: &PoolName, whole: &Suspect) -> bool {
        let key = SuspectKey { pool: pool.clone(), suspect: whole.clone() };
        self.suspects.borrow().all.contains(&key)
    }

    /// Whether a request may be sent now; see [`Trials::may_send`].
    pub fn may_send(&self, now: Time, tables: &Tables, pool: &PoolName, whole: &Suspect) -> bool {
        let key = SuspectKey { pool: pool.clone(), suspect: whole.clone() };
        let suspects = self.suspects.borrow();
        self.trials.borrow_mut().may_send(now, &suspects, &key, entry_addrs(tables))
    }

    /// Records that a request on trial was answered, or not sent.
    pub fn end_trial(&self, pool: &PoolName, whole: &Suspect) {
        let key = SuspectKey { pool: pool.clone(), suspect: whole.clone() };
        self.trials.borrow_mut().end(&key);
    }

    /// Starts to watch one attempt of a request; `whole` is the suspect that stands for
    /// the request itself.
    pub fn attempt(
        &self,
        request: &RelayRequest,
        whole: &Suspect,
        endpoint: &Endpoint,
    ) -> AttemptWatch {
        AttemptWatch {
            watch: self.clone(),
            heard: self.checks.heard_of(&endpoint.name),
            request: request.id.clone(),
            endpoint: endpoint.clone(),
            pool: request.pool.clone(),
            parts: request.parts.clone(),
            whole: whole.clone(),
            began_at: Instant::now(),
            has_answer: false,
            events: 0,
        }
    }

    /// Starts to watch one call of pieces for one of the requests that they belong to.
    pub fn call(&self, request: &str, whole: &Suspect, endpoint: &Endpoint) -> AttemptWatch {
        AttemptWatch {
            watch: self.clone(),
            heard: self.checks.heard_of(&endpoint.name),
            request: request.to_owned(),
            endpoint: endpoint.clone(),
            pool: endpoint.pool.clone(),
            parts: Vec::new(),
            whole: whole.clone(),
            began_at: Instant::now(),
            has_answer: false,
            events: 0,
        }
    }

    /// Reports that a request was answered: those of its properties that are suspected, if
    /// the pool has any suspects.
    fn report_answer(&self, pool: &PoolName, answered: &[Suspect]) {
        let suspects = self.suspects.borrow();
        if !suspects.concern(pool) {
            return;
        }
        let key = |suspect: &Suspect| SuspectKey { pool: pool.clone(), suspect: suspect.clone() };
        let keys = answered.iter().map(key).filter(|it| suspects.all.contains(it)).collect();
        self.inbox.offer(Event::SuspectsAnswered { pool: pool.clone(), keys });
    }
}

/// Watches one attempt of a request at an endpoint.
pub struct AttemptWatch {
    watch: CrashWatch,
    heard: LastHeard,
    request: String,
    endpoint: Endpoint,
    pool: PoolName,
    parts: Vec<Suspect>,
    whole: Suspect,
    began_at: Instant,
    /// Whether so much of the answer has arrived that its parts crash nothing.
    has_answer: bool,
    /// The number of complete events that have arrived.
    events: u64,
}

impl AttemptWatch {
    /// Notes that bytes of the answer have arrived, with the number of complete events so
    /// far if it consists of events.
    pub fn note_bytes(&mut self, events: Option<u64>) {
        self.note_heard();
        self.events = events.unwrap_or_default();
        if events.is_none_or(|it| it >= MIN_EVENTS) {
            self.note_answer();
        }
    }

    /// Notes that the endpoint has answered, as with the head of an answer.
    pub fn note_heard(&self) {
        self.heard.set(Some(Instant::now()));
    }

    /// Notes that the parts of the prompt crash nothing.
    fn note_answer(&mut self) {
        if !std::mem::replace(&mut self.has_answer, true) {
            self.watch.report_answer(&self.pool, &self.parts);
        }
    }

    /// Notes that the answer is complete.
    pub fn close(mut self) {
        self.note_heard();
        self.note_answer();
        self.watch.end_trial(&self.pool, &self.whole);
        self.watch.report_answer(&self.pool, &[self.whole]);
    }

    /// Reports the attempt if its endpoint has crashed under it: its connection ended
    /// before the whole answer, and the endpoint answers nothing on another. `began` says
    /// whether the head of the answer had arrived.
    pub fn broke_off(self, began: bool) {
        let at = Instant::now();
        tokio::task::spawn_local(async move {
            let result = self.watch.checks.check(&self.endpoint, &self.heard).await;
            let ran = Millis(at.duration_since(self.began_at).as_millis() as u64);
            let event = match result.is_crash() {
                true => "[relay] an endpoint crashed under a request",
                false => {
                    "[relay] a request broke off at an endpoint that isn't known to have crashed"
                }
            };
            log::info!(
                request = self.request.as_str(), endpoint = self.endpoint.name.as_str(),
                generation:% = self.endpoint.generation, pool:% = self.pool, began = began,
                ran_ms = ran.0, answered = self.has_answer, events = self.events, check:% = result,
                parts = join_parts(&self.parts), digest:% = self.whole;
                "{event}"
            );
            if !result.is_crash() {
                return;
            }
            let parts = if self.has_answer { Vec::new() } else { self.parts };
            let report = CrashReport {
                endpoint: self.endpoint.name,
                generation: self.endpoint.generation,
                pool: self.pool,
                source: Some(self.whole.clone()),
                suspects: parts.into_iter().chain([self.whole]).collect(),
                began,
                ran,
                age: Millis(0),
                presumed: result.is_presumed(),
            };
            self.watch.inbox.offer(Event::EndpointCrashed { report, at });
        });
    }
}
