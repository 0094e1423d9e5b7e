//! An endpoint that crashes when it runs certain requests, and comes back some time later.

use {
    crate::{ReceivedRequest, framed_answer::piece_results, header, signed_response},
    coord::{
        ids::Tokens,
        wire::{RunLine, RunRequest},
    },
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

/// Interval at which a listener looks for connections and crashes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What crashes an endpoint.
#[derive(Debug, Clone)]
pub enum Poison {
    /// A prompt with the part of this id.
    Part(String),
    /// A request whose body holds this text.
    Body(String),
}

/// How an endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    /// A stream of events.
    Stream,
    /// A plain answer, or the lines of a run. It crashes before the head.
    Plain,
}

/// How much of a stream is sent before the endpoint crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    BeforeHead,
    AfterHead,
    /// After some bytes of the first event.
    InFirstEvent,
    AfterFirstEvent,
}

/// What becomes of connections to an endpoint that is down. Those that it had end at the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Nothing listens.
    Refused,
    /// They are accepted and closed at once, as by a proxy without an upstream.
    Closed,
    /// They are accepted, not read, and closed when the endpoint is up again.
    Hanging,
}

/// How an endpoint behaves.
#[derive(Debug, Clone)]
pub struct CrashSpec {
    pub poison: Poison,
    /// Ends the connection where the poison crashes the endpoint, which goes on.
    pub cut: Option<Poison>,
    pub form: AnswerForm,
    pub point: CrashPoint,
    pub outage: Outage,
    /// The time from a request to the head of its answer.
    pub prefill: Duration,
    /// The time from then on until it crashes or goes on.
    pub begin: Duration,
    /// How long it is down.
    pub down: Duration,
}

/// A request that has arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub poison: bool,
}

/// A running endpoint.
pub struct CrashingEndpoint {
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    spec: CrashSpec,
    /// Open connections; closed at a crash.
    open: Mutex<Vec<TcpStream>>,
    /// When the endpoint is up again after a crash.
    down_until: Mutex<Option<Instant>>,
    crashes: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl CrashingEndpoint {
    /// Starts an endpoint on a free loopback port.
    pub fn start(spec: CrashSpec) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let state = Arc::new(State {
            spec,
            open: Mutex::default(),
            down_until: Mutex::default(),
            crashes: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let shared = state.clone();
        thread::spawn(move || shared.listen(listener, addr));
        Self { addr, state }
    }

    /// The times of its crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.state.crashes).clone()
    }

    /// The requests that have arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state.arrivals).clone()
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        lock(&self.state.down_until).is_none()
    }

    /// Crashes it now, whatever it serves.
    pub fn crash(&self) {
        self.state.crash();
    }
}

impl State {
    fn listen(self: Arc<Self>, mut listener: TcpListener, addr: SocketAddr) {
        loop {
            listener.set_nonblocking(true).expect("a listener can be non-blocking");
            while lock(&self.down_until).is_none() {
                match listener.accept() {
                    Ok((stream, _)) => self.clone().start_connection(stream),
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
            if self.spec.outage == Outage::Refused {
                drop(listener);
                thread::sleep(self.spec.down);
                listener = loop {
                    match TcpListener::bind(addr) {
                        Ok(it) => break it,
                        Err(_) => thread::sleep(POLL_INTERVAL),
                    }
                };
            } else {
                self.accept_while_down(&listener);
            }
            *lock(&self.down_until) = None;
        }
    }

    /// Accepts connections that are closed at once or when the outage ends.
    fn accept_while_down(&self, listener: &TcpListener) {
        let end = Instant::now() + self.spec.down;
        let mut hanging = Vec::new();
        while Instant::now() < end {
            match listener.accept() {
                Ok((stream, _)) if self.spec.outage == Outage::Hanging => hanging.push(stream),
                Ok(_) => {}
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn start_connection(self: Arc<Self>, stream: TcpStream) {
        let Ok(kept) = stream.try_clone() else {
            return;
        };
        stream.set_nonblocking(false).expect("a connection can be blocking");
        lock(&self.open).push(kept);
        thread::spawn(move || self.serve(stream));
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let poison = self.spec.poison.is_in(&request);
            lock(&self.arrivals).push(Arrival { at: request.at, poison });
            thread::sleep(self.spec.prefill);
            let cut = self.spec.cut.as_ref().is_some_and(|it| it.is_in(&request));
            let is_health_check = request.head.starts_with("GET ");
            let streams = self.spec.form == AnswerForm::Stream && !is_health_check;
            let point = self.spec.point;
            let fails = poison || cut;
            if streams && !(fails && point == CrashPoint::BeforeHead) {
                let mut begun = stream_head(&request);
                match point {
                    CrashPoint::InFirstEvent if fails => begun.extend_from_slice(STREAM_BEGIN),
                    CrashPoint::AfterFirstEvent if fails => begun.extend(chunk(EVENT)),
                    _ => {}
                }
                if stream.write_all(&begun).is_err() {
                    return;
                }
            }
            thread::sleep(self.spec.begin);
            if poison {
                self.crash();
                return;
            }
            if cut {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let answer = match streams {
                true => stream_body(),
                false if request.head.starts_with("POST /run ") => run_answer(&request),
                false if request.head.starts_with("POST /v1/pieces ") => {
                    plain_answer(&request, &piece_results(&request))
                }
                false => plain_answer(&request, "fine"),
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn crash(&self) {
        let now = Instant::now();
        let mut down_until = lock(&self.down_until);
        if down_until.is_some() {
            return;
        }
        *down_until = Some(now + self.spec.down);
        lock(&self.crashes).push(now);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Poison {
    fn is_in(&self, request: &ReceivedRequest) -> bool {
        match self {
            Self::Part(part) => {
                let parts = request.header("mangobend-parts").unwrap_or_default();
                let mut ids = parts.split(',').map(|it| it.split(':').next().unwrap_or(it));
                ids.any(|it| it == part)
            }
            Self::Body(text) => String::from_utf8_lossy(&request.body).contains(text),
        }
    }
}

fn stream_head(request: &ReceivedRequest) -> Vec<u8> {
    let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    signed_response(request, "200 OK", headers, "")
}

/// A chunk with the first line of an event.
const STREAM_BEGIN: &[u8] = b"6\r\nid: 1\n\r\n";

const EVENT: &str = "id: 1\ndata: one\n\n";

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn stream_body() -> Vec<u8> {
    [chunk(EVENT), b"0\r\n\r\n".to_vec()].concat()
}

/// The answer to a call of the project's own interface: one piece.
fn run_answer(request: &ReceivedRequest) -> Vec<u8> {
    let Ok(RunRequest { ident, .. }) = serde_json::from_slice(&request.body) else {
        return b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n".to_vec();
    };
    let piece = RunLine::Piece { ident: ident.clone(), number: 0, data: "fine".to_owned() };
    let done = RunLine::Done { ident, pieces: 1, tokens: Tokens(1) };
    let line = |it| serde_json::to_string(&it).expect("a line serializes to JSON") + "\n";
    let body = line(piece) + &line(done);
    plain_answer(request, &body)
}

fn plain_answer(request: &ReceivedRequest, body: &str) -> Vec<u8> {
    signed_response(request, "200 OK", &format!("content-length: {}\r\n", body.len()), body)
}

/// Reads the next request of a connection.
fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(end);
    while body.len() < length {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => body.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
    Some(ReceivedRequest { connection: 0, head, body, at: Instant::now() })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("lock poisoned")
}
