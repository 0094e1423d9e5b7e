//! Prompts with a part that crashes each endpoint which begins to answer them, through
//! several real instances.

mod crashing;

use {
    coord::catalog::RetryPolicy,
    crashing::{CONTACT, Outcome, SIGKILL, System},
    harness::{LONG_TIMEOUT, relay_request, relay_route, wait_until},
    standin::{AnswerForm, CrashSpec, Poison},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

const POISON_PART: &str = "bad";
const ENDPOINTS: usize = 10;
/// Crashes after which no more than `MAX_LATE` requests with the part may arrive that
/// were sent `CONTACT` later.
const MAX_CRASHES: usize = 5;
const MAX_LATE: usize = 3;

fn start() -> System {
    let spec = CrashSpec {
        poison: Poison::Part(POISON_PART.to_owned()),
        form: AnswerForm::Stream,
        prefill: Duration::from_millis(30),
        begin: Duration::from_millis(30),
        down: Duration::from_millis(1500),
    };
    let mut route = relay_route(RetryPolicy::ResumableStream);
    route.sticky = true;
    System::start(ENDPOINTS, &spec, route, &request("warm", "one"))
}

/// Returns a request whose prompt has a first part shared by all, a second, and one of its
/// own.
fn request(part: &str, own: &str) -> String {
    let parts = format!("mangobend-parts: first:100,{part}:50,own-{own}:10\r\n");
    relay_request(own, &parts, "")
}

/// Runs sound and poison requests side by side for a time; returns the outcomes of the
/// sound ones.
fn run_beside(system: &System, time: Duration, poison: bool) -> Vec<Outcome> {
    system.run_for(time, |stop| {
        thread::scope(|scope| {
            let send = |part: &(dyn Fn(usize) -> String + Sync), every| {
                let request = |it: usize| request(&part(it), &format!("{}-{it}", part(it)));
                system.send(request, Duration::from_millis(every), stop)
            };
            if poison {
                scope.spawn(move || send(&|_| POISON_PART.to_owned(), 150));
            }
            send(&|it| format!("good{}", it % 7), 40)
        })
    })
}

/// Checks what reaches endpoints after the fifth crash, and that sound requests with the
/// same first part are served afterwards.
fn check_kept(system: &System, sound: &[Outcome]) {
    system.check_late_arrivals(MAX_CRASHES, MAX_LATE);
    let crashes = system.crashes();
    let last = *crashes.last().expect("the part crashes endpoints until it is known");
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
