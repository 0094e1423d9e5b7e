//! Drives the project's own program through one case of the review and checks one rule.
//!
//! `rig-2 CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run. With `TROUBLE=0` the disruption is left out.

mod frozen_edge;
mod http;
mod late_beat;
mod machines;
mod many_pieces;
mod paused_reader;
mod record;
mod replica;
mod slow_reader;
mod versions;

use record::Record;
use std::time::Duration;

/// The longest that a case may take.
const LONGEST: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("rig-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(path);
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        machines::kill_started();
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "paused-reader" => paused_reader::run(&record, trouble),
        "many-pieces" => many_pieces::run(&record, trouble),
        "versions" => versions::run(&record, trouble),
        "slow-reader" => slow_reader::run(&record, trouble),
        "frozen-edge" => frozen_edge::run(&record, trouble),
        "late-beat" => late_beat::run(&record, trouble),
        _ => Verdict::CouldNotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::CouldNotRun => ("the case couldn't run", 2),
    };
    record.line(text);
    println!("{text}");
    std::process::exit(code);
}
