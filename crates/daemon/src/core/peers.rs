//! Peers' calls, and their answers to calls of this instance.

use {
    super::{Core, core::Pending, operators::AdminCaller},
    crate::peers::{PeerAnswer, PeerCall, PeerError, Responder},
    coord::{
        control::{Envelope, PeerRefusal, ProposalError, RenewError, Token, Voter},
        ids::Index,
        tables::Command,
        time::Time,
    },
};

impl Core {
    /// Handles a peer's call.
    pub(super) fn on_peer(&mut self, now: Time, call: Envelope<PeerCall>, respond: Responder) {
        let raft = self.voter.as_ref().map(Voter::raft);
        let acked = raft.map_or(Index(0), |it| it.acked_before(call.from, call.incarnation));
        let Some(guard) = &mut self.guard else {
            return;
        };
        if let Err(refusal) = guard.check(&call, acked) {
            log::warn!(
                node:% = call.from, incarnation:% = call.incarnation, last:% = call.last,
                restored:? = call.restored, acked_before:% = acked;
                "[peers] A message of {} is refused: {refusal}.", call.from
            );
            let _ = respond.send(PeerAnswer::Refused(refusal));
            return;
        }
        match call.body {
            PeerCall::Raft { to, message } => {
                if let Some(voter) = self.voter.as_mut().filter(|_| to == self.identity.node) {
                    voter.raft_mut().set_incarnation(call.from, call.incarnation);
                    voter.step(now, call.from, message);
                }
                let _ = respond.send(PeerAnswer::Accepted);
            }
            PeerCall::Renew(request) => {
                let token = self.next_token();
                match &mut self.voter {
                    Some(voter) => {
                        self.pending.insert(token, Pending::Peer(respond));
                        voter.renew(now, token, *request);
                    }
                    None => {
                        let err = RenewError::NotLeader { leader: None };
                        let _ = respond.send(PeerAnswer::Renew(Box::new(Err(err))));
                    }
                }
            }
            PeerCall::Propose(command) => match needs_waiting_caller(&command) {
                true => self.propose_once_confirmed(now, command, respond),
                false => self.propose_for_peer(now, command, respond),
            },
            PeerCall::FindStream(query) => {
                let unknown = || Err(ProposalError::NotLeader { leader: None });
                let answer = self.voter.as_ref().map(|it| it.find_stream(now, &query));
                let _ = respond.send(PeerAnswer::Stream(answer.unwrap_or_else(unknown)));
            }
            PeerCall::Admin(admin) => self.serve_admin(now, admin, AdminCaller::Peer(respond)),
        }
    }

    fn propose_for_peer(&mut self, now: Time, command: Command, respond: Responder) {
        let token = self.next_token();
        let command = self.stamp(command);
        match &mut self.voter {
            Some(voter) => {
                self.pending.insert(token, Pending::Peer(respond));
                voter.propose(now, token, command);
            }
            None => {
                let err = ProposalError::NotLeader { leader: None };
                let _ = respond.send(PeerAnswer::Propose(Err(err)));
            }
        }
    }

    /// Proposes a peer's command if the peer still waits once a majority has confirmed that
    /// this instance leads, and drops one that was under way for too long.
    fn propose_once_confirmed(&mut self, now: Time, command: Command, respond: Responder) {
        let token = self.next_token();
        let Some(voter) = &mut self.voter else {
            let err = ProposalError::NotLeader { leader: None };
            let _ = respond.send(PeerAnswer::Propose(Err(err)));
            return;
        };
        let handle = move |core: &mut Self, now, confirmed: Result<(), ProposalError>| {
            if let Err(err) = confirmed {
                let _ = respond.send(PeerAnswer::Propose(Err(err)));
            } else if respond.is_closed() {
                log::warn!("[operators] A change whose sender gave up is dropped.");
            } else {
                core.propose_for_peer(now, command, respond);
            }
        };
        self.pending.insert(token, Pending::Read(Box::new(handle)));
        voter.read(now, token);
    }

    /// Handles a peer's answer to a call, or the failure of the call.
    pub(super) fn on_peer_answer(
        &mut self,
        now: Time,
        token: Token,
        answer: Result<Box<PeerAnswer>, PeerError>,
    ) {
        if let Ok(answer) = &answer
            && let PeerAnswer::Refused(refusal) = answer.as_ref()
        {
            self.on_refusal(refusal);
        }
        let Some(pending) = self.pending.shift_remove(&token) else {
            return;
        };
        let answer = answer.map(|it| *it);
        match pending {
            Pending::Proposal { proposal, to } => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Propose(result) => Ok(result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_proposal_answer(now, *proposal, to, result);
            }
            Pending::Renewal(sent) => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Renew(result) => Ok(*result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_renewal(now, token, sent, result);
            }
            Pending::Admin { call, deadline, to } => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Admin(result) => Ok(result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_admin_answer(now, call, deadline, Some(to), result);
            }
            Pending::Lookup { lookup, to } => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Stream(result) => Ok(result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_lookup_answer(now, *lookup, Some(to), result);
            }
            Pending::Peer(_) | Pending::Read(_) => {}
        }
    }

    fn on_refusal(&mut self, refusal: &PeerRefusal) {
        match refusal {
            PeerRefusal::Foreign { .. } => {
                log::error!("[peers] A peer refused a message: {refusal}.");
            }
            PeerRefusal::LostData { had, .. } if self.restored.is_some_and(|it| it >= *had) => {
                log::error!(
                    restored:? = self.restored;
                    "[peers] A peer refused a message, but this process lost nothing: {refusal}."
                );
            }
            PeerRefusal::Outdated | PeerRefusal::Cloned | PeerRefusal::LostData { .. } => {
                self.fatal(&format!("[peers] A peer refused this process: {refusal}."));
            }
        }
    }
}

/// Whether a command may undo a later one if it comes late: a change that says neither on
/// which version it is based, nor may be told from a new one by what it names.
fn needs_waiting_caller(command: &Command) -> bool {
    matches!(command, Command::Change(it) if it.base.is_none())
}
