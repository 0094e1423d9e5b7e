//! Catalogs of thousands of routes, changed through real daemons.

use {
    coord::{
        catalog::{Catalog, RelayRoute, RetryPolicy},
        ids::CatalogVersion,
        time::Millis,
    },
    harness::{
        Cluster, ClusterSpec, Fault, LONG_TIMEOUT, connect, exchange, relay_catalog, relay_route,
        resident_mb, wait_until,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// 10 Mbit/s, the link of a small instance.
const SLOW_LINK: Fault = Fault { rate: 1_250_000, ..Fault::NONE };
/// Within which an acknowledged catalog is in force at each instance.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2500);
/// What control may take of an instance's memory, in MiB.
const MEMORY_LIMIT_MB: f64 = 64.0;
const ROUTES: usize = 2800;

fn numbered_route(number: usize) -> RelayRoute {
    RelayRoute {
        name: format!("route-{number}").parse().expect("a name"),
        host: format!("host{}.example", number % 50),
        prefix: format!("/prefix-{number}/"),
        ..relay_route(RetryPolicy::Idempotent)
    }
}

/// A catalog of `routes` routes; one of them differs from version to version.
fn large_catalog(version: u64, routes: usize) -> Catalog {
    let mut all: Vec<RelayRoute> = (0..routes).map(numbered_route).collect();
    let changed = version as usize % routes;
    all[changed].timeout = Millis(1000 + version);
    let small = relay_catalog(relay_route(RetryPolicy::Idempotent));
    Catalog { version: CatalogVersion(version), routes: all, ..small }
}

fn start(voters: usize, non_voters: usize) -> Cluster {
    let spec = ClusterSpec {
        args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
        ..ClusterSpec::new(voters, non_voters)
    };
    spec.start()
}

fn post(cluster: &Cluster, catalog: &Catalog) {
    let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", catalog);
    posted.expect("the catalog is accepted");
}

/// Whether an instance has a route, by its own answer to a request for it.
fn knows_route(cluster: &Cluster, instance: usize, number: usize) -> bool {
    let request = format!(
        "POST /prefix-{number}/x HTTP/1.1\r\nhost: host{}.example\r\nmangobend-request: r\r\n\
         mangobend-deadline-ms: 500\r\ncontent-length: 0\r\n\r\n",
        number % 50
    );
    let addr = cluster.daemon(instance).relay_addr();
    exchange(&mut connect(addr), &request).status != 404
}

#[test]
fn large_catalogs_in_a_row_are_in_force_in_time_behind_slow_links() {
    let (voters, entries) = (3, 5);
    let cluster = start(voters, entries);
    post(&cluster, &large_catalog(1, 10));
    for entry in voters..voters + entries {
        let pid = cluster.daemon(entry).proc.id();
        for voter in &cluster.instances[..voters] {
            voter.proxy.set_process_fault(pid, SLOW_LINK);
        }
    }

    for version in 2..=5 {
        post(&cluster, &large_catalog(version, ROUTES / 2));
    }
    post(&cluster, &large_catalog(6, ROUTES));
    let acknowledged = Instant::now();

    let mut behind: Vec<usize> = (voters..voters + entries).collect();
    while !behind.is_empty() && acknowledged.elapsed() < IN_FORCE_WITHIN {
        behind.retain(|it| !knows_route(&cluster, *it, ROUTES - 1));
        thread::sleep(Duration::from_millis(20));
    }
    assert!(behind.is_empty(), "not in force in {IN_FORCE_WITHIN:?} at {behind:?}");
}

#[test]
fn voters_keep_their_memory_while_large_catalogs_change_and_one_of_them_is_down() {
    let mut cluster = start(3, 2);
    post(&cluster, &large_catalog(1, ROUTES));
    let down = (0..3).find(|it| *it != cluster.leader() && *it != 0).expect("a follower");
    cluster.kill(down);

    for version in 2..=60 {
        post(&cluster, &large_catalog(version, ROUTES));
    }
    cluster.start(down);
    cluster.daemon(down).wait_ready(LONG_TIMEOUT);
    let knows = || knows_route(&cluster, down, ROUTES - 1);
    wait_until("the restarted voter has the catalog", LONG_TIMEOUT, knows);

    let used: Vec<f64> = cluster.daemons().map(|it| resident_mb(it.proc.id())).collect();
    assert!(used.iter().all(|it| *it <= MEMORY_LIMIT_MB), "MiB by instance: {used:?}");
}
