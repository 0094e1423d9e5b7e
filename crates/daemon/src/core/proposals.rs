//! Proposals that are being sent to the leader. Commands are idempotent, so a
//! proposal is safe to retry: the state machine answers a repeated command as it
//! did the first time, or changes nothing.

use {
    super::{Core, core::Pending},
    crate::{
        operators::{OperatorAnswer, OperatorCall},
        peers::{PeerAnswer, PeerCall, PeerError},
    },
    coord::{
        control::{Departure, ProposalError, Token},
        ids::{ClaimKey, RequestId},
        tables::{Command, Outcome},
        time::{Millis, Time},
        wire::OperatorError,
    },
    std::net::SocketAddr,
};

/// The delay before a proposal is sent again.
const RETRY_DELAY: Millis = Millis(50);

/// Where a proposal came from, and so who receives its outcome.
pub enum Origin {
    Claim {
        request: RequestId,
        key: ClaimKey,
    },
    /// The end of a claim; the router waits for no outcome.
    Settlement,
    Operator {
        call: Box<OperatorCall>,
        deadline: Time,
    },
    Join,
    /// An announcement that changes an endpoint's row.
    Announcement(CommitNotice),
    /// The row that marks an endpoint as leaving.
    Deregistration {
        departure: Departure,
        committed: CommitNotice,
    },
    /// Records of streams.
    Streams(CommitNotice),
}

/// Receives true when what an endpoint announced, or a record, is committed, and false if
/// it isn't. `None` if nobody waits.
pub type CommitNotice = Option<tokio::sync::oneshot::Sender<bool>>;

/// Reports to whoever waits whether an announcement is committed.
pub fn notify(notice: CommitNotice, committed: bool) {
    if let Some(it) = notice {
        let _ = it.send(committed);
    }
}

/// A command that has no outcome yet.
pub struct Proposal {
    pub origin: Origin,
    pub command: Command,
    pub deadline: Time,
    /// Whether the leader may have accepted it.
    pub sent: bool,
}

impl Proposal {
    /// A proposal that is given up at its deadline.
    pub fn new(origin: Origin, command: Command, deadline: Time) -> Self {
        Self { origin, command, deadline, sent: false }
    }

    /// Whether it is an operator's order whose caller has given up.
    fn is_abandoned(&self) -> bool {
        match &self.origin {
            Origin::Operator { call, .. } => call.request.is_order() && !call.caller.is_waiting(),
            _ => false,
        }
    }
}

impl Core {
    /// Sends a proposal to the leader, or schedules a retry if none is known.
    pub(super) fn propose(&mut self, now: Time, proposal: Proposal) {
        let token = self.next_token();
        if self.leads() {
            let command = self.stamp(proposal.command.clone());
            let sent = Proposal { sent: true, ..proposal };
            self.pending.insert(token, Pending::Proposal { proposal: Box::new(sent), to: None });
            let voter = self.voter.as_mut().expect("a leader is a voter");
            voter.propose(now, token, command);
            return;
        }
        let Some(to) = self.leader_addr() else {
            self.retries.push((now + RETRY_DELAY, proposal));
            return;
        };
        let command = proposal.command.clone();
        let pending = Pending::Proposal { proposal: Box::new(proposal), to: Some(to) };
        self.pending.insert(token, pending);
        self.call_peer(to, Some(token), PeerCall::Propose(command));
    }

    /// Sets the time of a claim to this instance's wall clock. The leader does this,
    /// so the claim has the leader's time.
    pub(super) fn stamp(&self, command: Command) -> Command {
        match command {
            Command::Claim(it) => {
                Command::Claim(coord::claims::ClaimRequest { at: self.wall_time(), ..it })
            }
            other => other,
        }
    }

    /// Whether this instance is the leader and can accept proposals.
    pub(super) fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(|it| it.raft().has_committed_in_term())
    }

    /// Handles the result of a proposal that this instance made as the leader, for
    /// itself or for a peer.
    pub(super) fn on_proposal_done(
        &mut self,
        now: Time,
        token: Token,
        result: Result<Outcome, ProposalError>,
    ) {
        match self.pending.shift_remove(&token) {
            Some(Pending::Proposal { proposal, to }) => self.conclude(now, *proposal, to, result),
            Some(Pending::Peer(respond)) => {
                let _ = respond.send(PeerAnswer::Propose(result));
            }
            _ => {}
        }
    }

    /// Handles a peer's answer to a proposal.
    pub(super) fn on_proposal_answer(
        &mut self,
        now: Time,
        proposal: Proposal,
        to: Option<SocketAddr>,
        answer: Result<Result<Outcome, ProposalError>, PeerError>,
    ) {
        match answer {
            Ok(result) => self.conclude(now, proposal, to, result),
            Err(err) => {
                self.on_call_failure(now, to);
                let sent = proposal.sent || err == PeerError::NoAnswer;
                self.retries.push((now + RETRY_DELAY, Proposal { sent, ..proposal }));
            }
        }
    }

    /// Retries proposals that are due, and gives up those past their deadline.
    pub(super) fn tick_proposals(&mut self, now: Time) {
        let retries = std::mem::take(&mut self.retries);
        for (at, proposal) in retries {
            if now >= proposal.deadline || proposal.is_abandoned() {
                self.give_up(now, proposal);
            } else if now >= at {
                self.propose(now, proposal);
            } else {
                self.retries.push((at, proposal));
            }
        }
    }

    /// Whether claims or settlements are pending.
    pub(super) fn has_settlements(&self) -> bool {
        let is_settling =
            |it: &Proposal| matches!(it.origin, Origin::Settlement | Origin::Claim { .. });
        let waits = self.pending.values().any(|it| match it {
            Pending::Proposal { proposal, .. } => is_settling(proposal),
            _ => false,
        });
        waits || self.retries.iter().any(|(_, it)| is_settling(it))
    }

    fn conclude(
        &mut self,
        now: Time,
        proposal: Proposal,
        to: Option<SocketAddr>,
        result: Result<Outcome, ProposalError>,
    ) {
        match result {
            Ok(outcome) => self.deliver(now, proposal, outcome),
            Err(ProposalError::NotLeader { leader }) => {
                self.on_denial(now, to, leader);
                self.retries.push((now + RETRY_DELAY, proposal));
            }
            Err(ProposalError::Lost) => {
                let proposal = Proposal { sent: true, ..proposal };
                self.retries.push((now + RETRY_DELAY, proposal));
            }
            Err(ProposalError::Busy) => self.retries.push((now + RETRY_DELAY, proposal)),
            Err(ProposalError::Refused { .. }) => self.give_up(now, proposal),
        }
    }

    fn deliver(&mut self, now: Time, proposal: Proposal, outcome: Outcome) {
        match proposal.origin {
            Origin::Claim { request, key } => {
                if let Outcome::Claim(result) = outcome {
                    self.router.on_claim_result(now, request, key, result);
                }
            }
            Origin::Operator { call, deadline } => {
                self.on_operator_outcome(now, call, deadline, outcome);
            }
            Origin::Join => self.on_joined(&outcome),
            Origin::Announcement(committed) | Origin::Streams(committed) => notify(committed, true),
            Origin::Deregistration { departure, committed } => match outcome {
                Outcome::Stale => self.deregistrations.wait(now, departure, committed),
                _ => notify(committed, true),
            },
            Origin::Settlement => {}
        }
    }

    fn give_up(&mut self, now: Time, proposal: Proposal) {
        match proposal.origin {
            Origin::Claim { request, .. } => self.router.on_claim_unanswered(now, request),
            Origin::Operator { call, .. } => {
                let detail = match proposal.sent {
                    true => "the voters gave no answer; the change may have been accepted",
                    false => "the voters can't be reached; the change was not taken",
                };
                let err = OperatorError { unknown: proposal.sent, detail: detail.to_owned() };
                (call.respond)(OperatorAnswer::Failed(err));
            }
            Origin::Join => self.renewals.joining = false,
            Origin::Announcement(committed)
            | Origin::Streams(committed)
            | Origin::Deregistration { committed, .. } => notify(committed, false),
            Origin::Settlement => {}
        }
    }
}
