//! A seeded soak test: callers and operators load real processes while faults are
//! injected from outside, up to two at a time. Afterwards an audit checks what callers,
//! operators and endpoints observed.
//!
//! `MANGOBEND_SOAK_SEEDS=3,4,5` sets the seeds, `MANGOBEND_SOAK_TURNS=40`
//! the number of faults of each kind.

mod fixture;
mod relayed_load;
mod soaking;

use {
    soaking::{Plan, Soak},
    std::env,
};

/// The seed if none is set.
const DEFAULT_SEED: u64 = 1;
/// The number of instance faults and of endpoint faults if none is set; each takes
/// about 4 s.
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
