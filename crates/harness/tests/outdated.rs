//! What an instance answers by tables that it can't renew.

use {
    coord::catalog::{ApiKey, Catalog, RetryPolicy, TeamEntry},
    harness::{
        Cluster, ClusterSpec, Fault, LONG_TIMEOUT, RawResponse, connect, exchange, relay_catalog,
        relay_endpoint, relay_request, relay_route, wait_until,
    },
    standin::{ScriptedEndpoint, Step, signed_response},
    std::{thread, time::Duration},
};

const VOTERS: usize = 3;
/// The instance that is cut off from the others.
const ENTRY: usize = VOTERS;
const KEY: &str = "authorization: Bearer key-1\r\n";
const OTHER_KEY: &str = "authorization: Bearer key-2\r\n";
/// An accepted change is in force everywhere after this time.
const APPLY_TIME: Duration = Duration::from_secs(2);

fn catalog() -> Catalog {
    let keys = vec![ApiKey("key-1".to_owned())];
    let team = ("t".parse().expect("a name"), TeamEntry { keys, priority: None });
    Catalog { teams: [team].into_iter().collect(), ..relay_catalog(relay_route(RetryPolicy::Once)) }
}

/// A system with an endpoint, and an entry instance that serves it.
fn start() -> (Cluster, ScriptedEndpoint) {
    let spec = ClusterSpec {
        args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
        ..ClusterSpec::new(VOTERS, 1)
    };
    let cluster = spec.start();
    let endpoint = ScriptedEndpoint::start(Box::new(|seen, _| {
        vec![Step::Send(signed_response(seen, "200 OK", "content-length: 4\r\n", "fine"))]
    }));
    let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog());
    posted.expect("the catalog is accepted");
    wait_until("the entry instance serves", LONG_TIMEOUT, || {
        cluster.daemon(0).announce(&relay_endpoint("e", "app", endpoint.addr));
        send(&cluster, "/a/x", KEY).status == 200
    });
    (cluster, endpoint)
}

fn send(cluster: &Cluster, path: &str, key: &str) -> RawResponse {
    let request = relay_request("id", key, "").replace("/a/x", path);
    exchange(&mut connect(cluster.daemon(ENTRY).relay_addr()), &request)
}

/// Whether the route or the key may have been added since isn't known. Callers don't come
/// back after a 404 or 401.
#[test]
fn an_instance_that_can_not_renew_its_tables_refuses_no_route_or_key_for_good() {
    let (cluster, _endpoint) = start();
    let cut = Fault { cut: true, ..Fault::NONE };

    let before = [send(&cluster, "/b/x", KEY), send(&cluster, "/a/x", OTHER_KEY)];
    cluster.set_fault(ENTRY, cut);
    thread::sleep(APPLY_TIME);
    let known = send(&cluster, "/a/x", KEY);
    let during = [send(&cluster, "/b/x", KEY), send(&cluster, "/a/x", OTHER_KEY)];
    cluster.clear_fault(ENTRY);
    wait_until("the tables are current again", LONG_TIMEOUT, || {
        send(&cluster, "/b/x", KEY).status == 404
    });

    assert_eq!(before.map(|it| it.status), [404, 401]);
    assert_eq!(known.status, 200, "what the tables allow is served");
    for it in during {
        assert_eq!(it.status, 503);
        assert!(it.header("retry-after").is_some(), "the caller isn't told to come back");
    }
}
