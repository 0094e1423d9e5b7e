//! What callers get of a pool whose calls have a large fixed part.

use {
    coord::{
        catalog::BatchSpec,
        ids::{Bytes, DomainName, EndpointName, Slots},
        relay::{CallEnd, Gather, GatherCall, GroupId, Piece, PieceId},
        time::{Millis, Time},
    },
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::{HashMap, HashSet},
};

const START: Time = Time(1000);

fn terms() -> BatchSpec {
    BatchSpec {
        slots: Slots(1),
        queue_limit: 2,
        max_pieces: 8,
        call_overhead: Millis(200),
        piece_us: 20_000,
        result_capacity: Bytes(12_000),
        result_ttl: Millis(4000),
    }
}

fn endpoints(count: usize, domains: &[&str]) -> IndexMap<EndpointName, DomainName> {
    let name = |it: usize| format!("e{it}").parse().expect("a name");
    let domain = |it: usize| domains[it % domains.len()].parse().expect("a name");
    (0..count).map(|it| (name(it), domain(it))).collect()
}

fn gather(count: usize) -> Gather {
    let mut gather = Gather::new(terms());
    gather.reload(terms(), &endpoints(count, &["a"]));
    gather
}

fn piece(id: u64, group: u64, target: u64) -> Piece {
    Piece {
        id: PieceId(id),
        group: GroupId(group),
        priority: 1,
        target: START + Millis(target),
        due: START + Millis(5000),
        size: Bytes(1000),
        home: None,
        moved: Bytes(2_000_000),
        since: START,
    }
}

fn ids(call: &GatherCall) -> Vec<u64> {
    call.pieces.iter().map(|it| it.id.0).collect()
}

#[test]
fn a_free_endpoint_is_called_at_once_with_what_waits() {
    let mut gather = gather(1);
    gather.push(piece(1, 1, 1000));
    let first = gather.next(START).expect("a call");
    gather.push(piece(2, 2, 1000));
    gather.push(piece(3, 3, 900));

    assert_eq!(ids(&first), [1]);
    assert_eq!(gather.next(START), None, "its endpoint is busy");
    gather.end(START, &first, CallEnd::Answered);
    let second = gather.next(START).expect("a call");
    assert_eq!(ids(&second), [3, 2]);
}

#[test]
fn the_more_urgent_goes_first_and_what_is_late_goes_last() {
    let mut gather = gather(1);
    let mut late = piece(1, 1, 100);
    late.priority = 0;
    let mut urgent = piece(2, 2, 4000);
    urgent.priority = 0;
    for it in [late, piece(3, 3, 1000), urgent] {
        gather.push(it);
    }

    let call = gather.next(START).expect("a call");

    assert_eq!(ids(&call), [2, 3, 1]);
}

#[test]
fn a_group_waits_until_all_of_it_finds_room() {
    let mut gather = gather(1);
    (0..8).for_each(|it| gather.push(piece(it, 1, 1000)));
    let first = gather.next(START).expect("a call");
    gather.end(START, &first, CallEnd::Answered);
    (10..16).for_each(|it| gather.push(piece(it, 2, 1000)));
    (20..22).for_each(|it| gather.push(piece(it, 3, 2000)));

    let second = gather.next(START).expect("a call");

    assert_eq!(ids(&second), [20, 21], "six pieces don't fit beside eight results");
    gather.end(START, &second, CallEnd::Answered);
    assert_eq!(gather.next(START), None);
    (0..8).for_each(|_| gather.free_room(&first.endpoint, Bytes(1000)));
    assert_eq!(ids(&gather.next(START).expect("a call")), [10, 11, 12, 13, 14, 15]);
}

#[test]
fn an_endpoint_that_others_have_filled_is_used_as_their_results_run_out() {
    let mut gather = gather(1);
    (0..6).for_each(|it| gather.push(piece(it, 1, 3000)));
    let call = gather.next(START).expect("a call");
    gather.end(START, &call, CallEnd::Full { refused: Bytes(6000) });
    (0..6).for_each(|_| gather.free_room(&call.endpoint, Bytes(1000)));
    gather.close_group(GroupId(1));
    (10..16).for_each(|it| gather.push(piece(it, 2, 3500)));

    let soon = START + Millis(1000);
    assert_eq!(gather.next(soon), None, "three quarters of the room are still taken");
    let later = START + Millis(2000);
    assert_eq!(ids(&gather.next(later).expect("a call")), [10, 11, 12, 13, 14, 15]);
}

#[test]
fn what_the_queue_cannot_do_in_time_is_given_up_at_once() {
    let mut gather = gather(1);
    let mut hopeless = piece(100, 100, 5000);
    hopeless.due = START + Millis(400);
    (0..40).for_each(|it| gather.push(piece(it, it, 4900)));
    gather.push(hopeless);

    let expired = gather.expire(START);

    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].0, GroupId(100));
    assert!(expired[0].1 >= Millis(1000), "forty pieces are five full calls: {}", expired[0].1);
    assert_eq!(gather.len(), 40);
}

#[test]
fn what_comes_too_late_is_never_called() {
    let mut gather = gather(1);
    assert!(gather.expire(START).is_empty());
    let mut hopeless = piece(1, 1, 100);
    hopeless.due = START + Millis(150);
    gather.push(hopeless);

    assert_eq!(gather.next(START), None);
    let wake = gather.wake(START).expect("a time");
    assert!(wake <= START + Millis(50));
    assert_eq!(gather.expire(wake).len(), 1);
}

#[test]
fn an_endpoint_takes_its_own_domain_first_and_others_after_a_while() {
    let mut gather = Gather::new(terms());
    gather.reload(terms(), &endpoints(2, &["a", "b"]));
    let home = |it: Piece, home: &str| Piece { home: Some(home.parse().expect("a name")), ..it };
    gather.push(home(piece(1, 1, 1000), "a"));
    gather.push(home(piece(2, 2, 900), "a"));
    gather.push(home(piece(3, 3, 2000), "b"));

    let calls = [gather.next(START).expect("a call"), gather.next(START).expect("a call")];

    assert_eq!(calls.iter().map(ids).collect::<Vec<_>>(), [vec![2, 1], vec![3]]);
    gather.end(START, &calls[1], CallEnd::Answered);
    gather.push(home(piece(4, 4, 1000), "a"));
    assert_eq!(gather.next(START), None, "its own endpoint will be free soon");
    assert!(gather.next(START + Millis(300)).is_some());
}

#[test]
fn pieces_with_few_bytes_leave_their_domain_sooner() {
    let mut gather = Gather::new(terms());
    gather.reload(terms(), &endpoints(2, &["a", "b"]));
    let home = Some("a".parse().expect("a name"));
    gather.push(Piece { home: home.clone(), ..piece(1, 1, 1000) });
    gather.next(START).expect("the own endpoint is called");
    gather.push(Piece { home: home.clone(), ..piece(2, 2, 900) });
    gather.push(Piece { home, moved: Bytes(400_000), ..piece(3, 3, 1000) });

    let early = gather.next(START + Millis(20));
    let later = gather.next(START + Millis(50)).expect("a call");

    assert_eq!(early, None);
    assert_eq!(ids(&later), [3]);
}

#[test]
fn an_endpoint_that_fails_is_left_alone_for_a_while() {
    let mut gather = gather(1);
    gather.push(piece(1, 1, 1000));
    let call = gather.next(START).expect("a call");

    gather.end(START, &call, CallEnd::Failed);
    gather.push(piece(2, 2, 1000));

    assert_eq!(gather.next(START), None);
    let wake = gather.wake(START).expect("a time");
    assert!(gather.next(wake).is_some());
}

/// How requests of several pieces fare at a pool: how many of all are complete
/// within their target.
fn on_time(seed: u64, gathers: usize, endpoints_each: usize) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pools: Vec<Gather> = (0..gathers).map(|_| gather(endpoints_each)).collect();
    let mut calls: Vec<(Time, usize, GatherCall)> = Vec::new();
    let mut left: HashMap<u64, u32> = HashMap::new();
    let mut targets: HashMap<u64, Time> = HashMap::new();
    let (mut done, mut ids, mut asked) = (0, 0, 0);
    for step in 0..6000 {
        let now = START + Millis(step * 5);
        // 24 requests a second with one to four pieces: 60 pieces a second.
        if rng.random_bool(0.12) {
            asked += 1;
            let count = rng.random_range(1..=4);
            let at = rng.random_range(0..gathers);
            targets.insert(asked, now + Millis(1500));
            left.insert(asked, count);
            for _ in 0..count {
                ids += 1;
                let target = now + Millis(1500);
                let due = now + Millis(5000);
                pools[at].push(Piece { target, due, since: now, ..piece(ids, asked, 0) });
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) = calls.into_iter().partition(|it| it.0 <= now);
        calls = running;
        for (_, at, call) in ended {
            pools[at].end(now, &call, CallEnd::Answered);
            for it in &call.pieces {
                pools[at].free_room(&call.endpoint, it.size);
                let open = left.get_mut(&it.group.0).expect("a known group");
                *open -= 1;
                if *open == 0 {
                    done += u64::from(now <= targets[&it.group.0]);
                    pools[at].close_group(it.group);
                }
            }
        }
        for (at, pool) in pools.iter_mut().enumerate() {
            pool.expire(now);
            while let Some(call) = pool.next(now) {
                let end = now + pool.duration(call.pieces.len());
                calls.push((end, at, call));
            }
        }
    }
    done as f64 / asked as f64
}

#[test]
fn one_gatherer_serves_a_load_that_one_an_instance_cannot() {
    for seed in 1..=5 {
        let gathered = on_time(seed, 1, 4);
        let apart = on_time(seed, 4, 1);

        assert!(gathered >= 0.95, "seed {seed}: {gathered}");
        assert!(gathered >= apart, "seed {seed}: {gathered} beside {apart}");
    }
}

#[test]
fn every_piece_goes_into_one_call_only() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut gather = gather(3);
    let mut called = HashSet::new();
    for id in 0..500_u64 {
        gather.push(piece(id, id / 3, rng.random_range(300..3000)));
        while let Some(call) = gather.next(START) {
            assert!(call.pieces.len() <= 8);
            for it in &call.pieces {
                assert!(called.insert(it.id), "{:?} was called before", it.id);
                gather.free_room(&call.endpoint, it.size);
            }
            gather.end(START, &call, CallEnd::Answered);
        }
    }
    assert_eq!(called.len() + gather.len(), 500);
}
