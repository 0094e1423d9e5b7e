//! Operators' requests.

use {
    super::{
        Core,
        core::Pending,
        proposals::{Origin, Proposal},
    },
    crate::{
        operators::{OperatorAnswer, OperatorCall, OperatorRequest},
        peers::{AdminAnswer, AdminRequest, PeerAnswer, PeerCall, PeerError, Responder},
    },
    coord::{
        claims::{Answer, Settlement},
        control::{ProposalError, Status, Voter},
        ids::{ChangeId, InstanceName, NodeId, SystemId, Version},
        raft::Config,
        tables::{Change, ChangeOutcome, Command, OrderOutcome, Outcome},
        time::{Millis, Time},
        wire::{ChangeRequest, HistoryRow, OperatorError, TablesView},
    },
    std::net::SocketAddr,
};

/// How long an operator's request is retried.
const OPERATOR_TIMEOUT: Millis = Millis(5000);
/// The delay before a request is sent to the leader again.
const RETRY_DELAY: Millis = Millis(100);
/// The most history rows in an answer, newest first.
const MAX_HISTORY_ROWS: usize = 1000;

const STOOD_STILL: &str = "this instance stood still and can't tell how old the request is";
const NO_LEASE: &str = "this instance holds no lease; nothing was done";

/// Who waits for the leader's answer.
pub(super) enum AdminCaller {
    Peer(Responder),
    Own { call: Box<OperatorCall>, deadline: Time },
}

impl AdminCaller {
    fn is_waiting(&self) -> bool {
        match self {
            Self::Peer(respond) => !respond.is_closed(),
            Self::Own { call, .. } => call.caller.is_waiting(),
        }
    }

    fn answer(self, core: &mut Core, now: Time, answer: Result<AdminAnswer, ProposalError>) {
        match self {
            Self::Peer(respond) => {
                // The peer may have given up.
                let _ = respond.send(PeerAnswer::Admin(answer));
            }
            Self::Own { call, deadline } => {
                core.on_admin_answer(now, call, deadline, None, Ok(answer))
            }
        }
    }
}

impl Core {
    /// Handles a request of an operator.
    pub(super) fn on_operator(&mut self, now: Time, call: OperatorCall) {
        let deadline = now + OPERATOR_TIMEOUT;
        if call.request.is_order() && self.is_after_stall(now) {
            return match call.request {
                // A copy of a change that was decided gets its outcome.
                OperatorRequest::Change(_) => {
                    let call = OperatorCall { is_late: true, ..call };
                    self.ask_leader(now, Box::new(call), deadline);
                }
                _ => refuse(call, STOOD_STILL),
            };
        }
        let command = match &call.request {
            OperatorRequest::Found => return self.found_system(call),
            OperatorRequest::Admin(_) => return self.ask_leader(now, Box::new(call), deadline),
            OperatorRequest::Change(ChangeRequest { base: None, .. })
            | OperatorRequest::Edits { .. }
            | OperatorRequest::StartRollout(_) => {
                if !self.holder.has_lease(now) {
                    return refuse(call, NO_LEASE);
                }
                return self.ask_leader(now, Box::new(call), deadline);
            }
            OperatorRequest::Change(it) => Command::Change(self.change(it)),
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
            return refuse(call, NO_LEASE);
        }
        let origin = Origin::Operator { call: Box::new(call), deadline };
        self.propose(now, Proposal::new(origin, command, deadline));
    }

    fn change(&self, request: &ChangeRequest) -> Change {
        Change {
            id: request.id,
            base: request.base,
            author: request.author.clone(),
            at: self.wall_time(),
            edits: request.edits.clone(),
        }
    }

    /// Proposes a change whose caller still waits, now that the tables are known to have
    /// had this version while it did. One without an identifier of its own is bound to
    /// that version, so that it can't undo a later one, however late it is committed.
    fn propose_change(
        &mut self,
        now: Time,
        call: Box<OperatorCall>,
        deadline: Time,
        version: Version,
    ) {
        let change = match &call.request {
            OperatorRequest::Change(it) => self.change(it),
            OperatorRequest::Edits { author, edits } => Change {
                id: ChangeId::generate(),
                base: Some(version),
                author: author.clone(),
                at: self.wall_time(),
                edits: edits.clone(),
            },
            _ => unreachable!("only changes are proposed after a read"),
        };
        let edits = change.edits.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        log::info!(
            id:% = change.id, version:% = version, edits = edits;
            "[operators] change proposed"
        );
        let origin = Origin::Operator { call, deadline };
        self.propose(now, Proposal::new(origin, Command::Change(change), deadline));
    }

    /// Handles the outcome of an operator's command.
    pub(super) fn on_operator_outcome(
        &mut self,
        now: Time,
        call: Box<OperatorCall>,
        deadline: Time,
        outcome: Outcome,
    ) {
        let overtaken = match &outcome {
            Outcome::Change(ChangeOutcome::Conflict { .. }) => {
                matches!(call.request, OperatorRequest::Edits { .. })
            }
            Outcome::Rollout(it) => *it == OrderOutcome::Overtaken,
            _ => false,
        };
        if overtaken {
            self.ask_leader(now, call, deadline);
            return;
        }
        (call.respond)(OperatorAnswer::Outcome(outcome));
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
        to: Option<SocketAddr>,
        answer: Result<Result<AdminAnswer, ProposalError>, PeerError>,
    ) {
        match answer {
            Ok(Ok(AdminAnswer::Tables(it)))
                if !matches!(call.request, OperatorRequest::Admin(_)) =>
            {
                match call.caller.is_waiting() {
                    true => self.propose_change(now, call, deadline, it.version),
                    false => drop_order(&call),
                }
            }
            Ok(Ok(AdminAnswer::RolloutStanding(it))) if call.request.is_order() => {
                match call.caller.is_waiting() {
                    true => self.order_rollout(now, call, deadline, &it),
                    false => drop_order(&call),
                }
            }
            Ok(Ok(AdminAnswer::History(rows))) if call.request.is_order() => {
                answer_from_history(*call, &rows);
            }
            Ok(Ok(it)) => {
                (call.respond)(OperatorAnswer::Admin(it));
            }
            Ok(Err(ProposalError::Refused { reason })) => refuse(*call, &reason),
            Ok(Err(err)) => {
                if let ProposalError::NotLeader { leader } = err {
                    self.on_denial(now, to, leader);
                }
                self.admin_retries.push((now + RETRY_DELAY, call, deadline));
            }
            Err(_) => {
                self.on_call_failure(now, to);
                self.admin_retries.push((now + RETRY_DELAY, call, deadline));
            }
        }
    }

    /// Serves an operator's request if this instance leads. It waits until a majority has
    /// confirmed that it does, so that a deposed leader answers none from outdated state,
    /// and changes nothing for a caller that has given up by then.
    pub(super) fn serve_admin(&mut self, now: Time, admin: AdminRequest, caller: AdminCaller) {
        let token = self.next_token();
        let Some(voter) = &mut self.voter else {
            return caller.answer(self, now, Err(ProposalError::NotLeader { leader: None }));
        };
        let handle = move |core: &mut Self, now, confirmed: Result<(), ProposalError>| {
            if admin.is_change() && !caller.is_waiting() {
                log::warn!(request:? = admin; "[operators] a request whose caller gave up is dropped");
                return;
            }
            let answer = confirmed.and_then(|()| core.answer_admin(now, &admin));
            caller.answer(core, now, answer);
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
            AdminRequest::Rollouts => {
                let rows = voter.state().tables.rollouts.values();
                Ok(AdminAnswer::Rollouts(rows.cloned().collect()))
            }
            AdminRequest::RolloutStanding(pool) => {
                Ok(AdminAnswer::RolloutStanding(voter.rollout_standing(now, pool)))
            }
        }
    }

    /// Sends an admin request, or the read that precedes a change, to the leader, or answers
    /// it if this instance leads.
    fn ask_leader(&mut self, now: Time, call: Box<OperatorCall>, deadline: Time) {
        if call.request.is_order() && !call.caller.is_waiting() {
            return drop_order(&call);
        }
        let admin = match &call.request {
            OperatorRequest::Admin(it) => it.clone(),
            OperatorRequest::StartRollout(it) => AdminRequest::RolloutStanding(it.pool.clone()),
            _ if call.is_late => AdminRequest::History,
            _ => AdminRequest::Tables,
        };
        if self.leads() {
            self.serve_admin(now, admin, AdminCaller::Own { call, deadline });
            return;
        }
        let Some(to) = self.leader_addr().filter(|_| self.identity.system.is_some()) else {
            self.admin_retries.push((now + RETRY_DELAY, call, deadline));
            return;
        };
        let token = self.next_token();
        self.pending.insert(token, Pending::Admin { call, deadline, to });
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

/// Answers a change that was read after a stall by the outcome that it had before, or refuses
/// it if it had none.
fn answer_from_history(call: OperatorCall, rows: &[HistoryRow]) {
    let known = match &call.request {
        OperatorRequest::Change(change) => rows.iter().find(|it| it.id == change.id),
        _ => None,
    };
    match known {
        Some(row) => (call.respond)(OperatorAnswer::Outcome(Outcome::Change(row.outcome.clone()))),
        None => refuse(call, STOOD_STILL),
    }
}

fn drop_order(call: &OperatorCall) {
    log::warn!(request:% = call.request; "[operators] a request whose caller gave up is dropped");
}

fn refuse(call: OperatorCall, detail: &str) {
    log::info!(request:% = call.request, reason = detail; "[operators] request refused");
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
