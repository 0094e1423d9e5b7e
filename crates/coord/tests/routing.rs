//! Routing on one instance: queues, retry budgets and the reported outcomes.

use {
    coord::{
        claims::{ClaimOutcome, Settlement},
        control::{Grants, Holding},
        ids::{
            ClaimKey, Class, EndpointName, Fence, Generation, Rate, RequestId, Slots, Tokens,
            Version,
        },
        limits::{LimitNotice, LimitReply, SendGrant, SharedGate},
        relay::EndpointNotice,
        router::{
            Action, AttemptEvent, AttemptIdent, EndpointCall, Failure, FairQueue, Finish, Limits,
            MAX_OUTPUT_BYTES, Outcome, Policy, Reason, RetryBudget, RetryBudgetConfig, Router,
            Submission, Waiter,
        },
        tables::{Edit, Endpoint, EndpointState, Pool, PoolKind, Route, Stage, Tables},
        time::{Millis, Time},
    },
    std::sync::Arc,
};

const NOW: Time = Time(1000);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        name: name(&format!("e{number}")),
        pool: name("p"),
        domain: name(&format!("d{number}")),
        addr: format!("127.0.0.1:{}", 9000 + number).parse().expect("an address"),
        generation: Generation(1),
        state: EndpointState::Warm,
        slots: Slots(4),
        cold_slots: Slots(1),
        version: None,
    }
}

fn route(text: &str, stages: &[&str], effect: bool) -> Route {
    let stage = |it: &&str| Stage { name: name(it), pool: name("p"), after: Vec::new(), effect };
    Route { name: name(text), stages: stages.iter().map(stage).collect(), deadline: Millis(4000) }
}

/// Tables with two routes and two endpoints.
fn router_tables() -> Arc<Tables> {
    let mut tables = Tables::default();
    let edits = [
        Edit::PutPool(Pool { name: name("p"), kind: PoolKind::Model }),
        Edit::PutRoute(route("two", &["a", "b"], false)),
        Edit::PutRoute(route("once", &["pay"], true)),
    ];
    assert_eq!(tables.edit(&edits).expect("the tables are valid"), Version(1));
    for it in [endpoint(1), endpoint(2)] {
        tables.endpoints.insert(it.name.clone(), it);
    }
    Arc::new(tables)
}

/// A router with a lease and two endpoints with `slots` granted slots each.
fn router(slots: u32) -> Router {
    let own = "127.0.0.1:1".parse().expect("an address");
    let mut router = Router::new(Policy::Shares, Limits::default(), own, NOW, 1);
    router.reload(router_tables());
    let share = |it: &str| Holding { endpoint: name::<EndpointName>(it), slots: Slots(slots) };
    router.grant(&Grants { number: 1, shares: vec![share("e1"), share("e2")] }, &[]);
    router.set_leased(true);
    router
}

fn submission(route: &str) -> Submission {
    Submission {
        id: RequestId::generate(),
        route: name(route),
        team: name("t"),
        class: Class::Standard,
        deadline: Millis(2000),
        key: (route == "once").then(ClaimKey::generate),
        input: "x".into(),
        stream: false,
    }
}

fn take_calls(router: &mut Router) -> Vec<EndpointCall> {
    let actions = router.take_actions().into_iter();
    actions.filter_map(|it| if let Action::Send(it) = it { Some(*it) } else { None }).collect()
}

fn take_finish(router: &mut Router) -> Finish {
    let actions = router.take_actions().into_iter();
    let mut ends = actions.filter_map(|it| match it {
        Action::Finish { finish, .. } => Some(*finish),
        _ => None,
    });
    ends.next().expect("the request has ended")
}

fn outcome(finish: &Finish) -> Outcome {
    finish.result.as_ref().expect_err("a failure").outcome
}

fn piece(ident: &AttemptIdent, number: u32) -> AttemptEvent {
    AttemptEvent::Piece { ident: ident.clone(), number, data: format!("{number}") }
}

fn done(ident: &AttemptIdent, pieces: u32) -> AttemptEvent {
    AttemptEvent::Done { ident: ident.clone(), pieces, tokens: Tokens(1) }
}

/// Submits a request with a key, grants its claim and returns the call.
fn submit_claimed(router: &mut Router) -> EndpointCall {
    let it = submission("once");
    let (id, key) = (it.id, it.key.expect("a key"));
    router.submit(NOW, it);
    assert!(
        matches!(router.take_actions()[..], [Action::Claim { .. }]),
        "the key is claimed before the stage is sent"
    );
    router.on_claim_result(NOW, id, key, Ok(ClaimOutcome::Granted { fence: Fence(5) }));
    router.dispatch(NOW);
    take_calls(router).remove(0)
}

fn settlement(actions: &[Action]) -> Option<&Settlement> {
    actions.iter().find_map(|it| match it {
        Action::Settle { settlement, .. } => Some(settlement),
        _ => None,
    })
}

#[test]
fn requests_are_refused_without_a_lease() {
    let mut router = router(4);
    router.submit(NOW, submission("two"));
    assert_eq!(take_calls(&mut router).len(), 1);

    router.set_leased(false);
    router.submit(NOW, submission("two"));

    let refused = take_finish(&mut router);
    let failure = refused.result.expect_err("a refusal");
    assert_eq!((failure.outcome, failure.reason), (Outcome::NotRun, Reason::NoLease));
}

#[test]
fn attempts_stay_within_the_granted_shares() {
    let mut router = router(2);
    (0..10).for_each(|_| router.submit(NOW, submission("two")));

    let sent = take_calls(&mut router);

    assert_eq!(sent.len(), 4);
    for at in ["e1", "e2"] {
        assert_eq!(sent.iter().filter(|it| it.endpoint == name(at)).count(), 2, "{at}");
    }
}

#[test]
fn a_cancelled_attempt_keeps_its_slot_until_its_connection_ends() {
    let mut router = router(1);
    let it = submission("two");
    let id = it.id;
    router.submit(NOW, it);
    let first = take_calls(&mut router).remove(0);
    router.submit(NOW, submission("two"));
    assert_eq!(take_calls(&mut router).len(), 1);

    router.on_caller_gone(NOW, id);
    router.submit(NOW, submission("two"));
    router.dispatch(NOW);
    let before = take_calls(&mut router).len();
    let ended = AttemptEvent::Failed { sent: true, detail: "cancelled".into() };
    router.on_attempt_event(NOW, first.ident.attempt, ended);
    let after = take_calls(&mut router);

    assert_eq!(before, 0, "the endpoint may still be running it");
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].endpoint, first.endpoint);
}

#[test]
fn foreign_repeated_and_late_lines_are_dropped() {
    let mut router = router(4);
    router.submit(NOW, submission("two"));
    let sent = take_calls(&mut router).remove(0);
    let (id, own) = (sent.ident.attempt, sent.ident.clone());
    let foreign = AttemptIdent { request: RequestId::generate(), ..own.clone() };

    router.on_attempt_event(NOW, id, piece(&foreign, 0));
    router.on_attempt_event(NOW, id, done(&foreign, 0));
    router.on_attempt_event(NOW, id, piece(&own, 0));
    router.on_attempt_event(NOW, id, piece(&own, 0));
    router.on_attempt_event(NOW, id, done(&own, 1));
    router.on_attempt_event(NOW, id, piece(&own, 1));

    let stats = router.stats();
    assert_eq!((stats.foreign, stats.repeated, stats.late), (2, 1, 1));
    assert_eq!(
        &*take_calls(&mut router)[0].input,
        "0",
        "the next stage's input is the output without foreign and repeated pieces"
    );
}

#[test]
fn an_answer_with_a_missing_piece_is_resumed_from_it() {
    let mut router = router(4);
    router.submit(NOW, submission("two"));
    let sent = take_calls(&mut router).remove(0);

    router.on_attempt_event(NOW, sent.ident.attempt, piece(&sent.ident, 0));
    router.on_attempt_event(NOW, sent.ident.attempt, done(&sent.ident, 2));

    let again = take_calls(&mut router).remove(0);
    assert_eq!(again.from_piece, 1, "it resumes from the next piece");
    assert_ne!(again.endpoint, sent.endpoint, "in another failure domain");
}

/// Starts a streamed request of one stage at endpoints of these versions; the endpoint of
/// the first attempt then breaks off after a piece. Returns that attempt.
fn break_off_stream(router: &mut Router, versions: [&str; 2]) -> EndpointCall {
    let mut tables = Tables::clone(&router_tables());
    for (it, version) in tables.endpoints.values_mut().zip(versions) {
        it.version = Some(version.parse().expect("a version"));
    }
    router.reload(Arc::new(tables));
    router.submit(NOW, Submission { stream: true, ..submission("two") });
    let sent = take_calls(router).remove(0);
    router.on_attempt_event(NOW, sent.ident.attempt, piece(&sent.ident, 0));
    let failed = AttemptEvent::Failed { sent: true, detail: "reset".to_owned() };
    router.on_attempt_event(NOW, sent.ident.attempt, failed);
    sent
}

#[test]
fn a_stage_that_broke_off_is_resumed_only_at_the_version_that_began_it() {
    let (mut same, mut other) = (router(4), router(4));

    let first = break_off_stream(&mut same, ["v1", "v1"]);
    break_off_stream(&mut other, ["v1", "v2"]);

    let resumed = take_calls(&mut same).remove(0);
    assert_ne!(resumed.endpoint, first.endpoint);
    let (finish, calls) = take_finish_and_calls(&mut other);
    assert_eq!(calls, 0, "what two versions write isn't joined");
    assert_eq!(outcome(&finish), Outcome::Unknown);
}

fn take_finish_and_calls(router: &mut Router) -> (Finish, usize) {
    let actions = router.take_actions();
    let calls = actions.iter().filter(|it| matches!(it, Action::Send(_))).count();
    let finish = actions.into_iter().find_map(|it| match it {
        Action::Finish { finish, .. } => Some(*finish),
        _ => None,
    });
    (finish.expect("the request has ended"), calls)
}

#[test]
fn a_request_that_was_only_refused_ends_as_not_run() {
    let mut router = router(1);
    router.submit(NOW, submission("two"));
    let sent = take_calls(&mut router).remove(0);

    router.on_attempt_event(NOW, sent.ident.attempt, AttemptEvent::Refused { cold: true });
    let next = take_calls(&mut router).remove(0);
    router.on_attempt_event(NOW, next.ident.attempt, AttemptEvent::Refused { cold: true });
    router.tick(NOW + Millis(2000));

    assert_eq!(outcome(&take_finish(&mut router)), Outcome::NotRun);
}

#[test]
fn a_request_that_may_have_begun_ends_as_unknown() {
    let mut router = router(4);
    router.submit(NOW, submission("two"));
    take_calls(&mut router);

    router.tick(NOW + Millis(2000));

    assert_eq!(outcome(&take_finish(&mut router)), Outcome::Unknown);
}

#[test]
fn a_stage_with_an_effect_that_may_have_begun_is_not_sent_again() {
    let mut router = router(4);
    let sent = submit_claimed(&mut router);
    assert_eq!(sent.fence, Some(Fence(5)));

    let broke = AttemptEvent::Failed { sent: true, detail: "broke".into() };
    router.on_attempt_event(NOW, sent.ident.attempt, broke);

    let actions = router.take_actions();
    assert_eq!(settlement(&actions), Some(&Settlement::Unknown));
    assert!(!actions.iter().any(|it| matches!(it, Action::Send(_))));
}

#[test]
fn a_stage_with_an_effect_that_was_not_sent_is_retried_elsewhere() {
    let mut router = router(4);
    let sent = submit_claimed(&mut router);

    let refused = AttemptEvent::Failed { sent: false, detail: "refused".into() };
    router.on_attempt_event(NOW, sent.ident.attempt, refused);

    let again = take_calls(&mut router).remove(0);
    assert_ne!(again.endpoint, sent.endpoint);
}

#[test]
fn a_silent_stage_with_an_effect_is_not_hedged() {
    let mut router = router(4);
    submit_claimed(&mut router);

    for passed in (0..1900).step_by(100) {
        router.tick(NOW + Millis(passed));
    }

    assert!(take_calls(&mut router).is_empty());
}

#[test]
fn a_claim_granted_after_its_request_ended_is_settled_as_not_run() {
    let mut router = router(4);
    let it = submission("once");
    let (id, key) = (it.id, it.key.expect("a key"));
    router.submit(NOW, it);
    router.tick(NOW + Millis(2000));
    assert_eq!(outcome(&take_finish(&mut router)), Outcome::Unknown);

    router.on_claim_result(
        NOW + Millis(2500),
        id,
        key,
        Ok(ClaimOutcome::Granted { fence: Fence(5) }),
    );

    let actions = router.take_actions();
    assert_eq!(settlement(&actions), Some(&Settlement::NotRun));
    assert_eq!(actions.len(), 1);
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), NOW);

    let spent = (0..1000).filter(|_| budget.spend(NOW)).count();
    let later = (0..1000).filter(|_| budget.spend(NOW + Millis(5000))).count();
    (0..100).for_each(|_| budget.earn());
    let earned = (0..1000).filter(|_| budget.spend(NOW + Millis(5000))).count();

    assert!(spent <= 20, "{spent}");
    assert!(later <= 5, "{later}");
    assert!((9..=10).contains(&earned), "{earned}");
}

fn waiter(team: &str, class: Class, deadline: u64) -> Waiter {
    Waiter {
        request: RequestId::generate(),
        team: name(team),
        class,
        deadline: Time(deadline),
        cost: Millis(10),
    }
}

#[test]
fn a_burst_of_one_team_does_not_delay_another() {
    let mut queue = FairQueue::new(1000, 500);
    for _ in 0..300 {
        queue.push(waiter("big", Class::Standard, 100)).expect("there is room");
    }
    for _ in 0..5 {
        queue.push(waiter("small", Class::Standard, 100)).expect("there is room");
    }

    let first: Vec<Waiter> = (0..11).filter_map(|_| queue.pop()).collect();

    assert_eq!(first.iter().filter(|it| it.team == name("small")).count(), 5);
}

#[test]
fn classes_share_by_weight_and_a_team_is_ordered_by_deadline() {
    let mut queue = FairQueue::new(1000, 500);
    for i in 0..100 {
        queue.push(waiter("t", Class::Interactive, 1000 - i)).expect("there is room");
        queue.push(waiter("t", Class::Batch, 1000 - i)).expect("there is room");
    }

    let first: Vec<Waiter> = (0..45).filter_map(|_| queue.pop()).collect();

    let urgent: Vec<&Waiter> = first.iter().filter(|it| it.class == Class::Interactive).collect();
    assert!((38..=42).contains(&urgent.len()), "8 to 1: {}", urgent.len());
    assert!(urgent.is_sorted_by_key(|it| it.deadline));
}

#[test]
fn a_full_queue_refuses_waiters() {
    let mut queue = FairQueue::new(3, 2);
    let push = |queue: &mut FairQueue, team| queue.push(waiter(team, Class::Batch, 1)).is_ok();

    let taken = ["a", "a", "a", "b", "c"].map(|it| push(&mut queue, it));

    assert_eq!(taken, [true, true, false, true, false]);
}

#[test]
fn attempts_at_other_instances_count_against_a_team() {
    let mut queue = FairQueue::new(1000, 500);
    queue.set_global_ratios(&[(name("everywhere"), 8.0)].into_iter().collect());
    for _ in 0..100 {
        queue.push(waiter("everywhere", Class::Standard, 100)).expect("there is room");
        queue.push(waiter("here", Class::Standard, 100)).expect("there is room");
    }

    let first: Vec<Waiter> = (0..45).filter_map(|_| queue.pop()).collect();

    let here = first.iter().filter(|it| it.team == name("here")).count();
    assert!((38..=42).contains(&here), "8 to 1: {here}");
}

#[test]
fn a_too_long_output_fails_the_request() {
    let mut router = router(4);
    router.submit(NOW, submission("two"));
    let sent = take_calls(&mut router).remove(0);
    let long = |number| AttemptEvent::Piece {
        ident: sent.ident.clone(),
        number,
        data: "x".repeat(MAX_OUTPUT_BYTES / 2 + 1),
    };

    router.on_attempt_event(NOW, sent.ident.attempt, long(0));
    router.on_attempt_event(NOW, sent.ident.attempt, long(1));

    assert_eq!(outcome(&take_finish(&mut router)), Outcome::Unknown);
}

/// Submits a request, has the endpoint that gets it say this of itself, and returns
/// the call.
fn notice_from_first(router: &mut Router, notice: EndpointNotice) -> EndpointCall {
    router.submit(NOW, submission("two"));
    let sent = take_calls(router).remove(0);
    router.on_attempt_event(NOW, sent.ident.attempt, AttemptEvent::Notice(notice));
    sent
}

#[test]
fn an_endpoint_that_says_it_is_leaving_gets_no_calls_while_there_is_another() {
    let mut router = router(4);
    let leaving = notice_from_first(&mut router, EndpointNotice::Leaving).endpoint;

    for _ in 0..4 {
        router.submit(NOW, submission("two"));
    }

    let calls = take_calls(&mut router);
    assert!(!calls.is_empty());
    assert!(calls.iter().all(|it| it.endpoint != leaving), "{calls:?}");
}

#[test]
fn an_endpoint_gets_no_call_in_the_pause_that_it_asked_for() {
    let mut router = router(1);
    let pause = EndpointNotice::Pause(Millis(1000));
    let sent = notice_from_first(&mut router, pause);
    router.on_attempt_event(NOW, sent.ident.attempt, AttemptEvent::Refused { cold: false });
    let second = take_calls(&mut router).remove(0);
    assert_ne!(second.endpoint, sent.endpoint);

    router.submit(NOW, submission("two"));
    router.tick(NOW + Millis(999));
    let in_pause = take_calls(&mut router);
    router.tick(NOW + Millis(1000));
    let after = take_calls(&mut router);

    assert!(in_pause.is_empty(), "{in_pause:?}");
    assert_eq!(after.first().map(|it| &it.endpoint), Some(&sent.endpoint));
}

/// Has both endpoints name a limit of one request a second in answers to their first call.
fn name_limits(router: &mut Router) -> Vec<EndpointCall> {
    router.submit(NOW, submission("two"));
    router.submit(NOW, submission("two"));
    let calls = take_calls(router);
    for it in &calls {
        let limit = AttemptEvent::Limit(LimitNotice::Named(Rate(1000)));
        router.on_attempt_event(NOW, it.ident.attempt, limit);
    }
    calls
}

#[test]
fn a_request_is_refused_at_once_if_all_endpoints_are_at_their_limits() {
    let mut router = router(1);
    assert_eq!(name_limits(&mut router).len(), 2);

    router.submit(NOW, submission("two"));

    let finish = take_finish(&mut router);
    assert_eq!(outcome(&finish), Outcome::NotRun);
    assert!(finish.result.expect_err("a failure").retry_after.is_some());
}

#[test]
fn calls_and_cancels_at_a_limited_endpoint_each_take_a_granted_send() {
    let mut router = router(4);
    let gate = SharedGate::default();
    router.set_gate(gate.clone());
    router.reload(router_tables());
    let calls = name_limits(&mut router);
    let (endpoint, generation) = (calls[0].endpoint.clone(), Generation(1));
    let grant = SendGrant { endpoint: endpoint.clone(), generation, limit: Rate(1000), sends: 1 };
    let reply = LimitReply { sends: vec![grant], ..LimitReply::default() };
    gate.lock().apply(NOW, NOW, 1, reply);

    router.submit(NOW, submission("two"));
    let granted = take_calls(&mut router);
    router.on_caller_gone(NOW, granted[0].ident.request);

    assert_eq!(granted[0].endpoint, endpoint);
    let cancels =
        router.take_actions().into_iter().filter(|it| matches!(it, Action::Cancel { .. }));
    assert_eq!(cancels.count(), 0, "no send is left for a cancel");
}

/// The time that each stage takes in the tests of shutdowns.
const STAGE_TIME: Millis = Millis(300);

/// Runs requests one after the other until their stages have an expected time; returns when
/// the last has ended.
fn measure_stages(router: &mut Router) -> Time {
    let mut now = NOW;
    for _ in 0..8 {
        router.submit(now, submission("two"));
        for _ in 0..2 {
            let call = take_calls(router).remove(0);
            now = now + STAGE_TIME;
            router.on_attempt_event(now, call.ident.attempt, done(&call.ident, 0));
        }
    }
    router.take_actions();
    now
}

fn take_failures(router: &mut Router) -> Vec<Failure> {
    let actions = router.take_actions().into_iter();
    let ends = actions.filter_map(|it| match it {
        Action::Finish { finish, .. } => Some(finish.result.expect_err("a failure")),
        _ => None,
    });
    ends.collect()
}

fn assert_refused_by_stop(failure: &Failure) {
    let got = (failure.outcome, failure.reason, failure.retry_after);
    assert_eq!(got, (Outcome::NotRun, Reason::Stopping, Some(Millis(0))), "{failure:?}");
}

#[test]
fn a_queued_request_that_outlasts_a_stop_is_refused_when_the_stop_begins() {
    let mut router = router(1);
    let now = measure_stages(&mut router);
    (0..3).for_each(|_| router.submit(now, submission("two")));
    assert_eq!(take_calls(&mut router).len(), 2, "the third is queued");

    router.begin_stop(now, now + Millis(500));

    let failures = take_failures(&mut router);
    assert_eq!(failures.len(), 1, "those that were sent may still end");
    assert_refused_by_stop(&failures[0]);
}

#[test]
fn requests_at_the_end_of_a_queue_that_outlasts_a_stop_are_refused_when_it_begins() {
    let mut router = router(1);
    let now = measure_stages(&mut router);
    (0..12).for_each(|_| router.submit(now, submission("two")));
    assert_eq!(take_calls(&mut router).len(), 2);

    router.begin_stop(now, now + Millis(1500));

    // Two slots: one of ten starts each 150 ms and takes two stages.
    let failures = take_failures(&mut router);
    assert_eq!(failures.len(), 4);
    failures.iter().for_each(assert_refused_by_stop);
}

#[test]
fn a_queued_request_is_refused_as_soon_as_a_stop_is_known_to_end_first() {
    let mut router = router(1);
    let now = measure_stages(&mut router);
    (0..3).for_each(|_| router.submit(now, submission("two")));
    router.begin_stop(now, now + Millis(1000));
    take_calls(&mut router);

    router.tick(now + Millis(399));
    let before = take_failures(&mut router);
    router.tick(now + Millis(400));
    let after = take_failures(&mut router);

    assert!(before.is_empty(), "{before:?}");
    assert_eq!(after.len(), 1);
    assert_refused_by_stop(&after[0]);
}

#[test]
fn a_new_request_is_taken_during_a_stop_only_if_it_can_end_first() {
    let mut router = router(1);
    let now = measure_stages(&mut router);
    router.begin_stop(now, now + Millis(1000));

    router.submit(now, submission("two"));
    let taken = take_calls(&mut router).len();
    router.submit(now + Millis(400), submission("two"));

    assert_eq!(taken, 1);
    assert_refused_by_stop(&take_failures(&mut router)[0]);
}

#[test]
fn a_stage_that_outlasts_a_stop_is_not_begun() {
    let mut router = router(1);
    let now = measure_stages(&mut router);
    router.submit(now, submission("two"));
    let first = take_calls(&mut router).remove(0);
    router.begin_stop(now, now + Millis(700));

    router.on_attempt_event(now + Millis(400), first.ident.attempt, done(&first.ident, 0));

    let (finish, calls) = take_finish_and_calls(&mut router);
    assert_eq!(calls, 0);
    let failure = finish.result.expect_err("a failure");
    assert_eq!((failure.outcome, failure.reason), (Outcome::Unknown, Reason::Stopping));
}

#[test]
fn a_claim_that_is_granted_too_late_in_a_stop_is_settled_as_not_run() {
    let mut router = router(4);
    let it = submission("once");
    let (id, key) = (it.id, it.key.expect("a key"));
    router.submit(NOW, it);
    router.begin_stop(NOW, NOW + Millis(1000));
    router.take_actions();

    router.tick(NOW + Millis(1000));
    let failures = take_failures(&mut router);
    let granted = Ok(ClaimOutcome::Granted { fence: Fence(5) });
    router.on_claim_result(NOW + Millis(1100), id, key, granted);

    assert_eq!(failures[0].outcome, Outcome::Unknown, "an earlier request may hold the key");
    assert_eq!(settlement(&router.take_actions()), Some(&Settlement::NotRun));
}

#[test]
fn requests_held_at_the_last_call_of_a_stop_are_answered_with_what_is_known() {
    let mut router = router(1);
    submit_claimed(&mut router);
    (0..2).for_each(|_| router.submit(NOW, submission("two")));
    assert_eq!(take_calls(&mut router).len(), 1, "the second of them is queued");
    router.begin_stop(NOW, NOW + Millis(1000));

    router.tick(NOW + Millis(999));
    let before = router.take_actions().len();
    router.tick(NOW + Millis(1000));

    let actions = router.take_actions();
    assert_eq!(before, 0);
    assert!(router.is_idle());
    assert_eq!(settlement(&actions), Some(&Settlement::Unknown));
    let ends = actions.into_iter().filter_map(|it| match it {
        Action::Finish { finish, .. } => Some(finish.result.expect_err("a failure")),
        _ => None,
    });
    let ends: Vec<Failure> = ends.collect();
    assert!(ends.iter().all(|it| it.reason == Reason::Stopping), "{ends:?}");
    let unknown = ends.iter().filter(|it| it.outcome == Outcome::Unknown).count();
    assert_eq!((ends.len(), unknown), (3, 2), "{ends:?}");
    assert_refused_by_stop(&ends[2]);
}

#[test]
fn a_request_that_gets_no_share_in_time_is_refused_at_once() {
    let mut router = router(0);
    router.set_shares_at(Some(NOW + Millis(2001)));

    router.submit(NOW, submission("two"));

    let failure = take_failures(&mut router).remove(0);
    assert_eq!((failure.outcome, failure.reason), (Outcome::NotRun, Reason::Overload));
    assert!(failure.retry_after.is_some());
}

#[test]
fn a_queued_request_is_refused_once_it_is_known_to_get_no_share_in_time() {
    let mut router = router(0);
    router.submit(NOW, submission("two"));
    router.tick(NOW + Millis(100));
    let before = take_failures(&mut router);

    router.set_shares_at(Some(NOW + Millis(2001)));
    router.tick(NOW + Millis(200));

    let after = take_failures(&mut router);
    assert!(before.is_empty(), "{before:?}");
    assert_eq!(after.len(), 1);
    assert_eq!((after[0].outcome, after[0].reason), (Outcome::NotRun, Reason::Overload));
}

#[test]
fn a_request_waits_for_a_share_that_comes_in_time() {
    let (mut without, mut with) = (router(0), router(1));
    without.set_shares_at(Some(NOW + Millis(1000)));
    with.set_shares_at(Some(NOW + Millis(9000)));

    for router in [&mut without, &mut with] {
        router.submit(NOW, submission("two"));
        router.tick(NOW + Millis(100));
    }

    assert!(take_failures(&mut without).is_empty());
    assert_eq!(take_calls(&mut with).len(), 1, "a share that is held may be used");
}
