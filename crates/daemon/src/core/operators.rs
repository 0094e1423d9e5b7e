//! Operators' requests.

use {
    super::{
        Core,
        core::Pending,
        proposals::{Origin, Proposal},
    },
    crate::{
        operators::{OperatorAnswer, OperatorCall, OperatorRequest},
        peers::{AdminAnswer, AdminRequest, PeerCall, PeerError},
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

/// How long an operator's request is retried.
const OPERATOR_TIMEOUT: Millis = Millis(5000);
/// The delay before a request is sent to the leader again.
const RETRY_DELAY: Millis = Millis(100);
/// The most history rows in an answer, newest first.
const MAX_HISTORY_ROWS: usize = 1000;

impl Core {
    /// Handles a request of an operator.
    pub(super) fn on_operator(&mut self, now: Time, call: OperatorCall) {
        let deadline = now + OPERATOR_TIMEOUT;
        let command = match &call.request {
            OperatorRequest::Found => return self.found_system(call),
            OperatorRequest::Admin(_) => return self.ask_leader(now, Box::new(call), deadline),
            OperatorRequest::Change(it) => Command::Change(Change {
                id: it.id,
                base: it.base,
                author: it.author.clone(),
                at: self.wall_time(),
                edits: it.edits.clone(),
            }),
            OperatorRequest::Catalog { catalog, document } => {
                Command::Catalog { catalog: catalog.clone(), document: document.clone() }
            }
            OperatorRequest::Resolve(it) => Command::Resolve {
                key: it.key,
                settlement: match &it.output {
                    Some(output) => Settlement::Ran(Answer { output: output.clone() }),
                    None => Settlement::NotRun,
                },
                author: it.author.clone(),
                at: self.wall_time(),
            },
        };
        if !self.holder.has_lease(now) {
            refuse(call, "this instance holds no lease; nothing was done");
            return;
        }
        let origin = Origin::Operator(Box::new(call));
        self.propose(now, Proposal::new(origin, command, deadline));
    }

    /// Retries requests that had no answer, and fails those past their deadline.
    pub(super) fn tick_admin(&mut self, now: Time) {
        let retries = std::mem::take(&mut self.admin_retries);
        for (at, call, deadline) in retries {
            if now >= deadline {
                refuse(*call, "the voters can't be reached");
            } else if now >= at {
                self.ask_leader(now, call, deadline);
            } else {
                self.admin_retries.push((at, call, deadline));
            }
        }
    }

    /// Handles the leader's answer to an operator's request.
    pub(super) fn on_admin_answer(
        &mut self,
        now: Time,
        call: Box<OperatorCall>,
        deadline: Time,
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
                self.admin_retries.push((now + RETRY_DELAY, call, deadline));
            }
            Err(_) => {
                self.renewals.clear_leader();
                self.admin_retries.push((now + RETRY_DELAY, call, deadline));
            }
        }
    }

    /// Serves an operator's request if this instance leads. Reads wait until a majority has
    /// confirmed that it does, so that a deposed leader answers none from outdated state.
    pub(super) fn serve_admin(
        &mut self,
        now: Time,
        admin: AdminRequest,
        respond: impl FnOnce(&mut Self, Time, Result<AdminAnswer, ProposalError>) + 'static,
    ) {
        if admin.is_change() {
            let answer = self.answer_admin(now, &admin);
            return respond(self, now, answer);
        }
        let token = self.next_token();
        let Some(voter) = &mut self.voter else {
            return respond(self, now, Err(ProposalError::NotLeader { leader: None }));
        };
        let handle = move |core: &mut Self, now, confirmed: Result<(), ProposalError>| {
            let answer = confirmed.and_then(|()| core.answer_admin(now, &admin));
            respond(core, now, answer);
        };
        self.pending.insert(token, Pending::Read(Box::new(handle)));
        voter.read(now, token);
    }

    /// Answers an operator's request as the leader, which needs a lease.
    fn answer_admin(
        &mut self,
        now: Time,
        admin: &AdminRequest,
    ) -> Result<AdminAnswer, ProposalError> {
        let voter = self.voter.as_mut().ok_or(ProposalError::NotLeader { leader: None })?;
        let has_lease = voter.raft().lease().is_some_and(|it| it > now);
        let Some(status) = voter.status(now).filter(|_| has_lease) else {
            return Err(ProposalError::NotLeader { leader: voter.leader_addr() });
        };
        if matches!(admin, AdminRequest::Catalog) {
            let lease_end = voter.raft().lease().unwrap_or_default();
            log::info!(
                catalog = voter.state().tables.catalog.version.0, term:% = voter.raft().term(),
                index:% = voter.applied(), lease_ms = lease_end.since(now).0;
                "[operators] configuration read"
            );
        }
        match admin {
            AdminRequest::Status => Ok(AdminAnswer::Status(status)),
            AdminRequest::Tables => Ok(AdminAnswer::Tables(tables_view(voter))),
            AdminRequest::Catalog => Ok(AdminAnswer::Catalog(voter.state().document.clone())),
            AdminRequest::History => {
                let rows = voter.state().history.newest_first().take(MAX_HISTORY_ROWS);
                Ok(AdminAnswer::History(rows.map(Into::into).collect()))
            }
            AdminRequest::UnknownClaims => {
                let rows = voter.state().claims.unknown();
                Ok(AdminAnswer::Claims(rows.map(Into::into).collect()))
            }
            AdminRequest::AddVoter(name) => {
                let id = find_candidate(&status, name)?;
                voter.add_voter(id).map(|()| AdminAnswer::Done)
            }
            AdminRequest::RemoveVoter(name) => {
                let id = find_voter(voter, name)?;
                voter.remove_voter(id).map(|()| AdminAnswer::Done)
            }
        }
    }

    /// Sends an admin request to the leader, or answers it if this instance leads.
    fn ask_leader(&mut self, now: Time, call: Box<OperatorCall>, deadline: Time) {
        let OperatorRequest::Admin(admin) = call.request.clone() else {
            unreachable!("only admin requests are forwarded to the leader");
        };
        if self.leads() {
            let respond = move |core: &mut Self, now, answer| {
                core.on_admin_answer(now, call, deadline, Ok(answer));
            };
            self.serve_admin(now, admin, respond);
            return;
        }
        let Some(to) = self.leader_addr().filter(|_| self.identity.system.is_some()) else {
            self.admin_retries.push((now + RETRY_DELAY, call, deadline));
            return;
        };
        let token = self.next_token();
        self.pending.insert(token, Pending::Admin { call, deadline });
        self.call_peer(to, Some(token), PeerCall::Admin(admin));
    }

    /// Creates a system with this instance as its only voter.
    fn found_system(&mut self, call: OperatorCall) {
        if let Some(system) = self.identity.system {
            refuse(call, &format!("this instance belongs to system {system} already"));
            return;
        }
        let Some(voter) = &mut self.voter else {
            refuse(call, "an instance without a data folder can't found a system");
            return;
        };
        let system = SystemId::generate();
        voter.raft_mut().bootstrap(Config::single(self.identity.node, self.peer_addr));
        self.set_system(system);
        log::info!("[lease] System {system} is founded.");
        (call.respond)(OperatorAnswer::Founded(system.to_string()));
    }
}

fn refuse(call: OperatorCall, detail: &str) {
    let err = OperatorError { unknown: false, detail: detail.to_owned() };
    (call.respond)(OperatorAnswer::Failed(err));
}

/// Finds the running instance with this name that can become a voter.
fn find_candidate(status: &Status, name: &InstanceName) -> Result<NodeId, ProposalError> {
    let named = status.members.iter().filter(|it| it.name == *name);
    let mut candidates = named.filter(|it| it.disk && it.lease && it.vote == "none");
    match (candidates.next(), candidates.next()) {
        (Some(it), None) => Ok(it.id),
        (Some(_), Some(_)) => Err(refused(format!("two running instances are named {name}"))),
        (None, _) => Err(refused(format!(
            "no running instance with a data folder and without a vote is named {name}"
        ))),
    }
}

/// Finds a voter or learner by its id or its name.
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

fn tables_view(voter: &Voter) -> TablesView {
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
