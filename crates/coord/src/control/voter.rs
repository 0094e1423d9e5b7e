//! A voter: a Raft node, its replicated state machine and the leader's work.

use {
    super::{
        CrashEvidence, CutTable, EndpointStatus, EndpointTable, Feed, LEASE_MARGIN, LONG_POLL,
        LeaseTable, MemberStatus, RenewError, RenewReply, RenewRequest, RolloutDuties, ShareHolder,
        ShareTable, Status, SuspectFigures, TeamTable, UpdateCounts, UpdateStats,
    },
    crate::{
        ids::{Bytes, CatalogVersion, Index, NodeId, PoolName, Slots, Term, Version},
        limits::LimitTable,
        load::LoadTable,
        raft::{
            Config, Entry, Message, Payload, ProposeError, Raft, RestoredState, Role, Snapshot,
        },
        streams::{StreamAnswer, StreamIntake, StreamQuery},
        tables::{Command, Delta, Outcome, State, SuspectKey},
        time::Time,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// The number of entries applied between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 2000;
/// The size of the entries applied after which a snapshot is taken before that. Together
/// with the entries kept before it, it bounds the log in memory and on disk.
const SNAPSHOT_SIZE: Bytes = Bytes(8 << 20);
/// The maximum number of proposals that wait to be committed.
const MAX_PENDING_PROPOSALS: usize = 10_000;
/// The maximum number of reads that wait for a majority.
const MAX_PENDING_READS: usize = 1000;

/// The correlation id of a request of the embedder, returned with its completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// The reason for which a proposal has no outcome.
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
    /// It may still be committed and take effect.
    #[snafu(display("leadership was lost before agreement"))]
    Lost,
    /// It wasn't taken and can't take effect.
    #[snafu(display("{reason}"))]
    Refused { reason: String },
}

/// The result of an earlier proposal or renewal.
#[derive(Debug)]
pub enum Completion {
    Proposal(Token, Result<Outcome, ProposalError>),
    Renewal(Token, Box<Result<RenewReply, RenewError>>),
    /// Whether this voter led after a read had come in. If so, its state has all that was
    /// acknowledged before.
    Read(Token, Result<(), ProposalError>),
}

/// A renewal whose reply is delayed until its deadline.
pub(super) struct Renewal {
    pub(super) token: Token,
    pub(super) request: RenewRequest,
    pub(super) received: Time,
    pub(super) deadline: Time,
    /// What there was to tell when it was last looked at.
    pub(super) seen: Revisions,
}

/// What one instance was told last.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Told {
    /// The revisions of the suspects and of the instances cut off.
    pub(super) revisions: (u64, u64),
    /// When it last got a reply with news.
    pub(super) at: Option<Time>,
}

/// What a reply may have news of: the revisions of the shares, the suspects and the
/// instances cut off, and the index of the last delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Revisions {
    pub(super) shares: u64,
    pub(super) suspects: u64,
    pub(super) cut: u64,
    pub(super) last: Index,
}

/// One voter, without input and output: the embedder passes in messages and time,
/// and takes out completions. Messages and writes are taken from [`Self::raft_mut`].
pub struct Voter {
    pub(super) raft: Raft,
    pub(super) state: State,
    pub(super) applied: Index,
    pub(super) snapshot_index: Index,
    pub(super) feed: Feed,
    pub(super) update_stats: UpdateStats,
    /// Who waits for the outcome of an entry, and the term in which it was proposed.
    pub(super) pending: IndexMap<Index, (Term, Vec<Token>)>,
    pub(super) renewals: IndexMap<NodeId, Renewal>,
    /// Reads that wait until a majority has followed this leader, and when they came in.
    pub(super) reads: Vec<(Token, Time)>,
    /// The instances in the roster that haven't reported to this leader.
    pub(super) unreported: IndexSet<NodeId>,
    pub(super) leases: LeaseTable,
    pub(super) shares: ShareTable,
    pub(super) teams: TeamTable,
    pub(super) endpoints: EndpointTable,
    pub(super) limits: LimitTable,
    pub(super) load: LoadTable,
    pub(super) crashes: CrashEvidence,
    pub(super) intake: StreamIntake,
    pub(super) cut: CutTable,
    pub(super) rollouts: RolloutDuties,
    pub(super) silence_checked_at: Time,
    /// The pools whose streams are recorded.
    pub(super) mixed: IndexSet<PoolName>,
    /// When the record of streams was last rotated, or this voter began to lead.
    pub(super) rotated_at: Time,
    /// What each instance was told last.
    pub(super) told: IndexMap<NodeId, Told>,
    /// When this leader first saw each withheld suspect, or proposed to withhold it.
    pub(super) withheld_since: IndexMap<SuspectKey, Time>,
    /// When the leases of registered holders were found to have expired.
    pub(super) lease_ends: IndexMap<ShareHolder, Time>,
    /// The term in which this voter leads.
    pub(super) leading_term: Option<Term>,
    pub(super) last_cleanup: Time,
    pub(super) last_promotion: Time,
    /// Whether the leader adds and removes voters without an operator.
    pub(super) repairs_voters: bool,
    pub(super) completions: Vec<Completion>,
}

impl Voter {
    /// Starts a voter from its durable state. `seed` is that of the election timeouts.
    pub fn new(id: NodeId, restored: RestoredState, now: Time, seed: u64) -> Self {
        let snapshot = restored.snapshot.clone();
        let raft = Raft::new(id, restored, now, seed);
        let start = snapshot.as_ref().map_or(Index(0), |it| it.index);
        let state = snapshot.map_or_else(State::default, |it| it.state.clone());
        Self {
            raft,
            state,
            applied: start,
            snapshot_index: start,
            feed: Feed::start(start),
            update_stats: UpdateStats::default(),
            pending: IndexMap::new(),
            renewals: IndexMap::new(),
            reads: Vec::new(),
            unreported: IndexSet::new(),
            leases: LeaseTable::default(),
            shares: ShareTable::default(),
            teams: TeamTable::default(),
            endpoints: EndpointTable::default(),
            limits: LimitTable::default(),
            load: LoadTable::start(now),
            crashes: CrashEvidence::default(),
            intake: StreamIntake::default(),
            cut: CutTable::default(),
            rollouts: RolloutDuties::default(),
            silence_checked_at: now,
            mixed: IndexSet::new(),
            rotated_at: now,
            told: IndexMap::new(),
            withheld_since: IndexMap::new(),
            lease_ends: IndexMap::new(),
            leading_term: None,
            last_cleanup: now,
            last_promotion: now,
            repairs_voters: false,
            completions: Vec::new(),
        }
    }

    /// Sets whether the leader makes voters of instances with a disk and removes
    /// failed voters without an operator.
    pub fn set_voter_repair(&mut self, repairs_voters: bool) {
        self.repairs_voters = repairs_voters;
    }

    /// Returns the Raft node.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the Raft node, for its messages and batches of writes.
    pub fn raft_mut(&mut self) -> &mut Raft {
        &mut self.raft
    }

    /// Returns the replicated state as applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the index of the last entry applied here.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the address of the leader, if it is known and not this voter.
    pub fn leader_addr(&self) -> Option<SocketAddr> {
        let leader = self.raft.leader().filter(|id| *id != self.raft.id())?;
        self.raft.config().addr(leader)
    }

    /// Whether this voter leads and can grant leases.
    pub fn can_grant(&self, now: Time) -> bool {
        self.raft.has_committed_in_term() && self.raft.lease().is_some_and(|it| it > now)
    }

    /// Handles a Raft message.
    pub fn step(&mut self, now: Time, from: NodeId, message: Message) {
        self.raft.step(now, from, message);
        self.advance(now);
    }

    /// Records that the log is durable up to `last`.
    pub fn synced(&mut self, now: Time, last: Index) {
        self.raft.synced(last);
        self.advance(now);
    }

    /// Handles the passing of time: elections, leases, ramps, shares and delayed
    /// replies.
    pub fn tick(&mut self, now: Time) {
        self.raft.tick(now);
        self.advance(now);
        if !self.raft.has_committed_in_term() {
            return;
        }
        if self.endpoints.tick(&self.state.tables, now) {
            self.shares.mark_changed();
        }
        self.expire_holders(now);
        self.expire_load(now);
        self.allocate(now);
        self.update_withheld(now);
        self.write_streams(now);
        self.cut.retain(|id| self.leases.may_hold(id, now));
        self.update_silent(now);
        self.propose_cleanup(now);
        self.promote(now);
        self.grant_sends(now);
        self.drive_rollouts(now);
        self.answer_renewals(now);
        self.limits.clear_grants();
        self.rollouts.clear_grants();
    }

    /// Proposes a command. The result comes through [`Self::take_completions`].
    pub fn propose(&mut self, now: Time, token: Token, command: Command) {
        if self.pending.len() >= MAX_PENDING_PROPOSALS {
            self.completions.push(Completion::Proposal(token, Err(ProposalError::Busy)));
            return;
        }
        if let Command::RecordStreams(records) = &command
            && self.raft.has_committed_in_term()
        {
            self.intake.add(now, token, records, &self.state.tables);
            return;
        }
        if let Command::Catalog { catalog, document } = &command {
            let has_lease = self.raft.lease().is_some_and(|it| it > now);
            if has_lease && self.has_committed_catalog(catalog.version) {
                self.completions.push(Completion::Proposal(token, Ok(Outcome::Done)));
                return;
            }
            if let Some(index) = self.find_pending_catalog(document) {
                self.pending[&index].1.push(token);
                return;
            }
        }
        match self.raft.propose(command) {
            Ok((term, index)) => {
                self.pending.insert(index, (term, vec![token]));
            }
            Err(_) => {
                let leader = self.leader_addr();
                self.completions
                    .push(Completion::Proposal(token, Err(ProposalError::NotLeader { leader })));
            }
        }
        self.raft.tick(now);
    }

    /// Whether the catalog of this version, or a later one, is committed. Only a leader
    /// with a lease knows that none is missing here.
    fn has_committed_catalog(&self, version: CatalogVersion) -> bool {
        self.raft.has_committed_in_term() && version <= self.state.tables.catalog.version
    }

    /// Returns the entry of the log that waits to be committed with the same catalog, so
    /// that one that is sent again and again isn't logged as often.
    fn find_pending_catalog(&self, document: &str) -> Option<Index> {
        let is_same = |index: &Index| {
            let payload = self.raft.entry(*index).map(|it| &it.payload);
            matches!(payload, Some(Payload::Command(Command::Catalog { document: it, .. })) if **it == *document)
        };
        self.pending.keys().copied().find(is_same)
    }

    /// Adds an instance with a disk as a learner, which is promoted to voter once
    /// it has caught up.
    ///
    /// # Errors
    /// This voter isn't the leader, another change is in progress, or the instance
    /// has no disk or isn't in the roster.
    pub fn add_voter(&mut self, id: NodeId) -> Result<(), ProposalError> {
        let member = self.state.tables.roster.get(&id).filter(|it| it.disk);
        let Some(member) = member else {
            return refuse("the roster has no such instance with a data folder");
        };
        let config = self.raft.config();
        if config.addr(id).is_some() {
            return Ok(());
        }
        self.propose_config(config.with_learner(id, member.peer))
    }

    /// Removes a voter or learner.
    ///
    /// # Errors
    /// This voter isn't the leader, another change is in progress, or it is the last
    /// voter.
    pub fn remove_voter(&mut self, id: NodeId) -> Result<(), ProposalError> {
        let config = self.raft.config();
        if config.addr(id).is_none() {
            return Ok(());
        }
        self.propose_config(config.without(id))
    }

    /// Handles a renewal. The reply comes through [`Self::take_completions`].
    pub fn renew(&mut self, now: Time, token: Token, request: RenewRequest) {
        if let Err(err) = self.check_renewal(now, &request) {
            self.completions.push(Completion::Renewal(token, Box::new(Err(err))));
            return;
        }
        self.record_request(now, &request);
        if request.leaving {
            self.release_lease(token, &request);
            return;
        }
        self.allocate(now);
        let node = request.node;
        // An instance whose lease isn't fresh, or that has none, is answered at once.
        let granted_at = self.leases.granted_at(node);
        let is_fresh = granted_at.is_some_and(|at| now < at + LEASE_MARGIN);
        let deadline = if is_fresh { now + LONG_POLL } else { now };
        let renewal =
            Renewal { token, request, received: now, deadline, seen: Revisions::default() };
        if let Some(old) = self.renewals.insert(node, renewal) {
            self.completions
                .push(Completion::Renewal(old.token, Box::new(Err(RenewError::Superseded))));
        }
        self.answer_renewal(now, node);
        // Heartbeats must not wait until the renewals of all instances are handled.
        self.raft.tick(now);
    }

    /// Handles a read of the state, which may be answered once a majority has followed this
    /// leader in a message sent after now: a lease alone doesn't hold if this process stands
    /// still together with its clock. The result comes through [`Self::take_completions`].
    pub fn read(&mut self, now: Time, token: Token) {
        let err = match self.leading_term {
            None => ProposalError::NotLeader { leader: self.leader_addr() },
            Some(_) if self.reads.len() >= MAX_PENDING_READS => ProposalError::Busy,
            Some(_) => {
                self.reads.push((token, now));
                self.raft.hasten_heartbeat(now);
                self.confirm_reads();
                return;
            }
        };
        self.completions.push(Completion::Read(token, Err(err)));
    }

    /// Completes the reads after which a majority has followed this leader.
    fn confirm_reads(&mut self) {
        let followed = self.raft.followed_at().unwrap_or_default();
        let confirmed = self.reads.extract_if(.., |(_, since)| *since < followed);
        self.completions.extend(confirmed.map(|(token, _)| Completion::Read(token, Ok(()))));
    }

    /// Returns the number of allocations of shares that this voter has made in its term.
    pub fn allocations(&self) -> u64 {
        self.shares.allocations()
    }

    /// Returns what a stream came from.
    ///
    /// # Errors
    /// This voter doesn't lead, or can't be sure of it.
    pub fn find_stream(
        &self,
        now: Time,
        query: &StreamQuery,
    ) -> Result<StreamAnswer, ProposalError> {
        if !self.can_grant(now) {
            return Err(ProposalError::NotLeader { leader: self.leader_addr() });
        }
        let origin = self.state.streams.find(&self.state.tables, query);
        Ok(StreamAnswer { origin, index: self.feed.last() })
    }

    /// Takes the counts of the updates sent since the last call.
    pub fn take_update_counts(&mut self) -> UpdateCounts {
        self.update_stats.take()
    }

    /// Takes the number of sends to limited endpoints granted since the last call.
    pub fn take_granted_sends(&mut self) -> u64 {
        self.limits.take_count()
    }

    /// Returns what crashes of endpoints speak against; see [`CrashEvidence::figures`].
    pub fn suspect_figures(&self, now: Time) -> Vec<SuspectFigures> {
        self.crashes.figures(now)
    }

    /// Takes the completions since the last call.
    pub fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    /// Returns the version of the tables that is in force everywhere: each instance
    /// has applied it or has no lease. `None` while some instance that may have a
    /// lease hasn't reported to this leader.
    pub fn in_force(&self, now: Time) -> Option<Version> {
        let tables = &self.state.tables;
        let holders = tables.roster.keys().filter(|id| self.leases.may_hold(**id, now));
        let versions = holders.map(|id| self.leases.get(*id).map(|it| it.version));
        let lowest: Option<Vec<Version>> = versions.collect();
        lowest.map(|it| it.into_iter().min().unwrap_or(tables.version))
    }

    /// Returns the status for operators, if this voter leads.
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
            load_age: self.load_age(now),
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
            granted: Slots(self.shares.granted(name)),
            load: self.load_age(now).and_then(|_| self.load.in_flight(name)),
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

    /// Applies what Raft has committed or installed since the last call.
    fn advance(&mut self, now: Time) {
        if let Some(snapshot) = self.raft.take_installed() {
            self.state = snapshot.state.clone();
            self.applied = snapshot.index;
            self.snapshot_index = snapshot.index;
            self.feed = Feed::start(snapshot.index);
        }
        let mut changed = false;
        for entry in self.raft.take_committed() {
            changed |= self.apply(now, &entry);
        }
        self.update_leadership(now);
        self.confirm_reads();
        if changed {
            self.mixed = self.state.streams.mixed_pools(&self.state.tables);
        }
        if changed && self.raft.role() == Role::Leader {
            for name in self.endpoints.reload(&self.state.tables, now) {
                self.shares.revoke(&name, None);
            }
            self.shares.mark_changed();
            self.limits.reload(now, &self.state.tables);
            self.load.reload(&self.state.tables);
            self.allocate(now);
            self.answer_renewals(now);
        }
        self.maybe_snapshot();
    }

    /// Applies a committed entry; returns whether the tables changed.
    fn apply(&mut self, now: Time, entry: &Entry) -> bool {
        self.applied = entry.index;
        let mut changed = false;
        let mut outcome = Outcome::Done;
        if let Payload::Command(command) = &entry.payload {
            let applied = self.state.apply(entry.index, command);
            outcome = applied.outcome;
            changed = applied.delta.is_some();
            if matches!(command, Command::RotateStreams) {
                self.mixed = self.state.streams.mixed_pools(&self.state.tables);
            }
            if let Some(delta) = applied.delta {
                self.update_unreported(&delta);
                self.rollouts.note(now, entry.index, entry.term, &delta);
                self.feed.push(entry.index, delta);
            }
        }
        if let Some((term, tokens)) = self.pending.shift_remove(&entry.index) {
            let result = if term == entry.term { Ok(outcome) } else { Err(ProposalError::Lost) };
            let done = tokens.into_iter().map(|it| Completion::Proposal(it, result.clone()));
            self.completions.extend(done);
        }
        changed
    }

    /// Updates the instances that haven't reported after a change of the roster.
    fn update_unreported(&mut self, delta: &Delta) {
        match delta {
            Delta::Member(it) if !self.shares.contains_node(it.id) => {
                self.unreported.insert(it.id);
            }
            Delta::DropMember(id) => {
                self.unreported.swap_remove(id);
            }
            _ => {}
        }
    }

    /// Resets the leader's tables when this voter starts or stops to lead.
    fn update_leadership(&mut self, now: Time) {
        let leads = self.raft.has_committed_in_term().then(|| self.raft.term());
        if leads == self.leading_term {
            return;
        }
        self.leading_term = leads;
        self.leases = LeaseTable::start(now);
        self.shares = ShareTable::default();
        self.unreported = self.state.tables.roster.keys().copied().collect();
        self.teams = TeamTable::default();
        self.lease_ends.clear();
        self.limits = LimitTable::start(self.raft.term(), now);
        self.limits.reload(now, &self.state.tables);
        self.reset_load(now);
        self.crashes = CrashEvidence::default();
        self.rotated_at = now;
        self.mixed = self.state.streams.mixed_pools(&self.state.tables);
        self.told.clear();
        self.cut = CutTable::default();
        self.rollouts.reset();
        self.withheld_since.clear();
        self.endpoints = EndpointTable::default();
        self.endpoints.reload(&self.state.tables, now);
        if leads.is_none() {
            self.fail_pending();
        }
    }

    /// Fails all pending proposals and renewals after the loss of leadership.
    fn fail_pending(&mut self) {
        let tokens = std::mem::take(&mut self.pending).into_values().flat_map(|(_, it)| it);
        let lost = tokens.map(|it| Completion::Proposal(it, Err(ProposalError::Lost)));
        self.completions.extend(lost);
        let unwritten = self.intake.fail().into_iter();
        let lost = unwritten.map(|it| Completion::Proposal(it, Err(ProposalError::Lost)));
        self.completions.extend(lost);
        let leader = self.leader_addr();
        for (token, _) in std::mem::take(&mut self.reads) {
            let err = ProposalError::NotLeader { leader };
            self.completions.push(Completion::Read(token, Err(err)));
        }
        for (_, it) in std::mem::take(&mut self.renewals) {
            let err = RenewError::NotLeader { leader };
            self.completions.push(Completion::Renewal(it.token, Box::new(Err(err))));
        }
    }

    /// Compacts the log into a snapshot if enough entries have been applied.
    fn maybe_snapshot(&mut self) {
        let is_due = self.applied.0 >= self.snapshot_index.0 + SNAPSHOT_INTERVAL
            || self.raft.size_between(self.snapshot_index, self.applied) >= SNAPSHOT_SIZE;
        if !is_due {
            return;
        }
        let Some((term, config)) = self.raft.snapshot_base(self.applied) else {
            return;
        };
        self.snapshot_index = self.applied;
        let state = self.state.clone();
        self.raft.compact(Snapshot { index: self.applied, term, config, state });
    }

    /// Returns the term in which this voter leads, once it can act as leader.
    pub fn leading_term(&self) -> Option<Term> {
        self.leading_term
    }
}

fn refuse(reason: &str) -> Result<(), ProposalError> {
    Err(ProposalError::Refused { reason: reason.to_owned() })
}
