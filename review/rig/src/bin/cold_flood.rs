//! A replica comes back cold while the others are busy.

use {
    rig::{
        http::{self, read_head},
        run, sleep_ms, Beats, Fleet, Record,
    },
    std::{
        collections::HashMap,
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicU32, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

const PER_SECOND: u64 = 45;
const DOWN_MS: u64 = 4500;
const COLD_MS: u64 = 3000;
const COLD_PER_S: f64 = 14.0;
/// `ColdPerS` x `ColdOvershoot` + `ColdSlack`.
const BOUND: usize = (COLD_PER_S * 1.5 + 5.0) as usize;
/// A cold replica falls over at a rate well above `ColdPerS`: at two and a half times as much.
const FALLS_AT: usize = (COLD_PER_S * 2.5) as usize;
const STREAM_MS: u64 = 2000;
const EVENTS: u64 = 20;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-ask","Host":"ask.example","PathPrefix":"/ask/","Type":"streaming","TimeoutMs":8000,"TargetLatencyMs":1800,"Priority":1,"Service":"kook","MaxAttempts":1,"Phases":[],"Public":true,"Sticky":false,"Resumable":false,"InterTokenMs":400}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":14.0,"Runtime":{"Slots":64,"KvCapacity":394178,"KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

struct Replica {
    /// The id of its incarnation.
    id: Mutex<String>,
    addr: SocketAddr,
    down: AtomicBool,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// When requests arrived while it was cold, and their ids.
    cold_arrivals: Mutex<Vec<(f64, String)>>,
    conns: Mutex<Vec<TcpStream>>,
    falls: AtomicU32,
    lost: AtomicU32,
    record: Record,
}

impl Replica {
    fn is_cold(&self) -> bool {
        self.cold_until.lock().expect("not poisoned").is_some_and(|it| it > Instant::now())
    }

    /// Ends all connections, as a process that ends does.
    fn go_down(&self) {
        self.down.store(true, Ordering::SeqCst);
        for it in self.conns.lock().expect("not poisoned").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }
}

fn main() {
    run(|| {
        let mut fleet = Fleet::new(&["a", "b", "c"], &["a", "b"]);
        let record = fleet.record.clone();
        fleet.found(CONFIG);
        let mut replicas = Vec::new();
        for (i, zone) in ["a", "b", "c"].into_iter().enumerate() {
            let addr = SocketAddr::from((fleet.fresh_ip(), 8080));
            let replica = Arc::new(Replica {
                id: Mutex::new(format!("i-kook{i}")),
                addr,
                down: AtomicBool::new(false),
                cold_until: Mutex::default(),
                cold_arrivals: Mutex::default(),
                conns: Mutex::default(),
                falls: AtomicU32::new(0),
                lost: AtomicU32::new(0),
                record: record.clone(),
            });
            serve(replica.clone());
            announce(&replica, &format!("i-kook{i}"), zone, &fleet);
            replicas.push(replica);
        }
        sleep_ms(2500);
        let edges: Vec<SocketAddr> =
            fleet.edges().into_iter().map(|it| fleet.frontend(it)).collect();
        let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let broken = Arc::new(AtomicU32::new(0));
        let clients = ask(edges, record.clone(), sent.clone(), ended.clone(), broken.clone());
        sleep_ms(6000);
        let last = replicas[2].clone();
        if fleet.trouble {
            record.line(format!("the replica of zone c at {} goes down", last.addr));
            last.go_down();
            sleep_ms(DOWN_MS);
            *last.cold_until.lock().expect("not poisoned") =
                Some(Instant::now() + Duration::from_millis(COLD_MS));
            "i-kook2-again".clone_into(&mut last.id.lock().expect("not poisoned"));
            last.down.store(false, Ordering::SeqCst);
            record.line("the replica of zone c is back, cold for 3 s");
            announce(&last, "i-kook2-again", "c", &fleet);
        } else {
            sleep_ms(DOWN_MS);
        }
        sleep_ms(6000);
        ended.store(true, Ordering::Relaxed);
        let _ = clients.join();

        let sent = sent.lock().expect("not poisoned");
        let arrivals = last.cold_arrivals.lock().expect("not poisoned");
        let in_second = |from: f64| {
            let fits = |(at, id): &&(f64, String)| {
                *at >= from && *at < from + 1.0 && sent.get(id).is_some_and(|it| *it >= from)
            };
            arrivals.iter().filter(fits).count()
        };
        // A second that holds the most begins just where one of these requests was sent.
        let starts = arrivals.iter().filter_map(|(_, id)| sent.get(id));
        let (most, from) =
            starts
                .map(|it| (in_second(*it), *it))
                .fold((0, 0.0), |a, b| if b.0 > a.0 { b } else { a });
        record.line(format!(
            "the cold replica got {most} requests in the second from {from:.3}; {BOUND} are allowed; it fell over {} times, with {} streams under way; {} streams of clients broke off",
            last.falls.load(Ordering::Relaxed),
            last.lost.load(Ordering::Relaxed),
            broken.load(Ordering::Relaxed)
        ));
        let text = (most > BOUND).then(|| {
            format!("FAILBACK: a cold replica got {most} requests in one second, {BOUND} are allowed; it fell over with {} streams under way", last.lost.load(Ordering::Relaxed))
        });
        drop((sent, arrivals));
        fleet.finish(text)
    })
}

/// Announces a replica until it goes down.
fn announce(replica: &Arc<Replica>, id: &str, zone: &str, fleet: &Fleet) {
    let (replica, nodes, record) = (replica.clone(), fleet.controls(), fleet.record.clone());
    let mut beats = Beats::new(id, "kook", replica.addr, zone, 64);
    beats.more = r#","Phase":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}]"#.to_owned();
    thread::spawn(move || {
        for seq in 1.. {
            if replica.down.load(Ordering::SeqCst) {
                return;
            }
            let until = *replica.cold_until.lock().expect("not poisoned");
            let left =
                until.map_or(0, |it| it.saturating_duration_since(Instant::now()).as_millis());
            beats.cold_ms.store(left as u64, Ordering::Relaxed);
            let known = beats.beat(seq, &nodes, &record);
            sleep_ms(if known { 1200 } else { 200 });
        }
    });
}

fn ask(
    edges: Vec<SocketAddr>,
    record: Record,
    sent: Arc<Mutex<HashMap<String, f64>>>,
    ended: Arc<AtomicBool>,
    broken: Arc<AtomicU32>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (start, mut n) = (Instant::now(), 0_u64);
        while !ended.load(Ordering::Relaxed) {
            n += 1;
            let id = format!("{:016x}", 0x9c41_d07b_0000_0000 + n);
            let edge = edges[n as usize % edges.len()];
            let (record, sent, broken) = (record.clone(), sent.clone(), broken.clone());
            thread::spawn(move || {
                let text = format!(
                    "POST /ask/2f HTTP/1.1\r\nHost: ask.example\r\nAttempt-Id: {id}\r\nModel: m\r\n\
                     Token-Usage: 543,300\r\nDeadline-Ms: 8000\r\nContent-Length: 5\r\n\r\nquery"
                );
                sent.lock().expect("not poisoned").insert(id.clone(), record.now());
                let answer = http::exchange(edge, text.as_bytes(), Duration::from_secs(9));
                if answer.is_err() {
                    broken.fetch_add(1, Ordering::Relaxed);
                }
                let text = answer.map_or_else(|err| err.to_string(), |it| it.status().to_string());
                record.line(format!("client: request {id}: {text}"));
            });
            let next = Duration::from_micros(n * 1_000_000 / PER_SECOND);
            thread::sleep(next.saturating_sub(start.elapsed()));
        }
        sleep_ms(3000);
    })
}

/// Serves a replica's address whenever it isn't down.
fn serve(replica: Arc<Replica>) {
    thread::spawn(move || loop {
        if replica.down.load(Ordering::SeqCst) {
            sleep_ms(10);
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
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if http::read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let own = replica.id.lock().expect("not poisoned").clone();
        if let Some(answer) = http::misdirected(&request, &own) {
            if stream.write_all(&answer).is_err() {
                return;
            }
            continue;
        }
        if id.is_empty() {
            if stream.write_all(&http::answer("200 OK", &[], b"")).is_err() {
                return;
            }
            continue;
        }
        let (now, cold) = (replica.record.now(), replica.is_cold());
        replica.record.line(format!(
            "replica {}: runs request {id}{}",
            replica.addr,
            if cold { " (cold)" } else { "" }
        ));
        if cold {
            let mut arrivals = replica.cold_arrivals.lock().expect("not poisoned");
            arrivals.push((now, id.clone()));
            let lately = arrivals.iter().filter(|(at, _)| *at > now - 1.0).count();
            let falls = lately > FALLS_AT && !replica.down.load(Ordering::SeqCst);
            drop(arrivals);
            if falls {
                replica.falls.fetch_add(1, Ordering::Relaxed);
                replica.record.line(format!("replica {}: falls over", replica.addr));
                replica.go_down();
                return;
            }
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut going = stream.write_all(head.as_bytes()).is_ok();
        for n in 0..EVENTS {
            let event = format!("id: {n}\ndata: token\n\n");
            going = going
                && stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
            if replica.down.load(Ordering::SeqCst) || !going {
                replica.lost.fetch_add(1, Ordering::Relaxed);
                return;
            }
            sleep_ms(STREAM_MS / EVENTS);
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
