//! Proposals on their way to the leader. Each command may be proposed again:
//! the state machine gives a repeat its first answer or changes nothing.

use {
    super::{Core, core::Waiting},
    crate::{
        operators::{OperatorAnswer, OperatorCall},
        peers::{PeerAnswer, PeerCall, PeerError},
    },
    coord::{
        control::{ProposalError, Token},
        ids::{ClaimKey, RequestId},
        tables::{Command, Outcome},
        time::{Millis, Time},
        wire::OperatorError,
    },
};

/// How long to wait before a proposal is tried again.
const AGAIN: Millis = Millis(50);

/// Who wants the outcome.
pub enum Origin {
    Claim {
        request: RequestId,
        key: ClaimKey,
    },
    Settlement,
    Operator(Box<OperatorCall>),
    Join,
    /// An endpoint that announced news.
    Announcement(Heeded),
}

/// Told whether an endpoint's news are agreed.
pub type Heeded = Option<tokio::sync::oneshot::Sender<bool>>;

/// Tells an endpoint, if it still waits.
pub fn heed(heeded: Heeded, agreed: bool) {
    if let Some(it) = heeded {
        let _ = it.send(agreed);
    }
}

/// A command on its way.
pub struct Proposal {
    pub origin: Origin,
    pub command: Command,
    pub until: Time,
    /// Whether it may have been taken.
    pub sent: bool,
}

impl Proposal {
    /// A proposal that is given up at a time.
    pub fn new(origin: Origin, command: Command, until: Time) -> Self {
        Self { origin, command, until, sent: false }
    }
}

impl Core {
    /// Sends a proposal to the leader, wherever it is.
    pub(super) fn propose(&mut self, now: Time, proposal: Proposal) {
        let token = self.token();
        if self.leads() {
            let command = self.stamp(proposal.command.clone());
            let sent = Proposal { sent: true, ..proposal };
            self.waiting.insert(token, Waiting::Proposal(Box::new(sent)));
            let voter = self.voter.as_mut().expect("a leader is a voter");
            voter.propose(now, token, command);
            return;
        }
        let Some(to) = self.leader_addr() else {
            self.retries.push((now + AGAIN, proposal));
            return;
        };
        let command = proposal.command.clone();
        self.waiting.insert(token, Waiting::Proposal(Box::new(proposal)));
        self.call_peer(to, Some(token), PeerCall::Propose(command));
    }

    /// Puts the leader's wall clock into a claim.
    pub(super) fn stamp(&self, command: Command) -> Command {
        match command {
            Command::Claim(it) => {
                Command::Claim(coord::claims::ClaimRequest { at: self.wall(), ..it })
            }
            other => other,
        }
    }

    pub(super) fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(|it| it.raft().has_committed_in_term())
    }

    /// Takes in what came of a proposal, own or a peer's, that was made here.
    pub(super) fn on_proposal_done(
        &mut self,
        now: Time,
        token: Token,
        result: Result<Outcome, ProposalError>,
    ) {
        match self.waiting.shift_remove(&token) {
            Some(Waiting::Proposal(it)) => self.conclude(now, *it, result),
            Some(Waiting::Peer(respond)) => {
                let _ = respond.send(PeerAnswer::Propose(result));
            }
            _ => {}
        }
    }

    /// Takes in a peer's answer to a proposal.
    pub(super) fn on_proposal_answer(
        &mut self,
        now: Time,
        proposal: Proposal,
        answer: Result<Result<Outcome, ProposalError>, PeerError>,
    ) {
        match answer {
            Ok(result) => self.conclude(now, proposal, result),
            Err(PeerError::Unreachable) => {
                self.renewals.lose_leader();
                self.retries.push((now + AGAIN, proposal));
            }
            Err(PeerError::NoAnswer) => {
                self.renewals.lose_leader();
                let proposal = Proposal { sent: true, ..proposal };
                self.retries.push((now + AGAIN, proposal));
            }
        }
    }

    /// Tries again what waits for that, and gives up what took too long.
    pub(super) fn tick_proposals(&mut self, now: Time) {
        let all = std::mem::take(&mut self.retries);
        for (at, proposal) in all {
            if now >= proposal.until {
                self.give_up(now, proposal);
            } else if now >= at {
                self.propose(now, proposal);
            } else {
                self.retries.push((at, proposal));
            }
        }
    }

    /// Whether claims or settlements are under way.
    pub(super) fn has_settlements(&self) -> bool {
        let is_settling =
            |it: &Proposal| matches!(it.origin, Origin::Settlement | Origin::Claim { .. });
        let waits = self.waiting.values().any(|it| match it {
            Waiting::Proposal(it) => is_settling(it),
            _ => false,
        });
        waits || self.retries.iter().any(|(_, it)| is_settling(it))
    }

    fn conclude(&mut self, now: Time, proposal: Proposal, result: Result<Outcome, ProposalError>) {
        match result {
            Ok(outcome) => self.deliver(now, proposal, outcome),
            Err(ProposalError::NotLeader { leader }) => {
                self.renewals.set_leader(leader);
                self.retries.push((now + AGAIN, proposal));
            }
            Err(ProposalError::Lost) => {
                let proposal = Proposal { sent: true, ..proposal };
                self.retries.push((now + AGAIN, proposal));
            }
            Err(ProposalError::Busy) => self.retries.push((now + AGAIN, proposal)),
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
            Origin::Operator(call) => {
                (call.respond)(OperatorAnswer::Outcome(outcome));
            }
            Origin::Join => self.on_joined(&outcome),
            Origin::Announcement(heeded) => heed(heeded, true),
            Origin::Settlement => {}
        }
    }

    fn give_up(&mut self, now: Time, proposal: Proposal) {
        match proposal.origin {
            Origin::Claim { request, .. } => self.router.on_claim_unanswered(now, request),
            Origin::Operator(call) => {
                let detail = match proposal.sent {
                    true => "the voters gave no answer; the change may have been accepted",
                    false => "the voters can't be reached; the change was not taken",
                };
                let err = OperatorError { unknown: proposal.sent, detail: detail.to_owned() };
                (call.respond)(OperatorAnswer::Failed(err));
            }
            Origin::Join => self.renewals.joining = false,
            Origin::Announcement(heeded) => heed(heeded, false),
            Origin::Settlement => {}
        }
    }
}
