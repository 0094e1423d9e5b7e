//! A core machine stands still while an order to end an evacuation is on its way to it. The
//! operator gets its acknowledgement elsewhere and evacuates the zone again.

use {
    rig::{
        http::{self, Conn},
        run, sleep_ms, Beats, Fleet, Record, SIGCONT, SIGSTOP,
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::Duration,
    },
};

const EVACUATE_MS: f64 = 5000.0;
const FREEZE_MS: u64 = 1250;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r-check","Host":"shop.example","PathPrefix":"/shop/","Type":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"shop","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":false}],"Services":[{"Name":"shop","HealthPath":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

/// A request that has reached a replica: when, in which zone, and its id.
type Arrival = (f64, &'static str, String);

fn main() {
    run(|| {
        let mut fleet = Fleet::new(&["a", "b", "c"], &["a", "b"]);
        let record = fleet.record.clone();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        fleet.found(CONFIG);
        for (i, zone) in ["a", "a", "b", "b", "c"].into_iter().enumerate() {
            let addr = SocketAddr::from((fleet.fresh_ip(), 8080));
            let (shared, lines) = (arrivals.clone(), record.clone());
            http::serve(addr, move |conn| {
                serve_shop(&shared, &lines, &format!("i-shop{i}"), zone, conn)
            })
            .expect("a free address");
            Beats::new(&format!("i-shop{i}"), "shop", addr, zone, 6)
                .run(fleet.controls(), record.clone());
        }
        sleep_ms(2500);
        let edges: Vec<SocketAddr> =
            fleet.edges().into_iter().map(|it| fleet.frontend(it)).collect();
        let ended = Arc::new(AtomicBool::new(false));
        let clients = ask(edges, record.clone(), ended.clone());
        sleep_ms(1000);

        let leader = fleet.leader().0;
        let others: Vec<usize> = fleet.cores().into_iter().filter(|it| *it != leader).collect();
        let (frozen, steady) = (others[0], others[1]);
        record.line(format!("{} leads", fleet.machines[leader].name));
        let nodes = [fleet.control(frozen), fleet.control(steady), fleet.control(leader)];

        assert!(fleet.order("/api/Evacuations.Start/a", "", &nodes, Duration::from_secs(4)));
        sleep_ms(6500);
        if fleet.trouble {
            fleet.signal(frozen, SIGSTOP, "SIGSTOP");
        }
        let since = record.now();
        let finished = fleet.order("/api/Evacuations.Finish/a", "", &nodes, Duration::from_secs(4));
        sleep_ms(50);
        let again =
            fleet.order("/api/Evacuations.Start/a", "", &nodes[1..], Duration::from_secs(4));
        let acknowledged = record.now();
        assert!(finished && again, "an order wasn't acknowledged");
        if fleet.trouble {
            sleep_ms(FREEZE_MS.saturating_sub(((acknowledged - since) * 1000.0) as u64));
            fleet.signal(frozen, SIGCONT, "SIGCONT");
        }
        sleep_ms(13_000);
        ended.store(true, Ordering::Relaxed);
        let _ = clients.join();

        let due = acknowledged + EVACUATE_MS / 1000.0;
        let arrivals = arrivals.lock().expect("not poisoned");
        let late: Vec<&Arrival> =
            arrivals.iter().filter(|(at, zone, _)| *zone == "a" && *at > due).collect();
        let all = arrivals.iter().filter(|(at, _, _)| *at > due).count();
        record.line(format!(
            "zone a was evacuated again at {acknowledged:.3}; from {due:.3} on {} of {all} requests reached its replicas",
            late.len()
        ));
        let text = late.first().map(|(at, _, id)| {
            format!("EVAC: request {id} reached a replica of zone a at {at:.3}, {:.1} s after the evacuation was acknowledged, and {} more did", at - acknowledged, late.len() - 1)
        });
        drop(arrivals);
        fleet.finish(text)
    })
}

/// Sends a request each 50 ms, to the edge machines in turn.
fn ask(edges: Vec<SocketAddr>, record: Record, ended: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let next = AtomicU64::new(0x9c41_d07b_0000_0000);
        while !ended.load(Ordering::Relaxed) {
            let n = next.fetch_add(1, Ordering::Relaxed);
            let (edge, record) = (edges[n as usize % edges.len()], record.clone());
            thread::spawn(move || {
                let text = format!(
                    "GET /shop/{n:x} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {n:016x}\r\n\
                     Deadline-Ms: 3000\r\nConnection: close\r\n\r\n"
                );
                let answer = http::exchange(edge, text.as_bytes(), Duration::from_secs(4));
                let text = answer.map_or_else(|err| err.to_string(), |it| it.status().to_string());
                record.line(format!("client: request {n:016x}: {text}"));
            });
            sleep_ms(50);
        }
    })
}

fn serve_shop(
    arrivals: &Mutex<Vec<Arrival>>,
    record: &Record,
    own: &str,
    zone: &'static str,
    mut conn: Conn,
) {
    while let Some(request) = conn.next() {
        if let Some(answer) = http::misdirected(&request, own) {
            if conn.write(&answer).is_err() {
                return;
            }
            continue;
        }
        let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let answer = match id.is_empty() {
            true => http::answer("200 OK", &[], b""),
            false => {
                record.line(format!("replica of zone {zone}: runs request {id}"));
                arrivals.lock().expect("not poisoned").push((record.now(), zone, id.clone()));
                sleep_ms(20);
                let headers = [("Attempt-Id", id.as_str()), ("Response-Signature", "3e1b.07")];
                http::answer("200 OK", &headers, b"ok")
            }
        };
        if conn.write(&answer).is_err() {
            return;
        }
    }
}
