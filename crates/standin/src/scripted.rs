//! An HTTP endpoint for relayed requests that sends raw bytes from a script, so
//! that tests can produce any malformed or aborted answer.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// The read time-out, and the interval between checks for a disconnect.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A step of an answer; steps are carried out in order.
#[derive(Debug, Clone)]
pub enum Step {
    Send(Vec<u8>),
    /// Sends the same bytes again and again until the peer closes the connection.
    SendForever(Vec<u8>),
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Closes the connection with a TCP reset.
    Reset,
    /// As the first step, answers without reading the request body.
    SkipBody,
}

/// A received request.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The index of the connection, in order of acceptance.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
    /// When the head was complete.
    pub at: Instant,
}

/// Returns the steps to answer a request with. The second argument is the number
/// of requests received before. It is called a first time before the body is read,
/// to see whether the first step is [`Step::SkipBody`].
pub type Script = Box<dyn Fn(&ReceivedRequest, usize) -> Vec<Step> + Send + Sync>;

/// A running scripted endpoint.
pub struct ScriptedEndpoint {
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    script: Script,
    received: Mutex<Vec<ReceivedRequest>>,
    /// When the peer was found to have closed a connection.
    disconnects: Mutex<Vec<Instant>>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint on a free loopback port.
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let state =
            Arc::new(State { script, received: Mutex::default(), disconnects: Mutex::default() });
        let shared = state.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let state = shared.clone();
                thread::spawn(move || state.serve(number, stream));
            }
        });
        Self { addr, state }
    }

    /// The requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state.received).clone()
    }

    /// The times at which the peer was found to have closed a connection.
    pub fn disconnects(&self) -> Vec<Instant> {
        lock(&self.state.disconnects).clone()
    }
}

impl ReceivedRequest {
    /// The value of a header; the name's case is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

impl State {
    fn serve(&self, connection: usize, mut stream: TcpStream) {
        stream.set_read_timeout(Some(POLL_INTERVAL)).expect("setting the read time-out failed");
        let mut buffer = Vec::new();
        while let Some(head) = self.read_head(&mut stream, &mut buffer) {
            let mut request =
                ReceivedRequest { connection, head, body: Vec::new(), at: Instant::now() };
            let number = lock(&self.received).len();
            let length =
                request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            let skip_body = matches!((self.script)(&request, number).first(), Some(Step::SkipBody));
            if !skip_body && !self.read_body(&mut stream, &mut buffer, length) {
                return;
            }
            if !skip_body {
                request.body = buffer.drain(..length).collect();
            }
            let steps = (self.script)(&request, number);
            lock(&self.received).push(request);
            for step in steps {
                if !self.run_step(step, &mut stream) {
                    return;
                }
            }
        }
    }

    /// Runs a step. Returns false if the connection has ended.
    fn run_step(&self, step: Step, stream: &mut TcpStream) -> bool {
        match step {
            Step::Send(bytes) => stream.write_all(&bytes).is_ok(),
            Step::SendForever(bytes) => {
                while stream.write_all(&bytes).is_ok() {}
                false
            }
            Step::Wait(time) => self.wait(stream, time),
            Step::SkipBody => true,
            Step::Close => {
                let _ = stream.shutdown(Shutdown::Both);
                false
            }
            Step::Reset => {
                let socket = socket2::SockRef::from(&*stream);
                socket.set_linger(Some(Duration::ZERO)).expect("setting SO_LINGER failed");
                false
            }
        }
    }

    /// Waits for `time`, recording a disconnect of the peer. Returns false if the
    /// connection has ended.
    fn wait(&self, stream: &TcpStream, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let mut byte = [0];
            match stream.peek(&mut byte) {
                Ok(0) => {
                    lock(&self.disconnects).push(Instant::now());
                    return false;
                }
                Ok(_) => thread::sleep(POLL_INTERVAL),
                Err(err) if is_timeout(&err) => {}
                Err(_) => {
                    lock(&self.disconnects).push(Instant::now());
                    return false;
                }
            }
        }
        true
    }

    fn read_head(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
        loop {
            if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                let head: Vec<u8> = buffer.drain(..end + 4).collect();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            if !self.read_more(stream, buffer) {
                return None;
            }
        }
    }

    fn read_body(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> bool {
        while buffer.len() < length {
            if !self.read_more(stream, buffer) {
                return false;
            }
        }
        true
    }

    fn read_more(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
        let mut bytes = [0; 16 * 1024];
        loop {
            match stream.read(&mut bytes) {
                Ok(0) => {
                    lock(&self.disconnects).push(Instant::now());
                    return false;
                }
                Ok(count) => {
                    buffer.extend_from_slice(&bytes[..count]);
                    return true;
                }
                Err(err) if is_timeout(&err) => {}
                Err(_) => return false,
            }
        }
    }
}

/// The value of a header in a request head; the name's case is ignored.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|it| it.split_once(':'));
    let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}

fn is_timeout(err: &std::io::Error) -> bool {
    matches!(err.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("lock poisoned")
}
