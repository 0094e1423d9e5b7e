//! The replicated state machine: changes, endpoints and claims.

use {
    coord::{
        claims::{
            Answer, ClaimError, ClaimOutcome, ClaimRequest, KEY_RETENTION, MAX_CLOCK_SKEW,
            RequestDigest, Settlement,
        },
        ids::{
            ChangeId, ClaimKey, Fence, Generation, Incarnation, Index, NodeId, RequestId, Slots,
            Version,
        },
        tables::{
            Change, ChangeOutcome, Command, Edit, Endpoint, EndpointState, Member, Outcome, Pool,
            PoolKind, Route, Stage, State, Tables, Target,
        },
        time::{Millis, WallTime},
    },
    quickcheck::{Gen, QuickCheck},
};

const DAY_MS: u64 = 24 * 3600 * 1000;
const NOW: WallTime = WallTime(1_000 * DAY_MS);

fn pool(name: &str) -> Pool {
    Pool { name: name.parse().expect("a name"), kind: PoolKind::Model }
}

fn route(name: &str, stages: &[(&str, &str, &[&str])]) -> Route {
    let stage = |(name, pool, after): &(&str, &str, &[&str])| Stage {
        name: name.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        after: after.iter().map(|it| it.parse().expect("a name")).collect(),
        effect: false,
    };
    Route {
        name: name.parse().expect("a name"),
        stages: stages.iter().map(stage).collect(),
        deadline: Millis(4000),
    }
}

fn change(base: Option<u64>, edits: Vec<Edit>) -> Change {
    let id = ChangeId::generate();
    Change { id, base: base.map(Version), author: "ops".to_owned(), at: NOW, edits }
}

fn apply(state: &mut State, at: u64, command: Command) -> Outcome {
    state.apply(Index(at), &command).outcome
}

fn outcome_of(state: &mut State, change: &Change) -> ChangeOutcome {
    match apply(state, 1, Command::Change(change.clone())) {
        Outcome::Change(it) => it,
        other => panic!("not the outcome of a change: {other:?}"),
    }
}

fn claim_request(key: ClaimKey, input: &str, at: WallTime) -> ClaimRequest {
    let (route, team) = ("deposit".parse().expect("a name"), "tills".parse().expect("a name"));
    ClaimRequest {
        key,
        digest: RequestDigest::of(&route, &team, input),
        route,
        team,
        request: RequestId::generate(),
        owner: NodeId(1),
        incarnation: Incarnation(1),
        at,
    }
}

fn claim(state: &mut State, at: u64, request: &ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
    match apply(state, at, Command::Claim(request.clone())) {
        Outcome::Claim(it) => it,
        other => panic!("not the outcome of a claim: {other:?}"),
    }
}

fn settle(state: &mut State, key: ClaimKey, fence: u64, settlement: Settlement) -> Outcome {
    apply(state, 99, Command::Settle { key, fence: Fence(fence), settlement })
}

fn ran(output: &str) -> Settlement {
    Settlement::Ran(Answer { output: output.to_owned() })
}

fn endpoint(generation: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        name: "e".parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        generation: Generation(generation),
        state,
        slots: Slots(8),
        cold_slots: Slots(2),
        version: None,
    }
}

#[test]
fn of_two_changes_based_on_the_same_version_one_is_accepted() {
    let mut state = State::default();
    let one = change(Some(0), vec![Edit::PutPool(pool("a"))]);
    let two = change(Some(0), vec![Edit::PutPool(pool("b"))]);

    let outcomes = [outcome_of(&mut state, &one), outcome_of(&mut state, &two)];

    let (accepted, conflict) = (
        ChangeOutcome::Accepted { version: Version(1) },
        ChangeOutcome::Conflict { version: Version(1) },
    );
    assert_eq!(outcomes, [accepted, conflict]);
    assert_eq!(state.tables.pools.len(), 1);
}

#[test]
fn a_resent_change_gets_its_first_outcome_even_after_newer_changes() {
    let mut state = State::default();
    let first = change(None, vec![Edit::TakeOut(Target::Domain("d".parse().expect("a name")))]);
    let back = change(None, vec![Edit::BringBack(Target::Domain("d".parse().expect("a name")))]);
    let answer = outcome_of(&mut state, &first);
    outcome_of(&mut state, &back);

    let again = outcome_of(&mut state, &first);

    assert_eq!(again, answer);
    assert!(state.tables.out_domains.is_empty(), "the resend isn't applied again");
    assert_eq!(state.tables.version, Version(2));
}

#[test]
fn reusing_a_change_id_for_another_change_is_invalid() {
    let mut state = State::default();
    let first = change(None, vec![Edit::PutPool(pool("a"))]);
    outcome_of(&mut state, &first);

    let other = Change { edits: vec![Edit::PutPool(pool("b"))], ..first };
    let outcome = outcome_of(&mut state, &other);

    assert!(matches!(outcome, ChangeOutcome::Invalid { .. }));
}

#[test]
fn a_change_with_an_invalid_edit_leaves_the_tables_unchanged() {
    let put = |it: Route| Edit::PutRoute(it);
    let cases: [(&str, Vec<Edit>); 6] = [
        ("missing pool", vec![put(route("r", &[("s", "missing", &[])]))]),
        (
            "cycle",
            vec![
                Edit::PutPool(pool("p")),
                put(route("r", &[("a", "p", &["b"]), ("b", "p", &["a"])])),
            ],
        ),
        (
            "duplicate stage",
            vec![Edit::PutPool(pool("p")), put(route("r", &[("a", "p", &[]), ("a", "p", &[])]))],
        ),
        (
            "duplicate row",
            vec![Edit::Replace { routes: vec![], pools: vec![pool("p"), pool("p")] }],
        ),
        ("unknown pool", vec![Edit::DeletePool("p".parse().expect("a name"))]),
        ("no edits", vec![]),
    ];
    for (case, edits) in cases {
        let mut state = State::default();
        let outcome = outcome_of(&mut state, &change(None, edits));

        assert!(matches!(outcome, ChangeOutcome::Invalid { .. }), "{case}: {outcome:?}");
        assert_eq!(state.tables, Tables::default(), "{case}");
    }
}

#[test]
fn a_pool_in_use_cannot_be_deleted() {
    let mut state = State::default();
    let edits = vec![Edit::PutPool(pool("p")), Edit::PutRoute(route("r", &[("s", "p", &[])]))];
    outcome_of(&mut state, &change(None, edits));

    let delete = change(None, vec![Edit::DeletePool("p".parse().expect("a name"))]);
    let outcome = outcome_of(&mut state, &delete);

    assert!(matches!(outcome, ChangeOutcome::Invalid { .. }));
}

#[test]
fn stages_are_sorted_after_their_dependencies() {
    let it = route("r", &[("c", "p", &["b"]), ("a", "p", &["b"]), ("b", "p", &["start"])]);
    let start = route("r", &[("start", "p", &[])]).stages;
    let stages = [it.stages, start].concat();
    let it = Route { stages: vec![stages[3].clone(), stages[0].clone(), stages[2].clone()], ..it };

    let order = it.sorted_stages().expect("the route is valid");

    let names: Vec<&str> = order.iter().map(|it| it.name.as_str()).collect();
    assert_eq!(names, ["start", "b", "c"]);
}

#[test]
fn a_delayed_announcement_does_not_revive_a_leaving_endpoint() {
    let mut state = State::default();
    for it in [
        endpoint(1, EndpointState::Warm),
        endpoint(2, EndpointState::Warm),
        endpoint(2, EndpointState::Leaving),
        endpoint(1, EndpointState::Warm),
        endpoint(2, EndpointState::Warm),
    ] {
        apply(&mut state, 1, Command::Endpoint(it));
    }
    let row =
        &state.tables.endpoints["e".parse::<coord::ids::EndpointName>().as_ref().expect("a name")];
    assert_eq!(*row, endpoint(2, EndpointState::Leaving));
}

#[test]
fn a_key_runs_once_and_repeats_get_the_stored_answer() {
    let mut state = State::default();
    let key = ClaimKey::at(NOW);
    let granted = claim(&mut state, 7, &claim_request(key, "a", NOW));
    assert_eq!(granted, Ok(ClaimOutcome::Granted { fence: Fence(7) }));
    assert_eq!(claim(&mut state, 8, &claim_request(key, "a", NOW)), Ok(ClaimOutcome::Running));

    settle(&mut state, key, 7, ran("done"));

    let again = claim(&mut state, 9, &claim_request(key, "a", WallTime(NOW.0 + DAY_MS)));
    assert_eq!(again, Ok(ClaimOutcome::Ran(Answer { output: "done".to_owned() })));
    assert_eq!(claim(&mut state, 10, &claim_request(key, "b", NOW)), Err(ClaimError::Mismatch));
}

#[test]
fn a_claim_logged_twice_gets_the_same_fence() {
    let mut state = State::default();
    let request = claim_request(ClaimKey::at(NOW), "a", NOW);

    let both = [claim(&mut state, 7, &request), claim(&mut state, 8, &request)];

    let granted = Ok(ClaimOutcome::Granted { fence: Fence(7) });
    assert_eq!(both, [granted.clone(), granted]);
}

#[test]
fn a_key_can_be_claimed_again_only_if_it_provably_did_not_run() {
    let mut state = State::default();
    let key = ClaimKey::at(NOW);
    claim(&mut state, 7, &claim_request(key, "a", NOW)).expect("the key is free");
    settle(&mut state, key, 7, Settlement::NotRun);
    let second = claim(&mut state, 8, &claim_request(key, "a", NOW));
    assert_eq!(second, Ok(ClaimOutcome::Granted { fence: Fence(8) }));

    settle(&mut state, key, 7, ran("the answer of an earlier claim"));
    settle(&mut state, key, 8, Settlement::Unknown);

    assert_eq!(claim(&mut state, 9, &claim_request(key, "a", NOW)), Ok(ClaimOutcome::Unknown));
    assert_eq!(state.claims.unknown().count(), 1);
}

#[test]
fn a_restart_makes_running_claims_unknown_until_resolved_by_an_operator() {
    let mut state = State::default();
    let key = ClaimKey::at(NOW);
    claim(&mut state, 7, &claim_request(key, "a", NOW)).expect("the key is free");
    let member = Member {
        id: NodeId(1),
        name: "i".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        peer: "127.0.0.1:9".parse().expect("an address"),
        relay: None,
        incarnation: Incarnation(2),
        disk: true,
    };

    apply(&mut state, 8, Command::Join(member));
    assert_eq!(claim(&mut state, 9, &claim_request(key, "a", NOW)), Ok(ClaimOutcome::Unknown));
    let author = "ops".to_owned();
    apply(&mut state, 10, Command::Resolve { key, settlement: ran("seen"), author, at: NOW });

    let again = claim(&mut state, 11, &claim_request(key, "a", NOW));
    assert_eq!(again, Ok(ClaimOutcome::Ran(Answer { output: "seen".to_owned() })));
}

#[test]
fn an_expired_key_is_refused_and_its_claim_removed() {
    let mut state = State::default();
    let key = ClaimKey::at(NOW);
    claim(&mut state, 1, &claim_request(key, "a", NOW)).expect("the key is free");
    settle(&mut state, key, 1, ran("done"));
    let later = WallTime(NOW.0 + KEY_RETENTION.0 + 1);
    let fresh = ClaimKey::at(later);
    claim(&mut state, 2, &claim_request(fresh, "a", later)).expect("the key is free");
    assert_eq!(state.claims.len(), 1, "the expired claim is removed");

    let current_clock = claim(&mut state, 3, &claim_request(key, "a", later));
    let slow_clock = claim(&mut state, 4, &claim_request(key, "a", NOW));

    assert_eq!([current_clock, slow_clock], [Err(ClaimError::Expired), Err(ClaimError::Expired)]);
}

#[test]
fn a_key_from_the_future_is_refused() {
    let mut state = State::default();
    let key = ClaimKey::at(WallTime(NOW.0 + MAX_CLOCK_SKEW.0 + 1000));

    assert_eq!(claim(&mut state, 1, &claim_request(key, "a", NOW)), Err(ClaimError::Future));
}

/// Runs a schedule of claims, settlements and restarts on a few keys, decoded
/// from `steps`. None of the steps proves that a key did not run, so returns
/// false if a key is granted twice.
fn is_granted_at_most_once(steps: Vec<u8>) -> bool {
    let mut state = State::default();
    let keys: Vec<ClaimKey> = (0..3).map(|i| ClaimKey::at(WallTime(NOW.0 + i))).collect();
    let mut granted = [false; 3];
    for (at, step) in steps.iter().enumerate() {
        let i = usize::from(step % 3);
        let at = at as u64 + 1;
        match step / 3 % 4 {
            0 | 1 => {
                let outcome = claim(&mut state, at, &claim_request(keys[i], "a", NOW));
                if matches!(outcome, Ok(ClaimOutcome::Granted { .. })) {
                    if granted[i] {
                        return false;
                    }
                    granted[i] = true;
                }
            }
            2 => {
                let fence = state.claim(keys[i]).map_or(0, |it| it.fence.0);
                settle(&mut state, keys[i], fence, ran("x"));
            }
            _ => {
                let fence = u64::from(*step);
                settle(&mut state, keys[i], fence, Settlement::Unknown);
                state.claims.orphan_before(NodeId(1), Incarnation(u64::MAX));
            }
        }
    }
    true
}

#[test]
fn a_key_that_may_have_run_is_not_granted_again() {
    let rng = Gen::from_size_and_seed(200, 5900);
    QuickCheck::new()
        .rng(rng)
        .tests(300)
        .quickcheck(is_granted_at_most_once as fn(Vec<u8>) -> bool);
}
