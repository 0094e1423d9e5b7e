//! Whether an instance counts as cut off from all endpoints, over seeded failures of
//! endpoints, pools and links.

use {
    coord::{
        ids::{Generation, Slots},
        relay::Reach,
        tables::{Endpoint, EndpointState},
        time::{Millis, Time},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::HashSet,
};

const SEEDS: u64 = 1000;
const STEP: Millis = Millis(100);
/// The time within which an instance that is cut off knows it while requests come.
const CONTACT: Millis = Millis(3000);

fn endpoint(pool: usize, domain: usize, number: usize) -> Endpoint {
    Endpoint {
        name: format!("e{pool}-{domain}-{number}").parse().expect("a name"),
        pool: format!("p{pool}").parse().expect("a name"),
        domain: format!("d{domain}").parse().expect("a name"),
        addr: ([127, 0, 0, 1], 1).into(),
        generation: Generation(1),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
        version: None,
    }
}

/// Three pools over three domains, two endpoints of each pool in each domain.
fn endpoints() -> Vec<Endpoint> {
    let each = (0..3).flat_map(|pool| (0..3).map(move |domain| (pool, domain)));
    each.flat_map(|(pool, domain)| (0..2).map(move |it| endpoint(pool, domain, it))).collect()
}

/// Tries connections as the daemon does.
fn try_endpoints(
    reach: &mut Reach,
    now: Time,
    all: &[Endpoint],
    draw: usize,
    is_up: impl Fn(&Endpoint) -> bool,
) {
    let targets = reach.start_try(now, all.iter(), draw);
    let mut reached: Vec<bool> = targets.first.iter().map(|it| is_up(it)).collect();
    if !reach.is_cut() && !reached.contains(&true) {
        reached.extend(targets.others.iter().map(|it| is_up(it)));
    }
    reach.finish_try(&reached);
}

#[test]
fn endpoints_of_several_pools_and_domains_are_tried() {
    let all = endpoints();
    for draw in 0..all.len() {
        let targets = Reach::default().start_try(Time(1000), all.iter(), draw).first;

        let pools: HashSet<_> = targets.iter().map(|it| &it.pool).collect();
        let domains: HashSet<_> = targets.iter().map(|it| &it.domain).collect();
        assert_eq!((targets.len(), pools.len(), domains.len()), (5, 3, 3));
    }
}

#[test]
fn a_single_endpoint_says_nothing_of_the_instance() {
    let mut reach = Reach::default();
    reach.note_failure();
    reach.start_try(Time(1000), [endpoint(0, 0, 0)].iter(), 0);

    assert_eq!(reach.finish_try(&[false]), None);
    assert!(!reach.is_cut());
}

#[test]
fn nothing_is_tried_while_endpoints_answer() {
    let mut reach = Reach::default();
    for step in 0..100 {
        let now = Time(1000 + step * STEP.0);
        reach.note_sent(now);
        reach.note_answer(now);
        assert!(!reach.wants_try(now));
    }
}

#[test]
fn a_cut_is_noticed_in_time_and_nothing_else_is_taken_for_one() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = endpoints();
        let mut reach = Reach::default();
        let (mut is_cut, mut since) = (false, Time(0));
        // One pool, or one domain, may be down all the time.
        let down = match rng.random_range(0..3) {
            0 => Some(format!("p{}", rng.random_range(0..3))),
            1 => Some(format!("d{}", rng.random_range(0..3))),
            _ => None,
        };
        let is_down = |it: &Endpoint| {
            down.as_ref().is_some_and(|it2| it.pool.as_str() == it2 || it.domain.as_str() == it2)
        };
        for step in 1..600 {
            let now = Time(step * STEP.0);
            if rng.random_bool(0.01) {
                (is_cut, since) = (!is_cut, now);
            }
            // A request meets one endpoint; while cut it fails or hangs.
            reach.note_sent(now);
            let met = &all[rng.random_range(0..all.len())];
            match (is_cut, is_down(met)) {
                (false, false) => {
                    reach.note_answer(now);
                    reach.note_ended();
                }
                (true, _) if rng.random_bool(0.5) => {}
                _ => {
                    reach.note_failure();
                    reach.note_ended();
                }
            }
            if reach.wants_try(now) {
                let draw = rng.random_range(0..1000);
                try_endpoints(&mut reach, now, &all, draw, |it| !is_cut && !is_down(it));
            }
            assert!(
                is_cut || !reach.is_cut() || now.since(since) <= CONTACT,
                "seed {seed}: {now:?}"
            );
            let late = is_cut && now.since(since) > CONTACT;
            assert!(!late || reach.is_cut(), "seed {seed}: not noticed at {now:?}");
        }
    }
}

#[test]
fn endpoints_that_are_down_together_are_not_taken_for_a_cut() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = endpoints();
        let mut reach = Reach::default();
        let mut down: HashSet<usize> = HashSet::new();
        for step in 1..300 {
            if rng.random_bool(0.02) {
                let count = rng.random_range(0..=all.len() * 3 / 4);
                down = rand::seq::index::sample(&mut rng, all.len(), count).into_iter().collect();
            }
            reach.note_failure();
            let now = Time(step * 4 * STEP.0);
            let draw = rng.random_range(0..1000);
            let number = |it: &Endpoint| all.iter().position(|row| row.name == it.name);
            let is_up = |it: &Endpoint| number(it).is_some_and(|it| !down.contains(&it));

            try_endpoints(&mut reach, now, &all, draw, is_up);

            assert!(!reach.is_cut(), "seed {seed}: {} of {} are down", down.len(), all.len());
        }
    }
}

#[test]
fn a_cut_that_heals_is_noticed_although_half_of_the_endpoints_are_down() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = endpoints();
        let mut reach = Reach::default();
        try_endpoints(&mut reach, Time(1000), &all, 0, |_| false);
        assert!(reach.is_cut());
        let up: HashSet<usize> =
            rand::seq::index::sample(&mut rng, all.len(), all.len() / 2).into_iter().collect();
        let number = |it: &Endpoint| all.iter().position(|row| row.name == it.name);
        let is_up = |it: &Endpoint| number(it).is_some_and(|it| up.contains(&it));

        // As many tries as there are within the time after a cut.
        for attempt in 1..=7 {
            let draw = rng.random_range(0..1000);
            try_endpoints(&mut reach, Time(1000 + attempt * 400), &all, draw, is_up);
        }

        assert!(!reach.is_cut(), "seed {seed}");
    }
}
