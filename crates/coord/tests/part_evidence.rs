//! Which part of prompts is withheld after crashes of endpoints.

use {
    coord::{
        control::{CrashReport, PartEvidence},
        ids::{Generation, PromptPart},
        tables::PartKey,
        time::{Millis, Time},
    },
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const SEEDS: u64 = 1000;
const STEP: Millis = Millis(50);
/// How long it takes until an instance has learned of a suspect, and until its report of
/// an answer has come; two renewals at the most.
const RENEWAL_MS: u64 = 500;
const POISON: &str = "bad";
/// After the fifth crash and this time no more than `MAX_LATE` requests with the part may
/// arrive.
const CONTACT: Millis = Millis(3000);
const MAX_LATE: usize = 3;

fn part(name: &str) -> PromptPart {
    name.parse().expect("a name")
}

fn key(name: &str) -> PartKey {
    PartKey { pool: "p".parse().expect("a name"), part: part(name) }
}

/// A report of a request at the crash of one incarnation of an endpoint.
fn report(incarnation: u64, parts: &[&str], began: bool) -> CrashReport {
    CrashReport {
        endpoint: format!("e{incarnation}").parse().expect("a name"),
        generation: Generation(incarnation),
        pool: "p".parse().expect("a name"),
        parts: parts.iter().map(|it| part(it)).collect(),
        began,
    }
}

fn none() -> IndexSet<PartKey> {
    IndexSet::new()
}

fn part_to_withhold(
    evidence: &mut PartEvidence,
    now: Time,
    withheld: &IndexSet<PartKey>,
) -> Option<PartKey> {
    evidence.tick(now, withheld);
    evidence.part_to_withhold(now)
}

#[test]
fn the_part_in_every_crash_is_withheld() {
    let mut evidence = PartEvidence::default();
    for (number, other) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let at = Time(1000 * (number as u64 + 1));
        evidence.record_crash(at, &report(number as u64, &[other, POISON], true));
        evidence.record_crash(at, &report(number as u64, &["first", other], false));
    }

    evidence.record_answer(Time(4050), &key("a"));

    assert_eq!(
        part_to_withhold(&mut evidence, Time(4100), &none()),
        None,
        "answers may still be reported"
    );
    assert_eq!(part_to_withhold(&mut evidence, Time(5000), &none()), Some(key(POISON)));
}

#[test]
fn nothing_is_withheld_from_a_pool_that_answers_nothing() {
    let mut evidence = PartEvidence::default();
    for number in 1..=10 {
        evidence.record_crash(Time(1000 * number), &report(number, &["first"], true));
    }

    assert_eq!(part_to_withhold(&mut evidence, Time(20_000), &none()), None);
}

#[test]
fn the_part_that_fewer_requests_share_is_withheld_first() {
    let mut evidence = PartEvidence::default();
    for number in 1..=4 {
        evidence.record_crash(Time(1000 * number), &report(number, &["first", POISON], true));
    }
    evidence.record_answer(Time(4000), &key("other"));

    assert_eq!(part_to_withhold(&mut evidence, Time(5000), &none()), Some(key(POISON)));
    let withheld: IndexSet<PartKey> = [key(POISON)].into_iter().collect();
    assert_eq!(
        part_to_withhold(&mut evidence, Time(9000), &withheld),
        None,
        "it explains all the crashes"
    );
    assert!(evidence.suspects().is_empty());
}

#[test]
fn a_part_that_is_answered_meanwhile_is_not_withheld() {
    let mut evidence = PartEvidence::default();
    for number in 1..=5 {
        evidence.record_crash(Time(1000 * number), &report(number, &["first"], true));
        evidence.record_answer(Time(1000 * number + 400), &key("first"));
    }

    assert_eq!(part_to_withhold(&mut evidence, Time(9000), &none()), None);
}

#[test]
fn many_endpoints_that_crash_at_one_moment_withhold_nothing() {
    let mut evidence = PartEvidence::default();
    for number in 1..=20 {
        evidence.record_crash(Time(1000 + number), &report(number, &["first"], true));
    }
    evidence.record_answer(Time(1500), &key("other"));

    assert_eq!(part_to_withhold(&mut evidence, Time(9000), &none()), None);
}

#[test]
fn a_second_part_is_found_while_the_first_is_withheld() {
    let mut evidence = PartEvidence::default();
    let withheld: IndexSet<PartKey> = [key("worse")].into_iter().collect();
    for number in 1..=4 {
        let at = Time(1000 * number);
        evidence.record_crash(at, &report(number, &["first", POISON], true));
        evidence.record_crash(at, &report(10 + number, &["first", "worse"], true));
    }

    evidence.record_answer(Time(4000), &key("other"));

    assert_eq!(part_to_withhold(&mut evidence, Time(5000), &withheld), Some(key(POISON)));
}

/// A simulated pool under sound requests and, from some time on, poison ones.
struct Pool {
    rng: StdRng,
    now: Time,
    evidence: PartEvidence,
    withheld: IndexSet<PartKey>,
    last_incarnation: u64,
    /// Reports of answers under way to the leader.
    answers: Vec<(Time, PartKey)>,
    /// Since when the leader has suspected each part.
    suspected: Vec<(PartKey, Time)>,
    poison_crashes: Vec<Time>,
}

impl Pool {
    /// The parts of a sound request; first parts are few, sessions are many.
    fn sound_parts(&mut self) -> [String; 2] {
        let first = self.rng.random_range(0..4);
        [format!("first{first}"), format!("session{}", self.rng.random_range(0..60))]
    }

    fn crash(&mut self, poison: bool) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        for _ in 0..self.rng.random_range(0..4) {
            let parts = self.sound_parts();
            let began = !poison && self.rng.random_bool(0.3);
            let parts = [parts[0].as_str(), parts[1].as_str()];
            self.evidence.record_crash(self.now, &report(incarnation, &parts, began));
        }
        if poison {
            let first = self.sound_parts()[0].clone();
            let it = report(incarnation, &[&first, POISON], true);
            self.evidence.record_crash(self.now, &it);
            self.poison_crashes.push(self.now);
        }
    }

    /// A sound request is answered; an instance that knows of the suspects reports it.
    fn answer(&mut self) {
        let is_known = |since: Time, now: Time| now.since(since).0 >= RENEWAL_MS;
        let aware = self.suspected.iter().any(|(_, since)| is_known(*since, self.now));
        for (position, name) in self.sound_parts().into_iter().enumerate() {
            let key = key(&name);
            let delay = self.rng.random_range(0..RENEWAL_MS);
            let known = self.suspected.iter().find(|(it, _)| *it == key);
            let known = known.is_some_and(|(_, since)| is_known(*since, self.now));
            if known || aware && position == 0 {
                self.answers.push((self.now + Millis(delay), key));
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.answers.drain(..).partition(|(at, _)| *at <= now);
        self.answers = rest;
        for (_, key) in due {
            self.evidence.record_answer(now, &key);
        }
        self.evidence.tick(now, &self.withheld);
        let suspects = self.evidence.suspects();
        self.suspected.retain(|(it, _)| suspects.contains(it));
        for it in suspects {
            if !self.suspected.iter().any(|(known, _)| *known == it) {
                self.suspected.push((it, now));
            }
        }
        if let Some(key) = self.evidence.part_to_withhold(now) {
            self.withheld.insert(key);
        }
    }
}

#[test]
fn simulated_pools_withhold_the_poison_part_in_time_and_no_other() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let poison_rate = rng.random_range(0.3..4.0) * STEP.0 as f64 / 1000.0;
        let own_rate = rng.random_range(0.0..0.3) * STEP.0 as f64 / 1000.0;
        let sound_per_step = rng.random_range(1..4);
        let mut pool = Pool {
            rng,
            now: Time(10_000),
            evidence: PartEvidence::default(),
            withheld: none(),
            last_incarnation: 0,
            answers: Vec::new(),
            suspected: Vec::new(),
            poison_crashes: Vec::new(),
        };
        for _ in 0..800 {
            (0..sound_per_step).for_each(|_| pool.answer());
            if pool.rng.random_bool(own_rate) {
                pool.crash(false);
            }
            let sent = pool.rng.random_bool(poison_rate);
            if sent && !pool.withheld.contains(&key(POISON)) {
                pool.crash(true);
            }
            pool.step();
        }
        let sound: Vec<&PartKey> = pool.withheld.iter().filter(|it| **it != key(POISON)).collect();
        assert!(sound.is_empty(), "seed {seed}: withheld {sound:?}");
        if let Some(fifth) = pool.poison_crashes.get(4) {
            let bound = *fifth + CONTACT;
            let late = pool.poison_crashes.iter().filter(|it| **it > bound).count();
            assert!(late <= MAX_LATE, "seed {seed}: {late} crashes more");
        }
    }
}

#[test]
fn parts_under_which_most_endpoints_crashed_are_among_the_suspects_named() {
    let mut evidence = PartEvidence::default();
    let rare: Vec<String> = (0..60).map(|it| format!("rare{it}")).collect();
    for it in &rare {
        evidence.record_crash(Time(1000), &report(0, &[it], true));
    }
    for number in 1..=4 {
        evidence.record_crash(Time(1000 + 1000 * number), &report(number, &["first"], true));
    }

    evidence.tick(Time(5000), &none());

    assert!(evidence.suspects().contains(&key("first")), "its answers must be able to clear it");
}
