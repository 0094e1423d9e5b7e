//! Endpoints that leave or ask for a pause, over seeded orders of sends, answers,
//! incarnations and time.

use {
    coord::{
        ids::{Generation, Slots},
        relay::{Availability, EndpointNotices, MAX_PAUSE, parse_pause},
        tables::{Endpoint, EndpointState},
        time::{Millis, Time},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const START: Time = Time(1000);
const GRACE: Millis = Millis(1000);
const SEEDS: u64 = 1000;
const STEPS: usize = 200;

fn endpoint(name: &str, generation: u64) -> Endpoint {
    Endpoint {
        name: name.parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr: ([127, 0, 0, 1], 1).into(),
        generation: Generation(generation),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
        version: None,
    }
}

fn notices(endpoints: &[Endpoint]) -> EndpointNotices {
    let mut notices = EndpointNotices::new(GRACE);
    notices.reload(endpoints.iter());
    notices
}

#[test]
fn a_pause_ends_by_itself_and_is_only_extended() {
    let it = endpoint("e", 1);
    let mut notices = notices(std::slice::from_ref(&it));

    let first = notices.note_pause(START, &it.name, it.generation, Millis(2000));
    let shorter = notices.note_pause(START + Millis(100), &it.name, it.generation, Millis(500));
    let longer = notices.note_pause(START + Millis(200), &it.name, it.generation, Millis(3000));

    assert_eq!((first, shorter), (Some(Time(3000)), Some(Time(3000))));
    assert_eq!(longer, Some(Time(4200)));
    assert!(!notices.may_send(Time(4199), &it.name));
    assert!(notices.may_send(Time(4200), &it.name));
    assert_eq!(notices.ended_pauses(Time(4100), Time(4200)).count(), 1);
    assert_eq!(notices.ended_pauses(Time(4200), Time(4300)).count(), 0);
}

#[test]
fn a_notice_of_an_earlier_incarnation_changes_nothing() {
    let (old, new) = (endpoint("e", 1), endpoint("e", 2));
    let mut notices = notices(std::slice::from_ref(&old));
    assert!(notices.note_leaving(START, &old.name, old.generation));

    notices.reload(std::iter::once(&new));
    let late = (
        notices.note_leaving(START, &old.name, old.generation),
        notices.note_pause(START, &old.name, old.generation, Millis(9000)),
    );

    assert_eq!(late, (false, None));
    assert_eq!(notices.availability(START, &new.name), Availability::Open);
}

#[test]
fn a_leaving_endpoint_is_used_only_alone_and_within_the_grace() {
    let (leaving, other) = (endpoint("e", 1), endpoint("f", 1));
    let mut notices = notices(&[leaving.clone(), other.clone()]);
    notices.note_leaving(START, &leaving.name, leaving.generation);

    let both = notices.usable(START, &[&leaving, &other]);
    let alone = notices.usable(START, &[&leaving]);
    let later = notices.usable(START + GRACE, &[&leaving]);

    assert_eq!(both, [&other]);
    assert_eq!(alone, [&leaving]);
    assert!(later.is_empty());
}

#[test]
fn the_first_return_is_that_of_the_shortest_pause() {
    let all = [endpoint("e", 1), endpoint("f", 1), endpoint("g", 1)];
    let mut notices = notices(&all);
    notices.note_pause(START, &all[0].name, all[0].generation, Millis(3000));
    notices.note_pause(START, &all[1].name, all[1].generation, Millis(2000));
    notices.note_leaving(START, &all[2].name, all[2].generation);

    let at = notices.earliest_return(START, &all.iter().collect::<Vec<_>>());

    assert_eq!(at, Some(START + Millis(2000)));
}

#[test]
fn values_that_ask_for_no_pause_are_ignored_and_long_ones_are_bounded() {
    let cases = [
        ("2", Some(2000)),
        (" 0.25 ", Some(250)),
        ("0.0001", Some(1)),
        ("99999999999", Some(MAX_PAUSE.0)),
        ("1e300", Some(MAX_PAUSE.0)),
        ("0", None),
        ("-1", None),
        ("inf", None),
        ("NaN", None),
        ("", None),
        ("soon", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_pause(text), expected.map(Millis), "{text:?}");
    }
}

/// What the endpoint's current incarnation has said, kept apart from the code.
#[derive(Default)]
struct Said {
    left_at: Option<Time>,
    /// When it asked for a pause, and the end of it.
    pauses: Vec<(Time, Time)>,
}

#[test]
fn no_schedule_sends_in_a_pause_or_after_the_grace() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut current = endpoint("e", 1);
        let mut notices = notices(std::slice::from_ref(&current));
        let mut said = Said::default();
        let mut under_way: Vec<Endpoint> = Vec::new();
        let mut now = START;
        for _ in 0..STEPS {
            now = now + Millis(rng.random_range(0..300));
            match rng.random_range(0..10) {
                0..5 if notices.may_send(now, &current.name) => {
                    let paused = said.pauses.iter().any(|(at, end)| now >= *at && now < *end);
                    let left = said.left_at.is_some_and(|it| now >= it + GRACE);
                    assert!(!paused && !left, "seed {seed} at {now:?}");
                    under_way.push(current.clone());
                }
                5..9 if !under_way.is_empty() => {
                    let asked = under_way.swap_remove(rng.random_range(0..under_way.len()));
                    let is_current = asked.generation == current.generation;
                    match rng.random_range(0..20) {
                        0 => {
                            notices.note_leaving(now, &asked.name, asked.generation);
                            if is_current {
                                said.left_at.get_or_insert(now);
                            }
                        }
                        1..4 => {
                            let pause = Millis(rng.random_range(1..3000));
                            notices.note_pause(now, &asked.name, asked.generation, pause);
                            if is_current {
                                said.pauses.push((now, now + pause));
                            }
                        }
                        _ => {}
                    }
                }
                9 if rng.random_range(0..10) == 0 => {
                    current = endpoint("e", current.generation.0 + 1);
                    notices.reload(std::iter::once(&current));
                    said = Said::default();
                    assert!(notices.may_send(now, &current.name), "seed {seed}: a new one is open");
                }
                _ => {}
            }
        }
    }
}
