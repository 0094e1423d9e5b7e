//! Callers that keep their connections, on all routes.

use {
    harness::{Exchange, KeptCaller, relay_request},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Callers that get no connection try again after this time.
const RETRY_GAP: Duration = Duration::from_millis(20);

/// The shortest deadline of a request in milliseconds.
const MIN_DEADLINE: u64 = 1500;
/// The shortest time of a stream's events in milliseconds.
const MIN_STREAM: u64 = 100;

/// A route of the catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    Staged,
    Plain,
    Stream,
}

/// The size of a load.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    pub seed: u64,
    /// The number of callers of each route.
    pub callers: Vec<(Route, u64)>,
    /// The longest pause of a caller between two requests.
    pub max_gap: Duration,
    /// The longest deadline of a request in milliseconds.
    pub max_deadline: u64,
    /// The longest time of a stream's events in milliseconds.
    pub max_stream: u64,
}

/// Load that runs until it is finished.
pub struct Load {
    done: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
}

impl Route {
    pub const ALL: [Self; 3] = [Self::Staged, Self::Plain, Self::Stream];

    /// The name, with which the ids of its requests begin.
    pub fn name(self) -> &'static str {
        match self {
            Self::Staged => "staged",
            Self::Plain => "plain",
            Self::Stream => "stream",
        }
    }
}

/// Returns a request with a deadline in milliseconds and `pieces` of each stage.
pub fn request_text(route: Route, id: &str, deadline: u64, pieces: u32) -> String {
    let headers = match route {
        Route::Staged => {
            format!("mangobend-pieces: {pieces},{pieces}\r\nmangobend-source: doc\r\n")
        }
        Route::Plain | Route::Stream => String::new(),
    };
    let text = relay_request(id, &headers, "body");
    let text = text.replace("deadline-ms: 2000", &format!("deadline-ms: {deadline}"));
    text.replace("/a/x", &format!("/{}/x", route.name()))
}

/// How long the events of a stream take, the last part of the request's id in milliseconds.
pub fn stream_time(id: &str) -> Duration {
    let time = id.rsplit('-').next().and_then(|it| it.parse().ok());
    Duration::from_millis(time.unwrap_or_default())
}

impl Load {
    /// Starts callers of the instances whose relays listen at `addrs`.
    pub fn start(spec: &LoadSpec, addrs: &[SocketAddr]) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for (route, count) in &spec.callers {
            for number in 0..*count {
                let (spec, addrs, done) = (spec.clone(), addrs.to_vec(), done.clone());
                let (route, name) = (*route, format!("{}-{}-{number}", route.name(), spec.seed));
                let rng = StdRng::seed_from_u64(spec.seed * 1000 + number * 3 + route as u64);
                callers.push(thread::spawn(move || {
                    run_caller(&spec, route, &name, &addrs, number % 2 == 0, rng, &done)
                }));
            }
        }
        Self { done, callers }
    }

    /// Lets all callers end and returns what they got.
    pub fn finish(self) -> Vec<Exchange> {
        self.done.store(true, Ordering::Relaxed);
        let ended = self.callers.into_iter().map(|it| it.join().expect("callers don't panic"));
        ended.flatten().collect()
    }
}

fn run_caller(
    spec: &LoadSpec,
    route: Route,
    name: &str,
    addrs: &[SocketAddr],
    is_stubborn: bool,
    mut rng: StdRng,
    done: &AtomicBool,
) -> Vec<Exchange> {
    let mut caller = KeptCaller::new(addrs, is_stubborn);
    let mut exchanges = Vec::new();
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let time = match route {
            Route::Stream => rng.random_range(MIN_STREAM..spec.max_stream),
            Route::Staged | Route::Plain => 0,
        };
        let id = format!("{name}-{number}-{time}");
        let deadline = time + rng.random_range(MIN_DEADLINE..spec.max_deadline);
        let text = request_text(route, &id, deadline, rng.random_range(1..4));
        match caller.send(rng.random_range(0..addrs.len()), &id, &text) {
            Some(it) => exchanges.push(it),
            None => thread::sleep(RETRY_GAP),
        }
        thread::sleep(rng.random_range(Duration::ZERO..spec.max_gap));
    }
    exchanges
}
