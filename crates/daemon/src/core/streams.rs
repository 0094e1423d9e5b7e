//! Records of streams on their way to the leader, and questions what streams came from.

use {
    super::{
        Core,
        core::Pending,
        proposals::{CommitNotice, Origin, Proposal},
    },
    crate::peers::{PeerCall, PeerError},
    coord::{
        control::ProposalError,
        ids::Index,
        streams::{StreamAnswer, StreamGroup, StreamOrigin, StreamQuery},
        tables::Command,
        time::{Millis, Time},
    },
    std::net::SocketAddr,
    tokio::sync::oneshot::Sender,
};

/// How long records are sent again; then the instance sends what still counts.
const RECORD_TIMEOUT: Millis = Millis(2000);
/// How long the leader is asked again, and the tables may take to catch up with it.
const LOOKUP_TIMEOUT: Millis = Millis(400);
/// The delay before the leader is asked again.
const RETRY_DELAY: Millis = Millis(30);

/// A question what a stream came from.
pub struct Lookup {
    pub query: StreamQuery,
    pub respond: Sender<Option<StreamOrigin>>,
    pub deadline: Time,
}

/// A question that waits.
pub enum WaitingLookup {
    /// For the time at which the leader is asked again.
    Leader { lookup: Lookup, retry_at: Time },
    /// For the tables to reach the leader's.
    Tables { lookup: Lookup, origin: StreamOrigin, index: Index },
}

impl Core {
    /// Sends records of streams to the leader.
    pub(super) fn record_streams(
        &mut self,
        now: Time,
        records: Vec<StreamGroup>,
        committed: CommitNotice,
    ) {
        let origin = Origin::Streams(committed);
        let command = Command::RecordStreams(records);
        self.propose(now, Proposal::new(origin, command, now + RECORD_TIMEOUT));
    }

    /// Asks the leader what a stream came from.
    pub(super) fn find_stream(
        &mut self,
        now: Time,
        query: StreamQuery,
        respond: Sender<Option<StreamOrigin>>,
    ) {
        self.look_up(now, Lookup { query, respond, deadline: now + LOOKUP_TIMEOUT });
    }

    /// Handles the leader's answer.
    pub(super) fn on_lookup_answer(
        &mut self,
        now: Time,
        lookup: Lookup,
        to: Option<SocketAddr>,
        answer: Result<Result<StreamAnswer, ProposalError>, PeerError>,
    ) {
        match answer {
            Ok(Ok(it)) => return self.settle_lookup(lookup, it),
            Ok(Err(ProposalError::NotLeader { leader })) => self.on_denial(now, to, leader),
            Ok(Err(_)) => {}
            Err(_) => self.on_call_failure(now, to),
        }
        let retry_at = now + RETRY_DELAY;
        self.lookups.push(WaitingLookup::Leader { lookup, retry_at });
    }

    /// Asks again, and answers those whose tables have caught up or whose time is over.
    pub(super) fn tick_lookups(&mut self, now: Time) {
        for it in std::mem::take(&mut self.lookups) {
            match it {
                WaitingLookup::Leader { lookup, .. } | WaitingLookup::Tables { lookup, .. }
                    if now >= lookup.deadline =>
                {
                    respond(lookup, None);
                }
                WaitingLookup::Leader { lookup, retry_at } if now >= retry_at => {
                    self.look_up(now, lookup);
                }
                WaitingLookup::Tables { lookup, origin, index } if self.holder.index() >= index => {
                    respond(lookup, Some(origin));
                }
                other => self.lookups.push(other),
            }
        }
    }

    fn look_up(&mut self, now: Time, lookup: Lookup) {
        if let Some(voter) = self.voter.as_ref().filter(|_| self.leads()) {
            let answer = voter.find_stream(now, &lookup.query);
            return self.on_lookup_answer(now, lookup, None, Ok(answer));
        }
        match self.leader_addr() {
            Some(to) => {
                let token = self.next_token();
                let call = PeerCall::FindStream(lookup.query.clone());
                self.pending.insert(token, Pending::Lookup { lookup: Box::new(lookup), to });
                self.call_peer(to, Some(token), call);
            }
            None => {
                let retry_at = now + RETRY_DELAY;
                self.lookups.push(WaitingLookup::Leader { lookup, retry_at });
            }
        }
    }

    fn settle_lookup(&mut self, lookup: Lookup, answer: StreamAnswer) {
        let StreamAnswer { origin, index } = answer;
        match origin {
            Some(origin) if self.holder.index() < index => {
                self.lookups.push(WaitingLookup::Tables { lookup, origin, index });
            }
            other => respond(lookup, other),
        }
    }
}

/// Answers a question; nobody waits any more if the caller has gone.
fn respond(lookup: Lookup, origin: Option<StreamOrigin>) {
    let _ = lookup.respond.send(origin);
}
