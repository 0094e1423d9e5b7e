//! An edge stands still while a replica becomes cold, and goes on by what it knew before.

use crate::{
    http::read_answer,
    machines::{Layout, Machines},
    record::Record,
    replica::{unix_ms, Replica},
    Verdict,
};
use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const COLD_MS: u64 = 3000;
const COLD_PER_S: f64 = 14.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How long the edge stands still: longer than the lease that it holds.
const FROZEN_MS: u64 = 3500;
/// How often the edge stands still.
const ROUNDS: u64 = 2;
/// When the replica becomes cold: by then the leader has answered what the edge asked before it
/// stood still.
const COLD_AFTER_MS: u64 = 1500;
/// The requests a second at the other edge. With those of the clients below it is less than what the
/// sheet's three language model classes have in the largest burst of its days (77 a second).
const PER_S: u64 = 22;
/// Clients with an open connection to the edge, each of which sends one request in the last part
/// of the time in which it stands still.
const OPEN: u64 = 49;
const OPEN_WITHIN_MS: u64 = 900;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-ask","Host":"shop.example","PathPrefix":"/ask/","Type":"streaming","TimeoutMs":6000,"TargetLatencyMs":2000,"Priority":1,"Service":"kook","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":true,"Resumable":false,"InterTokenMs":500}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":14.0,"Runtime":{"Slots":64,"KvCapacity":394178,"KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

/// Seconds at which something happened, by the id of the request.
type Times = Arc<Mutex<HashMap<String, f64>>>;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = Machines::start(Layout { core: 3, edges: 2, memory_mb: 260 });
    let replicas: Vec<Arc<Replica>> = (1..=2)
        .map(|n| {
            let zone = ["harju-a", "harju-b", "harju-c"][n as usize - 1];
            Replica::new(&format!("i-kook-{n}"), "kook", zone, machines.stand_in(n), 64)
        })
        .collect();
    // When the cold replica got requests, while it was cold.
    let (sent, arrived) = (Times::default(), Times::default());
    for (n, replica) in replicas.iter().enumerate() {
        let (me, record, arrived) = (replica.clone(), record.clone(), arrived.clone());
        let handler = Arc::new(move |request: &crate::replica::Request, out: &mut TcpStream| {
            if n == 0 && me.cold_remaining() > 0 {
                arrived.lock().unwrap().insert(request.id.clone(), record.seconds());
            }
            let events: String = (1..=3).map(|it| format!("id: {it}\ndata: words\n\n")).collect();
            thread::sleep(Duration::from_millis(20));
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\n\
                 Content-Type: text/event-stream\r\nKeep-Alive: timeout=15\r\n\
                 Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
                events.len(),
                id = request.id,
            );
            out.write_all(text.as_bytes())
        });
        replica.start(machines.controls(), Duration::from_millis(1200), handler);
    }
    if !machines.order("/api/Config.Replace", CONFIG, Duration::from_secs(25)) {
        record.line("the configuration isn't acknowledged");
        return Verdict::CouldNotRun;
    }
    machines.wait_ready(record);
    thread::sleep(Duration::from_millis(4000));
    let going = Arc::new(AtomicBool::new(true));
    // New connections go to the edge that is in rotation all the time.
    let askers: Vec<_> = (1..2)
        .map(|edge| {
            let (to, going) = (machines.frontend(edge), going.clone());
            let (record, sent) = (record.clone(), sent.clone());
            thread::spawn(move || ask_steadily(&record, to, edge, &going, &sent))
        })
        .collect();
    thread::sleep(Duration::from_millis(3000));
    let (cold, edge) = (&replicas[0], machines.edge(0));
    for round in 0..ROUNDS {
        let open: Vec<TcpStream> =
            (0..OPEN).filter_map(|_| TcpStream::connect(machines.frontend(0)).ok()).collect();
        // Each has served a request before, all at about the same time.
        let (asked, started): (&Times, _) = (&sent, round);
        thread::scope(|scope| {
            for (n, stream) in open.iter().enumerate() {
                let id = format!("0b{started:02x}{n:06x}");
                scope.spawn(move || ask(record, stream, &id, n as u64, asked));
            }
        });
        record.line(&format!("{} clients keep a connection to edge 0 open", open.len()));
        thread::sleep(Duration::from_millis(1300));
        if trouble {
            machines.signal(edge, crate::machines::SIGSTOP);
            record.line(&format!("edge 0 stands still for {FROZEN_MS} ms"));
        }
        let began = Instant::now();
        let late: Vec<_> = open
            .into_iter()
            .enumerate()
            .map(|(n, stream)| {
                let (record, sent) = (record.clone(), sent.clone());
                thread::spawn(move || {
                    let at = FROZEN_MS - OPEN_WITHIN_MS + n as u64 * OPEN_WITHIN_MS / OPEN;
                    thread::sleep(Duration::from_millis(at).saturating_sub(began.elapsed()));
                    ask(&record, &stream, &format!("0c{round:02x}{n:06x}"), n as u64, &sent);
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(COLD_AFTER_MS));
        cold.cold_until.store(unix_ms() + COLD_MS, Ordering::Relaxed);
        let done = cold.send_beat(&machines.controls());
        record.line(&format!(
            "{} becomes cold for {COLD_MS} ms and says so: acknowledged {done}",
            cold.name
        ));
        thread::sleep(Duration::from_millis(FROZEN_MS).saturating_sub(began.elapsed()));
        if trouble {
            machines.signal(edge, crate::machines::SIGCONT);
            record.line("edge 0 goes on");
        }
        thread::sleep(Duration::from_millis(1200));
        late.into_iter().for_each(|it| drop(it.join()));
        thread::sleep(Duration::from_millis(4000));
    }
    going.store(false, Ordering::Relaxed);
    askers.into_iter().for_each(|it| drop(it.join()));
    thread::sleep(Duration::from_millis(500));
    let (sent, arrived) = (sent.lock().unwrap().clone(), arrived.lock().unwrap().clone());
    judge(record, &sent, &arrived)
}

/// Counts the requests that were sent by clients and reached the cold replica inside one second.
fn judge(record: &Record, sent: &HashMap<String, f64>, arrived: &HashMap<String, f64>) -> Verdict {
    let bound = COLD_PER_S * OVERSHOOT + SLACK;
    let both: Vec<(f64, f64)> =
        arrived.iter().filter_map(|(id, at)| Some((*sent.get(id)?, *at))).collect();
    let inside =
        |end: f64| both.iter().filter(|(sent, at)| *sent > end - 1.0 && *at <= end).count();
    let counts: Vec<(usize, f64)> = both.iter().map(|it| (inside(it.1), it.1)).collect();
    let (most, end) = counts.iter().copied().max_by_key(|it| it.0).unwrap_or_default();
    record.line(&format!(
        "up to {most} requests were sent and reached the cold replica in one second, that before \
         {end:.3} s; the bound is {bound}"
    ));
    let mut rows: Vec<(&String, f64, f64)> =
        arrived.iter().filter_map(|(id, at)| Some((id, *sent.get(id)?, *at))).collect();
    rows.sort_by(|a, b| a.2.total_cmp(&b.2));
    rows.iter().for_each(|(id, sent, at)| {
        record.line(&format!(
            "request {id}: sent {sent:.3} s, reached and run by the cold replica {at:.3} s"
        ));
    });
    match both.is_empty() {
        true => Verdict::CouldNotRun,
        false if most as f64 > bound => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends a request at each tick on a connection of its own, whatever became of the others.
fn ask_steadily(record: &Record, to: SocketAddr, edge: u8, going: &AtomicBool, sent: &Times) {
    let (began, mut number) = (Instant::now(), 0u64);
    let mut asked = Vec::new();
    while going.load(Ordering::Relaxed) {
        number += 1;
        thread::sleep(Duration::from_millis(number * 1000 / PER_S).saturating_sub(began.elapsed()));
        let (record, sent) = (record.clone(), sent.clone());
        asked.push(thread::spawn(move || {
            if let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
                ask(&record, &stream, &format!("a{edge:02x}{number:08x}"), number, &sent);
            }
        }));
    }
    asked.into_iter().for_each(|it| drop(it.join()));
}

/// Sends a request on an open connection and reads the answer.
fn ask(record: &Record, mut stream: &TcpStream, id: &str, number: u64, sent: &Times) {
    let request = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Model: m\r\nToken-Usage: 400,20\r\nPrefix-Hash: 5c1e{:04x}:200,91bd{id}:200\r\n\
         Content-Length: 2\r\n\r\nhi",
        number % 61
    );
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    sent.lock().unwrap().insert(id.to_owned(), record.seconds());
    if stream.write_all(request.as_bytes()).is_ok() {
        let status = read_answer(&mut BufReader::new(stream)).map(|it| it.status);
        record.line(&format!("request {id} is answered {status:?}"));
    }
}
