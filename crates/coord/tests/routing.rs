//! Routing on one instance: queues, budgets, truth of refusals.

use {
    coord::{
        claims::{ClaimOutcome, Settlement},
        control::{Grants, Holding},
        ids::{
            ClaimKey, Class, EndpointName, Fence, Generation, RequestId, Slots, Tokens, Version,
        },
        router::{
            Action, AttemptEvent, AttemptIdent, EndpointCall, FairQueue, Finish, Limits,
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
    }
}

fn route(text: &str, stages: &[&str], effect: bool) -> Route {
    let stage = |it: &&str| Stage { name: name(it), pool: name("p"), after: Vec::new(), effect };
    Route { name: name(text), stages: stages.iter().map(stage).collect(), deadline: Millis(4000) }
}

/// An open router with two endpoints of so many slots each.
fn router(slots: u32) -> Router {
    let mut tables = Tables::default();
    let edits = [
        Edit::PutPool(Pool { name: name("p"), kind: PoolKind::Model }),
        Edit::PutRoute(route("two", &["a", "b"], false)),
        Edit::PutRoute(route("once", &["pay"], true)),
    ];
    assert_eq!(tables.edit(&edits).expect("the tables are sound"), Version(1));
    for it in [endpoint(1), endpoint(2)] {
        tables.endpoints.insert(it.name.clone(), it);
    }
    let mut router = Router::new(Policy::Shares, Limits::default(), NOW, 1);
    router.reload(Arc::new(tables));
    let share = |it: &str| Holding { endpoint: name::<EndpointName>(it), slots: Slots(slots) };
    router.grant(&Grants { number: 1, shares: vec![share("e1"), share("e2")] }, &[]);
    router.set_leased(true);
    router
}

fn ask(route: &str) -> Submission {
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

fn sends(router: &mut Router) -> Vec<EndpointCall> {
    let actions = router.take_actions().into_iter();
    actions.filter_map(|it| if let Action::Send(it) = it { Some(*it) } else { None }).collect()
}

fn finish(router: &mut Router) -> Finish {
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

/// Submits a request with a key and grants its claim.
fn claimed(router: &mut Router) -> EndpointCall {
    let it = ask("once");
    let (id, key) = (it.id, it.key.expect("a key"));
    router.submit(NOW, it);
    assert!(matches!(router.take_actions()[..], [Action::Claim { .. }]), "claimed before sending");
    router.on_claim_result(NOW, id, key, Ok(ClaimOutcome::Granted { fence: Fence(5) }));
    router.dispatch(NOW);
    sends(router).remove(0)
}

fn settlement(actions: &[Action]) -> Option<&Settlement> {
    actions.iter().find_map(|it| match it {
        Action::Settle { settlement, .. } => Some(settlement),
        _ => None,
    })
}

#[test]
fn without_a_lease_nothing_is_taken_or_sent() {
    let mut router = router(4);
    router.submit(NOW, ask("two"));
    assert_eq!(sends(&mut router).len(), 1);

    router.set_leased(false);
    router.submit(NOW, ask("two"));

    let refused = finish(&mut router);
    let failure = refused.result.expect_err("a refusal");
    assert_eq!((failure.outcome, failure.reason), (Outcome::NotRun, Reason::NoLease));
}

#[test]
fn no_more_is_sent_than_the_shares_allow() {
    let mut router = router(2);
    (0..10).for_each(|_| router.submit(NOW, ask("two")));

    let sent = sends(&mut router);

    assert_eq!(sent.len(), 4);
    for at in ["e1", "e2"] {
        assert_eq!(sent.iter().filter(|it| it.endpoint == name(at)).count(), 2, "{at}");
    }
}

#[test]
fn a_cancelled_attempt_keeps_its_slot_until_its_connection_ends() {
    let mut router = router(1);
    let it = ask("two");
    let id = it.id;
    router.submit(NOW, it);
    let first = sends(&mut router).remove(0);
    router.submit(NOW, ask("two"));
    assert_eq!(sends(&mut router).len(), 1);

    router.on_caller_gone(NOW, id);
    router.submit(NOW, ask("two"));
    router.dispatch(NOW);
    let before = sends(&mut router).len();
    let ended = AttemptEvent::Failed { sent: true, detail: "cancelled".into() };
    router.on_attempt_event(NOW, first.ident.attempt, ended);
    let after = sends(&mut router);

    assert_eq!(before, 0, "the endpoint may still be at it");
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].endpoint, first.endpoint);
}

#[test]
fn foreign_repeated_and_late_lines_are_dropped() {
    let mut router = router(4);
    router.submit(NOW, ask("two"));
    let sent = sends(&mut router).remove(0);
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
    assert_eq!(&*sends(&mut router)[0].input, "0", "the next stage has the stage's own output");
}

#[test]
fn an_answer_with_a_gap_is_not_taken_for_whole() {
    let mut router = router(4);
    router.submit(NOW, ask("two"));
    let sent = sends(&mut router).remove(0);

    router.on_attempt_event(NOW, sent.ident.attempt, piece(&sent.ident, 0));
    router.on_attempt_event(NOW, sent.ident.attempt, done(&sent.ident, 2));

    let again = sends(&mut router).remove(0);
    assert_eq!(again.from_piece, 1, "it goes on from the next piece");
    assert_ne!(again.endpoint, sent.endpoint, "in another failure domain");
}

#[test]
fn what_was_refused_as_not_run_is_said_not_to_have_run() {
    let mut router = router(1);
    router.submit(NOW, ask("two"));
    let sent = sends(&mut router).remove(0);

    router.on_attempt_event(NOW, sent.ident.attempt, AttemptEvent::Refused { cold: true });
    let next = sends(&mut router).remove(0);
    router.on_attempt_event(NOW, next.ident.attempt, AttemptEvent::Refused { cold: true });
    router.tick(NOW + Millis(2000));

    assert_eq!(outcome(&finish(&mut router)), Outcome::NotRun);
}

#[test]
fn what_may_have_begun_is_never_said_not_to_have_run() {
    let mut router = router(4);
    router.submit(NOW, ask("two"));
    sends(&mut router);

    router.tick(NOW + Millis(2000));

    assert_eq!(outcome(&finish(&mut router)), Outcome::Unknown);
}

#[test]
fn an_effect_that_may_have_begun_is_not_sent_again() {
    let mut router = router(4);
    let sent = claimed(&mut router);
    assert_eq!(sent.fence, Some(Fence(5)));

    let broke = AttemptEvent::Failed { sent: true, detail: "broke".into() };
    router.on_attempt_event(NOW, sent.ident.attempt, broke);

    let actions = router.take_actions();
    assert_eq!(settlement(&actions), Some(&Settlement::Unknown));
    assert!(!actions.iter().any(|it| matches!(it, Action::Send(_))));
}

#[test]
fn an_effect_that_provably_did_not_begin_is_sent_elsewhere() {
    let mut router = router(4);
    let sent = claimed(&mut router);

    let refused = AttemptEvent::Failed { sent: false, detail: "refused".into() };
    router.on_attempt_event(NOW, sent.ident.attempt, refused);

    let again = sends(&mut router).remove(0);
    assert_ne!(again.endpoint, sent.endpoint);
}

#[test]
fn a_silent_effect_gets_no_rival() {
    let mut router = router(4);
    claimed(&mut router);

    for passed in (0..1900).step_by(100) {
        router.tick(NOW + Millis(passed));
    }

    assert!(sends(&mut router).is_empty());
}

#[test]
fn a_claim_granted_after_its_request_ended_is_freed() {
    let mut router = router(4);
    let it = ask("once");
    let (id, key) = (it.id, it.key.expect("a key"));
    router.submit(NOW, it);
    router.tick(NOW + Millis(2000));
    assert_eq!(outcome(&finish(&mut router)), Outcome::Unknown);

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
fn a_burst_of_one_team_does_not_hold_another_up() {
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
fn classes_share_by_weight_and_a_team_goes_by_deadline() {
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
fn a_full_queue_refuses() {
    let mut queue = FairQueue::new(3, 2);
    let push = |queue: &mut FairQueue, team| queue.push(waiter(team, Class::Batch, 1)).is_ok();

    let taken = ["a", "a", "a", "b", "c"].map(|it| push(&mut queue, it));

    assert_eq!(taken, [true, true, false, true, false]);
}

#[test]
fn what_a_team_has_at_other_instances_counts_against_it() {
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
fn an_output_without_end_is_cut_off_as_a_failure() {
    let mut router = router(4);
    router.submit(NOW, ask("two"));
    let sent = sends(&mut router).remove(0);
    let long = |number| AttemptEvent::Piece {
        ident: sent.ident.clone(),
        number,
        data: "x".repeat(MAX_OUTPUT_BYTES / 2 + 1),
    };

    router.on_attempt_event(NOW, sent.ident.attempt, long(0));
    router.on_attempt_event(NOW, sent.ident.attempt, long(1));

    assert_eq!(outcome(&finish(&mut router)), Outcome::Unknown);
}
