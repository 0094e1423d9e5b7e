//! A replica starts again under the id that it had, as another version of its software, and
//! goes down once more before its first heartbeat.

use {
    rig::{
        http::{self, read_head},
        run, sleep_ms, Beats, Fleet, Record,
    },
    std::{
        collections::HashMap,
        io::{BufRead, BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

const PER_SECOND: u64 = 24;
const EVENTS: u64 = 30;
const EVENT_MS: u64 = 100;
const DEADLINE: Duration = Duration::from_secs(10);
/// How long the replica is down, and how long it serves before it goes down again.
const DOWN_MS: u64 = 300;
const UP_MS: u64 = 1100;
const SECOND_DOWN_MS: u64 = 4500;
/// How long after its start a replica's first heartbeat comes.
const FIRST_BEAT_MS: u64 = 1200;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-ask","Host":"ask.example","PathPrefix":"/ask/","Type":"streaming","TimeoutMs":10000,"TargetLatencyMs":910,"Priority":1,"Service":"kook","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":true,"InterTokenMs":400}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Runtime":{"Slots":64,"KvCapacity":394178,"KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

struct Replica {
    id: String,
    addr: SocketAddr,
    zone: &'static str,
    down: AtomicBool,
    /// The version of its software, from 1.
    version: AtomicU64,
    conns: Mutex<Vec<TcpStream>>,
    nodes: Vec<SocketAddr>,
    record: Record,
}

/// What a client has of a stream: the version that made each event.
type Streams = Arc<Mutex<HashMap<String, Vec<(u64, u64)>>>>;

fn main() {
    run(|| {
        let mut fleet = Fleet::new(&["a", "b", "c"], &["a", "b"]);
        let record = fleet.record.clone();
        fleet.found(CONFIG);
        let replicas: Vec<Arc<Replica>> = ["a", "b", "c", "a"]
            .into_iter()
            .enumerate()
            .map(|(i, zone)| {
                let replica = Arc::new(Replica {
                    id: format!("i-kook{i}"),
                    addr: SocketAddr::from((fleet.fresh_ip(), 8080)),
                    zone,
                    down: AtomicBool::new(false),
                    version: AtomicU64::new(1),
                    conns: Mutex::default(),
                    nodes: fleet.controls(),
                    record: record.clone(),
                });
                serve(replica.clone());
                announce(&replica, 0);
                replica
            })
            .collect();
        sleep_ms(2500);
        let edges: Vec<SocketAddr> =
            fleet.edges().into_iter().map(|it| fleet.frontend(it)).collect();
        let (streams, ended) = (Streams::default(), Arc::new(AtomicBool::new(false)));
        let clients = ask(edges, record.clone(), streams.clone(), ended.clone());
        sleep_ms(5000);
        let replica = &replicas[0];
        if fleet.trouble {
            record.line(format!("replica {} goes down", replica.id));
            replica.go_down();
            sleep_ms(DOWN_MS);
            replica.version.store(2, Ordering::SeqCst);
            replica.down.store(false, Ordering::SeqCst);
            record.line(format!("replica {} is back under its id as version v2", replica.id));
            announce(replica, FIRST_BEAT_MS);
            sleep_ms(UP_MS);
            record.line(format!("replica {} goes down again", replica.id));
            replica.go_down();
            sleep_ms(SECOND_DOWN_MS);
            replica.down.store(false, Ordering::SeqCst);
            record.line(format!("replica {} is back as version v2", replica.id));
            announce(replica, 0);
        }
        sleep_ms(4000);
        ended.store(true, Ordering::Relaxed);
        let _ = clients.join();

        let streams = streams.lock().expect("not poisoned");
        let is_mixed = |events: &Vec<(u64, u64)>| events.iter().any(|it| it.1 != events[0].1);
        let mut mixed: Vec<&String> =
            streams.iter().filter(|(_, it)| is_mixed(it)).map(|(id, _)| id).collect();
        mixed.sort();
        for id in &mixed {
            let text: Vec<String> =
                streams[*id].iter().map(|(n, version)| format!("{n}:v{version}")).collect();
            record.line(format!("client: stream {id} holds {}", text.join(" ")));
        }
        record.line(format!(
            "{} of {} streams hold events of two versions",
            mixed.len(),
            streams.len()
        ));
        let text = (mixed.len() > 2).then(|| {
            format!("ORDER: {} streams hold events of two versions, as {}", mixed.len(), mixed[0])
        });
        drop(streams);
        fleet.finish(text)
    })
}

impl Replica {
    /// Ends all connections, as a process that ends does.
    fn go_down(&self) {
        self.down.store(true, Ordering::SeqCst);
        for it in self.conns.lock().expect("not poisoned").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }
}

/// Announces an incarnation of a replica until it goes down.
fn announce(replica: &Arc<Replica>, first_ms: u64) {
    let version = replica.version.load(Ordering::SeqCst);
    let mut beats = Beats::new(&replica.id, "kook", replica.addr, replica.zone, 64);
    beats.version = format!("v{version}");
    beats.more = r#","Phase":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}]"#.to_owned();
    let replica = replica.clone();
    thread::spawn(move || {
        sleep_ms(first_ms);
        for seq in 1.. {
            if replica.down.load(Ordering::SeqCst)
                || replica.version.load(Ordering::SeqCst) != version
            {
                return;
            }
            let known = beats.beat(seq, &replica.nodes, &replica.record);
            if known && seq == 1 {
                replica.record.line(format!("replica {} has announced v{version}", replica.id));
            }
            sleep_ms(if known { 1200 } else { 200 });
        }
    });
}

fn ask(
    edges: Vec<SocketAddr>,
    record: Record,
    streams: Streams,
    ended: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut n = 0;
        let mut clients = Vec::new();
        while !ended.load(Ordering::Relaxed) {
            n += 1;
            let (edges, record, streams) = (edges.clone(), record.clone(), streams.clone());
            clients.push(thread::spawn(move || {
                let first = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + n * 16);
                let events = stream(&edges, &record, n, &first);
                if !events.is_empty() {
                    streams.lock().expect("not poisoned").insert(first, events);
                }
            }));
            sleep_ms(1000 / PER_SECOND);
        }
        clients.into_iter().for_each(|it| drop(it.join()));
    })
}

/// Asks for a stream and takes it up where it broke off, within half a second, at another
/// machine each time.
/// Returns its events.
fn stream(edges: &[SocketAddr], record: &Record, n: u64, first: &str) -> Vec<(u64, u64)> {
    let began = Instant::now();
    let mut events: Vec<(u64, u64)> = Vec::new();
    for attempt in 0..4 {
        let left = DEADLINE.saturating_sub(began.elapsed());
        let edge = edges[(n as usize + attempt) % edges.len()];
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + n * 16 + attempt as u64);
        let more = events.last().map_or_else(String::new, |(last, _)| {
            format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
        });
        let text = format!(
            "POST /ask/2f HTTP/1.1\r\nHost: ask.example\r\nAttempt-Id: {id}\r\n{more}Model: m\r\n\
             Token-Usage: 543,300\r\nDeadline-Ms: {}\r\nConnection: close\r\nContent-Length: 5\r\n\r\nquery",
            left.as_millis()
        );
        let before = events.len();
        let wait = read_stream(edge, &text, left, &mut events);
        record.line(format!(
            "client: attempt {id} of stream {first} at {edge}{}: {} events, {}",
            events
                .get(before.wrapping_sub(1))
                .map_or_else(String::new, |it| format!(", after event {}", it.0)),
            events.len() - before,
            match &wait {
                None => "whole".to_owned(),
                Some(it) => format!("broken off or refused, again in {it:?}"),
            }
        ));
        match wait {
            Some(it) if it < left / 3 => thread::sleep(it + Duration::from_millis(n * 61 % 400)),
            _ => break,
        }
    }
    events
}

/// Reads one answer; returns nothing if the stream is whole, and otherwise when to ask again.
fn read_stream(
    edge: SocketAddr,
    request: &str,
    left: Duration,
    events: &mut Vec<(u64, u64)>,
) -> Option<Duration> {
    let again = Duration::from_millis(20);
    let Ok(mut stream) = TcpStream::connect(edge) else { return Some(again) };
    let _ = stream.set_read_timeout(Some(left));
    if stream.write_all(request.as_bytes()).is_err() {
        return Some(again);
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else { return Some(again) };
    if head.status() != 200 {
        let seconds = head.header("Retry-After").and_then(|it| it.parse().ok()).unwrap_or(0.02);
        return Some(Duration::from_secs_f64(seconds));
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return Some(again);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Some(again) };
        let mut data = vec![0; size + 2];
        if reader.read_exact(&mut data).is_err() {
            return Some(again);
        }
        if size == 0 {
            return None;
        }
        // An event is `id: N` and `data: vV`.
        let text = String::from_utf8_lossy(&data);
        let number =
            |name: &str| text.lines().find_map(|it| it.strip_prefix(name)?.trim().parse().ok());
        if let (Some(id), Some(version)) = (number("id: "), number("data: v")) {
            events.push((id, version));
        }
    }
}

/// Serves a replica's address whenever it isn't down.
fn serve(replica: Arc<Replica>) {
    thread::spawn(move || loop {
        if replica.down.load(Ordering::SeqCst) {
            sleep_ms(2);
            continue;
        }
        let Ok(listener) = TcpListener::bind(replica.addr) else {
            sleep_ms(10);
            continue;
        };
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        while !replica.down.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                sleep_ms(2);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                replica.conns.lock().expect("not poisoned").push(copy);
            }
            let replica = replica.clone();
            thread::spawn(move || serve_conn(&replica, stream));
        }
    });
}

fn serve_conn(replica: &Arc<Replica>, mut stream: TcpStream) {
    let version = replica.version.load(Ordering::SeqCst);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if http::read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
        if id.is_empty() {
            if stream.write_all(&http::answer("200 OK", &[], b"")).is_err() {
                return;
            }
            continue;
        }
        if request.header("Expected-Instance").is_some_and(|it| it != replica.id) {
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            if stream.write_all(&http::answer("421 Misdirected Request", &headers, b"")).is_err() {
                return;
            }
            continue;
        }
        let last: u64 = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        replica.record.line(format!(
            "replica {} (v{version}): runs attempt {id} after event {last}",
            replica.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut going = stream.write_all(head.as_bytes()).is_ok();
        for n in last + 1..=EVENTS {
            sleep_ms(EVENT_MS);
            let event = format!("id: {n}\ndata: v{version}\n\n");
            going = going
                && stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
            if !going {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
