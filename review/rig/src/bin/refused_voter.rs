//! A core machine that has lost nothing is told that it has, and its process ends.

use {
    rig::{http, run, sleep_ms, Fleet, Record, SIGCONT, SIGSTOP},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU32, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
};

/// How long the first machine stands still, and the second one at the end of that.
const FIRST_FREEZE_MS: u64 = 3500;
const SECOND_FREEZE_MS: u64 = 400;
/// The most rounds, each with a leader that is killed first.
const ROUNDS: u32 = 5;
/// The pause between two configurations.
const CONFIG_GAP_MS: u64 = 60;

/// The configuration of a version. Each has another time-out.
fn config(version: u32) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-check","Host":"shop.example","PathPrefix":"/shop/","Type":"idempotent","TimeoutMs":{},"TargetLatencyMs":300,"Priority":1,"Service":"shop","MaxAttempts":2,"Phases":[],"Public":true,"Sticky":false,"Resumable":false}}],"Services":[{{"Name":"shop","HealthPath":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[]}}"#,
        2000 + version
    )
}

fn main() {
    run(|| {
        let mut fleet = Fleet::new(&["a", "b", "c", "a", "b"], &["a", "b"]);
        let record = fleet.record.clone();
        fleet.found(&config(1));
        // All core machines become voters.
        sleep_ms(6000);

        let mut version = 1;
        let mut end = None;
        for round in 1..=ROUNDS {
            record.line(format!("round {round}"));
            let ran = play(&mut fleet, version + 1);
            version = ran.0;
            end = ran.1;
            if end.is_some() {
                break;
            }
        }
        record.line(format!("the newest configuration acknowledged is {version}"));
        fleet.finish(end.map(|it| format!("Fault: {it}")))
    })
}

/// Plays one round with configurations from a version on. Returns the newest one that was
/// acknowledged, and the end of a process, if one has ended by itself.
fn play(fleet: &mut Fleet, first: u32) -> (u32, Option<String>) {
    let record = fleet.record.clone();
    let (victim, term) = fleet.leader();
    record.line(format!("{} leads in term {term}", fleet.machines[victim].name));
    if fleet.trouble {
        fleet.kill(victim);
        sleep_ms(1000);
        fleet.start(victim, false);
    }
    sleep_ms(5000);
    let (leader, term) = fleet.leader();
    record.line(format!("{} leads in term {term}", fleet.machines[leader].name));
    // A machine that hasn't heard of the victim since its restart: neither the leader nor the
    // seed that the victim asked for the leader.
    let asked = fleet.cores().into_iter().filter(|it| *it != victim).nth(1).expect("five machines");
    let mut others = fleet.cores();
    others.retain(|it| ![victim, leader, asked].contains(it));
    let second = others[0];

    let steady = [leader].into_iter().chain(others[1..].iter().copied());
    let nodes: Vec<SocketAddr> = steady.map(|it| fleet.control(it)).collect();
    let (ended, newest) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(first - 1)));
    let operator = {
        let (ended, newest, record) = (ended.clone(), newest.clone(), record.clone());
        thread::spawn(move || send_configs(&record, &nodes, first, &newest, &ended))
    };
    if fleet.trouble {
        fleet.signal(victim, SIGSTOP, "SIGSTOP");
        sleep_ms(FIRST_FREEZE_MS - 20);
        fleet.signal(second, SIGSTOP, "SIGSTOP");
        sleep_ms(20);
        fleet.signal(victim, SIGCONT, "SIGCONT");
        sleep_ms(SECOND_FREEZE_MS - 20);
        fleet.signal(second, SIGCONT, "SIGCONT");
    } else {
        sleep_ms(FIRST_FREEZE_MS + SECOND_FREEZE_MS);
    }
    let mut end = None;
    for _ in 0..150 {
        sleep_ms(10);
        let found = (0..fleet.machines.len()).find_map(|at| fleet.exited(at).map(|it| (at, it)));
        if let Some((at, status)) = found.filter(|_| end.is_none()) {
            let errors = fleet.errors(at);
            let why = errors.lines().last().unwrap_or("nothing").to_owned();
            let text = format!("the process of {} ended by itself ({status}): {why}", fleet.machines[at].name);
            record.line(&text);
            end = Some(text);
        }
    }
    ended.store(true, Ordering::Relaxed);
    let _ = operator.join();
    (newest.load(Ordering::Relaxed), end)
}

/// Sends one configuration after the other until it is told to end.
fn send_configs(record: &Record, nodes: &[SocketAddr], first: u32, newest: &AtomicU32, ended: &AtomicBool) {
    for version in first.. {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let node = nodes[version as usize % nodes.len()];
        let answer = http::call(node, "POST", "/api/Config.Replace", &config(version), Duration::from_secs(1));
        let text = answer.as_ref().map_or_else(ToString::to_string, |it| it.status().to_string());
        record.line(format!("operator: configuration {version} to {node}: {text}"));
        if answer.is_ok_and(|it| it.status() == 200) {
            newest.store(version, Ordering::Relaxed);
        }
        sleep_ms(CONFIG_GAP_MS);
    }
}
