//! Prints results as text or JSON.

use {
    crate::command::Options,
    coord::{
        control::Status,
        ids::Version,
        tables::{OrderOutcome, Pool, PoolKind, Route},
        wire::{ChangeAnswer, ClaimView, HistoryRow, RolloutRow, TablesView},
    },
    serde::Serialize,
};

/// Prints a line of text.
pub fn text(it: &str, json: bool) {
    match json {
        true => print_json(&it),
        false => println!("{it}"),
    }
}

/// Prints one line per route. Stages with an effect are marked with `!`.
pub fn routes(routes: &[Route], json: bool) {
    if json {
        return print_json(&routes);
    }
    for it in routes {
        let stage = |it: &coord::tables::Stage| {
            format!("{}@{}{}", it.name, it.pool, if it.effect { "!" } else { "" })
        };
        let stages: Vec<String> = it.stages.iter().map(stage).collect();
        println!("{}  deadline {}  {}", it.name, it.deadline, stages.join(" > "));
    }
}

/// Prints one line per pool.
pub fn pools(pools: &[Pool], json: bool) {
    if json {
        return print_json(&pools);
    }
    for it in pools {
        let kind = match it.kind {
            PoolKind::Model => "model",
            PoolKind::Service => "service",
        };
        println!("{}  {kind}", it.name);
    }
}

/// Prints both tables.
pub fn tables(tables: &TablesView, json: bool) {
    if json {
        return print_json(tables);
    }
    println!("number {}", tables.version);
    pools(&tables.pools, false);
    routes(&tables.routes, false);
    for it in &tables.out_of_service {
        println!("out of service: {it}");
    }
}

/// Prints the history of changes, newest first.
pub fn history(rows: &[HistoryRow], json: bool) {
    if json {
        return print_json(&rows);
    }
    for it in rows {
        println!("{}  {}  {}  {:?}  {}", it.at, it.id, it.author, it.outcome, it.summary);
    }
}

/// Prints the status of the system.
pub fn status(status: &Status, json: bool) {
    if json {
        return print_json(status);
    }
    println!(
        "leader {}  term {}  number {}  in force everywhere {}",
        status.leader,
        status.term,
        status.version,
        version_text(status.in_force)
    );
    if let Some(age) = status.load_age {
        println!("load of endpoints shared, reports {age} old");
    }
    for it in &status.members {
        println!(
            "instance {}  {}  domain {}  peer {}  vote {}  lease {}  applied {}",
            it.name,
            it.id,
            it.domain,
            it.peer,
            it.vote,
            if it.lease { "held" } else { "none" },
            version_text(it.version)
        );
    }
    for it in &status.endpoints {
        println!(
            "endpoint {}  pool {}  domain {}  {}  {}  allowed {}  granted {}{}",
            it.name,
            it.pool,
            it.domain,
            it.addr,
            if it.in_service { "in service" } else { "out of service" },
            it.allowed,
            it.granted,
            it.load.map_or_else(String::new, |it| format!("  load {it}"))
        );
    }
}

/// Prints one line per claim.
pub fn claims(claims: &[ClaimView], json: bool) {
    if json {
        return print_json(&claims);
    }
    for it in claims {
        println!("{}  route {}  team {}  {}  since {}", it.key, it.route, it.team, it.state, it.at);
    }
}

/// Prints one line per rollout.
pub fn rollouts(rows: &[RolloutRow], json: bool) {
    if json {
        return print_json(rows);
    }
    for RolloutRow { state, rollout } in rows {
        println!(
            "{}  to {}  {state}  phase {}  duration {}  number {}",
            rollout.pool, rollout.to, rollout.phase, rollout.duration, rollout.number
        );
    }
}

/// Prints what became of an order.
pub fn order(outcome: &OrderOutcome, json: bool) {
    match outcome {
        _ if json => print_json(outcome),
        OrderOutcome::Started { number } => println!("rollout {number} started"),
        OrderOutcome::Repeated { number } => println!("rollout {number} was ordered before"),
        OrderOutcome::Conflict { number, to } => {
            println!("rollout {number} to {to} is in progress");
        }
        OrderOutcome::UnknownPool => println!("the catalog doesn't have the pool"),
        OrderOutcome::Invalid { reason } => println!("invalid order: {reason}"),
        OrderOutcome::Overtaken => println!("another rollout of the pool was ordered meanwhile"),
    }
}

/// Prints the outcome of a change.
pub fn change(answer: &ChangeAnswer, options: &Options) {
    if options.json {
        return print_json(answer);
    }
    let progress = if options.wait { "in force everywhere" } else { "accepted" };
    if let coord::tables::ChangeOutcome::Accepted { version } = answer.outcome {
        println!("change {} {progress}: number {version}", answer.id);
    }
}

fn version_text(version: Option<Version>) -> String {
    version.map_or_else(|| "not known".to_owned(), |it| it.to_string())
}

fn print_json(value: &(impl Serialize + ?Sized)) {
    println!("{}", serde_json::to_string(value).expect("the value is serializable"));
}
