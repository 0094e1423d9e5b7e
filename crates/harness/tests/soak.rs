//! A seeded soak: load of all kinds on real processes while faults come from
//! outside, two at a time. What callers, operators and services saw is audited
//! afterwards.
//!
//! `MANGOBEND_SOAK_SEEDS=3,4,5` names other seeds, `MANGOBEND_SOAK_TURNS=40`
//! another length.

mod fixture;
mod soaking;

use {
    soaking::{Plan, Soak},
    std::env,
};

/// The seed that runs without a word.
const DEFAULT_SEED: u64 = 1;
/// Faults of each track that are played without a word; about 4 s each.
const DEFAULT_FAULTS: usize = 8;

fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("MANGOBEND_SOAK_SEEDS") else {
        return vec![DEFAULT_SEED];
    };
    text.split(',').map(|it| it.parse().expect("MANGOBEND_SOAK_SEEDS takes numbers")).collect()
}

fn faults_per_track() -> usize {
    let text = env::var("MANGOBEND_SOAK_TURNS").ok();
    text.map_or(DEFAULT_FAULTS, |it| it.parse().expect("MANGOBEND_SOAK_TURNS takes a number"))
}

#[test]
fn all_guarantees_hold_under_injected_faults() {
    for seed in seeds() {
        let plan = Plan::generate(seed, faults_per_track());
        println!("seed {seed}: {plan:?}");

        let findings = Soak::start(seed).run(&plan).audit();

        assert!(findings.is_empty(), "seed {seed}:\n{}", findings.join("\n"));
    }
}

#[test]
fn a_plan_depends_on_its_seed_alone() {
    let plan = |seed| format!("{:?}", Plan::generate(seed, DEFAULT_FAULTS));

    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}
