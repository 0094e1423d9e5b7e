//! Differences between catalogs, and the copies that follow them.

use {
    coord::{
        catalog::{
            Catalog, CatalogDelta, CatalogLimits, ColdBound, RelayRoute, RetryPolicy, Service,
            Split, TeamEntry,
        },
        control::{Feed, LeaseHolder, RenewReply, Update, UpdateForm},
        ids::{Bytes, CatalogVersion, Generation, Index, PoolName, Slots, Term},
        packed::Packed,
        tables::{Command, Delta, Endpoint, EndpointState, State, Tables},
        time::{Millis, Time},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::sync::Arc,
};

const SEEDS: u64 = 1000;
const LEASE: Millis = Millis(2400);

fn pool(number: u32) -> PoolName {
    format!("p{number}").parse().expect("a name")
}

/// A catalog with a random selection of possible rows, in random order.
fn random_catalog(version: u64, rng: &mut StdRng) -> Catalog {
    let route = |number: u32, rng: &mut StdRng| RelayRoute {
        name: format!("r{number}").parse().expect("a name"),
        host: format!("h{}", number % 3),
        prefix: format!("/{number}/"),
        retry: RetryPolicy::Once,
        timeout: Millis(rng.random_range(1..4)),
        latency_target: Millis(1),
        priority: 0,
        split: vec![Split { pool: pool(0), weight: 1 }],
        max_attempts: 1,
        stages: Vec::new(),
        public: false,
        sticky: false,
        event_gap: None,
    };
    let service = |rng: &mut StdRng| Service {
        health_path: "/".to_owned(),
        max_connections: rng.random_range(1..3),
        cold_start: ColdBound::default(),
        engine: None,
        batch: None,
    };
    let mut routes: Vec<RelayRoute> = Vec::new();
    for number in 0..12 {
        if rng.random_bool(0.6) {
            routes.push(route(number, rng));
        }
    }
    routes.shuffle(rng);
    let pools = (0..4).filter(|it| *it == 0 || rng.random_bool(0.6)).collect::<Vec<u32>>();
    let services = pools.into_iter().map(|it| (pool(it), service(rng))).collect();
    let teams = (0..4).filter(|_| rng.random_bool(0.6)).collect::<Vec<u32>>();
    let team = |it: u32| (format!("t{it}").parse().expect("a name"), it);
    let entry = |rng: &mut StdRng| TeamEntry {
        keys: Vec::new(),
        priority: rng.random_bool(0.5).then_some(1),
    };
    let teams = teams.into_iter().map(|it| (team(it).0, entry(rng))).collect();
    let limits =
        CatalogLimits { max_head: Bytes(rng.random_range(1..3)), ..CatalogLimits::default() };
    Catalog { version: CatalogVersion(version), routes, services, teams, limits }
}

fn put(state: &mut State, index: u64, catalog: Catalog) -> Delta {
    let command = Command::Catalog { catalog: Arc::new(catalog), document: "".into() };
    state.apply(Index(index), &command).delta.expect("the catalog changes the tables")
}

fn reply(update: Update, index: u64) -> RenewReply {
    RenewReply {
        term: Term(1),
        seq: 1,
        lease: LEASE,
        update,
        index: Index(index),
        grants: None,
        loads: Vec::new(),
        teams: Vec::new(),
        want_holdings: false,
        suspects: Vec::new(),
        trials: Vec::new(),
        limits: None,
        load: None,
        mixed: Default::default(),
        cut: Default::default(),
        rollouts: Vec::new(),
        voters: None,
        shares_in: None,
    }
}

/// A form of updates that instances of this build or of an earlier one read.
fn any_form(rng: &mut StdRng) -> UpdateForm {
    match rng.random_range(0..4) {
        0 => UpdateForm::Plain,
        1 => UpdateForm::PackedCatalog,
        2 => UpdateForm::Packed,
        _ => UpdateForm::WithRollouts,
    }
}

/// Adds an endpoint to the state and to the feed.
fn announce(state: &mut State, feed: &mut Feed, index: u64) {
    let endpoint = Endpoint {
        name: format!("endpoint-{index}").parse().expect("a name"),
        pool: "pool".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr: ([10, 0, (index >> 8) as u8, index as u8], 7000).into(),
        generation: Generation(index),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(8),
        version: None,
    };
    let applied = state.apply(Index(index), &Command::Endpoint(endpoint));
    feed.push(Index(index), applied.delta.expect("the endpoint is new"));
}

#[test]
fn copies_follow_packed_deltas_and_packed_tables() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut state, mut feed) = (State::default(), Feed::start(Index(0)));
    let mut holder = LeaseHolder::new();
    feed.push(Index(1), put(&mut state, 1, random_catalog(1, &mut rng)));
    (2..100).for_each(|it| announce(&mut state, &mut feed, it));

    let whole = feed.update(Index(0), UpdateForm::Packed, &state.tables);
    assert!(matches!(whole, Update::PackedTables { .. }));
    holder.apply_reply(Time(1), Time(1), reply(whole, 99));
    assert_eq!(**holder.tables(), state.tables);

    (100..400).for_each(|it| announce(&mut state, &mut feed, it));
    let deltas = feed.update(Index(99), UpdateForm::Packed, &state.tables);
    assert!(matches!(deltas, Update::PackedDeltas(_)));
    holder.apply_reply(Time(1), Time(1), reply(deltas, 399));
    assert_eq!(**holder.tables(), state.tables);
}

#[test]
fn an_instance_that_reads_packed_catalogs_is_sent_nothing_else_packed() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut state, mut feed) = (State::default(), Feed::start(Index(0)));
    feed.push(Index(1), put(&mut state, 1, random_catalog(1, &mut rng)));
    (2..400).for_each(|it| announce(&mut state, &mut feed, it));

    let forms: Vec<Update> = [0, 1, 380]
        .into_iter()
        .map(|it| feed.update(Index(it), UpdateForm::PackedCatalog, &state.tables))
        .collect();

    assert!(
        matches!(forms[..], [Update::Packed { .. }, Update::Packed { .. }, Update::Deltas(_)]),
        "{forms:?}"
    );
}

#[test]
fn a_difference_leads_to_the_same_content_whatever_the_order_of_rows() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut old = random_catalog(1, &mut rng);
        let mut new = random_catalog(2, &mut rng);
        old.sort();
        new.sort();

        let delta = CatalogDelta::between(&old, &new);

        let applied = delta.apply(&old).expect("the difference fits");
        assert_eq!(applied, new, "seed {seed}");
        assert_eq!(applied.digest(), new.digest(), "seed {seed}");
    }
}

#[test]
fn a_copy_that_differs_from_the_one_that_was_changed_notices() {
    let mut noticed = 0;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let [mut old, mut new, mut other] = [1, 2, 1].map(|it| random_catalog(it, &mut rng));
        [&mut old, &mut new, &mut other].into_iter().for_each(Catalog::sort);

        let delta = CatalogDelta::between(&old, &new);

        match delta.apply(&other) {
            Ok(it) => assert_eq!(it, new, "seed {seed}"),
            Err(_) => noticed += 1,
        }
    }
    assert!(noticed > SEEDS / 2, "only {noticed} differing copies were noticed");
}

#[test]
fn copies_follow_a_feed_with_lost_and_repeated_replies() {
    for seed in 0..SEEDS / 4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut state, mut feed) = (State::default(), Feed::start(Index(0)));
        let mut holder = LeaseHolder::new();
        let mut earlier: Vec<RenewReply> = Vec::new();
        for index in 1..=20 {
            let delta = put(&mut state, index, random_catalog(index, &mut rng));
            feed.push(Index(index), delta);
            let it = reply(feed.update(holder.index(), any_form(&mut rng), &state.tables), index);
            if rng.random_bool(0.6) {
                holder.apply_reply(Time(1), Time(1), it.clone());
            }
            earlier.push(it);
            if rng.random_bool(0.3) {
                let late = earlier[rng.random_range(0..earlier.len())].clone();
                holder.apply_reply(Time(1), Time(1), late);
            }
        }

        let last = reply(feed.update(holder.index(), any_form(&mut rng), &state.tables), 20);
        let change = holder.apply_reply(Time(1), Time(1), last);

        assert_eq!(change.failure, None, "seed {seed}");
        assert_eq!(*holder.tables().catalog, *state.tables.catalog, "seed {seed}");
    }
}

#[test]
fn a_copy_asks_for_whole_tables_after_a_difference_that_does_not_fit() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut state, mut feed) = (State::default(), Feed::start(Index(0)));
    let mut holder = LeaseHolder::new();
    feed.push(Index(1), put(&mut state, 1, random_catalog(1, &mut rng)));
    let whole = feed.update(Index(0), UpdateForm::Packed, &state.tables);
    holder.apply_reply(Time(1), Time(1), reply(whole, 1));
    let strange = CatalogDelta::between(&random_catalog(7, &mut rng), &random_catalog(8, &mut rng));
    let strange = Update::Deltas(vec![(Index(2), Delta::CatalogEdit(Packed::new(&strange)))]);

    let change = holder.apply_reply(Time(1), Time(1), reply(strange, 2));

    assert!(change.failure.is_some());
    assert_eq!(holder.index(), Index(0), "the next renewal asks for the whole tables");
    let late = Update::Same;
    holder.apply_reply(Time(1), Time(1), reply(late, 2));
    assert_eq!(holder.index(), Index(0), "a late reply doesn't hide that");
    let whole = feed.update(holder.index(), UpdateForm::Packed, &state.tables);
    holder.apply_reply(Time(1), Time(1), reply(whole, 1));
    assert_eq!(*holder.tables().catalog, *state.tables.catalog);
}

#[test]
fn an_instance_of_an_earlier_build_is_sent_nothing_packed() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut state, mut feed) = (State::default(), Feed::start(Index(0)));
    for index in 1..=3 {
        feed.push(Index(index), put(&mut state, index, random_catalog(index, &mut rng)));
    }

    let update = feed.update(Index(1), UpdateForm::Plain, &state.tables);

    let Update::Full(tables) = update else {
        panic!("not the whole tables: {update:?}");
    };
    assert_eq!(*tables, state.tables);
}

#[test]
fn a_packed_value_that_is_cut_or_spoiled_is_not_opened() {
    let tables = Tables::default();
    let text = serde_json::to_string(&Packed::new(&tables)).expect("it can be written");

    for cut in [2, text.len() / 2, text.len() - 4] {
        let spoiled = format!("{}\"", &text[..cut]);
        let packed: Packed<Tables> = serde_json::from_str(&spoiled).expect("a string");
        assert!(packed.open().is_err(), "cut at {cut}");
    }
    let packed: Packed<Tables> = serde_json::from_str(&text).expect("a string");
    assert_eq!(packed.open().expect("the whole text"), tables);
}
