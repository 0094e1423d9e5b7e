//! Requests that crash each endpoint which begins to run them and come again, through
//! several real instances.

mod crashing;

use {
    coord::{
        catalog::{RelayStage, RetryPolicy},
        ids::{Bytes, Class},
        tables::{Edit, Pool, PoolKind, Route, Stage},
        time::Millis,
        wire::CallerRequest,
    },
    crashing::{CONTACT, Outcome, SIGKILL, System},
    harness::{CallerResult, LONG_TIMEOUT, relay_request, relay_route, wait_until},
    standin::{AnswerForm, CrashPoint, CrashSpec, Outage, Poison},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

const POISON: &str = "crash-me";
/// Crashes after which no more than `MAX_LATE` sends of the request may arrive that were
/// sent `CONTACT` later.
const MAX_CRASHES: usize = 3;
const MAX_LATE: usize = 3;
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const POISON_INTERVAL: Duration = Duration::from_millis(250);

fn spec(form: AnswerForm) -> CrashSpec {
    CrashSpec {
        poison: Poison::Body(POISON.to_owned()),
        cut: None,
        form,
        point: CrashPoint::AfterHead,
        outage: Outage::Refused,
        prefill: Duration::from_millis(10),
        begin: Duration::from_millis(40),
        down: Duration::from_millis(1500),
    }
}

/// Starts a system of `count` endpoints of a service with plain answers.
fn start_plain(count: usize, retry: RetryPolicy) -> System {
    System::start(count, &spec(AnswerForm::Plain), relay_route(retry), &sound(0))
}

/// Returns a request that differs from the others in its body only.
fn sound(number: usize) -> String {
    relay_request(&format!("sound-{number}"), "", &format!("order {number}"))
}

/// Returns the request that crashes endpoints; each time it has another id.
fn poison(number: usize) -> String {
    relay_request(&format!("poison-{number}"), "", POISON)
}

/// Runs sound requests for a time, beside others; returns the outcomes of the sound ones.
fn run_beside(
    system: &System,
    time: Duration,
    sound: impl Fn(usize) -> String + Send + Sync,
    others: impl FnOnce(&AtomicBool) + Send,
) -> Vec<Outcome> {
    system.run_for(time, |stop| {
        thread::scope(|scope| {
            scope.spawn(|| others(stop));
            system.send(sound, SOUND_INTERVAL, stop)
        })
    })
}

/// Checks that all sound requests that were sent late enough were served.
fn check_sound(system: &System, outcomes: &[Outcome]) {
    let last = *system.crashes().last().expect("endpoints crashed");
    let after: Vec<&Outcome> = outcomes.iter().filter(|it| it.sent > last + 2 * CONTACT).collect();
    let served = after.iter().filter(|it| it.is_served());
    assert!(after.len() >= 20, "only {} sound requests came late enough", after.len());
    assert_eq!(served.count(), after.len(), "sound requests with the same path and caller");
}

fn check_kept(system: &System, outcomes: &[Outcome]) {
    system.check_late_arrivals(MAX_CRASHES, MAX_LATE);
    check_sound(system, outcomes);
}

#[test]
fn a_request_that_crashes_a_small_pool_before_its_answers_heads_is_kept_from_it() {
    let system = start_plain(3, RetryPolicy::Idempotent);

    let sound = run_beside(&system, Duration::from_secs(14), sound, |stop| {
        system.send(poison, POISON_INTERVAL, stop);
    });

    check_kept(&system, &sound);
}

/// Runs a request that crashes a small pool, whose endpoints are then down in the way of
/// `outage`.
fn check_kept_from_small_pool(outage: Outage) {
    let spec = CrashSpec { outage, ..spec(AnswerForm::Plain) };
    let system = System::start(3, &spec, relay_route(RetryPolicy::Idempotent), &sound(0));

    let sound = run_beside(&system, Duration::from_secs(14), sound, |stop| {
        system.send(poison, POISON_INTERVAL, stop);
    });

    check_kept(&system, &sound);
}

#[test]
fn a_request_is_kept_from_endpoints_whose_addresses_close_connections_while_they_are_down() {
    check_kept_from_small_pool(Outage::Closed);
}

#[test]
fn a_request_is_kept_from_endpoints_whose_addresses_let_connections_hang_while_they_are_down() {
    check_kept_from_small_pool(Outage::Hanging);
}

#[test]
fn a_request_that_crashes_endpoints_after_its_answers_heads_is_kept_from_them() {
    let route = relay_route(RetryPolicy::ResumableStream);
    let system = System::start(8, &spec(AnswerForm::Stream), route, &sound(0));

    let sound = run_beside(&system, Duration::from_secs(14), sound, |stop| {
        system.send(poison, POISON_INTERVAL, stop);
    });

    check_kept(&system, &sound);
}

#[test]
fn a_change_of_leader_does_not_forget_which_request_crashes_endpoints() {
    let mut system = start_plain(8, RetryPolicy::Idempotent);
    let leader = system.cluster.leader();
    system.instances.retain(|it| *it != leader);

    let sound = run_beside(&system, Duration::from_secs(16), sound, |stop| {
        thread::scope(|scope| {
            scope.spawn(|| system.send(poison, Duration::from_millis(700), stop));
            wait_until("two crashes", LONG_TIMEOUT, || system.crashes().len() >= 2);
            system.cluster.daemon(leader).proc.signal(SIGKILL);
        });
    });

    check_kept(&system, &sound);
}

#[test]
fn a_request_of_our_own_interface_that_crashes_endpoints_is_kept_from_them() {
    check_kept_by_own_interface(Outage::Refused);
}

#[test]
fn a_request_of_our_own_interface_is_kept_from_endpoints_whose_addresses_close_connections() {
    check_kept_by_own_interface(Outage::Closed);
}

fn check_kept_by_own_interface(outage: Outage) {
    let route = relay_route(RetryPolicy::Idempotent);
    let spec = CrashSpec { outage, ..spec(AnswerForm::Plain) };
    let system = System::start(3, &spec, route, &sound(0));
    let stage = Stage {
        name: "s".parse().expect("a name"),
        pool: "app".parse().expect("a name"),
        after: Vec::new(),
        effect: false,
    };
    let edits = vec![
        Edit::PutPool(Pool { name: "app".parse().expect("a name"), kind: PoolKind::Service }),
        Edit::PutRoute(Route {
            name: "run".parse().expect("a name"),
            stages: vec![stage],
            deadline: Millis(3000),
        }),
    ];
    system.cluster.operator().edit(edits).expect("the tables are accepted");
    let call = |instance: usize, input: String| {
        let request = CallerRequest {
            route: "run".parse().expect("a name"),
            team: "t".parse().expect("a name"),
            class: Class::Interactive,
            deadline_ms: 1500,
            key: None,
            stream: false,
            input,
        };
        let sent = std::time::Instant::now();
        let result = system.cluster.daemon(instance).caller().send(&request);
        (sent, matches!(result, CallerResult::Complete(_)))
    };

    let sound = system.run_for(Duration::from_secs(16), |stop| {
        thread::scope(|scope| {
            scope.spawn(|| {
                system.repeat(POISON_INTERVAL, stop, |_, at| call(at, POISON.to_owned()))
            });
            system.repeat(SOUND_INTERVAL, stop, |number, at| call(at, format!("order {number}")))
        })
    });

    system.check_late_arrivals(MAX_CRASHES, MAX_LATE);
    let last = *system.crashes().last().expect("endpoints crashed");
    let after: Vec<_> = sound.iter().filter(|(sent, _)| *sent > last + 2 * CONTACT).collect();
    assert!(after.len() >= 20, "only {} sound requests came late enough", after.len());
    assert!(after.iter().all(|(_, served)| *served), "sound requests of the same route");
}

#[test]
fn a_request_whose_pieces_crash_the_endpoints_of_a_stage_is_kept_from_them() {
    check_kept_from_stage(Outage::Refused);
}

#[test]
fn a_request_whose_pieces_crash_endpoints_is_kept_from_them_if_their_addresses_close_connections() {
    check_kept_from_stage(Outage::Closed);
}

fn check_kept_from_stage(outage: Outage) {
    let mut route = relay_route(RetryPolicy::Idempotent);
    route.stages = vec![RelayStage {
        pool: "stage".parse().expect("a name"),
        after: Vec::new(),
        result_size: Bytes(1000),
    }];
    let request = |id: String, source: &str| {
        relay_request(&id, &format!("mangobend-source: {source}\r\n"), source)
    };
    let sound = |it: usize| request(format!("sound-{it}"), &format!("order-{it}"));
    let spec = CrashSpec { outage, ..spec(AnswerForm::Plain) };
    let system = System::start_with_stage(2, 3, &spec, route, &sound(0));

    let outcomes = run_beside(&system, Duration::from_secs(16), sound, |stop| {
        let poison = |it: usize| request(format!("poison-{it}"), POISON);
        system.send(poison, POISON_INTERVAL, stop);
    });

    check_kept(&system, &outcomes);
}

#[test]
fn endpoints_that_crash_without_a_common_request_keep_none_from_being_served() {
    let system = start_plain(6, RetryPolicy::Idempotent);
    // Each of five bodies comes again and again.
    let repeated = |it: usize| relay_request(&format!("r-{it}"), "", &format!("order {}", it % 5));

    let outcomes = run_beside(&system, Duration::from_secs(13), repeated, |stop| {
        for round in 0..10 {
            thread::sleep(Duration::from_millis(450));
            system.endpoints[round % 6].crash();
            assert!(!stop.load(Ordering::Relaxed));
        }
    });

    check_sound(&system, &outcomes);
}
