//! What changes of a large catalog cost instances and voters.

use {
    coord::{
        catalog::{
            Catalog, CatalogLimits, ColdBound, RelayRoute, RetryPolicy, Service, Split, TeamEntry,
        },
        control::{Completion, Feed, Token, UpdateForm, Voter},
        ids::{Bytes, CatalogVersion, Index, NodeId, PoolName},
        raft::{Config, RestoredState},
        size::json_size,
        tables::{Command, Outcome, State},
        time::{Millis, Time},
    },
    std::sync::Arc,
};

fn pool() -> PoolName {
    "p".parse().expect("a name")
}

fn route(number: usize) -> RelayRoute {
    RelayRoute {
        name: format!("route-{number}").parse().expect("a name"),
        host: format!("host{}.example", number % 50),
        prefix: format!("/prefix-{number}/"),
        retry: RetryPolicy::Idempotent,
        timeout: Millis(1000),
        latency_target: Millis(100),
        priority: 0,
        split: vec![Split { pool: pool(), weight: 1 }],
        max_attempts: 1,
        stages: Vec::new(),
        public: false,
        sticky: false,
        event_gap: None,
    }
}

/// A catalog with this many routes, one of which differs from version to version.
fn catalog(version: u64, routes: usize) -> Catalog {
    let service = Service {
        health_path: "/".to_owned(),
        max_connections: 1,
        cold_start: ColdBound::default(),
        engine: None,
        batch: None,
    };
    let mut routes: Vec<RelayRoute> = (0..routes).map(route).collect();
    let changed = version as usize % routes.len();
    routes[changed].timeout = Millis(1000 + version);
    Catalog {
        version: CatalogVersion(version),
        routes,
        services: [(pool(), service)].into_iter().collect(),
        teams: [("t".parse().expect("a name"), TeamEntry { keys: Vec::new(), priority: None })]
            .into_iter()
            .collect(),
        limits: CatalogLimits::default(),
    }
}

fn command(catalog: Catalog) -> Command {
    let document = serde_json::to_string(&catalog).expect("a catalog can be written");
    Command::Catalog { catalog: Arc::new(catalog), document: document.into() }
}

/// The state and the feed after versions 1 to `last` of a catalog.
fn replicate(last: u64, routes: usize) -> (State, Feed) {
    let mut state = State::default();
    let mut feed = Feed::start(Index(0));
    for version in 1..=last {
        let applied = state.apply(Index(version), &command(catalog(version, routes)));
        feed.push(Index(version), applied.delta.expect("each version changes the tables"));
    }
    (state, feed)
}

/// The size of the update of an instance that has applied everything up to an index.
fn update_size(state: &State, feed: &mut Feed, applied: u64) -> Bytes {
    json_size(&feed.update(Index(applied), UpdateForm::Packed, &state.tables))
}

/// Makes all writes of a voter durable.
fn sync(voter: &mut Voter, now: Time) {
    while let Some(batch) = voter.raft_mut().take_batch() {
        voter.synced(now, batch.last);
    }
}

/// A voter that leads, as the only one of its system.
fn sole_voter() -> (Voter, Time) {
    let (id, addr) = (NodeId(1), "127.0.0.1:1".parse().expect("an address"));
    let mut now = Time(1);
    let mut voter = Voter::new(id, RestoredState::default(), now, 1);
    voter.raft_mut().bootstrap(Config::single(id, addr));
    while !voter.raft().has_committed_in_term() {
        now = now + Millis(10);
        voter.tick(now);
        sync(&mut voter, now);
    }
    (voter, now)
}

#[test]
fn the_update_after_a_change_of_one_route_does_not_grow_with_the_catalog() {
    let (small_state, mut small_feed) = replicate(2, 1_000);
    let (large_state, mut large_feed) = replicate(2, 20_000);

    let small = update_size(&small_state, &mut small_feed, 1);
    let large = update_size(&large_state, &mut large_feed, 1);

    assert!(large.0 < 2 * small.0, "{small} bytes at 1,000 routes, {large} at 20,000");
}

#[test]
fn the_update_after_many_missed_changes_is_no_larger_than_the_whole_tables() {
    let (state, mut feed) = replicate(40, 2_800);

    let missed = update_size(&state, &mut feed, 1);

    let whole = json_size(&state.tables);
    assert!(missed.0 <= whole.0, "{missed} bytes for 39 changes, the tables have {whole}");
}

#[test]
fn a_voter_bounds_the_log_that_it_keeps_in_bytes() {
    let (mut voter, mut now) = sole_voter();

    for version in 1..=60 {
        now = now + Millis(10);
        voter.propose(now, Token(version), command(catalog(version, 2_800)));
        sync(&mut voter, now);
    }

    assert_eq!(voter.state().tables.catalog.version, CatalogVersion(60));
    let kept = voter.raft().kept_size();
    assert!(kept.0 <= 16 << 20, "the log has {kept} bytes in memory");
}

#[test]
fn a_catalog_that_is_sent_again_adds_nothing_to_the_log() {
    let (mut voter, now) = sole_voter();
    voter.propose(now, Token(1), command(catalog(2, 2_800)));
    sync(&mut voter, now);
    voter.take_completions();
    let last = voter.raft().last_index();

    voter.propose(now, Token(2), command(catalog(2, 2_800)));
    voter.propose(now, Token(3), command(catalog(1, 2_800)));

    let done: Vec<Token> = voter
        .take_completions()
        .into_iter()
        .map(|it| match it {
            Completion::Proposal(token, Ok(Outcome::Done)) => token,
            other => panic!("not acknowledged: {other:?}"),
        })
        .collect();
    assert_eq!(done, [Token(2), Token(3)]);
    assert_eq!(voter.raft().last_index(), last);
}

#[test]
fn a_catalog_that_is_sent_again_before_agreement_is_logged_once() {
    let (mut voter, now) = sole_voter();
    let last = voter.raft().last_index();
    let same = command(catalog(2, 2_800));

    for token in 1..=8 {
        voter.propose(now, Token(token), same.clone());
    }

    assert_eq!(voter.raft().last_index(), last.next());
    sync(&mut voter, now);
    let done = voter.take_completions();
    assert_eq!(done.len(), 8, "each of those who sent it is answered");
    assert!(done.iter().all(|it| matches!(it, Completion::Proposal(_, Ok(Outcome::Done)))));
}
