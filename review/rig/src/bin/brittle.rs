//! More users than the replicas of a service have room for, while these say that they are
//! brittle.

use {
    rig::{
        http::{self, read_head},
        run, sleep_ms, Beats, Fleet, Record,
    },
    std::{
        collections::VecDeque,
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
            Arc, Condvar, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

const PER_SECOND: f64 = 40.0;
/// How much more comes while many users come at once, and for how long.
const BURST: f64 = 2.2;
const BURST_MS: u64 = 6500;
const SLOTS: u32 = 6;
const WORK_MS: u64 = 300;
/// How many requests a replica lets wait, at most and while it is brittle.
const QUEUE: u32 = 24;
const BRITTLE_QUEUE: u32 = 6;
const CONTACT_MS: u64 = 3000;
/// `Server-Brittle`: how many requests a second a replica may turn away.
const BRITTLE: usize = 10;
const DOWN_MS: u64 = 3000;
const REPLICAS: usize = 3;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-order","Host":"order.example","PathPrefix":"/order/","Type":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":600,"Priority":1,"Service":"shop","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":false}],"Services":[{"Name":"shop","HealthPath":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
    /// When requests were turned away in the last second.
    turned_away: VecDeque<Instant>,
}

struct Replica {
    addr: SocketAddr,
    zone: &'static str,
    load: Mutex<Load>,
    freed: Condvar,
    down: AtomicBool,
    /// Counts its starts.
    start: AtomicU64,
    conns: Mutex<Vec<TcpStream>>,
    world: Arc<World>,
}

struct World {
    record: Record,
    brittle_since: Mutex<Option<Instant>>,
    falls: AtomicU32,
    lost: AtomicU32,
    nodes: Vec<SocketAddr>,
}

impl World {
    fn is_brittle(&self, for_ms: u64) -> bool {
        let since = *self.brittle_since.lock().expect("not poisoned");
        since.is_some_and(|it| it.elapsed() >= Duration::from_millis(for_ms))
    }
}

fn main() {
    run(|| {
        let mut fleet = Fleet::new(&["a", "b", "c"], &["a", "b"]);
        let record = fleet.record.clone();
        fleet.found(CONFIG);
        let world = Arc::new(World {
            record: record.clone(),
            brittle_since: Mutex::default(),
            falls: AtomicU32::new(0),
            lost: AtomicU32::new(0),
            nodes: fleet.controls(),
        });
        for zone in ["a", "b", "c"].into_iter().take(REPLICAS) {
            let replica = Arc::new(Replica {
                addr: SocketAddr::from((fleet.fresh_ip(), 8080)),
                zone,
                load: Mutex::default(),
                freed: Condvar::new(),
                down: AtomicBool::new(false),
                start: AtomicU64::new(0),
                conns: Mutex::default(),
                world: world.clone(),
            });
            announce(&replica);
            serve(replica);
        }
        sleep_ms(2500);
        let edges: Vec<SocketAddr> =
            fleet.edges().into_iter().map(|it| fleet.frontend(it)).collect();
        let ended = Arc::new(AtomicBool::new(false));
        let rate = Arc::new(Mutex::new(PER_SECOND));
        let counts: Arc<[AtomicU32; 3]> = Arc::default();
        let clients = ask(edges, record.clone(), rate.clone(), counts.clone(), ended.clone());
        sleep_ms(3000);
        record.line(format!("the replicas say from now on that they are brittle: {BRITTLE}"));
        *world.brittle_since.lock().expect("not poisoned") = Some(Instant::now());
        sleep_ms(CONTACT_MS + 1500);
        if fleet.trouble {
            record.line(format!("{BURST} times as many users come"));
            *rate.lock().expect("not poisoned") = PER_SECOND * BURST;
        }
        sleep_ms(BURST_MS);
        *rate.lock().expect("not poisoned") = PER_SECOND;
        record.line("as many users come as before");
        sleep_ms(8000);
        ended.store(true, Ordering::Relaxed);
        let _ = clients.join();

        let (falls, lost) =
            (world.falls.load(Ordering::Relaxed), world.lost.load(Ordering::Relaxed));
        let [good, refused, failed] = [0, 1, 2].map(|i: usize| counts[i].load(Ordering::Relaxed));
        record.line(format!("the replicas fell over {falls} times with {lost} requests running; clients got {good} successes, {refused} refusals and {failed} failures"));
        let broken = f64::from(falls) > 2.0 + REPLICAS as f64 / 10.0;
        fleet.finish(broken.then(|| {
            format!("LIMIT: {REPLICAS} brittle replicas fell over {falls} times, with {lost} requests running that are lost; clients got {failed} failures")
        }))
    })
}

fn announce(replica: &Arc<Replica>) {
    let replica = replica.clone();
    let start = replica.start.load(Ordering::SeqCst);
    let id = format!("i-shop-{}-{start}", replica.zone);
    let beats = Beats::new(&id, "shop", replica.addr, replica.zone, SLOTS);
    thread::spawn(move || {
        for seq in 1.. {
            if replica.down.load(Ordering::SeqCst) || replica.start.load(Ordering::SeqCst) != start
            {
                return;
            }
            let known = beats.beat(seq, &replica.world.nodes, &replica.world.record);
            sleep_ms(if known { 1200 } else { 200 });
        }
    });
}

/// Sends requests at the current rate, to the edge machines in turn.
fn ask(
    edges: Vec<SocketAddr>,
    record: Record,
    rate: Arc<Mutex<f64>>,
    counts: Arc<[AtomicU32; 3]>,
    ended: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut n = 0_u64;
        let mut due = Instant::now();
        while !ended.load(Ordering::Relaxed) {
            n += 1;
            let (edge, record, counts) =
                (edges[n as usize % edges.len()], record.clone(), counts.clone());
            thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_0000_0000 + n);
                let text = format!(
                    "POST /order/2f HTTP/1.1\r\nHost: order.example\r\nAttempt-Id: {id}\r\n\
                     Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 16\r\n\r\n{id}"
                );
                let answer = http::exchange(edge, text.as_bytes(), Duration::from_secs(4));
                let kind = match answer.as_ref().map(|it| it.status()) {
                    Ok(200) => 0,
                    Ok(503) => 1,
                    _ => 2,
                };
                counts[kind].fetch_add(1, Ordering::Relaxed);
                let text = answer.map_or_else(|err| err.to_string(), |it| it.status().to_string());
                record.line(format!("client: request {id}: {text}"));
            });
            due += Duration::from_secs_f64(1.0 / *rate.lock().expect("not poisoned"));
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        sleep_ms(3500);
    })
}

/// Serves a replica's address whenever it isn't down.
fn serve(replica: Arc<Replica>) {
    thread::spawn(move || loop {
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
        drop(listener);
        sleep_ms(DOWN_MS);
        *replica.load.lock().expect("not poisoned") = Load::default();
        replica.start.fetch_add(1, Ordering::SeqCst);
        replica.down.store(false, Ordering::SeqCst);
        replica.world.record.line(format!("replica {} is back", replica.addr));
        announce(&replica);
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
        let start = replica.start.load(Ordering::SeqCst);
        let own = format!("i-shop-{}-{start}", replica.zone);
        let Some(answer) = http::misdirected(&request, &own).or_else(|| run_request(replica, &id))
        else {
            return;
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

/// Runs a request or turns it away; nothing if the replica has ended meanwhile.
fn run_request(replica: &Arc<Replica>, id: &str) -> Option<Vec<u8>> {
    let world = &replica.world;
    let start = replica.start.load(Ordering::SeqCst);
    let brittle = BRITTLE.to_string();
    let mut headers = vec![("Attempt-Id", id)];
    if world.is_brittle(0) {
        headers.push(("Server-Brittle", brittle.as_str()));
    }
    let is_gone =
        || replica.down.load(Ordering::SeqCst) || replica.start.load(Ordering::SeqCst) != start;
    let mut load = replica.load.lock().expect("not poisoned");
    let queue = if world.is_brittle(CONTACT_MS) { BRITTLE_QUEUE } else { QUEUE };
    if load.running >= SLOTS && load.waiting >= queue {
        let now = Instant::now();
        load.turned_away.push_back(now);
        while load.turned_away.front().is_some_and(|it| now - *it > Duration::from_secs(1)) {
            load.turned_away.pop_front();
        }
        world.record.line(format!("replica {}: turns request {id} away", replica.addr));
        if world.is_brittle(CONTACT_MS) && load.turned_away.len() > BRITTLE && !is_gone() {
            replica.down.store(true, Ordering::SeqCst);
            world.falls.fetch_add(1, Ordering::Relaxed);
            world.lost.fetch_add(load.running, Ordering::Relaxed);
            world.record.line(format!(
                "replica {}: falls over with {} requests running",
                replica.addr, load.running
            ));
            for it in replica.conns.lock().expect("not poisoned").drain(..) {
                let _ = it.shutdown(Shutdown::Both);
            }
            replica.freed.notify_all();
            return None;
        }
        headers.push(("Not-Executed", "1"));
        return Some(http::answer("503 Service Unavailable", &headers, b""));
    }
    load.waiting += 1;
    while load.running >= SLOTS && !is_gone() {
        load = replica.freed.wait(load).expect("not poisoned");
    }
    if is_gone() {
        return None;
    }
    load.waiting -= 1;
    load.running += 1;
    drop(load);
    world.record.line(format!("replica {}: runs request {id}", replica.addr));
    sleep_ms(WORK_MS);
    let mut load = replica.load.lock().expect("not poisoned");
    if is_gone() {
        return None;
    }
    load.running -= 1;
    replica.freed.notify_one();
    drop(load);
    headers.push(("Response-Signature", "3e1b.07"));
    Some(http::answer("200 OK", &headers, b"ok"))
}
