//! The search for the leader: whom an instance asks and whom it believes, over seeds.

use {
    coord::{
        control::{LeaderReport, LeaderSearch, VoterList},
        ids::{Index, Term},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, net::SocketAddr},
};

const SEEDS: u64 = 300;
const TICK: Millis = Millis(10);
/// How long an answer takes, and how long the failure to connect to an address that doesn't
/// answer.
const ANSWER_TIME: Millis = Millis(10);
const CONNECT_TIME: Millis = Millis(500);
const OWN: u16 = 1;
/// The time in which a leader that was elected is to be found, with voters down. A change is
/// in force in 2 s after its acknowledgement; an election and a renewal take part of that.
const FIND_TIME: Millis = Millis(500);

fn addr(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn list(index: u64, numbers: impl IntoIterator<Item = u16>) -> VoterList {
    VoterList { index: Index(index), addrs: numbers.into_iter().map(addr).collect() }
}

fn report(term: u64, leader: Option<u16>, voters: VoterList) -> LeaderReport {
    LeaderReport { system: None, term: Term(term), leads: false, leader: leader.map(addr), voters }
}

fn claim(term: u64, own: u16, voters: VoterList) -> LeaderReport {
    LeaderReport { leads: true, ..report(term, Some(own), voters) }
}

/// The other instances as one sees them. Those without a report don't answer.
#[derive(Default)]
struct World {
    reports: IndexMap<u16, LeaderReport>,
    under_way: VecDeque<(Time, u16)>,
    asked: Vec<u16>,
}

impl World {
    /// Lets a search go on until it has a leader or the time is over; returns when it ended.
    fn run(&mut self, search: &mut LeaderSearch, from: Time, until: Time) -> Time {
        let mut now = from;
        while now < until && search.leader().is_none() {
            let due: Vec<u16> =
                self.under_way.iter().filter(|(at, _)| *at <= now).map(|(_, it)| *it).collect();
            self.under_way.retain(|(at, _)| *at > now);
            for it in due {
                match self.reports.get(&it) {
                    Some(report) => search.on_report(now, addr(it), report.clone()),
                    None => search.on_no_report(addr(it)),
                }
            }
            for to in search.next_questions(now) {
                let is_up = self.reports.contains_key(&to.port());
                let wait = if is_up { ANSWER_TIME } else { CONNECT_TIME };
                self.under_way.push_back((now + wait, to.port()));
                self.asked.push(to.port());
            }
            now = now + TICK;
        }
        now
    }
}

/// A search that followed leader 10 of the voters 10 to 14, and lost it.
fn bereft(seed: u64) -> LeaderSearch {
    let mut search = LeaderSearch::new(addr(OWN), &[addr(10), addr(11), addr(12)], seed);
    search.set_voters(list(5, 10..15));
    search.set_members((10..15).chain(100..110).map(addr));
    search.confirm(Time(1000), addr(10), Term(3));
    search.record_failure(Time(2000), addr(10));
    search
}

/// Voters 10 and 11 are gone, 12 to 14 follow `leader`.
fn voters_without_two(leader: Option<u16>, term: u64) -> World {
    let mut world = World::default();
    for it in 12..15 {
        let report = match leader == Some(it) {
            true => claim(term, it, list(6, 10..15)),
            false => report(term, leader, list(6, 10..15)),
        };
        world.reports.insert(it, report);
    }
    world
}

#[test]
fn a_new_leader_is_found_in_time_whatever_was_removed_before() {
    for removed in [0, 10, 1000] {
        for seed in 0..SEEDS {
            let mut search = bereft(seed);
            let gone = 2000..2000 + removed;
            search.set_members((10..15).chain(gone.clone()).map(addr));
            search.set_seeds(&gone.take(3).map(addr).collect::<Vec<_>>());
            let mut world = voters_without_two(Some(13), 4);

            let found = world.run(&mut search, Time(2000), Time(9000));

            assert_eq!(search.leader(), Some(addr(13)), "seed {seed}");
            assert!(found.since(Time(2000)) <= FIND_TIME, "seed {seed}, {removed}: at {found:?}");
        }
    }
}

/// While voters elect another leader they name the one that is gone.
#[test]
fn a_named_leader_that_is_gone_delays_nothing() {
    for seed in 0..SEEDS {
        let mut search = bereft(seed);
        let mut world = voters_without_two(Some(10), 3);
        let elected = world.run(&mut search, Time(2000), Time(2700));
        let before = std::mem::take(&mut world.under_way);
        world = voters_without_two(Some(14), 4);
        world.under_way = before;

        let found = world.run(&mut search, elected, Time(9000));

        assert_eq!(search.leader(), Some(addr(14)), "seed {seed}");
        assert!(found.since(elected) <= FIND_TIME, "seed {seed}: at {found:?}");
    }
}

#[test]
fn a_leader_that_is_only_named_is_not_followed() {
    for seed in 0..SEEDS {
        let mut search = bereft(seed);

        voters_without_two(Some(10), 3).run(&mut search, Time(2000), Time(5000));

        assert_eq!(search.leader(), None, "seed {seed}");
    }
}

#[test]
fn voters_that_were_replaced_are_forgotten() {
    for seed in 0..SEEDS {
        let mut search = bereft(seed);
        search.set_seeds(&[addr(20)]);
        search.set_voters(list(9, 20..25));
        search.set_members((20..25).map(addr));
        let mut world = World::default();

        world.run(&mut search, Time(2000), Time(9000));

        assert!(world.asked.iter().all(|it| (20..25).contains(it)), "{:?}", world.asked);
    }
}

#[test]
fn addresses_to_join_are_replaced_by_others_but_not_by_none() {
    let mut search = LeaderSearch::new(addr(OWN), &[addr(10)], 1);

    search.set_seeds(&[addr(20)]);
    search.set_seeds(&[]);

    assert_eq!(search.draw_seeds(5), [addr(20)]);
}

/// One that was out of touch while all voters that it knew were replaced.
#[test]
fn other_instances_name_the_leader_once_all_known_voters_are_gone() {
    for seed in 0..SEEDS {
        let mut search = bereft(seed);
        let mut world = World::default();
        for it in 100..110 {
            world.reports.insert(it, report(7, Some(30), list(40, 30..35)));
        }
        world.reports.insert(30, claim(7, 30, list(40, 30..35)));

        let found = world.run(&mut search, Time(2000), Time(9000));

        assert_eq!(search.leader(), Some(addr(30)), "seed {seed}");
        assert!(found.since(Time(2000)) <= Millis(2000), "seed {seed}: at {found:?}");
        assert_eq!(search.voters().index, Index(40));
    }
}

/// The only address to join that answers may itself be gone before there is a leader.
#[test]
fn an_empty_instance_learns_the_voters_before_there_is_a_leader() {
    for seed in 0..SEEDS {
        let mut search = LeaderSearch::new(addr(OWN), &[addr(10), addr(11), addr(12)], seed);
        let mut world = World::default();
        world.reports.insert(11, report(3, None, list(6, [11, 20, 21])));
        let elected = world.run(&mut search, Time(0), Time(1000));
        world.reports = [(21, claim(4, 21, list(6, [11, 20, 21])))].into_iter().collect();

        let found = world.run(&mut search, elected, Time(9000));

        assert_eq!(search.leader(), Some(addr(21)), "seed {seed}");
        assert!(found.since(elected) <= FIND_TIME, "seed {seed}: at {found:?}");
    }
}

#[test]
fn a_deposed_leader_that_does_not_know_it_is_not_followed() {
    let mut search = bereft(1);
    search.on_report(Time(2010), addr(13), claim(4, 13, list(6, 10..15)));
    search.record_failure(Time(2500), addr(13));

    search.on_report(Time(2510), addr(10), claim(3, 10, list(5, 10..15)));

    assert_eq!(search.leader(), None);
}

/// Calls that were sent to the leader before fail one by one after another was found.
#[test]
fn late_failures_and_denials_of_an_earlier_leader_do_not_lose_the_new_one() {
    let mut search = bereft(1);
    search.on_report(Time(2010), addr(13), claim(4, 13, list(6, 10..15)));

    search.record_failure(Time(2600), addr(10));
    search.record_denial(Time(2600), addr(10), Some(addr(11)));
    search.confirm(Time(2600), addr(10), Term(3));

    assert_eq!(search.leader(), Some(addr(13)));
    assert!(search.next_questions(Time(2610)).is_empty());
}

#[test]
fn others_are_asked_while_the_leader_does_not_answer() {
    for seed in 0..SEEDS {
        let mut search = bereft(seed);
        search.confirm(Time(2000), addr(10), Term(3));
        search.doubt(Time(2500), Millis(800));
        assert!(search.next_questions(Time(2500)).is_empty(), "too early");

        search.doubt(Time(2800), Millis(800));
        let asked = search.next_questions(Time(2800));
        search.on_report(Time(2810), addr(12), report(4, Some(13), list(6, 10..15)));
        let named = search.next_questions(Time(2810));
        search.on_report(Time(2820), addr(13), claim(4, 13, list(6, 10..15)));

        assert!(!asked.is_empty() && !asked.contains(&addr(10)), "{asked:?}");
        assert!(asked.contains(&addr(13)) || named.contains(&addr(13)), "{asked:?} {named:?}");
        assert_eq!(search.leader(), Some(addr(13)));
    }
}

#[test]
fn a_slow_leader_that_nobody_has_replaced_stays() {
    let mut search = bereft(1);
    search.confirm(Time(2000), addr(10), Term(3));
    search.doubt(Time(2800), Millis(800));

    search.on_report(Time(2810), addr(12), report(3, Some(10), list(5, 10..15)));
    search.on_no_report(addr(11));

    assert_eq!(search.leader(), Some(addr(10)));
}

/// Instances that lose the leader together would ask one voter, then the next.
#[test]
fn instances_do_not_ask_the_same_ones_at_the_same_time() {
    let mut asked: IndexMap<SocketAddr, u64> = IndexMap::new();
    let mut next_rounds = IndexSet::new();
    for seed in 0..SEEDS {
        let mut search = bereft(seed);
        let first = search.next_questions(Time(2000));
        first.into_iter().for_each(|it| *asked.entry(it).or_default() += 1);
        let times = (2001..3000).map(Time);
        next_rounds.extend(times.into_iter().find(|it| !search.next_questions(*it).is_empty()));
    }

    for it in 10..15 {
        let count = asked.get(&addr(it)).copied().unwrap_or_default();
        // Three of five voters each.
        assert!((SEEDS / 2..SEEDS * 7 / 10).contains(&count), "{it} was asked {count} times");
    }
    assert!(next_rounds.len() > 30, "next rounds at {next_rounds:?} only");
}

#[test]
fn questions_of_many_instances_grow_no_faster_than_their_number() {
    for (members, allowed) in [(10, 80), (400, 20)] {
        let mut search = bereft(7);
        search.set_members((1000..1000 + members).map(addr));

        let mut world = World::default();
        world.run(&mut search, Time(2000), Time(3000));

        assert!(world.asked.len() <= allowed, "{} with {members}", world.asked.len());
    }
}

/// Instances of an earlier build don't know the question; a renewal tells whom they follow.
#[test]
fn instances_of_an_earlier_build_are_called_as_the_leader_in_turn() {
    let mut search = bereft(3);
    search.next_questions(Time(2000));

    search.on_unknown_question(addr(12));
    search.on_unknown_question(addr(13));
    let first = search.leader();
    search.record_denial(Time(2010), addr(12), Some(addr(14)));
    let named = search.next_questions(Time(2010));
    search.on_unknown_question(addr(14));

    assert_eq!(first, Some(addr(12)));
    assert!(named.contains(&addr(14)) || search.leader() == Some(addr(14)), "{named:?}");
    assert_eq!(search.leader(), Some(addr(14)));
}
