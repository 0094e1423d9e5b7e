//! An endpoint of the own interface that writes an old refusal once more.

use {
    coord::{
        ids::{Class, Tokens},
        router::Outcome,
        tables::{Edit, Pool, PoolKind, Route, Stage},
        time::Millis,
        wire::{CallerRequest, RunLine, RunRequest},
    },
    harness::{CallerResult, ClusterSpec, LONG_TIMEOUT, announce, relay_endpoint, wait_until},
    standin::{ReceivedRequest, ScriptedEndpoint, Step},
};

const OLD_REFUSAL: &str = r#"{"outcome":"not_run","cold":false}"#;

fn tables() -> Edit {
    let name = || "app".parse().expect("a name");
    let stage = Stage {
        name: "it".parse().expect("a name"),
        pool: name(),
        after: Vec::new(),
        effect: false,
    };
    let route =
        Route { name: "r".parse().expect("a name"), stages: vec![stage], deadline: Millis(5000) };
    Edit::Replace { routes: vec![route], pools: vec![Pool { name: name(), kind: PoolKind::Model }] }
}

fn request() -> CallerRequest {
    CallerRequest {
        route: "r".parse().expect("a name"),
        team: "t".parse().expect("a name"),
        class: Class::Standard,
        deadline_ms: 3000,
        key: None,
        stream: false,
        input: "x".to_owned(),
    }
}

fn answer(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A whole answer of one piece.
fn run_answer(seen: &ReceivedRequest) -> Vec<u8> {
    let RunRequest { ident, .. } = serde_json::from_slice(&seen.body).expect("a run");
    let piece = RunLine::Piece { ident: ident.clone(), number: 0, data: "fine".to_owned() };
    let done = RunLine::Done { ident, pieces: 1, tokens: Tokens(1) };
    let line = |it| serde_json::to_string(&it).expect("a line serializes to JSON") + "\n";
    answer("200 OK", &(line(piece) + &line(done)))
}

#[test]
fn an_old_refusal_on_a_kept_connection_of_the_own_interface_is_no_proof() {
    let endpoint = ScriptedEndpoint::start(Box::new(|seen, _| {
        if seen.body.is_empty() {
            return Vec::new();
        }
        let repeats = String::from_utf8_lossy(&seen.body).contains("again");
        let bytes = match repeats {
            true => answer("503 Service Unavailable", OLD_REFUSAL),
            false => run_answer(seen),
        };
        vec![Step::Send(bytes)]
    }));
    let cluster = ClusterSpec::new(1, 0).start();
    cluster.operator().edit(vec![tables()]).expect("the tables are accepted");
    let row = relay_endpoint("e", "app", endpoint.addr);
    let caller = cluster.daemon(0).caller();
    let serves = || {
        announce(cluster.daemon(0).addrs.endpoint, &row);
        matches!(caller.send(&request()), CallerResult::Complete(_))
    };
    wait_until("a request is served", LONG_TIMEOUT, serves);

    assert!(serves());
    let result = caller.send(&CallerRequest { input: "again".to_owned(), ..request() });

    let failure = result.failure().unwrap_or_else(|| panic!("{result:?}"));
    assert_eq!(failure.outcome, Outcome::Unknown, "{failure:?}");
}
