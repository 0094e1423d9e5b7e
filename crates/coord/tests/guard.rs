//! Messages of earlier processes, of copies of a data folder and of other systems.

use coord::{
    control::{Envelope, PeerGuard, PeerRefusal},
    ids::{Incarnation, Index, NodeId, SystemId},
    raft::Acknowledged,
};

const SYSTEM: SystemId = SystemId(1);

fn message(incarnation: u64, nonce: u64, last: u64) -> Envelope<()> {
    Envelope {
        system: SYSTEM,
        from: NodeId(7),
        incarnation: Incarnation(incarnation),
        nonce,
        last: Index(last),
        restored: None,
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

/// A message of a start that found a log up to `restored` on its disk.
fn restarted(incarnation: u64, restored: u64, last: u64) -> Envelope<()> {
    let nonce = incarnation;
    Envelope { restored: Some(Index(restored)), ..message(incarnation, nonce, last) }
}

/// Guards against a restarted voter that is refused for what it acknowledged after a message
/// was sent: the message arrives late, and the word of what was acknowledged overtakes it.
#[test]
fn a_late_message_of_a_restart_that_lost_nothing_is_accepted() {
    for (known, acked_since) in [(true, 122), (false, 122), (true, 99)] {
        let mut guard = PeerGuard::new(SYSTEM);
        if known {
            guard.check(&message(1, 1, 99), Index(0)).expect("the first start is accepted");
        }
        let mut acked = Acknowledged::new(Incarnation(1), Index(99));
        acked.merge(Acknowledged::new(Incarnation(2), Index(acked_since)));

        let late = restarted(2, 99, 99);

        assert_eq!(guard.check(&late, acked.before(late.incarnation)), Ok(()));
    }
}

/// Guards against a voter that lost data and votes once it has caught up, or at a peer that
/// hasn't met it before.
#[test]
fn a_restart_that_lost_data_is_refused_even_if_it_has_caught_up() {
    for known in [true, false] {
        let mut guard = PeerGuard::new(SYSTEM);
        if known {
            guard.check(&message(1, 1, 99), Index(0)).expect("the first start is accepted");
        }
        let mut acked = Acknowledged::new(Incarnation(2), Index(122));
        acked.merge(Acknowledged::new(Incarnation(1), Index(99)));

        let caught_up = restarted(2, 40, 122);

        let refusal = Err(PeerRefusal::LostData { has: Index(40), had: Index(99) });
        assert_eq!(guard.check(&caught_up, acked.before(caught_up.incarnation)), refusal);
        assert_eq!(guard.check(&caught_up, acked.before(caught_up.incarnation)), refusal);
    }
}

/// What was acknowledged is learnt in any order, from several leaders.
#[test]
fn what_earlier_starts_acknowledged_does_not_depend_on_the_order_of_news() {
    let news = [(1, 10), (3, 31), (2, 25), (1, 12), (3, 30)];
    for turn in 0..news.len() {
        let mut acked = Acknowledged::default();
        for (incarnation, index) in news.iter().cycle().skip(turn).take(news.len()) {
            acked.merge(Acknowledged::new(Incarnation(*incarnation), Index(*index)));
        }

        assert_eq!(acked.before(Incarnation(3)), Index(25));
        assert_eq!(acked.before(Incarnation(4)), Index(31));
    }
}
