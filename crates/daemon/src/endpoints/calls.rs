//! The bounded threads that call endpoints.

use {
    super::call::{Agents, cancel, run},
    crate::event::{Event, Inbox},
    coord::router::{AttemptEvent, AttemptIdent, EndpointCall},
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

/// The threads for requests to cancel, apart from the calls.
const CANCEL_THREADS: usize = 4;
/// The most requests to cancel that wait.
const MAX_CANCELS: usize = 1024;

/// The way to the threads. A thread is started when none is idle, up to the
/// bound; a call beyond it fails as not sent.
pub struct EndpointCalls {
    agents: Agents,
    inbox: Inbox,
    jobs: Sender<Box<EndpointCall>>,
    shared: Arc<Shared>,
    cancels: Sender<(AttemptIdent, SocketAddr)>,
    waiting: Arc<AtomicUsize>,
    most: usize,
}

struct Shared {
    jobs: Mutex<Receiver<Box<EndpointCall>>>,
    threads: AtomicUsize,
    /// Jobs that wait or run.
    busy: AtomicUsize,
}

impl EndpointCalls {
    /// At most `most` calls at one time.
    pub fn new(most: usize, inbox: Inbox) -> Self {
        let (jobs, receiver) = channel();
        let shared = Arc::new(Shared {
            jobs: Mutex::new(receiver),
            threads: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        });
        let agents = Agents::new(most);
        let waiting = Arc::new(AtomicUsize::new(0));
        let cancels = start_cancels(&agents, &waiting);
        Self { agents, inbox, jobs, shared, cancels, waiting, most }
    }

    /// Starts a call.
    pub fn send(&self, send: Box<EndpointCall>) {
        let busy = self.shared.busy.fetch_add(1, Ordering::SeqCst) + 1;
        let threads = self.shared.threads.load(Ordering::SeqCst);
        if busy > threads && (threads >= self.most || !self.start_thread()) && busy > self.most {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
            let detail = "too many calls of endpoints run".to_owned();
            let event = AttemptEvent::Failed { sent: false, detail };
            self.inbox.offer(Event::Attempt { id: send.ident.attempt, event });
            return;
        }
        let _ = self.jobs.send(send);
    }

    /// Asks an endpoint to end a run.
    pub fn cancel(&self, ident: AttemptIdent, addr: SocketAddr) {
        if self.waiting.fetch_add(1, Ordering::SeqCst) < MAX_CANCELS {
            let _ = self.cancels.send((ident, addr));
        } else {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn start_thread(&self) -> bool {
        let (agents, inbox, shared) =
            (self.agents.clone(), self.inbox.clone(), self.shared.clone());
        let builder = thread::Builder::new().name("endpoint".to_owned()).stack_size(256 * 1024);
        let started = builder.spawn(move || work(&agents, &inbox, &shared)).is_ok();
        self.shared.threads.fetch_add(usize::from(started), Ordering::SeqCst);
        started
    }
}

fn work(agents: &Agents, inbox: &Inbox, shared: &Shared) {
    loop {
        let job = shared.jobs.lock().expect("no thread panics while it waits").recv();
        let Ok(job) = job else {
            return;
        };
        run(agents, *job, inbox);
        shared.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

fn start_cancels(
    agents: &Agents,
    waiting: &Arc<AtomicUsize>,
) -> Sender<(AttemptIdent, SocketAddr)> {
    let (sender, receiver) = channel::<(AttemptIdent, SocketAddr)>();
    let receiver = Arc::new(Mutex::new(receiver));
    for _ in 0..CANCEL_THREADS {
        let (agents, receiver, waiting) = (agents.clone(), receiver.clone(), waiting.clone());
        thread::spawn(move || {
            loop {
                let next = receiver.lock().expect("no thread panics while it waits").recv();
                let Ok((ident, addr)) = next else {
                    return;
                };
                waiting.fetch_sub(1, Ordering::SeqCst);
                cancel(&agents, ident, addr);
            }
        });
    }
    sender
}
