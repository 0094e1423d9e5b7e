//! One request names very many pieces; the edges that take it outgrow the memory of their
//! machines, and the requests of others end with them.

use crate::{
    http::{exchange, read_answer},
    machines::{Layout, Machines},
    record::Record,
    replica::{answer, Replica, Request},
    Verdict,
};
use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-doc","Host":"shop.example","PathPrefix":"/doc/","Type":"streaming","TimeoutMs":6000,"TargetLatencyMs":2000,"Priority":1,"Service":"kook","MaxAttempts":2,"Phases":[{"Service":"retseptid","After":[],"SizeBytes":8000}],"Public":true,"Sticky":true,"Resumable":false,"InterTokenMs":500},{"Name":"r-plain","Host":"shop.example","PathPrefix":"/plain/","Type":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"tellimus","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":false}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0},{"Name":"tellimus","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0},{"Name":"retseptid","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Segments":{"Slots":1,"QueueLimit":2,"Batch":8,"CallMs":200.0,"ItemMs":21.0,"HeadroomMb":18.0,"HandleTtlS":4.0,"LinkMbps":10000}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;
/// The number of pieces that the request names.
const PIECES: u64 = 3_000_000;
const SOUND_PIECES: u64 = 8;
const MEMORY_MB: u64 = 260;
const EDGES: u8 = 3;
/// Ordinary clients at each edge, and how long their requests run.
const CLIENTS: u8 = 8;
const WORK_MS: u64 = 300;

/// What became of the ordinary requests.
#[derive(Default)]
struct Ends {
    answered: AtomicU64,
    refused: AtomicU64,
    /// Ids of those whose connection was closed without an answer.
    cut: Mutex<Vec<(u8, String)>>,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut machines = Machines::start(Layout { core: 3, edges: EDGES, memory_mb: MEMORY_MB });
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let ledger = Replica::new("i-tellimus-1", "tellimus", "harju-a", machines.stand_in(1), 64);
    let seen = ran.clone();
    let handler = Arc::new(move |request: &Request, out: &mut TcpStream| {
        seen.lock().unwrap().insert(request.id.clone());
        thread::sleep(Duration::from_millis(WORK_MS));
        out.write_all(&answer(&request.id, b"ok"))
    });
    ledger.start(machines.controls(), Duration::from_millis(1200), handler);
    let model = Replica::new("i-kook-1", "kook", "harju-b", machines.stand_in(2), 64);
    let handler = Arc::new(move |request: &Request, out: &mut TcpStream| {
        out.write_all(&answer(&request.id, b"id: 1\ndata: words\n\n"))
    });
    model.start(machines.controls(), Duration::from_millis(1200), handler);
    let stage = Replica::new("i-retseptid-1", "retseptid", "harju-c", machines.stand_in(3), 1);
    let (addr, made) = (stage.addr, AtomicU64::new(0));
    let handler = Arc::new(move |request: &Request, out: &mut TcpStream| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let count = match request.head.first.contains("/api/stage-run") {
            true => body.matches("\"Id\":").count(),
            false => 0,
        };
        thread::sleep(Duration::from_millis(if count > 0 { 200 + 21 * count as u64 } else { 0 }));
        let handle =
            || format!(r#"{{"Handle":"{addr}/{:08x}"}}"#, made.fetch_add(1, Ordering::Relaxed));
        let items: Vec<String> = (0..count).map(|_| handle()).collect();
        let text = format!(r#"{{"Items":[{}]}}"#, items.join(","));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nKeep-Alive: timeout=5\r\n\
             Instance-Load: 0,0,1\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        out.write_all(head.as_bytes())
    });
    stage.start(machines.controls(), Duration::from_millis(1200), handler);
    if !machines.order("/api/Config.Replace", CONFIG, Duration::from_secs(25)) {
        record.line("the configuration isn't acknowledged");
        return Verdict::CouldNotRun;
    }
    machines.wait_ready(record);
    thread::sleep(Duration::from_millis(4500));
    let (going, ends) = (Arc::new(AtomicBool::new(true)), Arc::new(Ends::default()));
    let clients: Vec<_> = (0..EDGES * CLIENTS)
        .map(|n| {
            let (to, going, ends) = (machines.frontend(n % EDGES), going.clone(), ends.clone());
            thread::spawn(move || ask_steadily(to, n, &going, &ends))
        })
        .collect();
    thread::sleep(Duration::from_millis(2000));
    let pieces = if trouble { PIECES } else { SOUND_PIECES };
    let request = format!(
        "POST /doc/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: 7777777700000001\r\n\
         Deadline-Ms: 6000\r\nChunks: {pieces}\r\nChunk-Key: 7c1e07a291bd\r\nModel: m\r\n\
         Token-Usage: 400,20\r\nPrefix-Hash: 5c1e:200,91bd:200\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    record.line(&format!("one client sends a request with Chunks: {pieces} to edge 0"));
    let (log, to) = (record.clone(), machines.frontend(0));
    let asked = thread::spawn(move || {
        let got = exchange(to, &request, Duration::from_secs(8)).map(|it| it.status);
        log.line(&format!("the request with pieces ends with {got:?}"));
    });
    let killed = watch_memory(record, &mut machines, Duration::from_secs(8));
    going.store(false, Ordering::Relaxed);
    let _ = asked.join();
    clients.into_iter().for_each(|it| drop(it.join()));
    let ran = ran.lock().unwrap();
    let cut: Vec<(u8, String)> = ends.cut.lock().unwrap().clone();
    let passed_on = cut.iter().filter(|(_, id)| ran.contains(id)).count();
    cut.iter().for_each(|(edge, id)| {
        record.line(&format!(
            "request {id} at edge {edge}: its kept connection is closed without an answer, passed on: {}",
            ran.contains(id)
        ));
    });
    record.line(&format!(
        "ordinary requests: {} answered, {} refused, {} without an answer, of which {passed_on} had \
         been passed on to the sound replica; {killed} processes ended",
        ends.answered.load(Ordering::Relaxed),
        ends.refused.load(Ordering::Relaxed),
        cut.len()
    ));
    match ends.answered.load(Ordering::Relaxed) {
        0 => Verdict::CouldNotRun,
        _ if passed_on > 3 => Verdict::Broken,
        _ => Verdict::Held,
    }
}

/// Kills each process that takes more memory than its machine has, as the platform does, and
/// counts those that ended.
fn watch_memory(record: &Record, machines: &mut Machines, within: Duration) -> usize {
    let end = Instant::now() + within;
    let mut ended = HashSet::new();
    while Instant::now() < end {
        for n in 0..EDGES {
            let edge = machines.edge(n);
            if ended.contains(&n) {
                continue;
            }
            let used = machines.memory_mb(edge);
            if used > MEMORY_MB {
                record.line(&format!(
                    "edge {n} takes {used} MB of {MEMORY_MB}: the platform kills it"
                ));
                machines.signal(edge, crate::machines::SIGKILL);
                ended.insert(n);
            } else if machines.has_ended(edge) {
                record.line(&format!("the process of edge {n} has ended by itself"));
                ended.insert(n);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    ended.len()
}

/// Sends requests on a kept connection, one after the other.
fn ask_steadily(to: SocketAddr, n: u8, going: &AtomicBool, ends: &Ends) {
    let mut number = 0;
    while going.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while going.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("0d{n:02x}{number:08x}");
            let request = format!(
                "GET /plain/{n} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
                 Deadline-Ms: 3000\r\n\r\n"
            );
            if out.write_all(request.as_bytes()).is_err() {
                break;
            }
            match read_answer(&mut reader) {
                Some(it) if it.status == 200 && it.whole => {
                    ends.answered.fetch_add(1, Ordering::Relaxed);
                }
                Some(_) => {
                    ends.refused.fetch_add(1, Ordering::Relaxed);
                }
                None => {
                    ends.cut.lock().unwrap().push((n % EDGES, id));
                    break;
                }
            }
        }
    }
}
