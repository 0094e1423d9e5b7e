//! Starts a three-instance cluster with simulated endpoints for two example
//! deployments, sends a mix of requests and prints the results and their cost.

use {
    coord::{
        ids::{ClaimKey, Class},
        time::Millis,
        wire::{CallerAnswer, CallerRequest},
    },
    harness::{
        Caller, CallerResult, Cluster, ClusterSpec, Deployment, LONG_TIMEOUT, RequestKind,
        StandIns, wait_until,
    },
    std::{
        collections::BTreeMap,
        process::ExitCode,
        sync::mpsc::channel,
        thread,
        time::{Duration, Instant},
    },
};

const REQUESTS: usize = 120;
/// The interval between requests.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Request counts of one class.
#[derive(Default)]
struct Row {
    sent: u32,
    complete: u32,
    on_time: u32,
}

/// The cost of one pool's stages.
#[derive(Default)]
struct Cost {
    busy: Millis,
    wasted: Millis,
    tokens: u64,
}

fn main() -> ExitCode {
    println!("Building and starting three daemons in three failure domains.");
    let cluster = ClusterSpec::new(3, 0).start();
    let users = [Deployment::kilimo(), Deployment::kudoonia()];
    create_tables(&cluster, &users);
    let specs: Vec<_> = users.iter().flat_map(|it| it.endpoints.clone()).collect();
    println!("Starting {} stand-ins of endpoints and waiting until they are warm.", specs.len());
    let stand_ins = StandIns::start(&specs, &cluster.announce_addrs());
    wait_until("every endpoint is in use", LONG_TIMEOUT, || {
        cluster
            .operator()
            .status()
            .is_ok_and(|it| it.endpoints.iter().filter(|e| e.granted.0 > 0).count() == specs.len())
    });
    let (rows, costs) = send_mix(&cluster, &users);
    print_results(&rows, &costs);
    let same_answer = send_deposit(&cluster, &users[0]);
    let effects = count_effects(&stand_ins, &users[0]);
    println!("\nA deposit sent through one instance and resent through another:");
    println!("  both answered alike: {same_answer}   effects counted by the service: {effects}");
    let all_complete = rows.values().all(|it| it.complete == it.sent);
    match all_complete && same_answer && effects == 1 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn create_tables(cluster: &Cluster, users: &[Deployment]) {
    let file = serde_json::to_string(&Deployment::tables(users)).expect("tables serialize to JSON");
    let args = ["tables", "replace", "-", "--wait"];
    let output = cluster.operator().cli(&args, &file);
    print!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(output.status.success(), "creating the tables failed");
}

fn send_mix(
    cluster: &Cluster,
    users: &[Deployment],
) -> (BTreeMap<String, Row>, BTreeMap<String, Cost>) {
    let (sender, results) = channel();
    println!("Sending {REQUESTS} requests, long and short, through all instances.");
    for i in 0..REQUESTS {
        let user = &users[i % users.len()];
        let kind = &user.kinds[(i / users.len()) % user.kinds.len()];
        let request = request(user, kind, i);
        let caller = cluster.daemon(i % cluster.instances.len()).caller();
        let sender = sender.clone();
        thread::spawn(move || {
            let began = Instant::now();
            let answer = caller.send(&request);
            let on_time = began.elapsed() <= Duration::from_millis(request.deadline_ms);
            let _ = sender.send((request.class, answer, on_time));
        });
        thread::sleep(SEND_INTERVAL);
    }
    drop(sender);
    let mut rows = BTreeMap::<String, Row>::new();
    let mut costs = BTreeMap::new();
    for (class, answer, on_time) in results {
        let row = rows.entry(class.to_string()).or_default();
        row.sent += 1;
        if let CallerResult::Complete(it) = &answer {
            row.complete += 1;
            row.on_time += u32::from(on_time);
            count_costs(&mut costs, it);
        }
    }
    (rows, costs)
}

fn request(user: &Deployment, kind: &RequestKind, i: usize) -> CallerRequest {
    CallerRequest {
        route: kind.route.parse().expect("the name is valid"),
        team: user.teams[i % user.teams.len()].parse().expect("the name is valid"),
        class: kind.class,
        deadline_ms: kind.deadline.0,
        key: None,
        stream: false,
        input: "x".repeat(kind.size),
    }
}

fn count_costs(costs: &mut BTreeMap<String, Cost>, answer: &CallerAnswer) {
    for it in &answer.stages {
        let cost = costs.entry(it.pool.to_string()).or_default();
        cost.busy.0 += it.busy_ms;
        cost.wasted.0 += it.wasted_ms;
        cost.tokens += it.tokens;
    }
}

/// Sends one deposit with the same idempotency key through two instances
/// concurrently. Returns true if both callers got the same answer.
fn send_deposit(cluster: &Cluster, user: &Deployment) -> bool {
    let request = CallerRequest {
        route: user.effect_route.parse().expect("the name is valid"),
        team: user.teams[0].parse().expect("the name is valid"),
        class: Class::Interactive,
        deadline_ms: 4000,
        key: Some(ClaimKey::generate()),
        stream: false,
        input: "deposit 250".to_owned(),
    };
    let ask = |caller: Caller| {
        let request = request.clone();
        thread::spawn(move || caller.send(&request))
    };
    let answers = [ask(cluster.daemon(0).caller()), ask(cluster.daemon(1).caller())];
    let outputs = answers.map(|it| {
        let answer = it.join().expect("the caller thread panicked");
        answer.complete().map(|it| it.output.clone())
    });
    outputs[0].is_some() && outputs[0] == outputs[1]
}

fn count_effects(stand_ins: &StandIns, user: &Deployment) -> usize {
    let pool = format!("{}-{}", user.user, user.effect_route);
    let endpoints = user.endpoints_of(&pool);
    endpoints.iter().map(|it| stand_ins.record(&it.name).effects.len()).sum()
}

fn print_results(rows: &BTreeMap<String, Row>, costs: &BTreeMap<String, Cost>) {
    println!("\n{:<14}{:>8}{:>8}{:>9}", "class", "sent", "whole", "on time");
    for (name, it) in rows {
        println!("{name:<14}{:>8}{:>8}{:>9}", it.sent, it.complete, it.on_time);
    }
    println!("\n{:<22}{:>9}{:>11}{:>8}", "stage's pool", "busy ms", "wasted ms", "tokens");
    for (name, it) in costs {
        println!("{name:<22}{:>9}{:>11}{:>8}", it.busy.0, it.wasted.0, it.tokens);
    }
}
