//! A replica starts again in place as another version, and goes down before its first heartbeat.

use crate::{
    http::read_head,
    machines::{Layout, Machines},
    record::Record,
    replica::{Replica, Request},
    Verdict,
};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-ask","Host":"shop.example","PathPrefix":"/ask/","Type":"streaming","TimeoutMs":10000,"TargetLatencyMs":2000,"Priority":1,"Service":"kook","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":true,"InterTokenMs":500}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;
const EVENTS: u64 = 30;
const EVENT_MS: u64 = 100;
const PER_S: u64 = 24;
/// How long the replica is down at first.
const DOWN_MS: u64 = 300;
/// How long the replica serves as its new version: it sends its first heartbeat `HeartbeatMs`,
/// 1.2 s, after its start.
const SERVES_MS: u64 = 1100;

/// The versions of which a stream has events, and how it ended.
struct Stream {
    id: String,
    versions: Vec<String>,
    whole: bool,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = Machines::start(Layout { core: 3, edges: 2, memory_mb: 260 });
    let replicas: Vec<Arc<Replica>> = (1..=4)
        .map(|n| {
            let zone = ["harju-a", "harju-b", "harju-c"][n as usize % 3];
            Replica::new(&format!("i-kook-{n}"), "kook", zone, machines.stand_in(n), 64)
        })
        .collect();
    for replica in &replicas {
        let me = replica.clone();
        let handler =
            Arc::new(move |request: &Request, out: &mut TcpStream| write_stream(&me, request, out));
        replica.start(machines.controls(), Duration::from_millis(1200), handler);
    }
    if !machines.order("/api/Config.Replace", CONFIG, Duration::from_secs(25)) {
        record.line("the configuration isn't acknowledged");
        return Verdict::CouldNotRun;
    }
    machines.wait_ready(record);
    thread::sleep(Duration::from_millis(4500));
    let going = Arc::new(AtomicBool::new(true));
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let edges = [machines.frontend(0), machines.frontend(1)];
    let asker = {
        let (going, streams) = (going.clone(), streams.clone());
        thread::spawn(move || ask_steadily(edges, &going, &streams))
    };
    thread::sleep(Duration::from_millis(4000));
    if trouble {
        let other = &replicas[0];
        other.beats.store(false, Ordering::Relaxed);
        other.send_beat(&machines.controls());
        record.line(&format!("{} is down for {DOWN_MS} ms; connections are closed", other.name));
        other.start_again("v2", Duration::from_millis(DOWN_MS));
        record.line(&format!("{} has started again as v2", other.name));
        thread::sleep(Duration::from_millis(SERVES_MS));
        other.go_down();
        record.line(&format!("{} goes down", other.name));
    }
    thread::sleep(Duration::from_millis(5000));
    going.store(false, Ordering::Relaxed);
    let _ = asker.join();
    let streams = streams.lock().expect("the streams");
    let mixed: Vec<&Stream> = streams.iter().filter(|it| it.versions.len() > 1).collect();
    mixed.iter().for_each(|it| {
        record.line(&format!(
            "stream {} has events of {}, whole: {}",
            it.id,
            it.versions.join(", then of "),
            it.whole
        ));
    });
    let whole = streams.iter().filter(|it| it.whole).count();
    record.line(&format!(
        "{} streams, {whole} whole, {} with events of two versions; 2 are allowed",
        streams.len(),
        mixed.len()
    ));
    match whole {
        0 => Verdict::CouldNotRun,
        _ if mixed.len() > 2 => Verdict::Broken,
        _ => Verdict::Held,
    }
}

/// Writes the events after the last one that the client has.
fn write_stream(me: &Replica, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
    let version = *me.version.lock().expect("the version");
    let last: u64 = request.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\n\
         Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        id = request.id
    );
    out.write_all(head.as_bytes())?;
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {version}\n\n");
        out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(EVENT_MS));
    }
    out.write_all(b"0\r\n\r\n")
}

/// Begins streams at a steady rate; each is taken up at the other edge if it breaks off.
fn ask_steadily(edges: [SocketAddr; 2], going: &AtomicBool, streams: &Arc<Mutex<Vec<Stream>>>) {
    let (began, mut number, mut asked) = (Instant::now(), 0u64, Vec::new());
    while going.load(Ordering::Relaxed) {
        number += 1;
        thread::sleep(Duration::from_millis(number * 1000 / PER_S).saturating_sub(began.elapsed()));
        let streams = streams.clone();
        asked.push(thread::spawn(move || {
            let first = format!("0e00{number:08x}");
            let mut stream = Stream { id: first.clone(), versions: Vec::new(), whole: false };
            let mut last = 0;
            for attempt in 0..4u64 {
                let id = format!("0e{attempt:02x}{number:08x}");
                let resumes = match last {
                    0 => String::new(),
                    _ => format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n"),
                };
                let request = format!(
                    "POST /ask/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
                     Deadline-Ms: 10000\r\nModel: m\r\nToken-Usage: 400,20\r\n\
                     Prefix-Hash: 5c1e{:04x}:200,91bd{number:08x}:200\r\n{resumes}\
                     Connection: close\r\nContent-Length: 2\r\n\r\nhi",
                    number % 61
                );
                let to = edges[((number + attempt) % 2) as usize];
                stream.whole = read_events(to, &request, &mut last, &mut stream.versions);
                // Without an event it isn't a stream yet that can be taken up.
                if stream.whole || last == 0 {
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
            streams.lock().expect("the streams").push(stream);
        }));
    }
    asked.into_iter().for_each(|it| drop(it.join()));
}

/// Reads the events of an answer, and whether the stream is whole then.
fn read_events(to: SocketAddr, request: &str, last: &mut u64, versions: &mut Vec<String>) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut reader = BufReader::new(stream);
    match read_head(&mut reader) {
        Ok(Some(head)) if head.first.contains(" 200 ") => {}
        _ => return false,
    }
    let mut id = 0;
    for line in reader.lines() {
        let Ok(line) = line else { return false };
        if let Some(number) = line.strip_prefix("id: ") {
            id = number.parse().unwrap_or(0);
        } else if let Some(version) = line.strip_prefix("data: ") {
            *last = id;
            if versions.last().map(String::as_str) != Some(version) {
                versions.push(version.to_owned());
            }
        }
        if *last == EVENTS {
            return true;
        }
    }
    false
}
