//! Messages of earlier processes, of copies of a data folder and of other systems.

use coord::{
    control::{Envelope, PeerGuard, PeerRefusal},
    ids::{Incarnation, Index, NodeId, SystemId},
};

const SYSTEM: SystemId = SystemId(1);

fn message(incarnation: u64, nonce: u64, last: u64) -> Envelope<()> {
    Envelope {
        system: SYSTEM,
        from: NodeId(7),
        incarnation: Incarnation(incarnation),
        nonce,
        last: Index(last),
        body: (),
    }
}

#[test]
fn a_restart_that_caught_up_before_it_was_seen_is_accepted() {
    let mut guard = PeerGuard::new(SYSTEM);
    guard.check(&message(1, 1, 10), Index(0)).expect("the first start is accepted");

    // Other instances know by now that the second start has acknowledged index 13.
    assert_eq!(guard.check(&message(2, 2, 13), Index(13)), Ok(()));
}

#[test]
fn a_start_that_lost_committed_entries_is_refused() {
    let mut guard = PeerGuard::new(SYSTEM);
    guard.check(&message(1, 1, 10), Index(0)).expect("the first start is accepted");

    let refusal = guard.check(&message(2, 2, 5), Index(10));

    assert_eq!(refusal, Err(PeerRefusal::LostData { has: Index(5), had: Index(10) }));
}

#[test]
fn an_earlier_start_a_copy_and_a_foreign_system_are_refused() {
    let mut guard = PeerGuard::new(SYSTEM);
    guard.check(&message(2, 2, 10), Index(0)).expect("the first start is accepted");
    let foreign = Envelope { system: SystemId(2), ..message(2, 2, 10) };

    assert_eq!(guard.check(&message(1, 1, 10), Index(0)), Err(PeerRefusal::Outdated));
    assert_eq!(guard.check(&message(2, 3, 10), Index(0)), Err(PeerRefusal::Cloned));
    assert!(matches!(guard.check(&foreign, Index(0)), Err(PeerRefusal::Foreign { .. })));
}
