//! Pins the values that instances of other builds read or compute themselves:
//! stored digests, reasons, summaries and JSON, and ranks. If two builds differ
//! in one of these, their states diverge on the same log.

use coord::{
    catalog::{
        ApiKey, BatchTerms, Catalog, CatalogLimits, ColdBound, EngineTerms, RelayRoute, RelayStage,
        RetryPolicy, Service, Split, TeamEntry,
    },
    claims::RequestDigest,
    ids::{Bytes, CatalogVersion, Index, Rate, Slots, Tokens, Version},
    raft::Role,
    relay::{AttemptOutcome, rank},
    tables::{
        Change, ChangeOutcome, ChangeRecord, Command, Edit, EndpointState, History, Outcome, Pool,
        PoolKind, Route, Stage, State, Target,
    },
    time::{Millis, WallTime},
};

fn stage(name: &str, pool: &str, after: &[&str], effect: bool) -> Stage {
    Stage {
        name: name.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        after: after.iter().map(|it| it.parse().expect("a name")).collect(),
        effect,
    }
}

fn route() -> Route {
    let stages = vec![stage("read", "p", &[], false), stage("book", "q", &["read"], true)];
    Route { name: "r".parse().expect("a name"), stages, deadline: Millis(4000) }
}

fn pool(name: &str, kind: PoolKind) -> Pool {
    Pool { name: name.parse().expect("a name"), kind }
}

fn change(base: Option<u64>, edits: Vec<Edit>) -> Change {
    Change {
        id: "01890a5d-ac96-774b-bcce-b302099a8057".parse().expect("a UUID of version 7"),
        base: base.map(Version),
        author: "ops".to_owned(),
        at: WallTime(1_000),
        edits,
    }
}

/// Applies a change to an empty state and returns its record in the history.
fn record(change: Change) -> ChangeRecord {
    let mut state = State::default();
    state.apply(Index(1), &Command::Change(change));
    state.history.newest_first().next().expect("the change is recorded").clone()
}

fn domain() -> Target {
    Target::Domain("d".parse().expect("a name"))
}

fn endpoint() -> Target {
    Target::Endpoint("e".parse().expect("a name"))
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

#[test]
fn the_stored_digest_of_each_kind_of_edit_is_stable() {
    let pools = || vec![pool("p", PoolKind::Model), pool("q", PoolKind::Service)];
    let cases: [(&str, Option<u64>, Edit, u64); 10] = [
        ("put route", None, Edit::PutRoute(route()), 11_699_810_243_573_824_363),
        ("delete route", Some(3), Edit::DeleteRoute(name("r")), 1_642_419_172_052_493_904),
        (
            "put model pool",
            None,
            Edit::PutPool(pool("p", PoolKind::Model)),
            12_430_609_709_537_229_818,
        ),
        (
            "put service pool",
            Some(0),
            Edit::PutPool(pool("q", PoolKind::Service)),
            5_411_521_761_281_033_852,
        ),
        ("delete pool", None, Edit::DeletePool(name("p")), 13_767_244_972_066_533_108),
        (
            "replace",
            None,
            Edit::Replace { routes: vec![route()], pools: pools() },
            14_082_366_013_786_513_538,
        ),
        ("take out domain", None, Edit::TakeOut(domain()), 1_765_532_746_488_219_425),
        ("take out endpoint", None, Edit::TakeOut(endpoint()), 7_971_183_489_163_004_840),
        ("bring back domain", None, Edit::BringBack(domain()), 3_930_547_380_813_146_693),
        ("bring back endpoint", None, Edit::BringBack(endpoint()), 6_657_459_270_430_183_170),
    ];
    for (case, base, edit, expected) in cases {
        let digest = record(change(base, vec![edit])).digest;

        assert_eq!(digest, expected, "{case}");
    }
}

#[test]
fn the_stored_summary_of_a_change_is_stable() {
    let edits = vec![
        Edit::PutRoute(route()),
        Edit::DeleteRoute(name("r")),
        Edit::PutPool(pool("p", PoolKind::Model)),
        Edit::DeletePool(name("p")),
        Edit::Replace { routes: vec![route()], pools: vec![] },
        Edit::TakeOut(domain()),
        Edit::BringBack(endpoint()),
        Edit::TakeOut(domain()),
        Edit::TakeOut(domain()),
    ];

    let summary = record(change(None, edits)).summary;

    assert_eq!(
        summary,
        "put route r, delete route r, put pool p, delete pool p, replace by 1 routes and 0 pools, \
         take out domain d, bring back endpoint e, take out domain d and 1 more"
    );
}

#[test]
fn the_stored_reason_of_an_invalid_change_is_stable() {
    let put = |it: Route| vec![Edit::PutPool(pool("p", PoolKind::Model)), Edit::PutRoute(it)];
    let with_stages = |stages: Vec<Stage>| put(Route { stages, ..route() });
    let too_many =
        (0..1001).map(|i| Edit::PutPool(pool(&format!("p{i}"), PoolKind::Model))).collect();
    let cases: Vec<(Vec<Edit>, &str)> = vec![
        (vec![], "a change needs at least one edit"),
        (vec![Edit::DeleteRoute(name("r"))], "there is no route r"),
        (vec![Edit::DeletePool(name("p"))], "there is no pool p"),
        (put(route()), "route r names pool q, which doesn't exist"),
        (with_stages(vec![]), "route r has 0 stages, allowed are 1 to 16"),
        (
            put(Route { deadline: Millis(0), ..route() }),
            "route r has a deadline of 0ms, allowed are 1ms to 120000ms",
        ),
        (
            with_stages(vec![stage("a", "p", &[], false), stage("a", "p", &[], false)]),
            "route r names stage a twice",
        ),
        (
            with_stages(vec![stage("a", "p", &["b"], false)]),
            "route r refers to stage b, which it doesn't have",
        ),
        (
            with_stages(vec![stage("a", "p", &["b"], false), stage("b", "p", &["a"], false)]),
            "route r has a cycle through stage a",
        ),
        (
            [with_stages(vec![stage("a", "p", &[], false)]), vec![Edit::DeletePool(name("p"))]]
                .concat(),
            "pool p is used by route r",
        ),
        (
            vec![Edit::Replace {
                routes: vec![],
                pools: vec![pool("p", PoolKind::Model), pool("p", PoolKind::Model)],
            }],
            "table of pools names p twice",
        ),
        (too_many, "the tables may hold 1000 pools at the most"),
    ];
    for (edits, expected) in cases {
        let outcome = record(change(None, edits)).outcome;

        assert_eq!(outcome, ChangeOutcome::Invalid { reason: expected.to_owned() });
    }
}

#[test]
fn the_reason_for_a_reused_change_id_is_stable() {
    let mut state = State::default();
    let first = change(None, vec![Edit::TakeOut(domain())]);
    let other = change(None, vec![Edit::TakeOut(endpoint())]);
    state.apply(Index(1), &Command::Change(first));

    let outcome = state.apply(Index(2), &Command::Change(other)).outcome;

    let reason = "change id 01890a5d-ac96-774b-bcce-b302099a8057 was used for another change";
    let expected = Outcome::Change(ChangeOutcome::Invalid { reason: reason.to_owned() });
    assert_eq!(outcome, expected);
}

#[test]
fn the_stored_json_of_a_catalog_is_stable() {
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 1,
        cold_start: ColdBound { duration: Millis(2), rate: Rate(3) },
        engine: Some(EngineTerms { slots: Slots(4), memory: Tokens(5) }),
        batch: Some(BatchTerms {
            slots: Slots(6),
            queue_limit: 7,
            max_pieces: 8,
            call_overhead: Millis(9),
            piece_us: 10,
            result_capacity: Bytes(11),
            result_ttl: Millis(12),
        }),
    };
    let route = RelayRoute {
        name: name("r"),
        host: "h".to_owned(),
        prefix: "/x/".to_owned(),
        retry: RetryPolicy::ResumableStream,
        timeout: Millis(13),
        latency_target: Millis(14),
        priority: 15,
        split: vec![Split { pool: name("p"), weight: 16 }],
        max_attempts: 17,
        stages: vec![RelayStage { pool: name("p"), after: vec![], result_size: Bytes(18) }],
        public: true,
        sticky: true,
        event_gap: Some(Millis(19)),
    };
    let team = TeamEntry { keys: vec![ApiKey("k".to_owned())], priority: Some(20) };
    let catalog = Catalog {
        version: CatalogVersion(21),
        routes: vec![route],
        services: [(name("p"), service)].into_iter().collect(),
        teams: [(name("t"), team)].into_iter().collect(),
        limits: CatalogLimits {
            max_head: Bytes(22),
            max_body: Bytes(23),
            head_timeout: Millis(24),
            idle_timeout: Millis(25),
        },
    };
    let policies = [
        RetryPolicy::Idempotent,
        RetryPolicy::Once,
        RetryPolicy::Stream,
        RetryPolicy::ResumableStream,
    ];

    let stored = serde_json::to_string(&catalog).expect("a catalog can be serialized");
    assert_eq!(
        stored,
        concat!(
            r#"{"version":21,"routes":[{"name":"r","host":"h","prefix":"/x/""#,
            r#","repeat":"resumable_stream","timeout":13,"target":14,"priority":15"#,
            r#","split":[{"pool":"p","weight":16}],"attempts":17,"stages":[{"pool":"p""#,
            r#","after":[],"size":18}],"public":true,"sticky":true,"pause":19}]"#,
            r#","services":{"p":{"health":"/health","connections":1,"cold":{"lasts":2"#,
            r#","rate":3},"engine":{"slots":4,"memory":5},"batch":{"slots":6,"waiting":7"#,
            r#","pieces":8,"call":9,"piece_us":10,"room":11,"keeps":12}}}"#,
            r#","teams":{"t":{"keys":["k"],"priority":20}},"limits":{"head":22,"body":23"#,
            r#","reading":24,"idle":25}}"#,
        )
    );
    let stored = serde_json::to_string(&policies).expect("policies can be serialized");
    assert_eq!(stored, r#"["idempotent","once","stream","resumable_stream"]"#);
}

#[test]
fn the_stored_json_of_the_history_is_stable() {
    let mut history = History::default();
    let expired = ChangeOutcome::Expired { version: Version(7) };
    history.record(&change(None, vec![Edit::TakeOut(domain())]), expired);

    let stored = serde_json::to_string(&history).expect("a history can be serialized");
    assert_eq!(
        stored,
        concat!(
            r#"{"records":{"01890a5d-ac96-774b-bcce-b302099a8057":{"#,
            r#""id":"01890a5d-ac96-774b-bcce-b302099a8057""#,
            r#","author":"ops","at":1000,"summary":"take out domain d""#,
            r#","outcome":{"result":"expired","version":7},"digest":1765532746488219425}}"#,
            r#","dropped":0}"#,
        )
    );
}

#[test]
fn the_stored_digest_of_a_claimed_request_is_stable() {
    let digest = RequestDigest::of(&name("deposit"), &name("tills"), "{\"amount\":5}");

    let stored = serde_json::to_string(&digest).expect("a digest can be serialized");
    assert_eq!(stored, "318508226509209597795046184368981976479");
}

#[test]
fn ranks_are_stable() {
    assert_eq!(rank(b"encode/d1", b"127.0.0.1:4001"), 18_391_456_526_889_125_897);
    assert_eq!(rank(b"", b"d1"), 11_153_108_312_413_146_705);
}

#[test]
fn debug_texts_of_logged_states_are_stable() {
    let roles = [Role::Follower, Role::PreCandidate, Role::Candidate, Role::Leader];
    let states = [EndpointState::Cold, EndpointState::Warm, EndpointState::Leaving];
    let ends = [
        AttemptOutcome::NotSent,
        AttemptOutcome::NotRun,
        AttemptOutcome::Failed,
        AttemptOutcome::Unknown,
    ];
    let outcomes = [
        ChangeOutcome::Accepted { version: Version(7) },
        ChangeOutcome::Conflict { version: Version(7) },
        ChangeOutcome::Invalid { reason: "r".to_owned() },
        ChangeOutcome::Expired { version: Version(7) },
    ];

    assert_eq!(format!("{roles:?}"), "[Follower, PreCandidate, Candidate, Leader]");
    assert_eq!(format!("{states:?}"), "[Cold, Warm, Leaving]");
    assert_eq!(format!("{ends:?}"), "[NotSent, NotRun, Failed, Unknown]");
    assert_eq!(
        format!("{outcomes:?}"),
        "[Accepted { version: Version(7) }, Conflict { version: Version(7) }, \
         Invalid { reason: \"r\" }, Expired { version: Version(7) }]"
    );
}

#[test]
fn the_error_texts_of_an_invalid_catalog_are_stable() {
    let service = |cold: &str, engine: &str, batch: &str| {
        let json = format!(
            r#"{{"health":"/h","connections":1,"cold":{cold},"engine":{engine},"batch":{batch}}}"#
        );
        serde_json::from_str::<Service>(&json).expect_err("a type is wrong").to_string()
    };
    let route = |retry: &str| {
        let json = format!(r#"{{"name":"r","host":"h","prefix":"/","repeat":{retry}}}"#);
        serde_json::from_str::<RelayRoute>(&json).expect_err("the policy is wrong").to_string()
    };
    let cold = r#"{"lasts":2,"rate":3}"#;
    let cases = [
        (
            service("5", "null", "null"),
            "invalid type: integer `5`, expected struct ColdBound at line 1 column 39",
        ),
        (
            service("[5]", "null", "null"),
            "invalid length 1, expected struct ColdBound with 2 elements at line 1 column 41",
        ),
        (
            service(cold, "5", "null"),
            "invalid type: integer `5`, expected struct EngineTerms at line 1 column 69",
        ),
        (
            service(cold, "[5]", "null"),
            "invalid length 1, expected struct EngineTerms with 2 elements at line 1 column 71",
        ),
        (
            service(cold, "null", "5"),
            "invalid type: integer `5`, expected struct BatchTerms at line 1 column 82",
        ),
        (
            service(cold, "null", "[5]"),
            "invalid length 1, expected struct BatchTerms with 7 elements at line 1 column 84",
        ),
        // The texts about an enum don't contain its name.
        (route("5"), "expected value at line 1 column 46"),
        (route("null"), "expected value at line 1 column 46"),
        (route("{}"), "expected value at line 1 column 47"),
        (
            route(r#""never""#),
            "unknown variant `never`, expected one of `idempotent`, `once`, `stream`, \
             `resumable_stream` at line 1 column 52",
        ),
        (route(r#"{"stream":5}"#), "invalid type: integer `5`, expected unit at line 1 column 56"),
    ];
    for (text, expected) in cases {
        assert_eq!(text, expected);
    }
    let text = serde_json::from_value::<RetryPolicy>(5.into()).expect_err("a type is wrong");
    assert_eq!(text.to_string(), "invalid type: integer `5`, expected string or map");
}

#[test]
fn the_stored_json_of_what_is_withheld_is_stable() {
    let part = r#"{"withhold_part":{"pool":"p","part":"a1"}}"#;
    let request = concat!(
        r##"{"release_part":{"pool":"p","part":"##,
        r##""#0123456789abcdef0123456789abcdef"}}"##
    );

    for json in [part, request] {
        let command: Command = serde_json::from_str(json).expect("a stored command is read");
        assert_eq!(serde_json::to_string(&command).expect("it can be written"), json);
    }
    let mut state = State::default();
    state.apply(Index(1), &serde_json::from_str(part).expect("a stored command is read"));
    let tables = serde_json::to_value(&state.tables).expect("tables can be written");
    assert_eq!(tables["withheld_parts"][0]["part"], "a1");
}
