//! A heartbeat from before a replica became cold arrives after those that say so.

use crate::{
    http::{exchange, read_answer},
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
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const COLD_MS: u64 = 3000;
/// How long the late beat is under way.
const LATE_MS: u64 = 2300;
/// How long a client waits between two requests. With twelve clients that makes up to 75 a second,
/// below what the sheet's three language model classes have in the largest burst of its days.
const PAUSE_MS: u64 = 155;
const COLD_PER_S: f64 = 14.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-ask","Host":"shop.example","PathPrefix":"/ask/","Type":"streaming","TimeoutMs":6000,"TargetLatencyMs":2000,"Priority":1,"Service":"kook","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":true,"Resumable":false,"InterTokenMs":500}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":14.0,"Runtime":{"Slots":64,"KvCapacity":394178,"KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = Machines::start(Layout { core: 3, edges: 6, memory_mb: 260 });
    let replicas: Vec<Arc<Replica>> = (1..=2)
        .map(|n| {
            let zone = ["harju-a", "harju-b", "harju-c"][n as usize - 1];
            Replica::new(&format!("i-kook-{n}"), "kook", zone, machines.stand_in(n), 64)
        })
        .collect();
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<(u8, f64, u64, String)>>> = Arc::default();
    for (n, replica) in replicas.iter().enumerate() {
        let (me, record, arrivals) = (replica.clone(), record.clone(), arrivals.clone());
        let handler = Arc::new(move |request: &crate::replica::Request, out: &mut TcpStream| {
            arrivals.lock().unwrap().push((
                n as u8,
                record.seconds(),
                me.cold_remaining(),
                request.id.clone(),
            ));
            let events: String = (1..=3).map(|it| format!("id: {it}\ndata: words\n\n")).collect();
            thread::sleep(Duration::from_millis(20));
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\n\
                 Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n\
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
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0)]);
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let (to, going, counts) = (machines.frontend(n % 6), going.clone(), counts.clone());
            let (record, sent) = (record.clone(), sent.clone());
            thread::spawn(move || ask(&record, to, n, &going, &counts, &sent))
        })
        .collect();
    thread::sleep(Duration::from_millis(2500));

    let (controls, cold) = (machines.controls(), &replicas[0]);
    if !machines.order("/api/Evacuations.Start/harju-a", "", Duration::from_secs(4)) {
        return Verdict::CouldNotRun;
    }
    record.line("the evacuation of harju-a is acknowledged");
    thread::sleep(Duration::from_millis(1500));

    // From here on its beats are sent in this order.
    cold.beats.store(false, Ordering::Relaxed);
    cold.send_beat(&controls);
    thread::sleep(Duration::from_millis(1200));
    let (seq, early) = cold.beat();
    let began = Instant::now();
    record.line(&format!("{} sends beat {seq}: it isn't cold", cold.name));
    match trouble {
        true => record.line(&format!("beat {seq} is under way for {LATE_MS} ms")),
        false => {
            exchange(controls[0], &early, Duration::from_secs(1));
        }
    }
    let at = |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    let beat = |cold: &Replica| {
        let (left, done) = (cold.cold_remaining(), cold.send_beat(&controls[1..]));
        record.line(&format!(
            "{} has sent beat {}, cold for {left} ms: acknowledged {done}",
            cold.name,
            cold.seq.load(Ordering::Relaxed)
        ));
    };
    at(800);
    cold.cold_until.store(unix_ms() + COLD_MS, Ordering::Relaxed);
    let from = record.seconds();
    record.line(&format!("{} becomes cold for {COLD_MS} ms", cold.name));
    at(1000);
    beat(cold);
    at(1300);
    if !machines.order("/api/Evacuations.Finish/harju-a", "", Duration::from_secs(2)) {
        return Verdict::CouldNotRun;
    }
    record.line("the end of the evacuation is acknowledged");
    at(2200);
    beat(cold);
    at(LATE_MS);
    if trouble {
        let got = exchange(controls[0], &early, Duration::from_secs(1)).map(|it| it.status);
        record.line(&format!("beat {seq} arrives now and gets {got:?}"));
    }
    at(3400);
    beat(cold);
    at(4500);
    going.store(false, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    record.line(&format!(
        "clients got {} successes, {} refusals, {} other ends",
        counts[0].load(Ordering::Relaxed),
        counts[1].load(Ordering::Relaxed),
        counts[2].load(Ordering::Relaxed)
    ));
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    judge(record, &arrivals, &sent, from)
}

fn judge(
    record: &Record,
    arrivals: &[(u8, f64, u64, String)],
    sent: &HashMap<String, f64>,
    from: f64,
) -> Verdict {
    let bound = COLD_PER_S * OVERSHOOT + SLACK;
    let rows: Vec<(f64, f64)> = arrivals
        .iter()
        .filter(|it| it.0 == 0 && it.2 > 0)
        .filter_map(|it| Some((*sent.get(&it.3)?, it.1)))
        .collect();
    let at: Vec<f64> = rows.iter().map(|it| it.1).collect();
    for (replica, at, cold, id) in arrivals.iter().filter(|it| it.1 >= from - 0.5) {
        let sent = sent.get(id).copied().unwrap_or_default();
        record.line(&format!(
            "request {id}: sent {sent:.3} s, run {at:.3} s by replica {}, cold for {cold} ms more",
            replica + 1
        ));
    }
    let all: usize = arrivals.iter().filter(|it| it.1 < from && it.1 > from - 1.0).count();
    record.line(&format!("in the second before, the two replicas got {all} requests"));
    for tenth in 0..((COLD_MS / 250) as usize) {
        let begin = from + tenth as f64 * 0.25;
        let count = at.iter().filter(|it| **it >= begin && **it < begin + 0.25).count();
        record.line(&format!(
            "{begin:.2} s to {:.2} s: {count} reach the cold replica",
            begin + 0.25
        ));
    }
    let inside = |end: f64| rows.iter().filter(|it| it.0 > end - 1.0 && it.1 <= end).count();
    let most = at.iter().map(|it| inside(*it)).max();
    let most = most.unwrap_or(0);
    record.line(&format!(
        "the cold replica got up to {most} requests in one second; the bound is {bound}"
    ));
    if all < 30 {
        return Verdict::CouldNotRun;
    }
    if most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests one after the other while `going`.
fn ask(
    record: &Record,
    to: SocketAddr,
    n: u8,
    going: &AtomicBool,
    counts: &[AtomicU64; 3],
    sent: &Mutex<HashMap<String, f64>>,
) {
    let mut number = 0;
    while going.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while going.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("a{n:02x}{number:08x}");
            let request = format!(
                "POST /ask/{n} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
                 Deadline-Ms: 6000\r\nModel: m\r\nToken-Usage: 400,20\r\n\
                 Prefix-Hash: 5c1e{n:02x}{:04x}:200,91bd{number:08x}:200\r\nContent-Length: 2\r\n\r\nhi",
                number % 7
            );
            sent.lock().unwrap().insert(id.clone(), record.seconds());
            if out.write_all(request.as_bytes()).is_err() {
                break;
            }
            let Some(answer) = read_answer(&mut reader) else { break };
            record.line(&format!(
                "request {id} is answered {}, whole: {}",
                answer.status, answer.whole
            ));
            let kind = match answer.status {
                200 if answer.whole => 0,
                503 | 429 => 1,
                _ => 2,
            };
            counts[kind].fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(PAUSE_MS));
        }
    }
}
