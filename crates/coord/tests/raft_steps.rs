//! Single steps of a voter that only rare schedules reach.

use {
    coord::{
        ids::{Index, NodeId, Term},
        raft::{
            Config, ELECTION_TIMEOUT_MAX, Entry, HardState, LogOp, Message, Outgoing, Payload,
            Raft, RestoredState, Role, Snapshot,
        },
        size::json_size,
        tables::{Command, State},
        time::{Millis, Time},
    },
    std::{net::SocketAddr, sync::Arc},
};

const FIRST: NodeId = NodeId(1);
const SECOND: NodeId = NodeId(2);
const THIRD: NodeId = NodeId(3);
const START: Time = Time(10_000);

fn entry(term: u64, index: u64, payload: Payload) -> Entry {
    Entry { term: Term(term), index: Index(index), payload }
}

/// One of three voters, with an entry of term 2 after the configuration.
fn voter() -> Raft {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let voters = [FIRST, SECOND, THIRD].into_iter().map(|id| (id, addr)).collect();
    let config = Config { voters, learners: Default::default() };
    let entries = vec![entry(1, 1, Payload::Config(config)), entry(2, 2, Payload::Empty)];
    let hard = HardState { term: Term(2), vote: None };
    Raft::new(FIRST, RestoredState { hard, snapshot: None, entries }, START, 1)
}

/// A message without entries of the leader of `term`, after the entry `prev` of term 2.
fn heartbeat(term: u64, prev: u64, sent: u64) -> Message {
    Message::Append {
        term: Term(term),
        prev: Index(prev),
        prev_term: Term(2),
        entries: Vec::new(),
        commit: Index(prev),
        sent,
        acked: Vec::new(),
        starts: Vec::new(),
    }
}

/// A request for a vote in `term` by a candidate with a longer log.
fn vote_request(term: u64) -> Message {
    let (last, last_term) = (Index(9), Term(term - 1));
    Message::Vote { term: Term(term), last, last_term, pre: false, transfer: false }
}

/// The voter as the leader of term 3, with its first entry durable.
fn leader() -> (Raft, Time) {
    let mut raft = voter();
    let now = START + ELECTION_TIMEOUT_MAX;
    raft.tick(now);
    raft.step(now, SECOND, Message::VoteReply { term: Term(3), pre: true, granted: true });
    raft.step(now, SECOND, Message::VoteReply { term: Term(3), pre: false, granted: true });
    let batch = raft.take_batch().expect("the vote and the first entry");
    raft.synced(batch.last);
    (raft, now)
}

#[test]
fn a_vote_is_sent_only_when_it_is_durable() {
    let mut raft = voter();

    raft.step(START + ELECTION_TIMEOUT_MAX, SECOND, vote_request(3));

    assert!(raft.take_ready().is_empty(), "nothing is sent before the sync");
    let batch = raft.take_batch().expect("a batch");
    let hard = HardState { term: Term(3), vote: Some(SECOND) };
    assert_eq!(batch.ops.last(), Some(&LogOp::Hard(hard)));
    let message = Message::VoteReply { term: Term(3), pre: false, granted: true };
    assert_eq!(batch.after_sync, [Outgoing { to: SECOND, message }]);
}

#[test]
fn an_acknowledgement_is_sent_only_when_it_is_durable() {
    let mut raft = voter();
    let message = Message::Append {
        term: Term(3),
        prev: Index(2),
        prev_term: Term(2),
        entries: vec![entry(3, 3, Payload::Empty)],
        commit: Index(2),
        sent: 5,
        acked: Vec::new(),
        starts: Vec::new(),
    };

    raft.step(START, SECOND, message);

    assert!(raft.take_ready().is_empty(), "nothing is sent before the sync");
    let batch = raft.take_batch().expect("a batch");
    assert_eq!(batch.after_sync.len(), 1);
    assert_eq!(batch.last, Index(3));
}

#[test]
fn durable_entries_are_acknowledged_during_a_slow_sync() {
    let mut raft = voter();
    let append = |index: u64| Message::Append {
        term: Term(2),
        prev: Index(index - 1),
        prev_term: Term(2),
        entries: vec![entry(2, index, Payload::Empty)],
        commit: Index(2),
        sent: index,
        acked: Vec::new(),
        starts: Vec::new(),
    };
    raft.step(START, SECOND, append(3));
    let batch = raft.take_batch().expect("the entry");

    raft.step(START, SECOND, append(4));

    let ack = |index, sent| Outgoing {
        to: SECOND,
        message: Message::AppendReply { term: Term(2), ok: true, index: Index(index), sent },
    };
    assert_eq!(
        raft.take_ready(),
        [ack(2, 3), ack(2, 4)],
        "the durable part is acknowledged at once"
    );
    assert_eq!(batch.after_sync, [ack(3, 3)], "the rest waits for the sync");
}

#[test]
fn a_snapshot_is_acknowledged_only_when_it_is_durable() {
    let mut raft = voter();
    let snapshot = Snapshot {
        index: Index(9),
        term: Term(2),
        config: raft.config().clone(),
        state: State::default(),
    };
    let install = Message::Install { term: Term(2), snapshot: Arc::new(snapshot), sent: 1 };
    let heartbeat = heartbeat(2, 9, 2);

    raft.step(START, SECOND, install);
    raft.step(START, SECOND, heartbeat);

    let index = |it: &Outgoing| match it.message {
        Message::AppendReply { index, .. } => index,
        _ => panic!("not a reply: {it:?}"),
    };
    assert!(raft.take_ready().iter().all(|it| index(it) == Index(0)));
    let batch = raft.take_batch().expect("the snapshot");
    assert!(batch.after_sync.iter().all(|it| index(it) == Index(9)));
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let (mut raft, now) = leader();
    assert_eq!(raft.role(), Role::Leader);
    let ack =
        |index| Message::AppendReply { term: Term(3), ok: true, index: Index(index), sent: 1 };

    raft.step(now, SECOND, ack(2));
    assert_eq!(raft.commit_index(), Index(0), "entry 2 is on a majority, but of an earlier term");

    raft.step(now, SECOND, ack(3));
    assert_eq!(raft.commit_index(), Index(3));
}

#[test]
fn a_voter_that_hears_its_leader_grants_no_vote() {
    let mut raft = voter();
    let heartbeat = heartbeat(2, 2, 1);
    raft.step(START, SECOND, heartbeat);
    let _ = raft.take_batch();

    raft.step(START + Millis(300), THIRD, vote_request(5));

    assert_eq!(raft.term(), Term(2));
    assert!(raft.take_batch().is_none(), "the candidate gets no reply");
}

#[test]
fn a_voter_that_has_just_started_grants_no_vote() {
    let mut raft = voter();

    raft.step(START + Millis(300), THIRD, vote_request(5));

    assert_eq!(raft.term(), Term(2), "a leader that it heard before the restart may hold a lease");
}

#[test]
fn a_leader_without_a_majority_steps_down() {
    let (mut raft, now) = leader();

    for passed in (0..=ELECTION_TIMEOUT_MAX.0 + 20).step_by(10) {
        raft.tick(now + Millis(passed));
    }

    assert_eq!(raft.role(), Role::Follower);
}

/// A log of this many entries of term 2 after the configuration, each of at least
/// `bytes`.
fn long_log(count: u64, bytes: usize) -> Vec<Entry> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let voters = [FIRST, SECOND, THIRD].into_iter().map(|id| (id, addr)).collect();
    let config = Config { voters, learners: Default::default() };
    let command =
        Command::Catalog { catalog: Default::default(), document: "x".repeat(bytes).into() };
    let first = entry(1, 1, Payload::Config(config));
    let rest = (2..=count).map(|index| entry(2, index, Payload::Command(command.clone())));
    [first].into_iter().chain(rest).collect()
}

/// A leader of term 3 with this log, which has heard of nobody but its elector.
fn leader_of(entries: Vec<Entry>) -> (Raft, Time) {
    let hard = HardState { term: Term(2), vote: None };
    let mut raft = Raft::new(FIRST, RestoredState { hard, snapshot: None, entries }, START, 1);
    let now = START + ELECTION_TIMEOUT_MAX;
    raft.tick(now);
    raft.step(now, SECOND, Message::VoteReply { term: Term(3), pre: true, granted: true });
    raft.step(now, SECOND, Message::VoteReply { term: Term(3), pre: false, granted: true });
    let batch = raft.take_batch().expect("the vote and the first entry");
    raft.synced(batch.last);
    (raft, now)
}

/// Lets a leader run for three seconds while one follower acknowledges all that it is
/// sent and the other is silent; returns the size of the entries sent to the latter.
fn bytes_sent_to_silent(raft: &mut Raft, start: Time) -> u64 {
    let mut bytes = 0;
    for passed in (0..3000).step_by(10) {
        let now = start + Millis(passed);
        raft.tick(now);
        for it in raft.take_ready() {
            let Message::Append { entries, prev, sent, .. } = it.message else {
                continue;
            };
            if it.to == THIRD {
                bytes += entries.iter().map(|it| json_size(it).0).sum::<u64>();
                continue;
            }
            let index = Index(prev.0 + entries.len() as u64);
            let ok = Message::AppendReply { term: Term(3), ok: true, index, sent };
            raft.step(now, SECOND, ok);
        }
        while let Some(batch) = raft.take_batch() {
            raft.synced(batch.last);
        }
    }
    bytes
}

#[test]
fn a_new_leader_sends_no_old_entries_to_a_voter_that_has_not_answered() {
    let (mut raft, now) = leader_of(long_log(280, 70_000));

    let bytes = bytes_sent_to_silent(&mut raft, now);

    assert!(bytes < 70_000, "{bytes} bytes of entries were sent to a voter whose log isn't known");
}

#[test]
fn the_entries_sent_to_a_voter_that_does_not_acknowledge_them_are_bounded_in_bytes() {
    let (mut raft, now) = leader_of(long_log(2, 1));
    let known = Message::AppendReply { term: Term(3), ok: true, index: Index(3), sent: now.0 };
    raft.step(now, THIRD, known);
    let command =
        Command::Catalog { catalog: Default::default(), document: "x".repeat(1 << 20).into() };
    for _ in 0..40 {
        raft.propose(command.clone()).expect("the leader takes proposals");
    }

    let bytes = bytes_sent_to_silent(&mut raft, now);

    // 40 entries of 1 MB wait. A voter that answers nothing may be sent a few of them
    // again and again, not all.
    assert!(bytes <= 32 << 20, "{bytes} bytes of entries were sent to a silent voter in 3 s");
}

#[test]
fn a_rejected_message_of_an_earlier_term_counts_for_no_lease() {
    let mut raft = voter();
    let message = heartbeat(1, 2, 30_000);

    raft.step(START, SECOND, message);

    let batch = raft.take_batch().expect("the reply");
    let message = Message::AppendReply { term: Term(2), ok: false, index: Index(0), sent: 0 };
    assert_eq!(batch.after_sync, [Outgoing { to: SECOND, message }]);
}

#[test]
fn a_time_stamp_of_an_earlier_run_extends_no_lease() {
    let (mut raft, now) = leader();
    let reply = |sent: Time| Message::AppendReply {
        term: Term(3),
        ok: false,
        index: Index(0),
        sent: sent.0,
    };

    raft.step(now, SECOND, reply(now + Millis(30_000)));
    assert_eq!(raft.lease(), None);
    raft.step(now, SECOND, reply(now));

    assert!(raft.lease().is_some_and(|it| it < now + Millis(1000)));
}
