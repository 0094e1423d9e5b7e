//! Tests of endpoint selection, sharding, stage scheduling and retries of relayed
//! requests.

use {
    coord::{
        catalog::{RelayRoute, RelayStage, RetryPolicy, Split},
        ids::{Bytes, EndpointName, Generation, Incarnation, NodeId, Slots},
        relay::{
            AttemptOutcome, Attempts, NextAction, Placer, Preferences, QueueWaits, Shard,
            StagePlan, StageProgress, batcher_candidates, is_peer_cut, is_split, preferred_domain,
            shards,
        },
        tables::{Endpoint, EndpointState, Member, Tables},
        time::{Millis, Time},
    },
    indexmap::IndexSet,
    std::{collections::HashMap, net::SocketAddr},
};

const START: Time = Time(1000);

fn route(retry: RetryPolicy, max_attempts: u32) -> RelayRoute {
    RelayRoute {
        name: "r".parse().expect("a name"),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry,
        timeout: Millis(1000),
        latency_target: Millis(100),
        priority: 0,
        split: vec![Split { pool: "p".parse().expect("a name"), weight: 1 }],
        max_attempts,
        stages: Vec::new(),
        public: false,
        sticky: false,
        event_gap: None,
    }
}

fn endpoint(name: &str, domain: &str) -> Endpoint {
    Endpoint {
        name: name.parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        generation: Generation(1),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
        version: None,
    }
}

fn pool(domains: &[(&str, usize)]) -> Vec<Endpoint> {
    let each = domains.iter().flat_map(|(domain, count)| {
        (0..*count).map(move |it| endpoint(&format!("{domain}{it}"), domain))
    });
    each.collect()
}

fn stage(after: &[usize]) -> RelayStage {
    let pool = "p".parse().expect("a name");
    RelayStage { pool, after: after.to_vec(), result_size: Bytes(1) }
}

#[test]
fn a_non_repeatable_request_is_not_resent_after_it_may_have_run() {
    for outcome in [AttemptOutcome::Unknown, AttemptOutcome::Failed] {
        for retry in [RetryPolicy::Once, RetryPolicy::Stream] {
            let mut attempts = Attempts::new(&route(retry, 3));
            attempts.record_send();
            assert_ne!(attempts.record_outcome(outcome), NextAction::Retry);
            assert!(attempts.may_have_run());
        }
    }
}

#[test]
fn a_caller_is_told_not_run_only_if_no_attempt_may_have_run() {
    let mut attempts = Attempts::new(&route(RetryPolicy::Idempotent, 2));
    attempts.record_send();
    assert_eq!(attempts.record_outcome(AttemptOutcome::NotRun), NextAction::Retry);
    attempts.record_send();
    assert_eq!(attempts.record_outcome(AttemptOutcome::Unknown), NextAction::Retry);
    attempts.record_send();
    assert_eq!(attempts.give_up(AttemptOutcome::NotRun), NextAction::Fail);
}

#[test]
fn a_request_runs_at_most_as_often_as_its_route_allows() {
    let mut attempts = Attempts::new(&route(RetryPolicy::Idempotent, 2));
    attempts.record_send();
    assert_eq!(attempts.record_outcome(AttemptOutcome::Failed), NextAction::Retry);
    attempts.record_send();
    assert_eq!(attempts.record_outcome(AttemptOutcome::Failed), NextAction::Pass);
}

#[test]
fn resending_after_refusals_is_bounded() {
    let mut attempts = Attempts::new(&route(RetryPolicy::Once, 1));
    let sends = (0..100).take_while(|_| {
        attempts.record_send();
        attempts.record_outcome(AttemptOutcome::NotRun) == NextAction::Retry
    });
    assert!(sends.count() < 10);
}

#[test]
fn requests_that_share_a_prompt_go_to_the_same_endpoint() {
    let endpoints = pool(&[("a", 4), ("b", 4)]);
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let preferences = Preferences { affinity: Some(b"part"), ..Preferences::default() };

    let chosen: Vec<EndpointName> = (0..5)
        .map(|seed| Placer::new(seed).choose(START, &all, &preferences).expect("one").name.clone())
        .collect();

    assert!(chosen.iter().all(|it| *it == chosen[0]), "{chosen:?}");
}

#[test]
fn requests_with_a_hot_prompt_spread_when_their_endpoint_is_overloaded() {
    let endpoints = pool(&[("a", 4)]);
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let preferences = Preferences { affinity: Some(b"part"), ..Preferences::default() };
    let mut placer = Placer::new(1);
    let mut counts: HashMap<EndpointName, u32> = HashMap::new();

    for _ in 0..40 {
        let name = placer.choose(START, &all, &preferences).expect("one").name.clone();
        placer.begin(&name);
        *counts.entry(name).or_default() += 1;
    }

    assert!(counts.len() >= 3, "{counts:?}");
    assert!(counts.values().all(|it| *it <= 16), "{counts:?}");
}

#[test]
fn a_failed_endpoint_is_avoided_and_tried_again_later() {
    let endpoints = pool(&[("a", 2)]);
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let mut placer = Placer::new(1);
    let failed = all[0].name.clone();

    let pause = placer.failed(START, &failed);

    for _ in 0..20 {
        let chosen = placer.choose(START, &all, &Preferences::default()).expect("one");
        assert_ne!(chosen.name, failed);
    }
    let later = START + pause + Millis(1);
    let chosen = (0..50).filter_map(|_| placer.choose(later, &all, &Preferences::default()));
    assert!(chosen.map(|it| it.name.clone()).any(|it| it == failed));
    assert!(placer.failed(later, &failed) > pause);
}

#[test]
fn an_avoided_endpoint_is_chosen_if_there_is_no_other() {
    let endpoints = pool(&[("a", 1)]);
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let mut placer = Placer::new(1);

    placer.failed(START, &all[0].name);

    assert!(placer.choose(START, &all, &Preferences::default()).is_some());
    let tried = [all[0].name.clone()];
    let preferences = Preferences { tried: &tried, ..Preferences::default() };
    assert!(placer.choose(START, &all, &preferences).is_none(), "it was tried already");
}

#[test]
fn keys_prefer_domains_in_proportion_to_their_share_of_every_pool() {
    let (first, second) = (pool(&[("a", 2), ("b", 2), ("c", 1)]), pool(&[("a", 4), ("b", 4)]));
    let mut counts: HashMap<String, u32> = HashMap::new();

    for key in 0..1000_u32 {
        let domain = preferred_domain(&key.to_be_bytes(), &[&first, &second]).expect("a domain");
        *counts.entry(domain.to_string()).or_default() += 1;
    }

    assert_eq!(counts.len(), 2, "c lacks a pool: {counts:?}");
    assert!(counts.values().all(|it| (400..600).contains(it)), "{counts:?}");
}

#[test]
fn only_keys_of_a_removed_domain_change_their_preference() {
    let (before, after) = (pool(&[("a", 1), ("b", 1), ("c", 1)]), pool(&[("a", 1), ("b", 1)]));

    let moved = (0..900_u32).filter(|key| {
        let key = key.to_be_bytes();
        let old = preferred_domain(&key, &[&before]).expect("a domain");
        old.as_str() != "c" && Some(old) != preferred_domain(&key, &[&after])
    });

    assert_eq!(moved.count(), 0);
}

#[test]
fn a_short_stage_is_delayed_to_finish_with_a_longer_path() {
    let stages = [stage(&[]), stage(&[]), stage(&[1]), stage(&[2])];
    let durations = vec![Millis(230), Millis(200), Millis(240), Millis(250)];
    let plan = StagePlan::new(&stages, durations);
    let (waits, runs, done) = (StageProgress::Waiting, StageProgress::Running, StageProgress::Done);

    assert_eq!(plan.ready(&[waits; 4]), [1]);
    assert_eq!(plan.ready(&[waits, done, waits, waits]), [2]);
    assert_eq!(plan.ready(&[waits, done, done, waits]), [0, 3]);
    assert_eq!(plan.ready(&[runs, done, done, runs]), [0; 0]);
    assert_eq!(plan.time_after(1), Millis(490));
}

#[test]
fn reported_waits_expire() {
    let mut queue_waits = QueueWaits::default();
    let shard = shard(None);

    queue_waits.record(START, &shard, 1, Millis(300));

    assert_eq!(queue_waits.wait(START + Millis(500), &shard, 1), Millis(300));
    assert_eq!(queue_waits.wait(START + Millis(500), &shard, 0), Millis(0));
    assert_eq!(queue_waits.wait(START + Millis(5000), &shard, 1), Millis(0));
}

/// Returns a shard of pool `p`.
fn shard(domain: Option<&str>) -> Shard {
    let domain = domain.map(|it| it.parse().expect("a name"));
    Shard { pool: "p".parse().expect("a name"), domain }
}

#[test]
fn pieces_stay_in_their_domain_unless_its_queue_is_much_longer_or_it_is_down() {
    let (a, b) = (shard(Some("a")), shard(Some("b")));
    let home = a.domain.clone();
    let first = |queue_waits: &QueueWaits| {
        let shards = vec![b.clone(), a.clone()];
        queue_waits.order(START, shards, home.as_ref(), 1, b"request")[0].clone()
    };
    let mut queue_waits = QueueWaits::default();
    let quiet = first(&queue_waits);

    queue_waits.record(START, &a, 1, Millis(150));
    let busy = first(&queue_waits);
    queue_waits.record(START, &a, 1, Millis(450));
    let full = first(&queue_waits);
    queue_waits.record(START, &b, 1, Millis(450));
    let both = first(&queue_waits);
    queue_waits.avoid(START, &a);
    let down = first(&queue_waits);

    assert_eq!([quiet, busy, full, both, down], [a.clone(), a.clone(), b.clone(), a.clone(), b]);
}

/// Returns tables with `count` entry instances in two domains.
fn entry_tables(count: u64) -> Tables {
    let member = |id: u64| Member {
        id: NodeId(id),
        name: format!("n{id}").parse().expect("a name"),
        domain: if id.is_multiple_of(2) { "a" } else { "b" }.parse().expect("a name"),
        peer: ([127, 0, 0, 1], id as u16).into(),
        relay: None,
        incarnation: Incarnation(1),
        disk: false,
    };
    Tables { roster: (1..=count).map(|it| (NodeId(it), member(it))).collect(), ..Tables::default() }
}

#[test]
fn a_pool_is_split_by_domain_if_there_are_many_instances() {
    let pool = "p".parse().expect("a name");
    let endpoints = [endpoint("x", "a"), endpoint("y", "b"), endpoint("z", "a")];
    let split = |count| shards(&pool, &endpoints, is_split(&entry_tables(count)));

    assert_eq!(split(8), [shard(None)]);
    assert_eq!(split(24), [shard(Some("a")), shard(Some("b"))]);
}

#[test]
fn the_first_batcher_of_a_shard_is_in_its_domain_and_the_second_in_another() {
    let tables = entry_tables(24);
    let domain = |it: &SocketAddr| {
        let member = tables.roster.values().find(|member| member.peer == *it);
        member.expect("an instance").domain.to_string()
    };

    for name in ["a", "b"] {
        let candidates = batcher_candidates(&tables, &shard(Some(name)));

        assert_eq!(candidates.len(), 24);
        assert_eq!(domain(&candidates[0]), name);
        assert_ne!(domain(&candidates[1]), name);
    }
}

#[test]
fn instances_agree_on_batchers_and_a_restart_changes_nothing() {
    let member = |id: u64, port: u16, disk: bool| Member {
        id: NodeId(id),
        name: format!("n{id}").parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        peer: ([127, 0, 0, 1], port).into(),
        relay: None,
        incarnation: Incarnation(1),
        disk,
    };
    let tables = |members: Vec<Member>| Tables {
        roster: members.into_iter().map(|it| (it.id, it)).collect(),
        ..Tables::default()
    };
    let shard = shard(None);

    let one = tables(vec![member(1, 1, false), member(2, 2, false), member(3, 3, true)]);
    let restarted = tables(vec![
        member(3, 3, true),
        member(9, 2, false),
        member(1, 1, false),
        member(2, 2, false),
    ]);

    assert_eq!(batcher_candidates(&one, &shard), batcher_candidates(&restarted, &shard));
    assert_eq!(batcher_candidates(&one, &shard).len(), 2, "instances with a disk don't relay here");
}

#[test]
fn a_restarted_instance_is_not_taken_for_its_earlier_run_that_fell_silent() {
    let mut tables = entry_tables(3);
    let restarted = Member { id: NodeId(9), ..tables.roster[&NodeId(2)].clone() };
    tables.roster.insert(restarted.id, restarted.clone());
    let silent: IndexSet<NodeId> = [NodeId(1), NodeId(2)].into_iter().collect();
    let is_cut = |id: u64| is_peer_cut(&tables, &silent, tables.roster[&NodeId(id)].peer);

    assert!(is_cut(1));
    assert!(!is_cut(2), "another run is at its address");
    assert!(!is_cut(3));
    assert!(!is_peer_cut(&tables, &silent, ([127, 0, 0, 9], 9).into()), "an unknown address");
}
