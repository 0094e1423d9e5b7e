//! The bounded thread pool that calls endpoints.

use {
    super::call::{Agents, cancel, make_call},
    crate::event::{Event, Inbox},
    coord::{
        limits::SharedGate,
        router::{AttemptEvent, AttemptIdent, EndpointCall},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
            mpsc::{Receiver, Sender, channel},
        },
        thread,
    },
};

/// The number of threads that send cancel requests; they make no other calls.
const CANCEL_THREADS: usize = 4;
/// The most queued cancel requests; others are dropped.
const MAX_CANCELS: usize = 1024;

/// A handle to the threads. A thread is started when none is idle, up to the
/// limit; a call beyond the limit fails as not sent.
pub struct EndpointClient {
    agents: Agents,
    inbox: Inbox,
    gate: SharedGate,
    jobs: Sender<Box<EndpointCall>>,
    shared: Arc<Shared>,
    cancels: Sender<(AttemptIdent, SocketAddr)>,
    pending_cancels: Arc<AtomicUsize>,
    max_calls: usize,
}

struct Shared {
    jobs: Mutex<Receiver<Box<EndpointCall>>>,
    threads: AtomicUsize,
    /// The number of queued and running calls.
    busy: AtomicUsize,
}

impl EndpointClient {
    /// Creates a client that makes at most `max_calls` calls at one time.
    pub fn new(max_calls: usize, inbox: Inbox, gate: SharedGate) -> Self {
        let (jobs, receiver) = channel();
        let shared = Arc::new(Shared {
            jobs: Mutex::new(receiver),
            threads: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        });
        let agents = Agents::new(max_calls);
        let pending_cancels = Arc::new(AtomicUsize::new(0));
        let cancels = start_cancel_threads(&agents, &pending_cancels);
        Self { agents, inbox, gate, jobs, shared, cancels, pending_cancels, max_calls }
    }

    /// Starts a call; its events go to the core loop.
    pub fn send(&self, call: Box<EndpointCall>) {
        let busy = self.shared.busy.fetch_add(1, Ordering::SeqCst) + 1;
        let threads = self.shared.threads.load(Ordering::SeqCst);
        if busy > threads
            && (threads >= self.max_calls || !self.start_thread())
            && busy > self.max_calls
        {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
            let detail = "too many calls of endpoints run".to_owned();
            let event = AttemptEvent::Failed { sent: false, detail };
            self.inbox.offer(Event::Attempt { id: call.ident.attempt, event });
            return;
        }
        let _ = self.jobs.send(call);
    }

    /// Asks an endpoint to cancel a run.
    pub fn cancel(&self, ident: AttemptIdent, addr: SocketAddr) {
        if self.pending_cancels.fetch_add(1, Ordering::SeqCst) < MAX_CANCELS {
            let _ = self.cancels.send((ident, addr));
        } else {
            self.pending_cancels.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn start_thread(&self) -> bool {
        let (agents, inbox) = (self.agents.clone(), self.inbox.clone());
        let (gate, shared) = (self.gate.clone(), self.shared.clone());
        let builder = thread::Builder::new().name("endpoint".to_owned()).stack_size(256 * 1024);
        let started = builder.spawn(move || run_worker(&agents, &inbox, &gate, &shared)).is_ok();
        self.shared.threads.fetch_add(usize::from(started), Ordering::SeqCst);
        started
    }
}

fn run_worker(agents: &Agents, inbox: &Inbox, gate: &SharedGate, shared: &Shared) {
    loop {
        let job = shared.jobs.lock().expect("no thread panics while it holds the lock").recv();
        let Ok(job) = job else {
            return;
        };
        make_call(agents, *job, inbox, gate);
        shared.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

fn start_cancel_threads(
    agents: &Agents,
    pending_cancels: &Arc<AtomicUsize>,
) -> Sender<(AttemptIdent, SocketAddr)> {
    let (sender, receiver) = channel::<(AttemptIdent, SocketAddr)>();
    let receiver = Arc::new(Mutex::new(receiver));
    for _ in 0..CANCEL_THREADS {
        let (agents, receiver, pending_cancels) =
            (agents.clone(), receiver.clone(), pending_cancels.clone());
        thread::spawn(move || {
            loop {
                let next =
                    receiver.lock().expect("no thread panics while it holds the lock").recv();
                let Ok((ident, addr)) = next else {
                    return;
                };
                pending_cancels.fetch_sub(1, Ordering::SeqCst);
                cancel(&agents, ident, addr);
            }
        });
    }
    sender
}
