//! Validation of catalogs and which version takes effect.

use {
    coord::{
        catalog::{
            ApiKey, Catalog, CatalogError, CatalogLimits, ColdBound, RelayRoute, RelayStage,
            RetryPolicy, RouteIndex, Service, Split, TeamEntry,
        },
        ids::{Bytes, CatalogVersion, Index, PoolName},
        tables::{Command, Outcome, State},
        time::Millis,
    },
    std::sync::Arc,
};

fn pool(name: &str) -> PoolName {
    name.parse().expect("a name")
}

fn route(name: &str, host: &str, prefix: &str) -> RelayRoute {
    RelayRoute {
        name: name.parse().expect("a name"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry: RetryPolicy::Idempotent,
        timeout: Millis(1000),
        latency_target: Millis(100),
        priority: 0,
        split: vec![Split { pool: pool("p"), weight: 1 }],
        max_attempts: 1,
        stages: Vec::new(),
        public: false,
        sticky: false,
        event_gap: None,
    }
}

fn catalog(version: u64, routes: Vec<RelayRoute>) -> Catalog {
    let service = Service {
        health_path: "/".to_owned(),
        max_connections: 1,
        cold_start: ColdBound::default(),
        engine: None,
        batch: None,
    };
    Catalog {
        version: CatalogVersion(version),
        routes,
        services: [(pool("p"), service)].into_iter().collect(),
        teams: Default::default(),
        limits: CatalogLimits::default(),
    }
}

fn put(state: &mut State, index: u64, catalog: Catalog, document: &str) -> Outcome {
    let command = Command::Catalog { catalog: Arc::new(catalog), document: document.into() };
    state.apply(Index(index), &command).outcome
}

#[test]
fn a_valid_catalog_is_accepted() {
    let routes = vec![route("a", "h", "/"), route("b", "h", "/x/"), route("c", "i", "/")];

    assert_eq!(catalog(1, routes).check(), Ok(()));
}

#[test]
fn each_kind_of_invalid_route_is_reported() {
    let mut unknown_service = route("a", "h", "/");
    unknown_service.split[0].pool = pool("q");
    let mut zero_weight = route("a", "h", "/");
    zero_weight.split[0].weight = 0;
    let mut zero_timeout = route("a", "h", "/");
    zero_timeout.timeout = Millis(0);
    let mut cyclic = route("a", "h", "/");
    cyclic.stages = vec![RelayStage { pool: pool("p"), after: vec![0], result_size: Bytes(1) }];

    let errors: Vec<CatalogError> =
        [vec![unknown_service], vec![zero_weight], vec![zero_timeout], vec![cyclic]]
            .into_iter()
            .map(|routes| catalog(1, routes).check().expect_err("it is invalid"))
            .collect();
    let duplicate = catalog(1, vec![route("a", "h", "/"), route("b", "h", "/")]).check();

    assert!(matches!(errors[0], CatalogError::UnknownService { .. }));
    assert!(matches!(errors[1], CatalogError::ZeroWeight { .. }));
    assert!(matches!(errors[2], CatalogError::ZeroTimeout { .. }));
    assert!(matches!(errors[3], CatalogError::StageOrder { .. }));
    assert!(matches!(duplicate, Err(CatalogError::DuplicateRoute { .. })));
}

#[test]
fn two_teams_cannot_share_a_key() {
    let mut shared = catalog(1, vec![route("a", "h", "/")]);
    for name in ["t", "u"] {
        let entry = TeamEntry { keys: vec![ApiKey("k".to_owned())], priority: None };
        shared.teams.insert(name.parse().expect("a name"), entry);
    }

    assert!(matches!(shared.check(), Err(CatalogError::SharedKey { .. })));
}

#[test]
fn debug_output_does_not_contain_api_keys() {
    assert!(!format!("{:?}", ApiKey("secret".to_owned())).contains("secret"));
}

#[test]
fn a_request_goes_to_the_longest_matching_prefix_of_its_host() {
    let routes = vec![route("a", "h", "/"), route("b", "h", "/x/"), route("c", "i", "/x/y/")];
    let index = RouteIndex::new(&catalog(1, routes));

    assert_eq!(index.find("h", "/x/y/z"), Some(1));
    assert_eq!(index.find("H:8080", "/z"), Some(0));
    assert_eq!(index.find("i", "/x/"), None);
    assert_eq!(index.find("j", "/"), None);
}

#[test]
fn a_split_follows_its_weights() {
    let mut split = route("a", "h", "/");
    split.split = vec![
        Split { pool: pool("p"), weight: 3 },
        Split { pool: pool("q"), weight: 0 },
        Split { pool: pool("r"), weight: 1 },
    ];

    let picked: Vec<&str> = (0..8).filter_map(|it| split.pick(it)).map(PoolName::as_str).collect();

    assert_eq!(picked, ["p", "p", "p", "r", "p", "p", "p", "r"]);
}

#[test]
fn the_highest_version_takes_effect_in_any_order() {
    let mut state = State::default();

    let outcomes = [
        put(&mut state, 1, catalog(5, vec![route("a", "h", "/")]), "five"),
        put(&mut state, 2, catalog(3, vec![route("b", "h", "/")]), "three"),
        put(&mut state, 3, catalog(5, vec![route("c", "h", "/")]), "other five"),
    ];

    assert!(outcomes.iter().all(|it| *it == Outcome::Done), "each is acknowledged");
    assert_eq!(state.document.as_deref(), Some("five"));
    assert_eq!(state.tables.catalog.routes[0].name.as_str(), "a");
    put(&mut state, 4, catalog(6, vec![route("d", "h", "/")]), "six");
    assert_eq!(state.tables.catalog.version, CatalogVersion(6));
}
