//! A fault-injecting TCP proxy.

use {
    crate::owner::owner_of,
    std::{
        collections::HashMap,
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The read time-out after which a forwarding thread checks the faults again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A network fault. The default is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fault {
    /// Discards bytes sent to the target; neither end sees an error.
    pub drop_in: bool,
    /// Discards bytes sent by the target; neither end sees an error.
    pub drop_out: bool,
    /// Closes open connections, and new ones on accept.
    pub cut: bool,
    /// Delay of each read, in milliseconds.
    pub delay_ms: u64,
    /// Bytes forwarded per second and direction of a connection; 0 is no limit.
    pub rate: u64,
}

impl Fault {
    /// No fault.
    pub const NONE: Self =
        Self { drop_in: false, drop_out: false, cut: false, delay_ms: 0, rate: 0 };
}

/// A proxy in front of one address. A connection that is open when bytes start
/// to be dropped stays blackholed after the fault ends, like a connection whose
/// state a middlebox has lost.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    target: Mutex<SocketAddr>,
    fault: Mutex<Fault>,
    /// Faults by the process that opened the connection.
    sources: Mutex<HashMap<u32, Fault>>,
    /// Open connections by number, including blackholed ones.
    connections: Mutex<HashMap<u64, Connection>>,
    next_number: AtomicU64,
    bytes: AtomicU64,
    silent: AtomicBool,
    stop: AtomicBool,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let shared = Arc::new(Shared {
            addr,
            target: Mutex::new(target),
            fault: Mutex::new(Fault::default()),
            sources: Mutex::new(HashMap::new()),
            connections: Mutex::new(HashMap::new()),
            next_number: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            stop: AtomicBool::new(false),
        });
        let inner = shared.clone();
        thread::spawn(move || accept(&listener, &inner));
        Self { addr, shared }
    }

    /// The listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes forwarded so far, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock().expect("lock poisoned") = target;
    }

    /// Sets the general fault, which applies to connections whose process has
    /// none of its own. If it drops bytes, all open connections are blackholed.
    pub fn set_fault(&self, fault: Fault) {
        let mut current = self.shared.fault.lock().expect("lock poisoned");
        if fault.drop_in || fault.drop_out {
            self.blackhole_open();
        }
        *current = fault;
    }

    /// Registers a process, so that its connections can get a fault of their own.
    pub fn track_process(&self, pid: u32) {
        self.shared.sources.lock().expect("lock poisoned").entry(pid).or_default();
    }

    /// Sets the fault of the connections of a tracked process. If it drops bytes,
    /// the process's open connections are blackholed.
    pub fn set_process_fault(&self, pid: u32, fault: Fault) {
        if fault != Fault::default() {
            self.shared.resolve_sources();
        }
        if fault.drop_in || fault.drop_out {
            self.shared.blackhole(|it| it.source == Some(pid));
        }
        self.shared.sources.lock().expect("lock poisoned").insert(pid, fault);
    }

    /// Behaves from now on like the address of a host without power: neither open nor
    /// new connections get an answer or are closed.
    pub fn silence(&self) {
        self.shared.silent.store(true, Ordering::SeqCst);
        self.blackhole_open();
    }

    /// Discards all further bytes of the open connections. New connections work.
    pub fn blackhole_open(&self) {
        self.shared.blackhole(|_| true);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut unanswered = Vec::new();
    for stream in listener.incoming() {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else {
            continue;
        };
        if shared.silent.load(Ordering::SeqCst) {
            unanswered.push(stream);
            continue;
        }
        let Ok(client) = stream.peer_addr() else {
            continue;
        };
        let source = if shared.has_source_faults() { shared.source_of(client) } else { None };
        if shared.fault(source).cut {
            continue;
        }
        let target = *shared.target.lock().expect("lock poisoned");
        let Ok(upstream) = TcpStream::connect(target) else {
            continue;
        };
        let number = shared.next_number.fetch_add(1, Ordering::SeqCst);
        let state = Connection { client, source, blackholed: false };
        shared.connections.lock().expect("lock poisoned").insert(number, state);
        spawn_forwarder(&stream, &upstream, number, true, shared.clone());
        spawn_forwarder(&upstream, &stream, number, false, shared.clone());
    }
}

/// A connection through the proxy.
#[derive(Debug)]
struct Connection {
    client: SocketAddr,
    /// The process that opened it, once looked up.
    source: Option<u32>,
    blackholed: bool,
}

fn spawn_forwarder(
    from: &TcpStream,
    to: &TcpStream,
    number: u64,
    to_target: bool,
    shared: Arc<Shared>,
) {
    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = from.set_nodelay(true);
    thread::spawn(move || {
        forward(from, &to, number, to_target, &shared);
        shared.connections.lock().expect("lock poisoned").remove(&number);
        let _ = to.shutdown(Shutdown::Both);
    });
}

fn forward(mut from: TcpStream, mut to: &TcpStream, number: u64, to_target: bool, shared: &Shared) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let fault = shared.fault(shared.connection_source(number));
        if fault.cut || shared.stop.load(Ordering::SeqCst) {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
        let count = match from.read(&mut buffer) {
            Ok(0) => {
                // The FIN of a blackholed connection is not forwarded either.
                if shared.is_blackholed(number) {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                return;
            }
            Ok(count) => count,
            Err(err) if is_timeout(&err) => continue,
            Err(_) => return,
        };
        let fault = shared.fault(shared.connection_source(number));
        if fault.delay_ms > 0 {
            thread::sleep(Duration::from_millis(fault.delay_ms));
        }
        if let Some(micros) = (count as u64 * 1_000_000).checked_div(fault.rate) {
            thread::sleep(Duration::from_micros(micros));
        }
        let dropped = if to_target { fault.drop_in } else { fault.drop_out };
        if dropped || shared.is_blackholed(number) {
            continue;
        }
        shared.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn is_timeout(err: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(err.kind(), TimedOut | WouldBlock | Interrupted)
}

impl Shared {
    /// The fault of a connection: that of its source process, or else the general
    /// one.
    fn fault(&self, source: Option<u32>) -> Fault {
        let general = *self.fault.lock().expect("lock poisoned");
        let sources = self.sources.lock().expect("lock poisoned");
        let specific = source.and_then(|it| sources.get(&it)).copied();
        specific.filter(|it| *it != Fault::default()).unwrap_or(general)
    }

    /// Whether any process has a fault. Looking up the source of a connection is
    /// slow on a busy machine, so it is done only while a fault needs it.
    fn has_source_faults(&self) -> bool {
        let sources = self.sources.lock().expect("lock poisoned");
        sources.values().any(|it| *it != Fault::default())
    }

    fn source_of(&self, client: SocketAddr) -> Option<u32> {
        let pids: Vec<u32> = self.sources.lock().expect("lock poisoned").keys().copied().collect();
        owner_of(client, self.addr, &pids)
    }

    fn connection_source(&self, number: u64) -> Option<u32> {
        self.connections.lock().expect("lock poisoned").get(&number).and_then(|it| it.source)
    }

    fn resolve_sources(&self) {
        let mut connections = self.connections.lock().expect("lock poisoned");
        for connection in connections.values_mut().filter(|it| it.source.is_none()) {
            connection.source = self.source_of(connection.client);
        }
    }

    fn blackhole(&self, is_affected: impl Fn(&Connection) -> bool) {
        let mut connections = self.connections.lock().expect("lock poisoned");
        connections.values_mut().filter(|it| is_affected(it)).for_each(|it| it.blackholed = true);
    }

    fn is_blackholed(&self, number: u64) -> bool {
        self.connections.lock().expect("lock poisoned").get(&number).is_some_and(|it| it.blackholed)
    }
}
