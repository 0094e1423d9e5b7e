//! An edge gets SIGTERM while a client still reads the answer to a request.

use crate::{
    http::{read_head, status_of},
    machines::{Layout, Machines},
    record::Record,
    replica::{answer, Replica},
    Verdict,
};
use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    os::fd::AsRawFd,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A configuration with one plain service.
const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-report","Host":"shop.example","PathPrefix":"/report/","Type":"idempotent","TimeoutMs":30000,"TargetLatencyMs":3000,"Priority":1,"Service":"reports","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":false}],"Services":[{"Name":"reports","HealthPath":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;
/// The size of an answer, below the 4 MiB that the configuration allows bodies.
const ANSWER_BYTES: usize = 4_190_000;
/// How fast a client reads: well below the 10 Mbit/s of an edge's link.
const BYTES_PER_S: usize = 700_000;
/// The receive buffer of a client, as on a machine with small windows.
const WINDOW_BYTES: i32 = 32 << 10;
const CLIENTS: usize = 4;
const DEADLINE_MS: u64 = 20_000;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut machines = Machines::start(Layout { core: 3, edges: 2, memory_mb: 260 });
    let replica = Replica::new("i-report-1", "reports", "harju-a", machines.stand_in(1), 8);
    let (log, body) = (record.clone(), Arc::new(vec![b'x'; ANSWER_BYTES]));
    let handler = Arc::new(move |request: &crate::replica::Request, out: &mut TcpStream| {
        log.line(&format!(
            "the replica runs request {} and answers {} bytes",
            request.id,
            body.len()
        ));
        out.write_all(&answer(&request.id, &body))?;
        log.line(&format!("the replica has written its whole answer to {}", request.id));
        Ok(())
    });
    replica.start(machines.controls(), Duration::from_millis(1200), handler);
    if !machines.order("/api/Config.Replace", CONFIG, Duration::from_secs(25)) {
        record.line("the configuration isn't acknowledged");
        return Verdict::CouldNotRun;
    }
    machines.wait_ready(record);
    thread::sleep(Duration::from_millis(3500));
    let edge = machines.frontend(0);
    let connections: Vec<TcpStream> =
        (0..CLIENTS).filter_map(|_| TcpStream::connect(edge).ok()).collect();
    connections.iter().for_each(set_small_window);
    if connections.len() < CLIENTS {
        return Verdict::CouldNotRun;
    }
    if trouble {
        machines.signal(machines.edge(0), crate::machines::SIGTERM);
        record.line("SIGTERM to the edge, of which the platform allows GraceS = 8 s");
    }
    let term = Instant::now();
    thread::sleep(Duration::from_millis(1500));
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(n, stream)| {
            let record = record.clone();
            thread::spawn(move || read_slowly(&record, n, stream, term))
        })
        .collect();
    while clients.iter().any(|it| !it.is_finished()) {
        if trouble && machines.has_ended(machines.edge(0)) {
            let after = term.elapsed().as_secs_f64();
            record.line(&format!("the edge has ended {after:.1} s after SIGTERM"));
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let results: Vec<Option<bool>> =
        clients.into_iter().map(|it| it.join().unwrap_or(None)).collect();
    let cut = results.iter().filter(|it| **it == Some(false)).count();
    let whole = results.iter().filter(|it| **it == Some(true)).count();
    record.line(&format!(
        "{whole} clients got whole answers, {cut} got a success that ended early, \
         {} got another answer",
        CLIENTS - whole - cut
    ));
    match (cut, whole) {
        (0, 0) => Verdict::CouldNotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets `SO_RCVBUF` of a connection.
fn set_small_window(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // The descriptor is open, and the value lives for the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) };
}

/// Sends a request and reads its answer at a steady rate. Returns whether a success came whole,
/// or nothing if there was no success.
fn read_slowly(record: &Record, n: usize, stream: TcpStream, term: Instant) -> Option<bool> {
    let id = format!("9c41d07be2a300{n:02}");
    let mut out = stream.try_clone().ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
    let request = format!(
        "GET /report/{n} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    out.write_all(request.as_bytes()).ok()?;
    record.line(&format!("client {n} has sent request {id} whole"));
    let began = Instant::now();
    let mut reader = BufReader::with_capacity(8 << 10, stream);
    let head = read_head(&mut reader).ok()??;
    let length: usize = head.get("content-length")?.parse().ok()?;
    if status_of(&head) != 200 {
        record.line(&format!("client {n} gets {}", head.first));
        return None;
    }
    record.line(&format!("client {n} gets {}, {length} bytes are announced", head.first));
    let (mut got, mut bytes) = (0, [0; 8 << 10]);
    while got < length {
        let due = Duration::from_secs_f64(got as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
        match reader.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(read) => got += read,
        }
    }
    record.line(&format!(
        "client {n}: the connection has brought {got} of {length} bytes {:.1} s after SIGTERM, \
         {:.1} s after the request",
        term.elapsed().as_secs_f64(),
        began.elapsed().as_secs_f64()
    ));
    Some(got == length)
}
