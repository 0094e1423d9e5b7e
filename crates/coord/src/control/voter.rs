//! A voter: agreement, the state machine behind it, and the leader's duties.

use {
    super::{
        EndpointStatus, EndpointTable, Feed, HOLD, LeaseTable, MemberStatus, RenewError,
        RenewReply, RenewRequest, ShareHolder, ShareTable, Status, TeamTable,
    },
    crate::{
        ids::{Index, NodeId, Slots, Term, Version},
        raft::{
            Config, Entry, Message, Payload, ProposeError, Raft, RestoredState, Role, Snapshot,
        },
        tables::{Command, Outcome, State},
        time::Time,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Entries applied between two snapshots.
const SNAPSHOT_EVERY: u64 = 2000;
/// The most proposals that wait for agreement.
const MAX_WAITING: usize = 10_000;

/// Names a question of the embedder, returned with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// Why a proposal has no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum ProposalError {
    /// It wasn't taken and can't take effect.
    #[snafu(display("this voter doesn't lead"))]
    NotLeader { leader: Option<SocketAddr> },
    /// It wasn't taken and can't take effect.
    #[snafu(display("too many proposals wait for agreement"))]
    Busy,
    /// It may still take effect.
    #[snafu(display("leadership was lost before agreement"))]
    Lost,
    /// It wasn't taken and can't take effect.
    #[snafu(display("{reason}"))]
    Refused { reason: String },
}

/// An answer to an earlier question.
#[derive(Debug)]
pub enum Done {
    Proposal(Token, Result<Outcome, ProposalError>),
    Renewal(Token, Box<Result<RenewReply, RenewError>>),
}

pub(super) struct Renewal {
    pub(super) token: Token,
    pub(super) request: RenewRequest,
    pub(super) until: Time,
}

/// One voter.
pub struct Voter {
    pub(super) raft: Raft,
    pub(super) state: State,
    pub(super) applied: Index,
    pub(super) snapshot: Index,
    pub(super) feed: Feed,
    pub(super) waiting: IndexMap<Index, (Term, Token)>,
    pub(super) renewals: IndexMap<NodeId, Renewal>,
    /// What the waiting renewals were last looked at for.
    pub(super) answered: (u64, Index),
    pub(super) leases: LeaseTable,
    pub(super) shares: ShareTable,
    pub(super) teams: TeamTable,
    pub(super) endpoints: EndpointTable,
    /// When the leases of holders that still count were found to have ended.
    pub(super) ended: IndexMap<ShareHolder, Time>,
    pub(super) led: Option<Term>,
    pub(super) cleaned: Time,
    pub(super) promoted: Time,
    /// Whether the leader changes the voters by itself.
    pub(super) mends: bool,
    pub(super) done: Vec<Done>,
}

impl Voter {
    /// Starts a voter from what was durable.
    pub fn new(id: NodeId, restored: RestoredState, now: Time, seed: u64) -> Self {
        let snapshot = restored.snapshot.clone();
        let raft = Raft::new(id, restored, now, seed);
        let start = snapshot.as_ref().map_or(Index(0), |it| it.index);
        let state = snapshot.map_or_else(State::default, |it| it.state.clone());
        Self {
            raft,
            state,
            applied: start,
            snapshot: start,
            feed: Feed::start(start),
            waiting: IndexMap::new(),
            renewals: IndexMap::new(),
            answered: (0, start),
            leases: LeaseTable::default(),
            shares: ShareTable::default(),
            teams: TeamTable::default(),
            endpoints: EndpointTable::default(),
            ended: IndexMap::new(),
            led: None,
            cleaned: now,
            promoted: now,
            mends: false,
            done: Vec::new(),
        }
    }

    /// Says whether the leader makes voters of instances with a disk and
    /// removes voters that are gone, without an operator.
    pub fn set_mending(&mut self, mends: bool) {
        self.mends = mends;
    }

    /// The agreement below.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The agreement below, for messages and batches.
    pub fn raft_mut(&mut self) -> &mut Raft {
        &mut self.raft
    }

    /// The state as far as it was applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The position up to which entries were applied here.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The address of the leader, if it is known and another.
    pub fn leader_addr(&self) -> Option<SocketAddr> {
        let leader = self.raft.leader().filter(|id| *id != self.raft.id())?;
        self.raft.config().addr(leader)
    }

    /// Takes in a message of the agreement.
    pub fn step(&mut self, now: Time, from: NodeId, message: Message) {
        self.raft.step(now, from, message);
        self.advance(now);
    }

    /// Reports that a batch is durable.
    pub fn synced(&mut self, now: Time, last: Index) {
        self.raft.synced(last);
        self.advance(now);
    }

    /// Lets time pass: elections, leases, ramps, shares and held answers.
    pub fn tick(&mut self, now: Time) {
        self.raft.tick(now);
        self.advance(now);
        if !self.raft.has_committed_in_term() {
            return;
        }
        if self.endpoints.tick(&self.state.tables, now) {
            self.shares.touch();
        }
        self.expire_holders(now);
        self.divide(now);
        self.clean(now);
        self.promote(now);
        self.answer_renewals(now);
    }

    /// Proposes a command; the answer comes through [`Self::take_done`].
    pub fn propose(&mut self, now: Time, token: Token, command: Command) {
        if self.waiting.len() >= MAX_WAITING {
            self.done.push(Done::Proposal(token, Err(ProposalError::Busy)));
            return;
        }
        match self.raft.propose(command) {
            Ok((term, index)) => {
                self.waiting.insert(index, (term, token));
            }
            Err(_) => {
                let leader = self.leader_addr();
                self.done.push(Done::Proposal(token, Err(ProposalError::NotLeader { leader })));
            }
        }
        self.raft.tick(now);
    }

    /// Starts to make an instance with a disk a voter: first a learner, which
    /// is promoted once it has caught up.
    ///
    /// # Errors
    /// Not the leader, a change under way, or an instance that can't vote.
    pub fn add_voter(&mut self, id: NodeId) -> Result<(), ProposalError> {
        let member = self.state.tables.roster.get(&id).filter(|it| it.disk);
        let Some(member) = member else {
            return refuse("the roster has no such instance with a data folder");
        };
        let mut config = self.raft.config().clone();
        if config.voters.contains_key(&id) || config.learners.contains_key(&id) {
            return Ok(());
        }
        config.learners.insert(id, member.peer);
        self.propose_config(config)
    }

    /// Removes a voter or learner.
    ///
    /// # Errors
    /// Not the leader, a change under way, or the last voter.
    pub fn remove_voter(&mut self, id: NodeId) -> Result<(), ProposalError> {
        let mut config = self.raft.config().clone();
        let voter = config.voters.shift_remove(&id).is_some();
        let learner = config.learners.shift_remove(&id).is_some();
        if !voter && !learner {
            return Ok(());
        }
        self.propose_config(config)
    }

    /// Takes in a renewal; the answer comes through [`Self::take_done`].
    pub fn renew(&mut self, now: Time, token: Token, request: RenewRequest) {
        if let Err(err) = self.check_renewal(now, &request) {
            self.done.push(Done::Renewal(token, Box::new(Err(err))));
            return;
        }
        self.learn(now, &request);
        if request.leaving {
            self.release(token, &request);
            return;
        }
        self.divide(now);
        let node = request.node;
        let until = now + HOLD;
        if let Some(old) = self.renewals.insert(node, Renewal { token, request, until }) {
            self.done.push(Done::Renewal(old.token, Box::new(Err(RenewError::Superseded))));
        }
        let endpoints = self.divisible(now);
        self.answer_renewal(now, node, &endpoints);
    }

    /// Takes out the answers that are due.
    pub fn take_done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }

    /// The number of the tables that is in force everywhere: each instance
    /// has applied it or holds no lease.
    pub fn in_force(&self, now: Time) -> Option<Version> {
        let tables = &self.state.tables;
        let holders = tables.roster.keys().filter(|id| self.leases.may_hold(**id, now));
        let versions = holders.map(|id| self.leases.get(*id).map(|it| it.version));
        let lowest: Option<Vec<Version>> = versions.collect();
        lowest.map(|it| it.into_iter().min().unwrap_or(tables.version))
    }

    /// What operators are shown, if this voter leads.
    pub fn status(&self, now: Time) -> Option<Status> {
        if !self.raft.has_committed_in_term() {
            return None;
        }
        let tables = &self.state.tables;
        Some(Status {
            leader: self.raft.id(),
            term: self.raft.term(),
            version: tables.version,
            in_force: self.in_force(now),
            members: tables.roster.keys().map(|id| self.member_status(*id, now)).collect(),
            endpoints: tables.endpoints.keys().map(|it| self.endpoint_status(it, now)).collect(),
        })
    }

    fn member_status(&self, id: NodeId, now: Time) -> MemberStatus {
        let member = &self.state.tables.roster[&id];
        let config = self.raft.committed_config();
        let vote = match (config.voters.contains_key(&id), config.learners.contains_key(&id)) {
            (true, _) => "voter",
            (_, true) => "learner",
            _ => "none",
        };
        MemberStatus {
            id,
            name: member.name.clone(),
            domain: member.domain.clone(),
            peer: member.peer,
            vote: vote.to_owned(),
            disk: member.disk,
            lease: self.leases.may_hold(id, now),
            version: self.leases.get(id).map(|it| it.version),
        }
    }

    fn endpoint_status(&self, name: &crate::ids::EndpointName, now: Time) -> EndpointStatus {
        let tables = &self.state.tables;
        let it = &tables.endpoints[name];
        EndpointStatus {
            name: name.clone(),
            pool: it.pool.clone(),
            domain: it.domain.clone(),
            addr: it.addr,
            generation: it.generation,
            state: it.state,
            in_service: tables.is_in_service(it),
            allowed: self.endpoints.allowed(name, now),
            granted: Slots(self.shares.sum(name)),
        }
    }

    fn propose_config(&mut self, config: Config) -> Result<(), ProposalError> {
        match self.raft.propose_config(config) {
            Ok(_) => Ok(()),
            Err(ProposeError::NotLeader) => {
                Err(ProposalError::NotLeader { leader: self.leader_addr() })
            }
            Err(err) => Err(ProposalError::Refused { reason: err.to_string() }),
        }
    }

    fn advance(&mut self, now: Time) {
        if let Some(snapshot) = self.raft.take_installed() {
            self.state = snapshot.state.clone();
            self.applied = snapshot.index;
            self.snapshot = snapshot.index;
            self.feed = Feed::start(snapshot.index);
        }
        let mut changed = false;
        for entry in self.raft.take_committed() {
            changed |= self.apply(&entry);
        }
        self.follow_role(now);
        if changed && self.raft.role() == Role::Leader {
            for name in self.endpoints.reload(&self.state.tables, now) {
                self.shares.forget(&name, None);
            }
            self.shares.touch();
            self.divide(now);
            self.answer_renewals(now);
        }
        self.take_snapshot();
    }

    fn apply(&mut self, entry: &Entry) -> bool {
        self.applied = entry.index;
        let mut changed = false;
        let mut outcome = Outcome::Done;
        if let Payload::Command(command) = &entry.payload {
            let applied = self.state.apply(entry.index, command);
            outcome = applied.outcome;
            changed = applied.delta.is_some();
            if let Some(delta) = applied.delta {
                self.feed.push(entry.index, delta);
            }
        }
        if let Some((term, token)) = self.waiting.shift_remove(&entry.index) {
            let result = if term == entry.term { Ok(outcome) } else { Err(ProposalError::Lost) };
            self.done.push(Done::Proposal(token, result));
        }
        changed
    }

    /// Takes up or lays down the leader's duties.
    fn follow_role(&mut self, now: Time) {
        let leads = self.raft.has_committed_in_term().then(|| self.raft.term());
        if leads == self.led {
            return;
        }
        self.led = leads;
        self.leases = LeaseTable::start(now);
        self.shares = ShareTable::default();
        self.teams = TeamTable::default();
        self.ended.clear();
        self.endpoints = EndpointTable::default();
        self.endpoints.reload(&self.state.tables, now);
        if leads.is_none() {
            self.drop_waiting();
        }
    }

    fn drop_waiting(&mut self) {
        for (_, (_, token)) in std::mem::take(&mut self.waiting) {
            self.done.push(Done::Proposal(token, Err(ProposalError::Lost)));
        }
        let leader = self.leader_addr();
        for (_, it) in std::mem::take(&mut self.renewals) {
            let err = RenewError::NotLeader { leader };
            self.done.push(Done::Renewal(it.token, Box::new(Err(err))));
        }
    }

    fn take_snapshot(&mut self) {
        if self.applied.0 < self.snapshot.0 + SNAPSHOT_EVERY {
            return;
        }
        let Some((term, config)) = self.raft.snapshot_base(self.applied) else {
            return;
        };
        self.snapshot = self.applied;
        let state = self.state.clone();
        self.raft.compact(Snapshot { index: self.applied, term, config, state });
    }

    /// The term that this voter leads, once it takes up its duties.
    pub fn led(&self) -> Option<Term> {
        self.led
    }
}

fn refuse(reason: &str) -> Result<(), ProposalError> {
    Err(ProposalError::Refused { reason: reason.to_owned() })
}
