//! The Raft state of one voter.

use {
    super::{Acknowledged, Config, Entry, Log, Message, Outgoing, Payload, Progress, Snapshot},
    crate::{
        ids::{Bytes, Incarnation, Index, NodeId, Term},
        tables::Command,
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
    rand::{SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    snafu::{Snafu, ensure},
    std::sync::Arc,
};

/// The interval at which a leader sends to each follower without new entries.
pub const HEARTBEAT_INTERVAL: Millis = Millis(100);
/// The shortest election timeout. A follower grants no vote within this time
/// after it has heard from its leader or started, except in a leadership
/// transfer.
pub const ELECTION_TIMEOUT_MIN: Millis = Millis(600);
/// The longest election timeout.
pub const ELECTION_TIMEOUT_MAX: Millis = Millis(1000);
/// The share of a lease by which clocks may drift apart, as a divisor.
const DRIFT_DIVISOR: u64 = 10;
/// The maximum number of entries in one message.
pub(super) const MAX_APPEND_ENTRIES: usize = 256;
/// The size of the entries in one message beyond which no other is added: little enough
/// that a heartbeat behind it isn't late.
pub(super) const MAX_APPEND_SIZE: Bytes = Bytes(1 << 20);
/// The size of the entries under way to one follower beyond which none are sent.
pub(super) const MAX_UNACKNOWLEDGED: Bytes = Bytes(4 << 20);
/// Entries kept before a snapshot, so that followers that lag only a little
/// don't need the snapshot.
const TRAILING_ENTRIES: u64 = 500;
/// The size of the entries kept before a snapshot. A follower that lacks more gets the
/// snapshot, which costs no more to send than a few large entries.
const TRAILING_SIZE: Bytes = Bytes(2 << 20);

/// The current term and the vote in it. They must be durable before a message
/// that depends on them is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    pub term: Term,
    pub vote: Option<NodeId>,
}

/// An operation to make durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOp {
    Hard(HardState),
    Append(Entry),
    Truncate { from: Index },
    Snapshot(Arc<Snapshot>),
}

/// Operations to make durable in order, and messages to send once they are.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    pub ops: Vec<LogOp>,
    pub after_sync: Vec<Outgoing>,
    /// The last log index once the operations are durable, for
    /// [`Raft::synced`].
    pub last: Index,
}

/// The durable state at the start of the process.
#[derive(Debug, Clone, Default)]
pub struct RestoredState {
    pub hard: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Entry>,
}

/// A voter's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Why a proposal is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    #[snafu(display("this voter doesn't lead"))]
    NotLeader,
    #[snafu(display("a change of the voters is under way"))]
    ConfigChangePending,
    #[snafu(display("the change of voters doesn't fit: {reason}"))]
    InvalidConfig { reason: &'static str },
}

/// The Raft state of one voter or learner.
pub struct Raft {
    pub(super) id: NodeId,
    pub(super) hard: HardState,
    pub(super) log: Log,
    /// The latest configuration in the log, committed or not, and its index.
    pub(super) config: Config,
    pub(super) config_index: Index,
    /// The latest configuration known to be committed.
    pub(super) committed_config: Config,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    pub(super) commit_index: Index,
    /// The last index that [`Self::take_committed`] returned or a snapshot
    /// covered.
    pub(super) delivered: Index,
    pub(super) durable_index: Index,
    /// The highest value to which the batch in flight may raise
    /// `durable_index`; truncation lowers it.
    pub(super) sync_limit: Index,
    /// Whether a change of the hard state waits for the next batch.
    pub(super) hard_pending: bool,
    /// Whether the batch in flight contains a change of the hard state.
    pub(super) hard_syncing: bool,
    pub(super) election_deadline: Time,
    pub(super) next_heartbeat: Time,
    /// When this voter last heard from the leader, or when it started.
    pub(super) last_contact: Time,
    /// When this voter became leader.
    pub(super) leader_since: Time,
    /// The other voters and the learners, while this voter leads.
    pub(super) followers: IndexMap<NodeId, Progress>,
    pub(super) votes: IndexSet<NodeId>,
    /// When the leadership transfer in progress was started.
    pub(super) transferring: Option<Time>,
    /// A snapshot from the leader that the embedder hasn't taken yet.
    pub(super) installed: Option<Arc<Snapshot>>,
    pub(super) ops: Vec<LogOp>,
    /// Messages to send once the next batch is durable.
    pub(super) after_sync: Vec<Outgoing>,
    /// Messages to send at once.
    pub(super) ready: Vec<Outgoing>,
    /// For each voter and learner, what is known to be durable there and committed.
    pub(super) acked: IndexMap<NodeId, Acknowledged>,
    /// The latest start of each voter and learner of which this voter has accepted a
    /// message, and its own.
    pub(super) incarnations: IndexMap<NodeId, Incarnation>,
    pub(super) rng: StdRng,
}

impl Raft {
    /// Starts a voter from its durable state.
    pub fn new(id: NodeId, restored: RestoredState, now: Time, seed: u64) -> Self {
        let start = restored.snapshot.as_ref().map_or(Index(0), |it| it.index);
        let log = Log::restore(restored.snapshot, restored.entries);
        let (config_index, config) =
            log.config().map_or((Index(0), Config::default()), |(i, it)| (i, it.clone()));
        let durable_index = log.last_index();
        let mut raft = Self {
            id,
            hard: restored.hard,
            log,
            config,
            config_index,
            committed_config: Config::default(),
            role: Role::Follower,
            leader: None,
            commit_index: start,
            delivered: start,
            durable_index,
            sync_limit: durable_index,
            hard_pending: false,
            hard_syncing: false,
            election_deadline: now,
            next_heartbeat: now,
            last_contact: now,
            leader_since: now,
            followers: IndexMap::new(),
            votes: IndexSet::new(),
            transferring: None,
            installed: None,
            ops: Vec::new(),
            after_sync: Vec::new(),
            ready: Vec::new(),
            acked: IndexMap::new(),
            incarnations: IndexMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        raft.reset_election_timeout(now);
        raft.update_committed_config();
        raft
    }

    /// Starts a new cluster: sets term 1 and appends the first configuration.
    ///
    /// # Panics
    /// If the log isn't empty.
    pub fn bootstrap(&mut self, config: Config) {
        assert_eq!(self.log.last_index(), Index(0), "only an empty log can be bootstrapped");
        self.set_hard_state(HardState { term: Term(1), vote: None });
        self.append(Payload::Config(config));
    }

    /// This voter's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// This voter's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader, as far as this voter knows.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The last index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The last index of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The entry at an index, if it is kept in memory.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The last durable index of the log.
    pub fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// The configuration in use, which may not be committed yet.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The log index of that configuration.
    pub fn config_index(&self) -> Index {
        self.config_index
    }

    /// The latest configuration that is known to be committed.
    pub fn committed_config(&self) -> &Config {
        &self.committed_config
    }

    /// When this voter became leader.
    pub fn leader_since(&self) -> Time {
        self.leader_since
    }

    /// The leader's replication progress by follower; empty on other voters.
    pub fn followers(&self) -> &IndexMap<NodeId, Progress> {
        &self.followers
    }

    /// The followers with entries that were sent and not acknowledged, with the number
    /// of these and their size.
    pub fn unacknowledged(&self) -> impl Iterator<Item = (NodeId, u64, Bytes)> + '_ {
        let rows = self.followers.iter().map(|(id, it)| {
            let last = it.next.prev();
            let size = self.log.size_between(it.sent_after, last);
            (*id, last.0.saturating_sub(it.sent_after.0), size)
        });
        rows.filter(|(_, count, _)| *count > 0)
    }

    /// The size of the entries that are kept in memory.
    pub fn kept_size(&self) -> Bytes {
        self.log.size_between(Index(0), self.log.last_index())
    }

    /// The size of the kept entries after one index, up to and including another.
    pub fn size_between(&self, after: Index, last: Index) -> Bytes {
        self.log.size_between(after, last)
    }

    /// The last index that a voter or learner is known to have acknowledged before the
    /// given start of its process; zero if unknown.
    pub fn acked_before(&self, id: NodeId, incarnation: Incarnation) -> Index {
        self.acked.get(&id).map_or(Index(0), |it| it.before(incarnation))
    }

    /// Records the start of a voter's or learner's process that sends the messages
    /// passed to [`Self::step`] from now on, or this voter's own.
    pub fn set_incarnation(&mut self, id: NodeId, incarnation: Incarnation) {
        self.incarnations.insert(id, incarnation);
    }

    /// Whether this voter leads and has committed an entry of its term.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit_index) == Some(self.hard.term)
    }

    /// The time until which no other leader can be elected, if all clocks run at about
    /// the same rate. `None` if this voter doesn't lead, is transferring leadership or has
    /// no answer from a majority. The lease of a sole voter never ends.
    pub fn lease(&self) -> Option<Time> {
        if self.transferring.is_some() {
            return None;
        }
        let followed = self.followed_at()?;
        let margin = ELECTION_TIMEOUT_MIN.0 / DRIFT_DIVISOR;
        Some(Time(followed.0.saturating_add(ELECTION_TIMEOUT_MIN.0 - margin)))
    }

    /// When this leader sent the latest message that a majority has answered in its term:
    /// later than then it still led, whatever the clocks show. `None` if this voter doesn't
    /// lead or has no answer from a majority; the end of time for a sole voter.
    pub fn followed_at(&self) -> Option<Time> {
        if self.role != Role::Leader {
            return None;
        }
        let acked = |id| match id == self.id {
            true => Time(u64::MAX),
            false => self.followers.get(&id).map_or(Time(0), |it| it.acked_sent),
        };
        self.config.quorum_value(acked).filter(|it| *it > Time(0))
    }

    /// Makes a leader send to all followers when it next handles the passing of time, in
    /// a message that can be told from those sent until now.
    pub fn hasten_heartbeat(&mut self, now: Time) {
        self.next_heartbeat = self.next_heartbeat.min(now + Millis(1));
    }

    /// Appends a command to the log and returns its term and index. It is
    /// committed once [`Self::take_committed`] returns the entry.
    ///
    /// # Errors
    /// This voter doesn't lead or is transferring leadership.
    pub fn propose(&mut self, command: Command) -> Result<(Term, Index), ProposeError> {
        ensure!(self.role == Role::Leader && self.transferring.is_none(), NotLeaderSnafu);
        Ok((self.hard.term, self.append(Payload::Command(command))))
    }

    /// Appends a new configuration, which may differ from the current one in at
    /// most one voter, and returns its index.
    ///
    /// # Errors
    /// This voter doesn't lead or is transferring leadership, it hasn't committed
    /// the previous configuration or any entry of its term, or the configuration
    /// is invalid.
    pub fn propose_config(&mut self, config: Config) -> Result<Index, ProposeError> {
        ensure!(self.role == Role::Leader && self.transferring.is_none(), NotLeaderSnafu);
        ensure!(
            self.config_index <= self.commit_index && self.has_committed_in_term(),
            ConfigChangePendingSnafu
        );
        let added = config.voters.keys().filter(|id| !self.config.voters.contains_key(*id));
        let removed = self.config.voters.keys().filter(|id| !config.voters.contains_key(*id));
        ensure!(
            added.count() + removed.count() <= 1,
            InvalidConfigSnafu { reason: "one voter at a time" }
        );
        ensure!(!config.voters.is_empty(), InvalidConfigSnafu { reason: "no voter would be left" });
        Ok(self.append(Payload::Config(config)))
    }

    /// Starts to transfer leadership to the most up-to-date voter that has replied
    /// lately. Returns false if there is none with the whole log, if this voter
    /// doesn't lead, or if a transfer is in progress.
    pub fn transfer(&mut self, now: Time) -> bool {
        if self.role != Role::Leader || self.transferring.is_some() {
            return false;
        }
        let voters = self.followers.iter().filter(|(id, _)| self.config.voters.contains_key(*id));
        let reachable = voters.filter(|(_, it)| now.since(it.last_reply) < ELECTION_TIMEOUT_MIN);
        let target = reachable.max_by_key(|(_, it)| it.matched).map(|(id, it)| (*id, it.matched));
        let Some((to, matched)) = target else {
            return false;
        };
        if matched != self.log.last_index() {
            return false;
        }
        self.transferring = Some(now);
        self.ready.push(Outgoing { to, message: Message::Transfer { term: self.hard.term } });
        true
    }

    /// Advances time: sends as a leader, or starts an election after a timeout.
    pub fn tick(&mut self, now: Time) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Handles a message from another voter.
    pub fn step(&mut self, now: Time, from: NodeId, message: Message) {
        if self.is_disruptive(now, &message) {
            return;
        }
        let term = message.term();
        // Pre-vote requests and grants carry the term of an election that hasn't started.
        let is_pre = matches!(
            message,
            Message::Vote { pre: true, .. } | Message::VoteReply { pre: true, granted: true, .. }
        );
        if term > self.hard.term && !is_pre {
            self.become_follower(now, term, None);
        }
        match message {
            Message::Vote { term, last, last_term, pre, .. } => {
                self.on_vote(now, from, term, (last_term, last), pre);
            }
            Message::VoteReply { term, pre, granted } => {
                self.on_vote_reply(now, from, term, pre, granted);
            }
            // What `acked` says can't be told from what a new start has acknowledged since.
            Message::Append { term, prev, prev_term, entries, commit, sent, acked: _, starts } => {
                if self.accept_leader(now, from, term) {
                    for (id, acked) in starts {
                        self.acked.entry(id).or_default().merge(acked);
                    }
                    self.on_append(from, (prev, prev_term), entries, commit, sent);
                }
            }
            Message::AppendReply { term, ok, index, sent } => {
                self.on_append_reply(now, from, term, ok, index, sent);
            }
            Message::Install { term, snapshot, sent } => {
                if self.accept_leader(now, from, term) {
                    self.on_install(from, snapshot, sent);
                }
            }
            Message::Transfer { term } => {
                if term == self.hard.term && self.config.voters.contains_key(&self.id) {
                    self.start_election(now, true);
                }
            }
        }
    }

    /// Takes the pending operations and the messages that wait for them. Only one
    /// batch may be in flight.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if self.ops.is_empty() && self.after_sync.is_empty() {
            return None;
        }
        self.sync_limit = self.log.last_index();
        self.hard_syncing = std::mem::take(&mut self.hard_pending);
        Some(Batch {
            ops: std::mem::take(&mut self.ops),
            after_sync: std::mem::take(&mut self.after_sync),
            last: self.sync_limit,
        })
    }

    /// Reports that the operations of a batch are durable; `last` is
    /// [`Batch::last`].
    pub fn synced(&mut self, last: Index) {
        self.durable_index = self.durable_index.max(last.min(self.sync_limit));
        self.hard_syncing = false;
        self.advance_commit();
    }

    /// Takes the messages that can be sent at once.
    pub fn take_ready(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.ready)
    }

    /// Takes a snapshot from the leader, which replaces the embedder's state.
    pub fn take_installed(&mut self) -> Option<Arc<Snapshot>> {
        self.installed.take()
    }

    /// Takes the entries that were committed since the last call.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let count = (self.commit_index.0 - self.delivered.0) as usize;
        let entries = self.log.entries_from(self.delivered.next(), count, Bytes(u64::MAX)).to_vec();
        self.delivered = self.commit_index;
        entries
    }

    /// Replaces the log up to an applied index by a snapshot.
    ///
    /// # Panics
    /// If the snapshot covers entries that [`Self::take_committed`] hasn't
    /// returned.
    pub fn compact(&mut self, snapshot: Snapshot) {
        assert!(
            snapshot.index <= self.delivered,
            "a snapshot must not cover entries that weren't taken"
        );
        let snapshot = Arc::new(snapshot);
        self.ops.push(LogOp::Snapshot(snapshot.clone()));
        self.log.compact(snapshot, TRAILING_ENTRIES, TRAILING_SIZE);
    }

    /// The term and configuration at `index`, for a snapshot; `None` if one of
    /// them isn't known.
    pub fn snapshot_base(&self, index: Index) -> Option<(Term, Config)> {
        let term = self.log.term(index)?;
        (self.config_index <= index).then(|| (term, self.config.clone()))
    }

    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        self.push(Entry { term: self.hard.term, index, payload });
        index
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let changes = matches!(entry.payload, Payload::Config(_));
        self.log.push(entry.clone());
        self.ops.push(LogOp::Append(entry));
        if changes {
            self.reload_config();
        }
    }

    pub(super) fn reload_config(&mut self) {
        let found = self.log.config().map(|(index, it)| (index, it.clone()));
        (self.config_index, self.config) = found.unwrap_or_default();
        if self.role == Role::Leader {
            self.update_followers(self.next_heartbeat);
        }
    }

    pub(super) fn update_committed_config(&mut self) {
        if self.config_index <= self.commit_index {
            self.committed_config = self.config.clone();
        }
    }

    pub(super) fn set_hard_state(&mut self, hard: HardState) {
        if hard != self.hard {
            self.hard = hard;
            self.ops.push(LogOp::Hard(hard));
            self.hard_pending = true;
        }
    }
}
