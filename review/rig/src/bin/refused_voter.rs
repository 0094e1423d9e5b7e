//! Core machines that are restarted and have lost nothing are told that they have, and their
//! processes end, again and again.

use {
    rig::{http, run, sleep_ms, Fleet, Record, SIGCONT, SIGSTOP},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// How long a machine is away for its restart, and after how long the platform starts a
/// process again that has ended by itself.
const AWAY_MS: u64 = 1500;
const DELAY_MS: u64 = 1000;
/// How long another machine stands still when one starts.
const FREEZE_MS: u64 = 420;
/// Ends of a process within this time after a disruption on its machine don't count.
const EXCUSED_S: f64 = 1.0;
/// How often processes may end by themselves on a machine, and on how many machines that may
/// happen: "three times", "on a tenth of the machines in use (two at least)".
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// How often a machine is restarted at most.
const MAX_RESTARTS: usize = 4;
/// The pause between two configurations, and for how long they come so at a time.
const CONFIG_GAP_MS: u64 = 60;
const STORM: Duration = Duration::from_millis(1500);
/// How long before the start of a machine they begin.
const STORM_LEAD_MS: u64 = 300;

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
        let (victims, second) = choose(&mut fleet);

        let steady = fleet.cores().into_iter().filter(|it| !victims.contains(it) && *it != second);
        let nodes: Vec<SocketAddr> = steady.map(|it| fleet.control(it)).collect();
        let operator =
            Operator { record: record.clone(), nodes, version: Arc::new(AtomicU32::new(1)) };
        let mut ends = Vec::new();
        for victim in victims {
            let count = restart(&mut fleet, &operator, victim, second);
            record.line(format!(
                "the process of {} ended by itself {count} times without a disruption there",
                fleet.machines[victim].name
            ));
            ends.push((fleet.machines[victim].name.clone(), count, fleet.errors(victim)));
        }
        let often = ends.iter().filter(|it| it.1 >= ENDS).count();
        let text = (often >= MACHINES).then(|| {
            let counts: Vec<String> =
                ends.iter().map(|it| format!("{} ended by itself {} times", it.0, it.1)).collect();
            let why = ends[0].2.lines().last().unwrap_or_default().to_owned();
            format!("Fault: {}; the last words: {why}", counts.join(", "))
        });
        fleet.finish(text)
    })
}

/// Returns the core machines to restart, and the one that both ask first who leads. The
/// leader is none of them.
fn choose(fleet: &mut Fleet) -> (Vec<usize>, usize) {
    // A machine that starts asks the second of the other seeds first.
    let asked = |at: usize| if at < 2 { 2 } else { 1 };
    loop {
        let (leader, term) = fleet.leader();
        fleet.record.line(format!("{} leads in term {term}", fleet.machines[leader].name));
        for second in [1, 2].into_iter().filter(|it| *it != leader) {
            let fits = |it: &usize| *it != leader && asked(*it) == second;
            let victims: Vec<usize> =
                fleet.cores().into_iter().filter(fits).take(MACHINES).collect();
            if victims.len() == MACHINES {
                return (victims, second);
            }
        }
        // Another has to lead.
        fleet.stop(leader);
        sleep_ms(AWAY_MS);
        fleet.start(leader, false);
        sleep_ms(5000);
    }
}

/// Restarts a machine by SIGTERM, and again whenever its process ends by itself. Returns how
/// often that happened without a disruption on the machine.
fn restart(fleet: &mut Fleet, operator: &Operator, victim: usize, second: usize) -> usize {
    let mut count = 0;
    for _ in 0..MAX_RESTARTS {
        fleet.stop(victim);
        sleep_ms(AWAY_MS);
        let mut disrupted = None;
        while start(fleet, operator, victim, second) {
            let now = fleet.record.now();
            count += usize::from(now > *disrupted.get_or_insert(now) + EXCUSED_S);
            sleep_ms(DELAY_MS);
            fleet.kill(victim);
            if count >= ENDS {
                fleet.start(victim, false);
                sleep_ms(2000);
                return count;
            }
        }
        if !fleet.trouble {
            break;
        }
    }
    count
}

/// Starts a machine while another stands still; returns whether its process ends by itself.
fn start(fleet: &mut Fleet, operator: &Operator, victim: usize, second: usize) -> bool {
    let storm = operator.storm();
    sleep_ms(STORM_LEAD_MS);
    if fleet.trouble {
        fleet.signal(second, SIGSTOP, "SIGSTOP");
        sleep_ms(10);
    }
    fleet.start(victim, false);
    sleep_ms(FREEZE_MS);
    if fleet.trouble {
        fleet.signal(second, SIGCONT, "SIGCONT");
    }
    let mut found = false;
    for _ in 0..150 {
        sleep_ms(10);
        if let Some(status) = fleet.exited(victim) {
            let errors = fleet.errors(victim);
            let why = errors.lines().last().unwrap_or("nothing");
            let name = &fleet.machines[victim].name;
            fleet.record.line(format!("the process of {name} ended by itself ({status}): {why}"));
            found = true;
            break;
        }
    }
    let _ = storm.join();
    found
}

/// Sends configurations in quick succession.
struct Operator {
    record: Record,
    nodes: Vec<SocketAddr>,
    version: Arc<AtomicU32>,
}

impl Operator {
    /// Sends one configuration after the other for the time of a storm.
    fn storm(&self) -> thread::JoinHandle<()> {
        let (record, nodes, version) =
            (self.record.clone(), self.nodes.clone(), self.version.clone());
        thread::spawn(move || {
            let began = Instant::now();
            while began.elapsed() < STORM {
                let version = version.fetch_add(1, Ordering::Relaxed) + 1;
                let node = nodes[version as usize % nodes.len()];
                let answer = http::call(
                    node,
                    "POST",
                    "/api/Config.Replace",
                    &config(version),
                    Duration::from_secs(1),
                );
                let text = answer.map_or_else(|err| err.to_string(), |it| it.status().to_string());
                record.line(format!("operator: configuration {version} to {node}: {text}"));
                sleep_ms(CONFIG_GAP_MS);
            }
        })
    }
}
