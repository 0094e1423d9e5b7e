//! Secrets of operators, announcing endpoints and peers.

mod fixture;

use {
    coord::tables::{Edit, Pool, PoolKind},
    harness::{ClusterSpec, Daemon, DaemonSpec, LONG_TIMEOUT, Operator, TempDir, wait_until},
    std::{fs, path::PathBuf, time::Duration},
};

/// Writes a secret to a file and returns its path.
fn write_secret(folder: &TempDir, part: &str, text: &str) -> PathBuf {
    let path = folder.path().join(part);
    fs::write(&path, format!("{text}\n")).expect("the file is written");
    path
}

/// A daemon that requires a secret on its operator, endpoint and peer listeners.
fn secured_spec(folder: &TempDir, name: &str, peer: &str) -> DaemonSpec {
    let flags = [("operator", "op-secret"), ("endpoint", "ep-secret"), ("peer", peer)];
    let args = flags.iter().flat_map(|(part, text)| {
        let path = write_secret(folder, &format!("{name}-{part}"), text);
        [format!("--{part}-secret-file"), path.to_string_lossy().into_owned()]
    });
    DaemonSpec {
        name: name.to_owned(),
        domain: "north".to_owned(),
        data: Some(folder.path().join(format!("{name}-data"))),
        log: Some(folder.path().join(format!("{name}.log"))),
        args: args.collect(),
        ..DaemonSpec::default()
    }
}

fn status_code(daemon: &Daemon, target: &str, secret: &str) -> u16 {
    let url = format!("http://{target}");
    let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
    let request = agent.get(url).header("Authorization", &format!("Bearer {secret}"));
    assert!(daemon.proc.id() > 0);
    request.call().expect("the request is answered").status().as_u16()
}

#[test]
fn a_wrong_or_missing_secret_is_refused_on_each_listener() {
    let folder = TempDir::new();
    let daemon = secured_spec(&folder, "a", "peer-secret").start();
    let status = format!("{}/v1/status", daemon.addrs.operator);
    let announce = format!("{}/v1/announce", daemon.addrs.endpoint);

    assert_eq!(status_code(&daemon, &status, ""), 401);
    assert_eq!(status_code(&daemon, &status, "op-secreT"), 401);
    assert_ne!(status_code(&daemon, &status, "op-secret"), 401);
    assert_eq!(status_code(&daemon, &announce, "op-secret"), 401);
    assert_eq!(status_code(&daemon, &announce, "ep-secret"), 404);
    let log = fs::read_to_string(folder.path().join("a.log")).expect("the log");
    assert!(!log.contains("secret"), "a secret is logged: {log}");
}

#[test]
fn a_peer_with_a_wrong_secret_does_not_join() {
    let folder = TempDir::new();
    let first = secured_spec(&folder, "a", "right").start();
    let bootstrap = ureq::post(format!("http://{}/v1/found", first.addrs.operator));
    assert!(bootstrap.header("Authorization", "Bearer op-secret").send_empty().is_ok());
    first.wait_ready(LONG_TIMEOUT);
    let join = vec![first.addrs.peer];
    let right = DaemonSpec { join: join.clone(), ..secured_spec(&folder, "b", "right") }.start();
    let wrong = DaemonSpec { join, ..secured_spec(&folder, "c", "wrong") }.start();

    right.wait_ready(LONG_TIMEOUT);

    wait_until("the refusal is logged", LONG_TIMEOUT, || {
        let log = fs::read_to_string(folder.path().join("c.log")).unwrap_or_default();
        log.contains("the secret is wrong")
    });
    assert!(!wrong.caller().is_ready());
}

#[test]
fn a_listener_without_a_secret_is_bound_to_loopback_with_a_warning() {
    let folder = TempDir::new();
    let spec = DaemonSpec {
        name: "a".to_owned(),
        domain: "north".to_owned(),
        log: Some(folder.path().join("a.log")),
        args: vec!["--operator-listen".into(), "0.0.0.0:0".into()],
        ..DaemonSpec::default()
    };

    let daemon = spec.start();

    assert!(daemon.addrs.operator.ip().is_loopback());
    let log = fs::read_to_string(folder.path().join("a.log")).expect("the log");
    assert!(log.contains("No operator secret is set."), "{log}");
}

#[test]
fn the_history_shows_author_edit_and_time() {
    let cluster = ClusterSpec::new(1, 0).start();
    let pool = Pool { name: "p".parse().expect("a valid name"), kind: PoolKind::Model };
    let operator: Operator = cluster.operator();
    operator.edit(vec![Edit::PutPool(pool)]).expect("the request is answered");

    let shown = operator.cli(&["history"], "");

    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(text.contains("harness") && text.contains("put pool p"), "{text}");
    let at = operator.history().expect("the history")[0].at;
    assert!(Duration::from_millis(at.0) > Duration::from_secs(1_000_000_000));
}
