//! Which part of prompts, or which request, is withheld after crashes of endpoints.

use {
    coord::{
        claims::RequestDigest,
        control::{CrashEvidence, CrashReport},
        ids::Generation,
        relay::Trials,
        tables::{Suspect, SuspectKey, Suspects},
        time::{Millis, Time},
    },
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
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
/// The instances of a simulated service, the address of one of them, and the time until
/// instances are told of a new suspect.
const INSTANCES: usize = 8;
const OWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const TOLD_AFTER: Millis = Millis(60);

fn part(name: &str) -> Suspect {
    Suspect::Part(name.parse().expect("a name"))
}

fn key(name: &str) -> SuspectKey {
    SuspectKey { pool: "p".parse().expect("a name"), suspect: part(name) }
}

/// A report of a request at the crash of one incarnation of an endpoint.
fn report(incarnation: u64, parts: &[&str], began: bool) -> CrashReport {
    CrashReport {
        endpoint: format!("e{incarnation}").parse().expect("a name"),
        generation: Generation(incarnation),
        pool: "p".parse().expect("a name"),
        suspects: parts.iter().map(|it| part(it)).collect(),
        source: None,
        began,
        ran: Millis(0),
        age: Millis(0),
        presumed: false,
    }
}

fn none() -> IndexSet<SuspectKey> {
    IndexSet::new()
}

fn suspect_to_withhold(
    evidence: &mut CrashEvidence,
    now: Time,
    withheld: &IndexSet<SuspectKey>,
) -> Option<SuspectKey> {
    evidence.tick(now, withheld);
    evidence.suspect_to_withhold(now)
}

#[test]
fn the_part_in_every_crash_is_withheld() {
    let mut evidence = CrashEvidence::default();
    for (number, other) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let at = Time(1000 * (number as u64 + 1));
        evidence.record_crash(at, &report(number as u64, &[other, POISON], true));
        evidence.record_crash(at, &report(number as u64, &["first", other], false));
    }

    evidence.record_answer(Time(4050), &key("a"));

    assert_eq!(
        suspect_to_withhold(&mut evidence, Time(4100), &none()),
        None,
        "answers may still be reported"
    );
    assert_eq!(suspect_to_withhold(&mut evidence, Time(5000), &none()), Some(key(POISON)));
}

#[test]
fn a_new_leader_waits_for_answers_before_it_withholds_what_it_is_told_of_earlier_crashes() {
    let mut evidence = CrashEvidence::default();
    let now = Time(60_000);
    // The request with the poison at the fourth crash isn't reported yet.
    for (number, other) in [POISON, POISON, POISON, "sound"].into_iter().enumerate() {
        let report = report(number as u64, &["first", other], false);
        let age = Millis(9000 - 2000 * number as u64);
        evidence.record_crash(now, &CrashReport { age, ..report });
    }
    evidence.record_pool_answer(now + Millis(10), &key("first").pool);

    let at_once = suspect_to_withhold(&mut evidence, now + Millis(200), &none());
    evidence.record_answer(now + Millis(RENEWAL_MS), &key("first"));
    let later = suspect_to_withhold(&mut evidence, now + Millis(1500), &none());

    assert_eq!((at_once, later), (None, None), "all requests have the first part");
}

#[test]
fn nothing_is_withheld_from_a_pool_that_answers_nothing() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=10 {
        evidence.record_crash(Time(1000 * number), &report(number, &["first"], true));
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(20_000), &none()), None);
}

#[test]
fn the_part_that_fewer_requests_share_is_withheld_first() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=4 {
        evidence.record_crash(Time(1000 * number), &report(number, &["first", POISON], true));
    }
    evidence.record_answer(Time(4000), &key("other"));

    assert_eq!(suspect_to_withhold(&mut evidence, Time(5000), &none()), Some(key(POISON)));
    let withheld: IndexSet<SuspectKey> = [key(POISON)].into_iter().collect();
    assert_eq!(
        suspect_to_withhold(&mut evidence, Time(9000), &withheld),
        None,
        "it explains all the crashes"
    );
    assert!(evidence.suspects().is_empty());
}

#[test]
fn a_part_that_is_answered_meanwhile_is_not_withheld() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=5 {
        evidence.record_crash(Time(1000 * number), &report(number, &["first"], true));
        evidence.record_answer(Time(1000 * number + 400), &key("first"));
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(9000), &none()), None);
}

#[test]
fn many_endpoints_that_crash_at_one_moment_withhold_nothing() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=20 {
        evidence.record_crash(Time(1000 + number), &report(number, &["first"], true));
    }
    evidence.record_answer(Time(1500), &key("other"));

    assert_eq!(suspect_to_withhold(&mut evidence, Time(9000), &none()), None);
}

#[test]
fn a_second_part_is_found_while_the_first_is_withheld() {
    let mut evidence = CrashEvidence::default();
    let withheld: IndexSet<SuspectKey> = [key("worse")].into_iter().collect();
    for number in 1..=4 {
        let at = Time(1000 * number);
        evidence.record_crash(at, &report(number, &["first", POISON], true));
        evidence.record_crash(at, &report(10 + number, &["first", "worse"], true));
    }

    evidence.record_answer(Time(4000), &key("other"));

    assert_eq!(suspect_to_withhold(&mut evidence, Time(5000), &withheld), Some(key(POISON)));
}

#[test]
fn a_part_that_crashes_endpoints_before_the_head_is_found_beside_requests_with_heads() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=6 {
        let at = Time(1000 * number);
        let sound = format!("sound{number}");
        evidence.record_crash(at, &report(number, &["first", POISON], false));
        evidence.record_crash(at, &report(number, &["first", &sound], true));
        evidence.record_answer(at + Millis(300), &key("first"));
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(7500), &none()), Some(key(POISON)));
}

#[test]
fn crashes_soon_after_each_other_count_each_if_the_request_was_sent_in_between() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=4 {
        let it = report(number, &["first", POISON], false);
        let it = CrashReport { ran: Millis(60), ..it };
        evidence.record_crash(Time(1000 + 70 * number), &it);
    }
    evidence.record_answer(Time(1400), &key("first"));

    assert_eq!(suspect_to_withhold(&mut evidence, Time(2700), &none()), Some(key(POISON)));
}

#[test]
fn crashes_of_an_endpoint_that_is_not_announced_in_between_count_each() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=4 {
        let it = CrashReport { ran: Millis(50), ..report(1, &["first", POISON], true) };
        evidence.record_crash(Time(2000 * number), &it);
        evidence.record_answer(Time(2000 * number + 400), &key("first"));
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(9100), &none()), Some(key(POISON)));
}

#[test]
fn a_late_announcement_makes_no_second_crash_of_one() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=2 {
        let at = Time(4000 * number);
        let it = report(number, &["first", "sound"], true);
        evidence.record_crash(at, &it);
        evidence.record_announcement(at + Millis(600), &it.endpoint, it.generation);
        // Another instance notices the end of its connection two seconds later.
        let late = CrashReport { ran: Millis(3000), ..it };
        evidence.record_crash(at + Millis(2000), &late);
        evidence.record_pool_answer(at + Millis(100), &key("first").pool);
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(12_000), &none()), None, "two crashes");
}

/// A report of a request that broke off where connections are still accepted.
fn presumed(incarnation: u64, parts: &[&str], began: bool) -> CrashReport {
    CrashReport { presumed: true, ran: Millis(50), ..report(incarnation, parts, began) }
}

#[test]
fn presumed_crashes_count_unless_the_endpoint_announces_itself() {
    let find = |announced: u64| {
        let mut evidence = CrashEvidence::default();
        for number in 1..=4 {
            let at = Time(1000 * number);
            let it = presumed(number, &["first", POISON], true);
            evidence.record_crash(at, &it);
            evidence.record_answer(at + Millis(100), &key("first"));
            if number <= announced {
                evidence.record_announcement(at + Millis(900), &it.endpoint, it.generation);
            }
        }
        suspect_to_withhold(&mut evidence, Time(6100), &none())
    };

    assert_eq!(find(0), Some(key(POISON)));
    assert_eq!(find(1), None, "one of them lives on");
}

#[test]
fn requests_sent_to_an_endpoint_that_is_presumed_down_are_no_suspects() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=5 {
        let at = Time(3000 * number);
        evidence.record_crash(at, &presumed(number, &["first", POISON], true));
        evidence.record_crash(at + Millis(400), &presumed(number, &["other", "sound"], false));
        evidence.record_answer(at + Millis(100), &key("first"));
    }

    evidence.tick(Time(18_000), &none());

    assert!(!evidence.suspects().contains(&key("sound")));
    assert_eq!(evidence.suspect_to_withhold(Time(18_000)), Some(key(POISON)));
}

#[test]
fn streams_cut_off_by_an_endpoint_that_lives_on_count_each_time_as_no_crash() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=8 {
        let at = Time(1500 * number);
        let it = presumed(1, &["first", "sound"], true);
        evidence.record_crash(at, &it);
        evidence.record_pool_answer(at + Millis(100), &key("first").pool);
        evidence.record_announcement(at + Millis(700), &it.endpoint, it.generation);
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(14_500), &none()), None);
}

/// When the poison part crashes an endpoint of a simulated pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PoisonForm {
    AfterHead,
    /// Requests beside it may have had their heads.
    BeforeHead,
}

/// A simulated pool under sound requests and, from some time on, poison ones.
struct Pool {
    form: PoisonForm,
    rng: StdRng,
    now: Time,
    evidence: CrashEvidence,
    withheld: IndexSet<SuspectKey>,
    last_incarnation: u64,
    /// Reports of answers under way to the leader.
    answers: Vec<(Time, SuspectKey)>,
    /// Since when the leader has suspected each part.
    suspected: Vec<(SuspectKey, Time)>,
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
            let may_begin = !poison || self.form == PoisonForm::BeforeHead;
            let began = may_begin && self.rng.random_bool(0.3);
            let parts = [parts[0].as_str(), parts[1].as_str()];
            self.evidence.record_crash(self.now, &report(incarnation, &parts, began));
        }
        if poison {
            let first = self.sound_parts()[0].clone();
            let began = self.form == PoisonForm::AfterHead;
            let it = report(incarnation, &[&first, POISON], began);
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
        if let Some(key) = self.evidence.suspect_to_withhold(now) {
            self.withheld.insert(key);
        }
    }
}

#[test]
fn simulated_pools_withhold_the_poison_part_in_time_and_no_other() {
    check_simulated_pools(PoisonForm::AfterHead);
}

#[test]
fn simulated_pools_withhold_a_part_that_crashes_before_the_head_in_time_and_no_other() {
    check_simulated_pools(PoisonForm::BeforeHead);
}

fn check_simulated_pools(form: PoisonForm) {
    let seeds = std::env::var("MANGOBEND_CRASH_SEEDS").ok().and_then(|it| it.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut rng = StdRng::seed_from_u64(seed);
        let poison_rate = rng.random_range(0.3..4.0) * STEP.0 as f64 / 1000.0;
        let own_rate = rng.random_range(0.0..0.3) * STEP.0 as f64 / 1000.0;
        let sound_per_step = rng.random_range(1..4);
        let mut pool = Pool {
            form,
            rng,
            now: Time(10_000),
            evidence: CrashEvidence::default(),
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
        let sound: Vec<&SuspectKey> =
            pool.withheld.iter().filter(|it| **it != key(POISON)).collect();
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
    let mut evidence = CrashEvidence::default();
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

fn digest(name: &str) -> Suspect {
    Suspect::Request(RequestDigest::of_fields(&[name.as_bytes()]))
}

fn request_key(name: &str) -> SuspectKey {
    SuspectKey { pool: "p".parse().expect("a name"), suspect: digest(name) }
}

/// A report of a plain request that was sent to an endpoint `ran` before the crash.
fn lost(incarnation: u64, name: &str, ran: u64) -> CrashReport {
    let it = report(incarnation, &[], false);
    let source = Some(digest(name));
    CrashReport { suspects: vec![digest(name)], source, ran: Millis(ran), ..it }
}

/// A report of a request with a prompt.
fn lost_prompt(incarnation: u64, name: &str, parts: &[&str]) -> CrashReport {
    let it = report(incarnation, parts, true);
    let suspects = it.suspects.iter().cloned().chain([digest(name)]).collect();
    CrashReport { suspects, source: Some(digest(name)), ran: Millis(50), ..it }
}

#[test]
fn a_request_at_three_crashes_one_after_the_other_is_withheld_also_if_nothing_is_answered() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=3 {
        evidence.record_crash(Time(1000 * number), &lost(number, POISON, 50));
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(3900), &none()), None, "answers may come");
    let found = suspect_to_withhold(&mut evidence, Time(4100), &none());

    assert_eq!(found, Some(request_key(POISON)));
}

#[test]
fn each_retry_of_a_request_that_crashes_an_endpoint_counts() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=3 {
        evidence.record_crash(Time(1000 + 70 * number), &lost(number, POISON, 65));
    }

    let found = suspect_to_withhold(&mut evidence, Time(2300), &none());

    assert_eq!(found, Some(request_key(POISON)));
}

#[test]
fn copies_of_a_request_at_endpoints_that_crash_at_one_moment_count_once() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=6 {
        evidence.record_crash(Time(1000 + 30 * number), &lost(number, "copy", 400));
    }
    evidence.record_pool_answer(Time(1500), &request_key("copy").pool);

    assert_eq!(suspect_to_withhold(&mut evidence, Time(9000), &none()), None);
}

#[test]
fn a_request_that_is_answered_meanwhile_is_not_withheld() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=5 {
        evidence.record_crash(Time(1000 * number), &lost(number, "often", 50));
        evidence.record_answer(Time(1000 * number + 300), &request_key("often"));
    }

    assert_eq!(suspect_to_withhold(&mut evidence, Time(9000), &none()), None);
}

#[test]
fn of_two_requests_at_the_same_crashes_the_next_crash_tells() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=3 {
        evidence.record_crash(Time(1000 * number), &lost(number, POISON, 50));
        evidence.record_crash(Time(1000 * number), &lost(number, "beside", 50));
    }
    assert_eq!(suspect_to_withhold(&mut evidence, Time(5000), &none()), None);

    evidence.record_crash(Time(6000), &lost(4, POISON, 50));
    let found = suspect_to_withhold(&mut evidence, Time(7500), &none());

    assert_eq!(found, Some(request_key(POISON)));
    let withheld: IndexSet<SuspectKey> = [request_key(POISON)].into_iter().collect();
    assert_eq!(suspect_to_withhold(&mut evidence, Time(9000), &withheld), None);
}

#[test]
fn a_part_that_only_one_request_has_is_not_withheld_with_it() {
    let mut evidence = CrashEvidence::default();
    let mut withheld = none();
    for number in 1..=6 {
        evidence.record_crash(Time(1000 * number), &lost_prompt(number, POISON, &["session"]));
        evidence.record_pool_answer(Time(1000 * number + 100), &key("session").pool);
        withheld.extend(suspect_to_withhold(&mut evidence, Time(1000 * number + 900), &withheld));
    }

    let found = suspect_to_withhold(&mut evidence, Time(9000), &withheld);

    assert_eq!(withheld.into_iter().collect::<Vec<_>>(), [request_key(POISON)]);
    assert_eq!(found, None);
}

#[test]
fn a_part_is_found_although_a_request_with_it_is_withheld_first() {
    let mut evidence = CrashEvidence::default();
    for number in 1..=3 {
        evidence.record_crash(Time(1000 * number), &lost_prompt(number, "again", &[POISON]));
    }
    evidence.record_crash(Time(4000), &lost_prompt(4, "other", &[POISON]));
    evidence.record_pool_answer(Time(4100), &key(POISON).pool);
    let withheld: IndexSet<SuspectKey> = [request_key("again")].into_iter().collect();

    let found = suspect_to_withhold(&mut evidence, Time(6000), &withheld);

    assert_eq!(found, Some(key(POISON)));
}

#[test]
fn a_new_leader_finds_what_it_is_told_again() {
    let mut evidence = CrashEvidence::default();
    let reports: Vec<CrashReport> = (1..=3)
        .map(|it| CrashReport { age: Millis(9000 - 1000 * it), ..lost(it, POISON, 50) })
        .collect();
    for it in reports.iter().rev().chain(&reports) {
        evidence.record_crash(Time(10_000), it);
    }

    let at_once = suspect_to_withhold(&mut evidence, Time(10_100), &none());
    let found = suspect_to_withhold(&mut evidence, Time(11_000), &none());

    assert_eq!(at_once, None, "answers may still be reported");
    assert_eq!(found, Some(request_key(POISON)));
}

#[test]
fn a_request_that_others_were_answered_is_not_withheld_by_a_new_leader() {
    let mut evidence = CrashEvidence::default();
    for it in 1..=3 {
        let age = Millis(9000 - 1000 * it);
        evidence.record_crash(Time(10_000), &CrashReport { age, ..lost(it, POISON, 50) });
    }

    let at_once = suspect_to_withhold(&mut evidence, Time(10_100), &none());
    evidence.record_answer(Time(10_000 + RENEWAL_MS), &request_key(POISON));
    let later = suspect_to_withhold(&mut evidence, Time(12_000), &none());

    assert_eq!((at_once, later), (None, None));
}

/// A request at an endpoint of a simulated service.
#[derive(Clone)]
struct Run {
    name: String,
    sent: Time,
    ends: Time,
    /// Sends that are left, of the instance and of the caller.
    retries: u32,
}

/// A simulated plain service, whose endpoints crash under one request and for other
/// reasons.
struct Service {
    rng: StdRng,
    now: Time,
    evidence: CrashEvidence,
    withheld: IndexSet<SuspectKey>,
    /// When withheld requests are known to the instances.
    in_force: Vec<(Time, SuspectKey)>,
    /// The runs of each endpoint, and when it is up again.
    endpoints: Vec<(Vec<Run>, Time)>,
    last_incarnation: u64,
    reports: Vec<(Time, Time, CrashReport)>,
    answers: Vec<(Time, Option<SuspectKey>)>,
    suspected: Vec<(SuspectKey, Time)>,
    /// Since when each request is on trial, and the sends of the instance that may try it.
    on_trial: Vec<(SuspectKey, Time)>,
    trials: Trials,
    /// When the poison request was sent, and when it crashed endpoints.
    sends: Vec<Time>,
    crashes: Vec<Time>,
}

impl Service {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if seed.is_multiple_of(2) { 3 } else { rng.random_range(4..12) };
        Self {
            rng,
            now: Time(10_000),
            evidence: CrashEvidence::default(),
            withheld: none(),
            in_force: Vec::new(),
            endpoints: vec![(Vec::new(), Time(0)); count],
            last_incarnation: 0,
            reports: Vec::new(),
            answers: Vec::new(),
            suspected: Vec::new(),
            on_trial: Vec::new(),
            trials: Trials::new(OWN),
            sends: Vec::new(),
            crashes: Vec::new(),
        }
    }

    fn send(&mut self, name: &str, retries: u32) {
        let now = self.now;
        if self.in_force.iter().any(|(at, it)| *at <= now && *it == request_key(name)) {
            return;
        }
        let told = |it: &&(SuspectKey, Time)| now.since(it.1) >= TOLD_AFTER;
        let trials = self.on_trial.iter().filter(told).map(|it| it.0.clone()).collect();
        let suspects = Suspects { all: IndexSet::new(), trials };
        let is_chosen = self.rng.random_range(0..INSTANCES) == 0;
        let chosen = is_chosen.then_some(OWN);
        if !self.trials.may_send(now, &suspects, &request_key(name), chosen) {
            return;
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|it| self.endpoints[*it].1 <= now).collect();
        if up.is_empty() {
            return;
        }
        let at = up[self.rng.random_range(0..up.len())];
        let time = match name == POISON {
            true => self.rng.random_range(10..100),
            false => self.rng.random_range(5..60),
        };
        if name == POISON {
            self.sends.push(now);
        }
        let run = Run { name: name.to_owned(), sent: now, ends: now + Millis(time), retries };
        self.endpoints[at].0.push(run);
    }

    fn crash(&mut self, at: usize) {
        let now = self.now;
        self.last_incarnation += 1;
        let down = self.rng.random_range(1000..4000);
        let runs = std::mem::take(&mut self.endpoints[at].0);
        self.endpoints[at].1 = now + Millis(down);
        for run in runs {
            let ran = now.since(run.sent).0;
            let arrives = now + Millis(self.rng.random_range(55..250));
            self.reports.push((arrives, now, lost(self.last_incarnation, &run.name, ran)));
            // Every second repeat is the instance's own; it doesn't repeat suspects.
            let told = |it: &&(SuspectKey, Time)| now.since(it.1) >= TOLD_AFTER;
            let key = request_key(&run.name);
            let is_suspect = self.suspected.iter().filter(told).any(|it| it.0 == key);
            if run.retries > 0 && !(is_suspect && run.retries % 2 == 1) {
                self.send(&run.name, run.retries - 1);
            }
        }
    }

    /// Ends runs: the poison one crashes its endpoint, others are answered.
    fn finish(&mut self) {
        let now = self.now;
        for at in 0..self.endpoints.len() {
            let ended = |it: &Run| it.ends <= now;
            if self.endpoints[at].0.iter().any(|it| ended(it) && it.name == POISON) {
                self.crashes.push(now);
                self.crash(at);
                continue;
            }
            let (done, rest) =
                std::mem::take(&mut self.endpoints[at].0).into_iter().partition(ended);
            self.endpoints[at].0 = rest;
            let done: Vec<Run> = done;
            for run in done {
                self.trials.end(&request_key(&run.name));
                let key = request_key(&run.name);
                let is_known = |since: Time| now.since(since).0 >= RENEWAL_MS / 2;
                let aware = self.suspected.iter().any(|(_, since)| is_known(*since));
                let known = self.suspected.iter().any(|(it, since)| *it == key && is_known(*since));
                if aware {
                    let delay = self.rng.random_range(0..RENEWAL_MS);
                    self.answers.push((now + Millis(delay), known.then_some(key)));
                }
            }
        }
    }

    fn lead(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.reports.drain(..).partition(|it| it.0 <= now);
        self.reports = rest;
        for (_, at, report) in due {
            self.evidence.record_crash(now, &CrashReport { age: now.since(at), ..report });
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.answers.drain(..).partition(|it| it.0 <= now);
        self.answers = rest;
        for (_, key) in due {
            match key {
                Some(key) => self.evidence.record_answer(now, &key),
                None => self.evidence.record_pool_answer(now, &request_key("any").pool),
            }
        }
        self.evidence.tick(now, &self.withheld);
        let suspects = self.evidence.suspects();
        self.suspected.retain(|(it, _)| suspects.contains(it));
        for it in suspects {
            if !self.suspected.iter().any(|(known, _)| *known == it) {
                self.suspected.push((it, now));
            }
        }
        let trials = self.evidence.trials();
        self.on_trial.retain(|(it, _)| trials.contains(it));
        for it in trials {
            if !self.on_trial.iter().any(|(known, _)| *known == it) {
                self.on_trial.push((it, now));
            }
        }
        if let Some(key) = self.evidence.suspect_to_withhold(now) {
            self.in_force.push((now + Millis(80), key.clone()));
            self.withheld.insert(key);
        }
    }
}

#[test]
fn simulated_services_withhold_the_poison_request_in_time_and_no_other() {
    for seed in 0..SEEDS {
        let mut service = Service::new(seed);
        let poison_rate = service.rng.random_range(0.5..5.0) * 0.01;
        let sound_rate = service.rng.random_range(5.0..60.0) * 0.01;
        let own_rate = service.rng.random_range(0.0..0.3) * 0.01;
        let repeats = service.rng.random_range(1..400);
        for number in 0..4000 {
            service.now = service.now + Millis(10);
            if service.rng.random_bool(sound_rate) {
                // Some bodies come again, others only once.
                let repeated = format!("sound {}", service.rng.random_range(0..repeats));
                let own = format!("own {number}");
                let name = if service.rng.random_bool(0.3) { repeated } else { own };
                service.send(&name, 3);
            }
            if service.rng.random_bool(poison_rate) {
                service.send(POISON, 3);
            }
            if service.rng.random_bool(own_rate) {
                let at = service.rng.random_range(0..service.endpoints.len());
                service.crash(at);
            }
            if service.rng.random_bool(own_rate / 20.0) {
                let half = service.endpoints.len().div_ceil(2);
                (0..half).for_each(|it| service.crash(it));
            }
            service.finish();
            service.lead();
        }
        let sound: Vec<&SuspectKey> =
            service.withheld.iter().filter(|it| **it != request_key(POISON)).collect();
        assert!(sound.is_empty(), "seed {seed}: withheld {sound:?}");
        if let Some(third) = service.crashes.get(2) {
            let bound = *third + CONTACT;
            let late = service.sends.iter().filter(|it| **it > bound).count();
            assert!(late <= MAX_LATE, "seed {seed}: sent {late} times more");
        }
    }
}
