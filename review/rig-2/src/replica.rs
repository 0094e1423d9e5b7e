//! A replica: it answers requests as its handler says, and tells the core of itself.

use crate::http::{exchange, post_text, read_body, read_head, Head};
use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A request as a replica reads it.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
    pub id: String,
}

/// Writes the answer; an error closes the connection.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

/// What a replica says of itself.
pub struct Replica {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    /// The software version, which a restart may change.
    pub version: Mutex<&'static str>,
    pub born: AtomicU64,
    /// The connections that are open, for a crash.
    open: Mutex<Vec<TcpStream>>,
    /// Whether it is down for good.
    down: AtomicBool,
    /// Whether what stands before it takes connections and closes them, as it is down itself.
    closes: AtomicBool,
    pub seq: AtomicU64,
    /// Until when it is cold, in Unix milliseconds.
    pub cold_until: AtomicU64,
    pub draining: AtomicBool,
    /// Whether heartbeats are sent by the replica's own loop.
    pub beats: AtomicBool,
    pub beating: Mutex<()>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

impl Replica {
    pub fn new(name: &str, service: &str, zone: &str, addr: SocketAddr, slots: u32) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr,
            slots,
            version: Mutex::new("v1"),
            born: AtomicU64::new(unix_ms()),
            open: Mutex::default(),
            down: AtomicBool::new(false),
            closes: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            beating: Mutex::new(()),
        })
    }

    /// Ends all connections, and what runs on them.
    pub fn drop_connections(&self) {
        for it in self.open.lock().expect("the connections").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    /// Is down for a time, in which connections are taken and closed, and starts again under the
    /// same name as another version.
    pub fn start_again(&self, version: &'static str, down: Duration) {
        self.closes.store(true, Ordering::Relaxed);
        self.drop_connections();
        thread::sleep(down);
        self.closes.store(false, Ordering::Relaxed);
        *self.version.lock().expect("the version") = version;
        self.born.store(unix_ms(), Ordering::Relaxed);
        self.seq.store(0, Ordering::Relaxed);
    }

    /// Goes down; connections are refused from then on.
    pub fn go_down(&self) {
        self.beats.store(false, Ordering::Relaxed);
        self.down.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.addr);
        self.drop_connections();
    }

    pub fn cold_remaining(&self) -> u64 {
        self.cold_until.load(Ordering::Relaxed).saturating_sub(unix_ms())
    }

    /// The next heartbeat, as it is sent now.
    pub fn beat(&self) -> (u64, String) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let Self { service, addr, zone, slots, .. } = self;
        let born = self.born.load(Ordering::Relaxed);
        let version = *self.version.lock().expect("the version");
        let cold = self.cold_remaining();
        let body = format!(
            r#"{{"Service":"{service}","Address":"{addr}","Zone":"{zone}","Version":"{version}","Slots":{slots},"State":"{state}","ColdRemainingMs":{cold},"Phase":"both","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Seq":{seq},"born":{born}}}"#
        );
        (seq, post_text(&format!("/api/Instances.Heartbeat/{}", self.name), &body))
    }

    /// Sends a heartbeat to the machines in turn until one acknowledges it. Each call has a
    /// number of its own.
    pub fn send_beat(&self, to: &[SocketAddr]) -> bool {
        let _one = self.beating.lock().expect("one beat at a time");
        to.iter().any(|addr| {
            let (_, text) = self.beat();
            let second = Duration::from_millis(1000);
            exchange(*addr, &text, second).is_some_and(|it| it.status == 200)
        })
    }

    /// Listens, answers requests and sends heartbeats until the process ends.
    pub fn start(self: &Arc<Self>, to: Vec<SocketAddr>, every: Duration, handler: Handler) {
        let listener = TcpListener::bind(self.addr).expect("a free address");
        let replica = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if replica.down.load(Ordering::Relaxed) {
                    return;
                }
                if replica.closes.load(Ordering::Relaxed) {
                    continue;
                }
                let (replica, handler) = (replica.clone(), handler.clone());
                thread::spawn(move || replica.serve(stream, &handler));
            }
        });
        let replica = self.clone();
        thread::spawn(move || loop {
            if replica.beats.load(Ordering::Relaxed) {
                replica.send_beat(&to);
            }
            thread::sleep(every);
        });
    }

    fn health(&self) -> String {
        let cold = match self.cold_remaining() {
            0 => String::new(),
            left => format!("Cold-Ms: {left}\r\n"),
        };
        format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{cold}Content-Length: 0\r\n\r\n", self.name)
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        if let Ok(it) = stream.try_clone() {
            self.open.lock().expect("the connections").push(it);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let (body, whole) = read_body(&mut reader, &head);
            if !whole {
                return;
            }
            let id = head.get("attempt-id").unwrap_or("none").to_owned();
            let request = Request { head, body, id };
            if request.head.get("expected-instance").is_some_and(|it| it != self.name) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n",
                    request.id
                );
                if out.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if request.head.first.contains(" /healthz ") {
                if out.write_all(self.health().as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if handler(&request, &mut out).is_err() {
                return;
            }
        }
    }
}

/// A successful answer with a length.
pub fn answer(id: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\n\
         Content-Type: application/octet-stream\r\nKeep-Alive: timeout=5\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}
