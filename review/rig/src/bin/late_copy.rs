//! A replica of a stage sends a second copy of an answer, late, where its next answer is due.

use {
    rig::{
        http::{self, Conn, Message},
        json::Json,
        run, sleep_ms, Beats, Fleet, Record,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU32, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The part of a replica's answers in a window that it sends again at most.
const COPY_SHARE: f64 = 0.03;
const REQUESTS: u32 = 460;
const GAP_MS: u64 = 100;
/// When answers are sent again: that many times for so long, with pauses.
const WINDOWS: u32 = 6;
const WINDOW: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
/// How many calls wait at a replica of the stage, and how long it keeps a result after its call.
const QUEUE_LIMIT: u32 = 2;
const HANDLE_TTL: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-draft","Host":"draft.example","PathPrefix":"/draft/","Type":"streaming","TimeoutMs":6000,"TargetLatencyMs":2000,"Priority":1,"Service":"kook","MaxAttempts":1,"Phases":[{"Service":"recipes","After":[],"SizeBytes":1500000}],"Public":true,"Sticky":true,"Resumable":false,"InterTokenMs":500}],"Services":[{"Name":"kook","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Runtime":{"Slots":64,"KvCapacity":394178,"KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{"Name":"m"}]}},{"Name":"recipes","HealthPath":"/healthz","MaxConnections":280,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Segments":{"Slots":1,"QueueLimit":2,"Batch":8,"CallMs":200.0,"ItemMs":21.0,"HeadroomMb":18.0,"HandleTtlS":4.0,"LinkMbps":10000}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

/// A result at a stage's replica: for whom it was made, and from what.
#[derive(Clone)]
struct Made {
    request: String,
    key: String,
    at: Instant,
}

struct World {
    record: Record,
    results: Mutex<HashMap<String, Made>>,
    handles: AtomicU64,
    /// The number of the window, and the answers and copies of the disturbed replica in it.
    window: Mutex<(u32, u32, u32)>,
    answers: AtomicU32,
    copies: AtomicU32,
    foreign: Mutex<Vec<String>>,
}

fn main() {
    run(|| {
        let mut fleet = Fleet::new(&["a", "b", "c"], &["a", "b"]);
        let record = fleet.record.clone();
        let world = Arc::new(World {
            record: record.clone(),
            results: Mutex::default(),
            handles: AtomicU64::new(0x91bd),
            window: Mutex::default(),
            answers: AtomicU32::new(0),
            copies: AtomicU32::new(0),
            foreign: Mutex::default(),
        });
        fleet.found(CONFIG);
        for (i, zone) in ["a", "b"].into_iter().enumerate() {
            let addr = SocketAddr::from((fleet.fresh_ip(), 8080));
            let shared = world.clone();
            http::serve(addr, move |conn| serve_model(&shared, &format!("i-kook{i}"), conn))
                .expect("a free address");
            let mut beats = Beats::new(&format!("i-kook{i}"), "kook", addr, zone, 64);
            beats.more =
                r#","Phase":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}]"#.to_owned();
            beats.run(fleet.controls(), record.clone());
            let addr = SocketAddr::from((fleet.fresh_ip(), 8080));
            let shared = world.clone();
            let stage = Arc::new(Stage {
                id: format!("i-recipes{i}"),
                addr,
                // One of the two replicas.
                disturbed: i == 0 && fleet.trouble,
                slot: Mutex::new(()),
                calls: AtomicU32::new(0),
            });
            http::serve(addr, move |conn| serve_stage(&shared, &stage, conn))
                .expect("a free address");
            Beats::new(&format!("i-recipes{i}"), "recipes", addr, zone, 1)
                .run(fleet.controls(), record.clone());
        }
        sleep_ms(2500);
        let edges: Vec<SocketAddr> =
            fleet.edges().into_iter().map(|it| fleet.frontend(it)).collect();
        let timer = world.clone();
        thread::spawn(move || {
            for number in 1..=WINDOWS {
                thread::sleep(PAUSE);
                timer.record.line(format!("disturbance {number} begins"));
                *timer.window.lock().expect("not poisoned") = (number, 0, 0);
                thread::sleep(WINDOW);
                let (_, answers, copies) =
                    std::mem::take(&mut *timer.window.lock().expect("not poisoned"));
                timer.record.line(format!(
                    "disturbance {number} ends: {copies} of {answers} answers were sent twice"
                ));
            }
        });
        let clients: Vec<_> = (0..REQUESTS)
            .map(|n| {
                let (world, edge) = (world.clone(), edges[n as usize % edges.len()]);
                sleep_ms(GAP_MS);
                thread::spawn(move || ask(&world, n, edge))
            })
            .collect();
        let wrong: u32 = clients.into_iter().map(|it| it.join().unwrap_or(0)).sum();
        let foreign = world.foreign.lock().expect("not poisoned").clone();
        record.line(format!(
            "{} answers of the disturbed replica in all disturbances, {} copies sent, {} runs with inputs of other requests, {wrong} clients with data of others",
            world.answers.load(Ordering::Relaxed),
            world.copies.load(Ordering::Relaxed),
            foreign.len()
        ));
        fleet.finish(foreign.first().map(|it| {
            format!(
                "MIXED: {it} ({} in all; {wrong} clients got what was made of it)",
                foreign.len()
            )
        }))
    })
}

/// Sends one request as a client does; returns 1 if the answer is made of another's data.
fn ask(world: &World, n: u32, edge: SocketAddr) -> u32 {
    let (id, key) = (
        format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + u64::from(n)),
        format!("{:012x}", 0x7c1e_07a2_0000_u64 + u64::from(n)),
    );
    let text = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: draft.example\r\nAttempt-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{:08x}:250\r\nChunks: 1\r\nChunk-Key: {key}\r\n\
         Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nquery",
        0x2000 + n
    );
    world.record.line(format!("client: request {id} with key {key} to {edge}"));
    match http::exchange(edge, text.as_bytes(), Duration::from_secs(7)) {
        Ok(it) => {
            let body = it.text().replace("\n\n", " ");
            world.record.line(format!("client: request {id}: {} {body}", it.status()));
            u32::from(it.status() == 200 && !body.contains(&format!("made-of-{key}")))
        }
        Err(err) => {
            world.record.line(format!("client: request {id}: {err}"));
            0
        }
    }
}

fn serve_model(world: &World, own: &str, mut conn: Conn) {
    while let Some(request) = conn.next() {
        if let Some(answer) = http::misdirected(&request, own) {
            if conn.write(&answer).is_err() {
                return;
            }
            continue;
        }
        if request.method() == "GET" {
            let _ = conn.write(&http::answer("200 OK", &[], b""));
            continue;
        }
        if !run_request(world, &mut conn, &request) {
            return;
        }
    }
}

/// Runs a request at a model replica; returns whether the connection goes on.
fn run_request(world: &World, conn: &mut Conn, request: &Message) -> bool {
    let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
    let inputs: Vec<String> = request
        .header("Inputs")
        .unwrap_or_default()
        .split(',')
        .map(|it| it.trim().to_owned())
        .collect();
    let made: Option<Vec<Made>> = {
        let results = world.results.lock().expect("not poisoned");
        let kept = |it: &&Made| it.at.elapsed() < HANDLE_TTL;
        inputs.iter().map(|it| results.get(it).filter(kept).cloned()).collect()
    };
    let Some(made) = made else {
        world.record.line(format!("model: request {id}: an input of {inputs:?} is gone, 409"));
        return conn
            .write(&http::answer(
                "409 Conflict",
                &[("Attempt-Id", &id), ("Not-Executed", "1")],
                b"",
            ))
            .is_ok();
    };
    let owners: Vec<&str> = made.iter().map(|it| it.request.as_str()).collect();
    world
        .record
        .line(format!("model: runs request {id} with inputs {inputs:?}, made for {owners:?}"));
    if owners.iter().any(|it| *it != id) {
        let text = format!("request {id} ran with inputs that were made for {owners:?}");
        world.foreign.lock().expect("not poisoned").push(text);
    }
    sleep_ms(700);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut sent = conn.write(head.as_bytes()).is_ok();
    for (i, it) in made.iter().enumerate() {
        let event = format!("id: {i}\ndata: made-of-{}\n\n", it.key);
        sent = sent && conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
        sleep_ms(50);
    }
    sent && conn.write(b"0\r\n\r\n").is_ok()
}

/// A replica of the stage.
struct Stage {
    id: String,
    addr: SocketAddr,
    disturbed: bool,
    slot: Mutex<()>,
    /// Calls that are worked on or wait.
    calls: AtomicU32,
}

impl Stage {
    /// Counts an answer; returns whether the answer before it is to be sent once more.
    fn count_answer(&self, world: &World, may_copy: bool) -> bool {
        let mut window = world.window.lock().expect("not poisoned");
        let (number, answers, copies) = &mut *window;
        if !self.disturbed || *number == 0 {
            return false;
        }
        *answers += 1;
        world.answers.fetch_add(1, Ordering::Relaxed);
        let copy = may_copy && f64::from(*copies + 1) <= COPY_SHARE * f64::from(*answers);
        if copy {
            *copies += 1;
            world.copies.fetch_add(1, Ordering::Relaxed);
        }
        copy
    }
}

fn serve_stage(world: &World, stage: &Stage, mut conn: Conn) {
    // The last answer to a call of pieces on this connection.
    let mut last: Option<Vec<u8>> = None;
    while let Some(request) = conn.next() {
        let answer = if let Some(answer) = http::misdirected(&request, &stage.id) {
            answer
        } else if request.path() == "/api/stage-free" {
            stage.count_answer(world, false);
            free_results(world, &request);
            http::answer("200 OK", &echo(&request), b"{}")
        } else if request.path() == "/api/stage-run" {
            if stage.count_answer(world, last.is_some()) {
                let old = last.as_deref().unwrap_or_default();
                let text = format!(
                    "stage {}: sends its last answer on connection {} once more",
                    stage.addr, conn.number
                );
                world.record.line(text);
                if conn.write(old).is_err() {
                    return;
                }
            }
            let answer = call(world, stage, conn.number, &request);
            last = Some(answer.clone());
            answer
        } else {
            http::answer("200 OK", &[("Instance-Id", &stage.id)], b"{}")
        };
        if conn.write(&answer).is_err() {
            return;
        }
    }
}

fn free_results(world: &World, request: &Message) {
    let body = Json::parse(&request.text()).unwrap_or(Json::Null);
    let handles = body.get("Handles").map(Json::list).unwrap_or_default();
    let mut results = world.results.lock().expect("not poisoned");
    handles.iter().filter_map(Json::text).for_each(|it| drop(results.remove(it)));
}

/// Runs a call when its turn comes, or turns it away.
fn call(world: &World, stage: &Stage, conn: u64, request: &Message) -> Vec<u8> {
    if stage.calls.fetch_add(1, Ordering::SeqCst) > QUEUE_LIMIT {
        stage.calls.fetch_sub(1, Ordering::SeqCst);
        let mut headers = echo(request);
        headers.push(("Not-Executed", "1"));
        return http::answer("503 Service Unavailable", &headers, b"");
    }
    let turn = stage.slot.lock().expect("not poisoned");
    let answer = run_pieces(world, stage.addr, conn, request);
    drop(turn);
    stage.calls.fetch_sub(1, Ordering::SeqCst);
    answer
}

/// The id of a call, if it has one.
fn echo(request: &Message) -> Vec<(&str, &str)> {
    request.header("Attempt-Id").map(|it| ("Attempt-Id", it)).into_iter().collect()
}

fn run_pieces(world: &World, addr: SocketAddr, conn: u64, request: &Message) -> Vec<u8> {
    let body = Json::parse(&request.text()).unwrap_or(Json::Null);
    let items = body.get("Items").map(Json::list).unwrap_or_default().to_vec();
    sleep_ms(200 + 21 * items.len() as u64);
    let mut rows = Vec::new();
    for it in &items {
        let text = |name| it.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        let handle = format!("{addr}/{:x}", world.handles.fetch_add(1, Ordering::Relaxed));
        let made = Made { request: text("Id"), key: text("Key"), at: Instant::now() };
        world.record.line(format!(
            "stage {addr}: made {handle} for request {} from {} (connection {conn})",
            made.request, made.key
        ));
        world.results.lock().expect("not poisoned").insert(handle.clone(), made);
        rows.push(format!("{{\"Handle\":\"{handle}\"}}"));
    }
    let body = format!("{{\"Items\":[{}]}}", rows.join(","));
    let mut headers = echo(request);
    headers.push(("Content-Type", "application/json"));
    headers.push(("Instance-Load", "0,0,1"));
    http::answer("200 OK", &headers, body.as_bytes())
}
