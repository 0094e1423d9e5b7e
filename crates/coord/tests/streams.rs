//! What streams came from, over seeded orders of starts, changes of endpoints and routes,
//! lost messages, outdated tables, take-ups and rotations.

use {
    coord::{
        catalog::{Catalog, ColdBound, RelayRoute, RetryPolicy, Service, Split},
        control::Token,
        ids::{CatalogVersion, EndpointName, Generation, Index, Slots},
        streams::{StreamGroup, StreamId, StreamIntake, StreamLedger, StreamOrigin, StreamQuery},
        tables::{Command, Endpoint, EndpointState, State, Tables},
        time::{Millis, Time},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{collections::BTreeMap, sync::Arc},
};

const SEEDS: u64 = 2000;
const STEPS: u64 = 400;
const STEP: Millis = Millis(20);
const INSTANCES: usize = 3;
/// The time between two rotations; streams are taken up within it.
const ROTATION: Millis = Millis(2000);

fn endpoint(name: &str, pool: &str, generation: u64, version: &str) -> Endpoint {
    Endpoint {
        name: name.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr: ([127, 0, 0, 1], 1).into(),
        generation: Generation(generation),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
        version: Some(version.parse().expect("a version")),
    }
}

fn catalog(version: u64, pools: &[&str]) -> Catalog {
    let split = |it: &&str| Split { pool: it.parse().expect("a name"), weight: 1 };
    let route = RelayRoute {
        name: "r".parse().expect("a name"),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry: RetryPolicy::ResumableStream,
        timeout: Millis(1000),
        latency_target: Millis(100),
        priority: 0,
        split: pools.iter().map(split).collect(),
        max_attempts: 2,
        stages: Vec::new(),
        public: true,
        sticky: false,
        event_gap: None,
    };
    let service = || Service {
        health_path: "/".to_owned(),
        max_connections: 10,
        cold_start: ColdBound::default(),
        engine: None,
        batch: None,
    };
    let services = ["a", "b"].map(|it| (it.parse().expect("a name"), service()));
    Catalog {
        version: CatalogVersion(version),
        routes: vec![route],
        services: services.into_iter().collect(),
        ..Catalog::default()
    }
}

fn set_catalog(state: &mut State, version: u64, pools: &[&str]) {
    let catalog = Arc::new(catalog(version, pools));
    state.apply(Index(1), &Command::Catalog { catalog, document: "".into() });
}

fn announce(state: &mut State, endpoint: Endpoint) {
    state.apply(Index(1), &Command::Endpoint(endpoint));
}

fn query(id: u64) -> StreamQuery {
    StreamQuery { id: Some(StreamId(id)), host: "h".to_owned(), prefix: "/".to_owned() }
}

fn origin(pool: &str, version: &str) -> StreamOrigin {
    StreamOrigin::of(&endpoint("e", pool, 1, version))
}

fn find(state: &State, id: u64) -> Option<StreamOrigin> {
    state.streams.find(&state.tables, &query(id))
}

fn group(origin: StreamOrigin, ids: &[u64]) -> StreamGroup {
    StreamGroup { origin, endpoint: None, ids: ids.iter().copied().map(StreamId).collect() }
}

/// A state with a route to pool `a` and one endpoint of v1.
fn single() -> State {
    let mut state = State::default();
    set_catalog(&mut state, 1, &["a"]);
    announce(&mut state, endpoint("e1", "a", 1, "v1"));
    state
}

#[test]
fn a_stream_is_certain_without_a_record_while_there_is_one_version() {
    let mut state = single();
    assert_eq!(find(&state, 1), Some(origin("a", "v1")));
    assert!(state.streams.mixed_pools(&state.tables).is_empty());

    announce(&mut state, endpoint("e2", "a", 1, "v2"));

    assert_eq!(find(&state, 1), None);
    assert_eq!(state.streams.mixed_pools(&state.tables).len(), 1);
}

#[test]
fn an_endpoint_that_changes_its_version_leaves_both_possible_for_two_rotations() {
    let mut state = single();

    announce(&mut state, endpoint("e1", "a", 2, "v2"));

    assert_eq!(find(&state, 1), None);
    state.apply(Index(1), &Command::RotateStreams);
    assert_eq!(find(&state, 1), None);
    state.apply(Index(1), &Command::RotateStreams);
    assert_eq!(find(&state, 1), Some(origin("a", "v2")));
}

#[test]
fn a_stream_recorded_with_two_origins_is_uncertain() {
    let mut state = single();
    announce(&mut state, endpoint("e2", "a", 1, "v2"));

    state.apply(Index(1), &Command::RecordStreams(vec![group(origin("a", "v1"), &[1, 2])]));
    state.apply(Index(1), &Command::RotateStreams);
    state.apply(Index(1), &Command::RecordStreams(vec![group(origin("a", "v2"), &[2])]));

    assert_eq!(find(&state, 1), Some(origin("a", "v1")));
    assert_eq!(find(&state, 2), None);
}

#[test]
fn a_stream_of_a_split_or_moved_route_needs_a_record() {
    let mut state = single();
    announce(&mut state, endpoint("f", "b", 1, "v1"));

    set_catalog(&mut state, 2, &["b"]);
    let moved = find(&state, 1);
    state.apply(Index(1), &Command::RotateStreams);
    state.apply(Index(1), &Command::RotateStreams);
    let settled = find(&state, 1);
    set_catalog(&mut state, 3, &["a", "b"]);
    let split = find(&state, 1);

    assert_eq!((moved, settled, split), (None, Some(origin("b", "v1")), None));
    assert_eq!(state.streams.mixed_pools(&state.tables).len(), 2);
}

#[test]
fn the_record_of_an_endpoint_that_has_become_another_version_is_left_out() {
    let mut state = single();
    let mut ledger = StreamLedger::default();
    ledger.set_mixed(["a".parse().expect("a name")].into_iter().collect());
    ledger.begin(Time(1), StreamId(1), &endpoint("e1", "a", 1, "v1"));
    announce(&mut state, endpoint("e1", "a", 2, "v2"));
    announce(&mut state, endpoint("e2", "a", 1, "v1"));

    let mut intake = StreamIntake::default();
    intake.add(Time(1), Token(1), &ledger.take_batch(Time(1)), &state.tables);
    let (groups, _) = intake.take_due(Time(1000)).expect("an entry is due");
    state.apply(Index(1), &Command::RecordStreams(groups));

    assert_eq!(find(&state, 1), None);
}

#[test]
fn the_state_with_records_survives_its_encoding() {
    let mut state = single();
    announce(&mut state, endpoint("e1", "a", 2, "v2"));
    state.apply(Index(1), &Command::RecordStreams(vec![group(origin("a", "v2"), &[u64::MAX, 0])]));

    let text = serde_json::to_string(&state).expect("the state can be encoded");
    let decoded: State = serde_json::from_str(&text).expect("the state can be decoded");

    assert_eq!(decoded, state);
}

/// One stream: what it truly came from, and when it was last recorded or begun.
struct Truth {
    origin: StreamOrigin,
    at: Time,
}

struct World {
    rng: StdRng,
    now: Time,
    state: State,
    /// Earlier states of the tables, with the pools that are to be recorded.
    past: Vec<(Tables, indexmap::IndexSet<coord::ids::PoolName>)>,
    ledgers: Vec<StreamLedger>,
    /// The position in `past` of the tables that each instance has.
    views: Vec<usize>,
    intake: StreamIntake,
    running: BTreeMap<EndpointName, Endpoint>,
    streams: BTreeMap<u64, Truth>,
    catalog_version: u64,
    next: u64,
    rotated: Time,
    found: usize,
    asked: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Time(1),
            state: State::default(),
            past: Vec::new(),
            ledgers: (0..INSTANCES).map(|_| StreamLedger::default()).collect(),
            views: vec![0; INSTANCES],
            intake: StreamIntake::default(),
            running: BTreeMap::new(),
            streams: BTreeMap::new(),
            catalog_version: 1,
            next: 1,
            rotated: Time(1),
            found: 0,
            asked: 0,
        };
        set_catalog(&mut world.state, 1, &["a"]);
        for _ in 0..4 {
            world.start_endpoint();
        }
        world.remember();
        world
    }

    fn remember(&mut self) {
        let mixed = self.state.streams.mixed_pools(&self.state.tables);
        self.past.push((self.state.tables.clone(), mixed));
    }

    fn start_endpoint(&mut self) {
        let name = format!("e{}", self.next);
        self.next += 1;
        let pool = if self.rng.random_bool(0.7) { "a" } else { "b" };
        let version = format!("v{}", self.rng.random_range(1..4));
        let row = endpoint(&name, pool, 1, &version);
        self.running.insert(row.name.clone(), row.clone());
        announce(&mut self.state, row);
    }

    fn change(&mut self) {
        let names: Vec<EndpointName> = self.running.keys().cloned().collect();
        let name = names.choose(&mut self.rng).cloned();
        match (self.rng.random_range(0..8), name) {
            (0..3, _) | (_, None) => self.start_endpoint(),
            (3..5, Some(name)) => {
                let row = self.running.remove(&name).expect("it runs");
                announce(&mut self.state, Endpoint { state: EndpointState::Leaving, ..row });
            }
            (5..7, Some(name)) => {
                let version = format!("v{}", self.rng.random_range(1..4));
                let row = self.running.get_mut(&name).expect("it runs");
                row.generation = Generation(row.generation.0 + 1);
                row.version = Some(version.parse().expect("a version"));
                let row = row.clone();
                announce(&mut self.state, row);
            }
            _ => {
                self.catalog_version += 1;
                let pools = [&["a"][..], &["b"], &["a", "b"]][self.rng.random_range(0..3)];
                set_catalog(&mut self.state, self.catalog_version, pools);
            }
        }
        self.remember();
    }

    /// An instance begins a stream by the tables that it has.
    fn begin(&mut self, instance: usize) {
        let tables = &self.past[self.views[instance]].0;
        let split = &tables.catalog.routes[0].split;
        let usable: Vec<&Endpoint> = tables
            .endpoints
            .values()
            .filter(|it| it.state == EndpointState::Warm)
            .filter(|it| split.iter().any(|split| split.pool == it.pool))
            .collect();
        let Some(chosen) = usable.choose(&mut self.rng).copied().cloned() else {
            return;
        };
        let Some(truth) = self.running.get(&chosen.name).map(StreamOrigin::of) else {
            return;
        };
        let id = self.next;
        self.next += 1;
        self.ledgers[instance].begin(self.now, StreamId(id), &chosen);
        self.ledgers[instance].end(self.now, StreamId(id), false);
        self.streams.insert(id, Truth { origin: truth, at: self.now });
    }

    fn report(&mut self, instance: usize) {
        let batch = self.ledgers[instance].take_batch(self.now);
        let (arrives, answered) = (self.rng.random_bool(0.8), self.rng.random_bool(0.8));
        if arrives {
            self.intake.add(self.now, Token(1), &batch, &self.state.tables);
        }
        self.ledgers[instance].settle(&batch, arrives && answered);
        if let Some((groups, _)) = self.intake.take_due(self.now) {
            self.state.apply(Index(1), &Command::RecordStreams(groups));
        }
    }

    fn take_up(&mut self, seed: u64) {
        let ids: Vec<u64> = self.streams.keys().copied().collect();
        let Some(id) = ids.choose(&mut self.rng).copied() else {
            return;
        };
        let truth = &self.streams[&id];
        self.asked += 1;
        if let Some(found) = find(&self.state, id) {
            self.found += 1;
            assert_eq!(found, truth.origin, "seed {seed}: stream {id} at {:?}", self.now);
        }
    }

    fn step(&mut self, seed: u64) {
        self.now = self.now + STEP;
        if self.rng.random_bool(0.05) {
            self.change();
        }
        for instance in 0..INSTANCES {
            if self.rng.random_bool(0.3) {
                self.views[instance] = self.rng.random_range(self.views[instance]..self.past.len());
                let mixed = self.past[self.views[instance]].1.clone();
                self.ledgers[instance].set_mixed(mixed);
            }
            if self.rng.random_bool(0.4) {
                self.begin(instance);
            }
            if self.rng.random_bool(0.4) {
                self.report(instance);
            }
        }
        if self.now.since(self.rotated) >= ROTATION {
            self.rotated = self.now;
            self.state.apply(Index(1), &Command::RotateStreams);
            self.remember();
        }
        let now = self.now;
        self.streams.retain(|_, it| now.since(it.at) < ROTATION);
        self.take_up(seed);
    }
}

#[test]
fn a_stream_is_never_found_to_have_come_from_another_origin() {
    let (mut found, mut asked) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step(seed);
        }
        found += world.found;
        asked += world.asked;
    }
    assert!(found * 2 > asked, "only {found} of {asked} streams are found");
}
