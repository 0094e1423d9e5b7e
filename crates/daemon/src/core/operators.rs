//! Questions of operators.

use {
    super::{
        Core,
        core::Waiting,
        proposals::{Origin, Proposal},
    },
    crate::{
        operators::{OperatorAnswer, OperatorCall, OperatorQuestion},
        peers::{Admin, AdminAnswer, PeerCall, PeerError},
    },
    coord::{
        claims::{Answer, Settlement},
        control::{ProposalError, Status, Voter},
        ids::{InstanceName, NodeId, SystemId},
        raft::Config,
        tables::{Change, Command},
        time::{Millis, Time},
        wire::{OperatorError, TablesView},
    },
};

/// How long an operator's question is tried.
const BOUND: Millis = Millis(5000);
/// How long to wait before a question is tried again.
const AGAIN: Millis = Millis(100);
/// The most rows of the history that are shown.
const HISTORY_ROWS: usize = 1000;

impl Core {
    /// Takes in a question of an operator.
    pub(super) fn on_operator(&mut self, now: Time, call: OperatorCall) {
        let until = now + BOUND;
        let command = match &call.question {
            OperatorQuestion::Found => return self.found(call),
            OperatorQuestion::Admin(_) => return self.ask_leader(now, Box::new(call), until),
            OperatorQuestion::Change(it) => Command::Change(Change {
                id: it.id,
                base: it.base,
                author: it.author.clone(),
                at: self.wall(),
                edits: it.edits.clone(),
            }),
            OperatorQuestion::Catalog { catalog, document } => {
                Command::Catalog { catalog: catalog.clone(), document: document.clone() }
            }
            OperatorQuestion::Resolve(it) => Command::Resolve {
                key: it.key,
                settlement: match &it.output {
                    Some(output) => Settlement::Ran(Answer { output: output.clone() }),
                    None => Settlement::NotRun,
                },
                author: it.author.clone(),
                at: self.wall(),
            },
        };
        if !self.holder.has_lease(now) {
            refuse(call, "this instance holds no lease; nothing was done");
            return;
        }
        let origin = Origin::Operator(Box::new(call));
        self.propose(now, Proposal::new(origin, command, until));
    }

    /// Tries questions again that had no answer.
    pub(super) fn tick_admin(&mut self, now: Time) {
        let all = std::mem::take(&mut self.admin_retries);
        for (at, call, until) in all {
            if now >= until {
                refuse(*call, "the voters can't be reached");
            } else if now >= at {
                self.ask_leader(now, call, until);
            } else {
                self.admin_retries.push((at, call, until));
            }
        }
    }

    /// Takes in the leader's answer to an operator's question.
    pub(super) fn on_admin_answer(
        &mut self,
        now: Time,
        call: Box<OperatorCall>,
        until: Time,
        answer: Result<Result<AdminAnswer, ProposalError>, PeerError>,
    ) {
        match answer {
            Ok(Ok(it)) => {
                (call.respond)(OperatorAnswer::Admin(it));
            }
            Ok(Err(ProposalError::Refused { reason })) => refuse(*call, &reason),
            Ok(Err(err)) => {
                if let ProposalError::NotLeader { leader } = err {
                    self.renewals.set_leader(leader);
                }
                self.admin_retries.push((now + AGAIN, call, until));
            }
            Err(_) => {
                self.renewals.lose_leader();
                self.admin_retries.push((now + AGAIN, call, until));
            }
        }
    }

    /// Answers an operator's question as the leader.
    pub(super) fn administer(
        &mut self,
        now: Time,
        admin: &Admin,
    ) -> Result<AdminAnswer, ProposalError> {
        let voter = self.voter.as_mut().ok_or(ProposalError::NotLeader { leader: None })?;
        let sure = voter.raft().lease().is_some_and(|it| it > now);
        let Some(status) = voter.status(now).filter(|_| sure) else {
            return Err(ProposalError::NotLeader { leader: voter.leader_addr() });
        };
        match admin {
            Admin::Status => Ok(AdminAnswer::Status(status)),
            Admin::Tables => Ok(AdminAnswer::Tables(view(voter))),
            Admin::Catalog => Ok(AdminAnswer::Catalog(voter.state().document.clone())),
            Admin::History => {
                let rows = voter.state().history.newest_first().take(HISTORY_ROWS);
                Ok(AdminAnswer::History(rows.map(Into::into).collect()))
            }
            Admin::Unknown => {
                let rows = voter.state().claims.unknown();
                Ok(AdminAnswer::Claims(rows.map(Into::into).collect()))
            }
            Admin::AddVoter(name) => {
                let id = find(&status, name)?;
                voter.add_voter(id).map(|()| AdminAnswer::Done)
            }
            Admin::RemoveVoter(name) => {
                let id = find_voter(voter, name)?;
                voter.remove_voter(id).map(|()| AdminAnswer::Done)
            }
        }
    }

    fn ask_leader(&mut self, now: Time, call: Box<OperatorCall>, until: Time) {
        let OperatorQuestion::Admin(admin) = call.question.clone() else {
            unreachable!("only questions for the leader are passed on");
        };
        if self.leads() {
            let answer = self.administer(now, &admin);
            self.on_admin_answer(now, call, until, Ok(answer));
            return;
        }
        let Some(to) = self.leader_addr().filter(|_| self.identity.system.is_some()) else {
            self.admin_retries.push((now + AGAIN, call, until));
            return;
        };
        let token = self.token();
        self.waiting.insert(token, Waiting::Admin { call, until });
        self.call_peer(to, Some(token), PeerCall::Admin(admin));
    }

    /// Founds a system with this instance as its only voter.
    fn found(&mut self, call: OperatorCall) {
        if let Some(system) = self.identity.system {
            refuse(call, &format!("this instance belongs to system {system} already"));
            return;
        }
        let Some(voter) = &mut self.voter else {
            refuse(call, "an instance without a data folder can't found a system");
            return;
        };
        let system = SystemId::generate();
        voter.raft_mut().bootstrap(Config::single(self.identity.node, self.peer));
        self.enter(system);
        log::info!("[lease] System {system} is founded.");
        (call.respond)(OperatorAnswer::Founded(system.to_string()));
    }
}

fn refuse(call: OperatorCall, detail: &str) {
    let err = OperatorError { unknown: false, detail: detail.to_owned() };
    (call.respond)(OperatorAnswer::Failed(err));
}

/// The running instance of a name that could become a voter.
fn find(status: &Status, name: &InstanceName) -> Result<NodeId, ProposalError> {
    let named = status.members.iter().filter(|it| it.name == *name);
    let mut fresh = named.filter(|it| it.disk && it.lease && it.vote == "none");
    match (fresh.next(), fresh.next()) {
        (Some(it), None) => Ok(it.id),
        (Some(_), Some(_)) => Err(refused(format!("two running instances are named {name}"))),
        (None, _) => Err(refused(format!(
            "no running instance with a data folder and without a vote is named {name}"
        ))),
    }
}

fn find_voter(voter: &Voter, name: &InstanceName) -> Result<NodeId, ProposalError> {
    if let Ok(id) = name.as_str().parse::<NodeId>() {
        return Ok(id);
    }
    let config = voter.raft().config();
    let members = voter.state().tables.roster.values().filter(|it| it.name == *name);
    let mut voters = members.filter(|it| config.addr(it.id).is_some());
    match (voters.next(), voters.next()) {
        (Some(it), None) => Ok(it.id),
        (Some(_), Some(_)) => Err(refused(format!("two voters are named {name}; give the id"))),
        (None, _) => Err(refused(format!("no voter is named {name}"))),
    }
}

fn refused(reason: String) -> ProposalError {
    ProposalError::Refused { reason }
}

fn view(voter: &Voter) -> TablesView {
    let tables = &voter.state().tables;
    let domains = tables.out_domains.iter().map(|it| format!("domain {it}"));
    let endpoints = tables.out_endpoints.iter().map(|it| format!("endpoint {it}"));
    TablesView {
        version: tables.version,
        routes: tables.routes.values().cloned().collect(),
        pools: tables.pools.values().cloned().collect(),
        out_of_service: domains.chain(endpoints).collect(),
    }
}
