//! Clients stop reading for some seconds in the middle of an answer, and go on.

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
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A configuration with one plain service.
const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-report","Host":"shop.example","PathPrefix":"/report/","Type":"idempotent","TimeoutMs":30000,"TargetLatencyMs":3000,"Priority":1,"Service":"reports","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":false}],"Services":[{"Name":"reports","HealthPath":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;
const ANSWER_BYTES: usize = 1_000_000;
/// How long a client reads nothing.
const PAUSE_MS: u64 = 3500;
const CLIENTS: usize = 6;
const DEADLINE_MS: u64 = 20_000;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = Machines::start(Layout { core: 3, edges: 2, memory_mb: 260 });
    let replica = Replica::new("i-report-1", "reports", "harju-a", machines.stand_in(1), 8);
    let (log, body) = (record.clone(), Arc::new(vec![b'x'; ANSWER_BYTES]));
    let handler = Arc::new(move |request: &crate::replica::Request, out: &mut TcpStream| {
        out.write_all(&answer(&request.id, &body))?;
        log.line(&format!("the replica has run {} and written its whole answer", request.id));
        Ok(())
    });
    replica.start(machines.controls(), Duration::from_millis(1200), handler);
    if !machines.order("/api/Config.Replace", CONFIG, Duration::from_secs(25)) {
        record.line("the configuration isn't acknowledged");
        return Verdict::CouldNotRun;
    }
    machines.wait_ready(record);
    thread::sleep(Duration::from_millis(4500));
    machines.change_settings(machines.edge(0));
    machines.signal(machines.edge(0), crate::machines::SIGHUP);
    record.line("SIGHUP to edge 0, whose settings file names the seeds in another order");
    thread::sleep(Duration::from_millis(300));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, to) = (record.clone(), machines.frontend(0));
            thread::spawn(move || {
                let stream = TcpStream::connect(to).ok()?;
                read_with_pause(&record, n, stream, if trouble { PAUSE_MS } else { 0 })
            })
        })
        .collect();
    let results: Vec<Option<bool>> =
        clients.into_iter().map(|it| it.join().unwrap_or(None)).collect();
    let cut = results.iter().filter(|it| **it == Some(false)).count();
    let whole = results.iter().filter(|it| **it == Some(true)).count();
    record.line(&format!(
        "{whole} clients got whole answers, {cut} got a success that ended early, {} got another \
         answer",
        CLIENTS - whole - cut
    ));
    match (cut, whole) {
        (0, 0) => Verdict::CouldNotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends a request and reads its answer, with a pause after the head. Returns whether a success
/// came whole, or nothing if there was no success.
fn read_with_pause(record: &Record, n: usize, stream: TcpStream, pause_ms: u64) -> Option<bool> {
    let id = format!("9c41d07be2a301{n:02}");
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
    thread::sleep(Duration::from_millis(pause_ms));
    let (mut got, mut bytes) = (0, [0; 8 << 10]);
    let mut end = "the end of the connection".to_owned();
    while got < length {
        match reader.read(&mut bytes) {
            Ok(0) => break,
            Ok(read) => got += read,
            Err(err) => {
                end = err.to_string();
                break;
            }
        }
    }
    if got == length {
        end = "all".to_owned();
    }
    record.line(&format!(
        "client {n} gets {}, goes on reading after {pause_ms} ms, and gets {got} of {length} bytes \
         ({end}), {:.1} s after the request",
        head.first,
        began.elapsed().as_secs_f64()
    ));
    Some(got == length)
}
