//! Prompts with a part that crashes each endpoint which begins to answer them, through
//! several real instances.

mod crashing;

use {
    coord::catalog::RetryPolicy,
    crashing::{CONTACT, Outcome, SIGKILL, System},
    harness::{LONG_TIMEOUT, relay_request, relay_route, wait_until},
    standin::{AnswerForm, CrashPoint, CrashSpec, Outage, Poison},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

const POISON_PART: &str = "bad";
/// A part of prompts whose streams endpoints cut off without crashing.
const CUT_PART: &str = "cut";
const ENDPOINTS: usize = 10;
const MORE_ENDPOINTS: usize = 12;
/// Crashes after which no more than `MAX_LATE` requests with the part may arrive that
/// were sent `CONTACT` later.
const MAX_CRASHES: usize = 5;
const MAX_LATE: usize = 3;

fn spec() -> CrashSpec {
    CrashSpec {
        poison: Poison::Part(POISON_PART.to_owned()),
        cut: None,
        form: AnswerForm::Stream,
        point: CrashPoint::AfterHead,
        outage: Outage::Refused,
        prefill: Duration::from_millis(30),
        begin: Duration::from_millis(30),
        down: Duration::from_millis(1500),
    }
}

fn start() -> System {
    start_pool(ENDPOINTS, &spec())
}

fn start_pool(count: usize, spec: &CrashSpec) -> System {
    let mut route = relay_route(RetryPolicy::ResumableStream);
    route.sticky = true;
    System::start(count, spec, route, &request("warm", "one"))
}

/// Returns a request whose prompt has a first part shared by all, a second, and one of its
/// own.
fn request(part: &str, own: &str) -> String {
    request_with_body(part, own, "")
}

fn request_with_body(part: &str, own: &str, body: &str) -> String {
    let parts = format!("mangobend-parts: first:100,{part}:50,own-{own}:10\r\n");
    relay_request(own, &parts, body)
}

/// The requests that run beside each other.
struct Load {
    /// How often one comes with the part that crashes endpoints, if any does.
    poison: Option<Duration>,
    /// Whether all bodies are the same.
    same_bodies: bool,
}

/// Runs sound and poison requests side by side for a time; returns the outcomes of the
/// sound ones.
fn run_beside(system: &System, time: Duration, poison: bool) -> Vec<Outcome> {
    let poison = poison.then_some(Duration::from_millis(150));
    run_load(system, time, &Load { poison, same_bodies: true })
}

fn run_load(system: &System, time: Duration, load: &Load) -> Vec<Outcome> {
    system.run_for(time, |stop| {
        thread::scope(|scope| {
            let send = |part: &(dyn Fn(usize) -> String + Sync), every| {
                let request = |it: usize| {
                    let own = format!("{}-{it}", part(it));
                    request_with_body(&part(it), &own, if load.same_bodies { "" } else { &own })
                };
                system.send(request, every, stop)
            };
            if let Some(every) = load.poison {
                scope.spawn(move || send(&|_| POISON_PART.to_owned(), every));
            }
            send(&|it| format!("good{}", it % 7), Duration::from_millis(40))
        })
    })
}

/// Checks what reaches endpoints after the fifth crash, and that sound requests with the
/// same first part are served afterwards.
fn check_kept(system: &System, sound: &[Outcome]) {
    system.check_late_arrivals(MAX_CRASHES, MAX_LATE);
    check_sound(system, sound);
}

/// Checks that sound requests are served once crashes are over.
fn check_sound(system: &System, sound: &[Outcome]) {
    let crashes = system.crashes();
    let last = *crashes.last().expect("endpoints crash");
    let after: Vec<&Outcome> = sound.iter().filter(|it| it.sent > last + 2 * CONTACT).collect();
    let served = after.iter().filter(|it| it.is_served());
    assert!(after.len() >= 20, "only {} sound requests came late enough", after.len());
    assert_eq!(served.count(), after.len(), "sound requests with the same first part");
}

#[test]
fn a_part_of_prompts_that_crashes_endpoints_is_kept_from_them_by_all_instances() {
    let system = start();

    let sound = run_beside(&system, Duration::from_secs(14), true);

    check_kept(&system, &sound);
}

#[test]
fn a_change_of_leader_does_not_forget_under_which_part_endpoints_crash() {
    let mut system = start();
    let leader = system.cluster.leader();
    system.instances.retain(|it| *it != leader);

    let sound = thread::scope(|scope| {
        scope.spawn(|| {
            wait_until("three crashes", LONG_TIMEOUT, || system.crashes().len() >= 3);
            system.cluster.daemon(leader).proc.signal(SIGKILL);
        });
        run_beside(&system, Duration::from_secs(16), true)
    });

    check_kept(&system, &sound);
}

#[test]
fn endpoints_that_crash_without_a_common_part_keep_no_prompt_from_being_served() {
    let system = start();
    let stop = AtomicBool::new(false);

    let sound = thread::scope(|scope| {
        scope.spawn(|| {
            for round in 0..8 {
                thread::sleep(Duration::from_millis(700));
                system.endpoints[round % ENDPOINTS].crash();
            }
            stop.store(true, Ordering::Relaxed);
        });
        run_beside(&system, Duration::from_secs(12), false)
    });

    let last = *system.crashes().last().expect("endpoints crashed");
    let after: Vec<&Outcome> =
        sound.iter().filter(|it| it.sent > last + Duration::from_secs(3)).collect();
    let served = after.iter().filter(|it| it.is_served());
    assert!(after.len() >= 20, "only {} requests came late enough", after.len());
    assert_eq!(served.count(), after.len());
}

/// Runs requests at a high rate with a part that crashes endpoints at `point`, which then
/// are down in the way of `outage`.
fn check_kept_at_high_rate(point: CrashPoint, outage: Outage, same_bodies: bool) {
    let system = start_pool(MORE_ENDPOINTS, &CrashSpec { point, outage, ..spec() });

    let load = Load { poison: Some(Duration::from_millis(130)), same_bodies };
    let sound = run_load(&system, Duration::from_secs(14), &load);

    check_kept(&system, &sound);
}

#[test]
fn a_part_that_crashes_endpoints_within_the_first_event_is_kept_from_them() {
    check_kept_at_high_rate(CrashPoint::InFirstEvent, Outage::Refused, false);
}

#[test]
fn a_part_that_crashes_endpoints_after_the_first_event_is_kept_from_them() {
    check_kept_at_high_rate(CrashPoint::AfterFirstEvent, Outage::Refused, false);
}

#[test]
fn a_part_that_crashes_endpoints_before_the_head_is_kept_from_them() {
    check_kept_at_high_rate(CrashPoint::BeforeHead, Outage::Refused, false);
}

#[test]
fn prompts_with_the_same_body_are_not_withheld_for_one_that_crashes_endpoints() {
    check_kept_at_high_rate(CrashPoint::BeforeHead, Outage::Refused, true);
}

#[test]
fn a_part_is_kept_from_endpoints_whose_addresses_close_connections_while_they_are_down() {
    check_kept_at_high_rate(CrashPoint::AfterHead, Outage::Closed, false);
}

#[test]
fn a_part_is_kept_from_endpoints_whose_addresses_let_connections_hang_while_they_are_down() {
    check_kept_at_high_rate(CrashPoint::AfterHead, Outage::Hanging, false);
}

#[test]
fn a_part_that_crashes_before_the_head_is_kept_from_endpoints_whose_addresses_close_connections() {
    check_kept_at_high_rate(CrashPoint::BeforeHead, Outage::Closed, false);
}

#[test]
fn a_part_that_crashes_before_the_head_is_kept_from_endpoints_whose_connections_hang() {
    check_kept_at_high_rate(CrashPoint::BeforeHead, Outage::Hanging, false);
}

/// Crashes endpoints in turn while sound requests run, and checks that they are served.
fn check_crashes_of_other_causes(outage: Outage) {
    let system = start_pool(MORE_ENDPOINTS, &CrashSpec { outage, ..spec() });

    let sound = thread::scope(|scope| {
        scope.spawn(|| {
            for round in 0..9 {
                thread::sleep(Duration::from_millis(600));
                system.endpoints[round % MORE_ENDPOINTS].crash();
            }
        });
        run_beside(&system, Duration::from_secs(14), false)
    });

    check_sound(&system, &sound);
}

#[test]
fn endpoints_that_crash_and_close_connections_keep_no_prompt_from_being_served() {
    check_crashes_of_other_causes(Outage::Closed);
}

#[test]
fn endpoints_that_crash_and_let_connections_hang_keep_no_prompt_from_being_served() {
    check_crashes_of_other_causes(Outage::Hanging);
}

/// Checks that prompts whose streams endpoints cut off at `point`, and go on, are still
/// sent to them.
fn check_cut_off(point: CrashPoint) {
    let cut = Some(Poison::Part(CUT_PART.to_owned()));
    let system = start_pool(MORE_ENDPOINTS, &CrashSpec { cut, point, ..spec() });

    let outcomes = system.run_for(Duration::from_secs(10), |stop| {
        let cut = |it: usize| request_with_body(CUT_PART, &format!("cut-{it}"), &it.to_string());
        thread::scope(|scope| {
            let cut = scope.spawn(|| system.send(cut, Duration::from_millis(130), stop));
            let sound = |it: usize| request("good", &format!("good-{it}"));
            let sound = system.send(sound, Duration::from_millis(60), stop);
            (cut.join().expect("the requests end"), sound)
        })
    });

    let (cut, sound) = outcomes;
    let refused = cut.iter().filter(|it| it.response.status == 503).count();
    assert!(cut.len() >= 50, "only {} streams were cut off", cut.len());
    assert_eq!(refused, 0, "of {} prompts whose streams are cut off", cut.len());
    let unserved = sound.iter().filter(|it| !it.is_served()).count();
    assert_eq!(unserved, 0, "of {} prompts with the same first part", sound.len());
}

#[test]
fn prompts_whose_streams_are_cut_off_after_the_head_are_not_withheld() {
    check_cut_off(CrashPoint::AfterHead);
}

#[test]
fn prompts_whose_streams_are_cut_off_within_the_first_event_are_not_withheld() {
    check_cut_off(CrashPoint::InFirstEvent);
}
