//! Calls of peers, and peers' answers.

use {
    super::{Core, core::Waiting},
    crate::peers::{PeerAnswer, PeerCall, PeerError, Responder},
    coord::{
        control::{Envelope, PeerRefusal, ProposalError, RenewError, Token},
        ids::Index,
        time::Time,
    },
};

impl Core {
    /// Takes in a call of a peer.
    pub(super) fn on_peer(&mut self, now: Time, call: Envelope<PeerCall>, respond: Responder) {
        let acked = self.voter.as_ref().map_or(Index(0), |it| it.raft().acked(call.from));
        let Some(guard) = &mut self.guard else {
            return;
        };
        if let Err(refusal) = guard.check(&call, acked) {
            log::warn!("[peers] A message of {} is refused: {refusal}.", call.from);
            let _ = respond.send(PeerAnswer::Refused(refusal));
            return;
        }
        match call.body {
            PeerCall::Raft { to, message } => {
                if let Some(voter) = self.voter.as_mut().filter(|_| to == self.identity.node) {
                    voter.step(now, call.from, message);
                }
                let _ = respond.send(PeerAnswer::Taken);
            }
            PeerCall::Renew(request) => {
                let token = self.token();
                match &mut self.voter {
                    Some(voter) => {
                        self.waiting.insert(token, Waiting::Peer(respond));
                        voter.renew(now, token, request);
                    }
                    None => {
                        let err = RenewError::NotLeader { leader: None };
                        let _ = respond.send(PeerAnswer::Renew(Err(err)));
                    }
                }
            }
            PeerCall::Propose(command) => {
                let token = self.token();
                let command = self.stamp(command);
                match &mut self.voter {
                    Some(voter) => {
                        self.waiting.insert(token, Waiting::Peer(respond));
                        voter.propose(now, token, command);
                    }
                    None => {
                        let err = ProposalError::NotLeader { leader: None };
                        let _ = respond.send(PeerAnswer::Propose(Err(err)));
                    }
                }
            }
            PeerCall::Admin(admin) => {
                let answer = self.administer(now, &admin);
                let _ = respond.send(PeerAnswer::Admin(answer));
            }
        }
    }

    /// Takes in a peer's answer, or that there is none.
    pub(super) fn on_answer(
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
        let Some(waiting) = self.waiting.shift_remove(&token) else {
            return;
        };
        let answer = answer.map(|it| *it);
        match waiting {
            Waiting::Proposal(proposal) => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Propose(result) => Ok(result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_proposal_answer(now, *proposal, result);
            }
            Waiting::Renewal { asked, faults } => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Renew(result) => Ok(result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_renewal(now, token, asked, faults, result);
            }
            Waiting::Admin { call, until } => {
                let result = answer.and_then(|it| match it {
                    PeerAnswer::Admin(result) => Ok(result),
                    _ => Err(PeerError::Unreachable),
                });
                self.on_admin_answer(now, call, until, result);
            }
            Waiting::Peer(_) => {}
        }
    }

    fn on_refusal(&mut self, refusal: &PeerRefusal) {
        match refusal {
            PeerRefusal::Foreign { .. } => {
                log::error!("[peers] A peer refused a message: {refusal}.");
            }
            PeerRefusal::Outdated | PeerRefusal::Cloned | PeerRefusal::LostData { .. } => {
                self.die(&format!("[peers] A peer refused this process: {refusal}."));
            }
        }
    }
}
