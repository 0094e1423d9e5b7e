//! Checks whether endpoints that have broken off requests have crashed.

use {
    super::notices::Notices,
    crate::crash_check::{CHECK_DELAY, CheckResult, check},
    coord::{
        ids::EndpointName,
        relay::Placer,
        tables::{Endpoint, Tables},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::{Rc, Weak},
        sync::Arc,
        time::Instant,
    },
    tokio::{
        sync::{OnceCell, watch},
        time::sleep,
    },
};

/// When anything of an answer last came from an endpoint.
pub type LastHeard = Rc<Cell<Option<Instant>>>;

/// The checks under way, and when endpoints were last heard of.
pub struct EndpointChecks {
    tables: watch::Receiver<Arc<Tables>>,
    notices: Rc<Notices>,
    placer: Rc<RefCell<Placer>>,
    /// Checks that haven't begun; all requests that break off until then share one.
    pending: RefCell<HashMap<EndpointName, Rc<OnceCell<CheckResult>>>>,
    /// For as long as a request is at the endpoint.
    heard: RefCell<HashMap<EndpointName, Weak<Cell<Option<Instant>>>>>,
}

impl EndpointChecks {
    /// Creates an empty set, which takes the paths of health checks from `tables`.
    /// An endpoint that doesn't answer is avoided by `placer`.
    pub fn new(
        tables: watch::Receiver<Arc<Tables>>,
        notices: Rc<Notices>,
        placer: Rc<RefCell<Placer>>,
    ) -> Rc<Self> {
        let (pending, heard) = <(RefCell<_>, RefCell<_>)>::default();
        Rc::new(Self { tables, notices, placer, pending, heard })
    }

    /// Returns what requests to an endpoint note in that they hear of it.
    pub fn heard_of(&self, name: &EndpointName) -> LastHeard {
        let mut heard = self.heard.borrow_mut();
        if let Some(it) = heard.get(name).and_then(Weak::upgrade) {
            return it;
        }
        heard.retain(|_, it| it.strong_count() > 0);
        let new = LastHeard::default();
        heard.insert(name.clone(), Rc::downgrade(&new));
        new
    }

    /// Checks an endpoint that has just broken off a request.
    pub async fn check(&self, endpoint: &Endpoint, heard: &LastHeard) -> CheckResult {
        let ended = Instant::now();
        let shared = self.pending.borrow_mut().entry(endpoint.name.clone()).or_default().clone();
        let result = *shared.get_or_init(|| self.run(endpoint)).await;
        // What was sent before a crash may be read after the end of the first connection.
        let is_heard = heard.get().is_some_and(|at| at > ended + CHECK_DELAY);
        if is_heard && result.is_presumed() { CheckResult::Alive } else { result }
    }

    async fn run(&self, endpoint: &Endpoint) -> CheckResult {
        sleep(CHECK_DELAY).await;
        self.pending.borrow_mut().remove(&endpoint.name);
        let path = self.health_path(endpoint);
        let may_ask = || self.notices.take_permit(&endpoint.name).is_some();
        let result = check(endpoint.addr, &path, may_ask).await;
        result.count();
        if result.is_presumed() {
            self.placer.borrow_mut().failed(self.notices.now(), &endpoint.name);
        }
        result
    }

    fn health_path(&self, endpoint: &Endpoint) -> String {
        let tables = self.tables.borrow();
        let service = tables.catalog.services.get(&endpoint.pool);
        service.map_or_else(|| "/".to_owned(), |it| it.health_path.clone())
    }
}
