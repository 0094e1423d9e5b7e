//! Requests that run at most once. The checks use the effects that the service
//! recorded.

mod fixture;

use {
    coord::{
        ids::ClaimKey,
        router::{Outcome, Reason},
        time::WallTime,
        wire::{CallerRequest, OperatorError},
    },
    fixture::{System, endpoint_spec, new_request, start_system, start_system_with},
    harness::{CallerResult, ClusterSpec, Fault, LONG_TIMEOUT, Proxy, wait_until},
    standin::Control,
    std::{
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// The inputs of all effects that the `ledger` stand-ins ran.
fn effects(system: &System) -> Vec<String> {
    let records = system.stand_ins.records();
    records.into_iter().flat_map(|(_, it)| it.effects).collect()
}

/// Sets the misbehaviour of all `ledger` stand-ins.
fn control_ledgers(system: &System, control: &Control) {
    let names = system.stand_ins.addrs.iter().map(|it| &it.name);
    names.filter(|it| it.as_str().starts_with("ledger")).for_each(|it| {
        system.stand_ins.control(it, control);
    });
}

/// Sends a request through instance `i`.
fn send_to(system: &System, i: usize, request: &CallerRequest) -> CallerResult {
    system.cluster.daemon(i).caller().send(request)
}

/// A caller resends through other instances before the first request is answered.
#[test]
fn concurrent_requests_with_one_key_have_one_effect() {
    let system = start_system(3, 1);
    let request = new_request("deposit", "250");

    let threads: Vec<_> = (0..12)
        .map(|i| {
            let (caller, request) = (system.cluster.daemon(i % 4).caller(), request.clone());
            thread::spawn(move || caller.send(&request))
        })
        .collect();
    let answers: Vec<CallerResult> =
        threads.into_iter().map(|it| it.join().expect("the thread doesn't panic")).collect();

    assert_eq!(effects(&system), ["250"]);
    let outputs: Vec<_> = answers.iter().map(|it| it.complete().map(|it| &it.output)).collect();
    assert!(outputs.iter().all(|it| it.is_some() && *it == outputs[0]), "{answers:?}");
}

#[test]
fn a_key_reused_with_another_input_is_refused() {
    let system = start_system(1, 0);
    let request = new_request("deposit", "250");
    send_to(&system, 0, &request);

    let other = send_to(&system, 0, &CallerRequest { input: "999".to_owned(), ..request });

    let failure = other.failure().cloned().expect("the request is refused");
    assert_eq!(failure.reason, Reason::KeyReused);
    assert_eq!(effects(&system), ["250"]);
}

/// The ledger runs the call and aborts the connection, so nobody knows whether it ran.
/// An operator resolves the claim, and later requests get that result.
#[test]
fn an_effect_with_a_lost_answer_is_unknown_and_never_rerun() {
    let system = start_system(3, 0);
    control_ledgers(&system, &Control { drop_answer: true, ..Control::default() });
    let request = new_request("deposit", "250");

    let first = send_to(&system, 0, &request);
    control_ledgers(&system, &Control::default());
    let again = send_to(&system, 1, &request);
    let listed = system.cluster.operator().unknown_claims().expect("the unknown claims");

    assert_eq!(first.failure().map(|it| it.outcome), Some(Outcome::Unknown), "{first:?}");
    let reasons = again.failure().map(|it| (it.outcome, it.reason));
    assert_eq!(reasons, Some((Outcome::Unknown, Reason::KeyUnknown)));
    assert_eq!(effects(&system), ["250"]);
    assert_eq!(listed.len(), 1);
    let key = request.key.expect("the request has a key").to_string();
    let settled = system.cluster.operator().cli(&["claims", "settle", &key, "ran", "seen"], "");
    assert!(settled.status.success(), "{settled:?}");
    let last = send_to(&system, 2, &request);
    assert_eq!(last.complete().map(|it| (it.output.as_str(), it.stored)), Some(("seen", true)));
    assert_eq!(effects(&system), ["250"]);
}

/// The instance dies between the call and its answer. A restart must not run the call
/// again.
#[test]
fn an_instance_killed_during_a_call_leaves_its_claim_unknown() {
    let mut system = start_system(3, 0);
    control_ledgers(&system, &Control { slow_factor: 100, ..Control::default() });
    let request = new_request("deposit", "250");
    let victim = (system.cluster.leader() + 1) % 3;
    let caller = system.cluster.daemon(victim).caller();
    let sent = request.clone();
    let first = thread::spawn(move || caller.send(&sent));
    wait_until("the ledger received the call", LONG_TIMEOUT, || {
        system
            .stand_ins
            .records()
            .iter()
            .any(|(_, it)| it.runs.iter().any(|run| run.fence.is_some()))
    });

    system.cluster.kill(victim);
    assert!(matches!(first.join().expect("the thread doesn't panic"), CallerResult::Broken(_)));
    control_ledgers(&system, &Control::default());
    system.cluster.start(victim);
    system.cluster.daemon(victim).wait_ready(LONG_TIMEOUT);
    let again = send_to(&system, victim, &request);

    let failure = again.failure().cloned().expect("the request failed");
    assert_eq!(failure.outcome, Outcome::Unknown, "{failure:?}");
    let sent: usize = system
        .stand_ins
        .records()
        .iter()
        .map(|(_, it)| it.runs.iter().filter(|run| run.fence.is_some()).count())
        .sum();
    assert_eq!(sent, 1, "the ledger was called more than once");
}

#[test]
fn a_call_refused_by_a_leaving_endpoint_is_retried_on_another() {
    let mut specs = vec![endpoint_spec("ledger", "north", 0), endpoint_spec("ledger", "east", 1)];
    specs.extend(
        fixture::endpoint_specs(&["south"]).into_iter().filter(|it| it.pool.as_str() != "ledger"),
    );
    let system = start_system_with(ClusterSpec::new(1, 0), &specs);
    let gone = system.stand_ins.addr(&specs[0].name);
    assert!(gone.port() > 0);
    system.stand_ins.control(&specs[0].name, &Control { leave: true, ..Control::default() });

    for i in 0..10 {
        let answer = send_to(&system, 0, &new_request("deposit", &format!("{i}")));
        assert!(answer.complete().is_some(), "{answer:?}");
    }

    let mut effects = effects(&system);
    effects.sort();
    effects.dedup();
    assert_eq!(effects.len(), 10);
}

#[test]
fn a_day_old_key_is_kept_and_keys_outside_the_window_are_refused() {
    let system = start_system(1, 0);
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis()
            as u64;
    let hours = |it: u64| Some(ClaimKey::at(WallTime(now - it * 3600 * 1000)));
    let day = CallerRequest { key: hours(24), ..new_request("deposit", "day") };
    let old = CallerRequest { key: hours(49), ..new_request("deposit", "old") };
    let ahead = CallerRequest {
        key: Some(ClaimKey::at(WallTime(now + 600_000))),
        ..new_request("deposit", "x")
    };

    let answers = [&day, &day, &old, &ahead].map(|it| send_to(&system, 0, it));

    assert!(answers[0].complete().is_some());
    assert!(answers[1].complete().is_some_and(|it| it.stored));
    for (answer, reason) in [(&answers[2], Reason::KeyExpired), (&answers[3], Reason::KeyInFuture)]
    {
        let failure = answer.failure().expect("the request is refused");
        assert_eq!((failure.outcome, failure.reason), (Outcome::NotRun, reason));
    }
    assert_eq!(effects(&system), ["day"]);
}

/// An instance that can't reach the leader can't know whether another one has claimed the
/// key.
#[test]
fn a_claim_without_a_quorum_runs_nothing() {
    let system = start_system(3, 0);
    let (leader, request) = (system.cluster.leader(), new_request("deposit", "250"));
    let drop_all = Fault { drop_in: true, drop_out: true, ..Fault::default() };
    let partitioned = (leader + 1) % 3;
    system.cluster.set_fault(partitioned, drop_all);

    let first = send_to(&system, partitioned, &request);
    system.cluster.clear_fault(partitioned);
    let again = send_to(&system, leader, &request);

    assert_ne!(first.failure().map(|it| it.outcome), Some(Outcome::Ran));
    assert!(first.complete().is_none());
    // The claim may have been committed; its owner releases it when it learns of that.
    assert!(
        again.complete().is_some() || again.failure().is_some_and(|it| it.outcome != Outcome::Ran)
    );
    assert!(effects(&system).len() <= 1);
}

/// The connection breaks between calls. An HTTP client that resends a request on a fresh
/// connection would run its effect twice.
#[test]
fn a_broken_keep_alive_connection_repeats_no_call() {
    let spec = endpoint_spec("ledger", "north", 0);
    let system = start_system_with(ClusterSpec::new(1, 0), std::slice::from_ref(&spec));
    let proxy = Proxy::start(system.stand_ins.addr(&spec.name));
    announce_at(&system, proxy.addr()).expect("the announcement is accepted");

    for i in 0..8 {
        let request =
            CallerRequest { deadline_ms: 1500, ..new_request("deposit", &format!("{i}")) };
        send_to(&system, 0, &request);
        proxy.set_fault(Fault { cut: true, ..Fault::default() });
        thread::sleep(Duration::from_millis(50));
        proxy.set_fault(Fault::default());
    }

    let mut effects = effects(&system);
    let count = effects.len();
    effects.sort();
    effects.dedup();
    assert!(count > 0, "no call reached the ledger");
    assert_eq!(effects.len(), count, "an effect was run twice");
}

/// Announces the `ledger` stand-in at another address, with a higher generation than
/// its own so that the announcement takes precedence.
fn announce_at(system: &System, addr: std::net::SocketAddr) -> Result<(), OperatorError> {
    let known = system.cluster.operator().status()?.endpoints;
    let ledger =
        known.into_iter().find(|it| it.pool.as_str() == "ledger").expect("the ledger is announced");
    let body = serde_json::json!({
        "name": ledger.name, "pool": ledger.pool, "domain": ledger.domain, "addr": addr,
        "generation": ledger.generation.0 + 1, "state": "warm", "slots": 8, "cold_slots": 2,
        "load": 0,
    });
    let url = format!("http://{}/v1/announce", system.cluster.daemon(0).addrs.endpoint);
    assert!(ureq::post(url).send_json(&body).is_ok());
    wait_until("the new address is in use", LONG_TIMEOUT, || {
        let status = system.cluster.operator().status();
        status.is_ok_and(|it| it.endpoints.iter().any(|e| e.addr == addr && e.granted.0 > 0))
    });
    Ok(())
}
