//! Simulated Raft cluster: messages are lost, duplicated and reordered, and
//! processes crash between a write and its sync.

use {
    coord::{
        claims::Settlement,
        ids::ClaimKey,
        ids::{Fence, Index, NodeId, Term},
        raft::{
            Batch, Config, Entry, HardState, LogOp, Message, Raft, RestoredState, Role, Snapshot,
        },
        tables::{Command, State},
        time::{Millis, Time, WallTime},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Durable state of one node.
#[derive(Default, Clone)]
struct Disk {
    hard: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
}

struct Node {
    raft: Option<Raft>,
    disk: Disk,
    /// The batch that isn't durable yet.
    writing: Option<Batch>,
    applied: Index,
}

/// A simulated cluster with a seeded schedule.
pub struct RaftCluster {
    nodes: BTreeMap<NodeId, Node>,
    in_flight: Vec<(NodeId, NodeId, Message)>,
    /// Sender and receiver of links that drop all messages.
    cut_links: Vec<(NodeId, NodeId)>,
    pub now: Time,
    pub rng: StdRng,
    /// The first entry seen committed at each index.
    pub committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, NodeId>,
    proposals: u64,
}

/// Probabilities of faults in thousandths: loss and duplication per message,
/// crashes and partitions per step.
#[derive(Clone, Copy)]
pub struct Faults {
    pub loss: u32,
    pub duplicate: u32,
    pub crash: u32,
    pub partition: u32,
}

fn addr(id: NodeId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], id.0 as u16))
}

fn config(ids: &[NodeId]) -> Config {
    Config { voters: ids.iter().map(|id| (*id, addr(*id))).collect(), learners: Default::default() }
}

impl RaftCluster {
    /// A cluster of `voters` nodes, of which the first one is bootstrapped as the
    /// only voter.
    pub fn new(voters: u64, seed: u64) -> Self {
        let ids: Vec<NodeId> = (1..=voters).map(NodeId).collect();
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            in_flight: Vec::new(),
            cut_links: Vec::new(),
            now: Time(1),
            rng: StdRng::seed_from_u64(seed),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
        };
        for id in &ids {
            let raft = Raft::new(*id, RestoredState::default(), cluster.now, seed ^ id.0);
            let node =
                Node { raft: Some(raft), disk: Disk::default(), writing: None, applied: Index(0) };
            cluster.nodes.insert(*id, node);
        }
        let founder = cluster.raft(ids[0]);
        founder.bootstrap(config(&ids[..1]));
        cluster
    }

    pub fn raft(&mut self, id: NodeId) -> &mut Raft {
        self.nodes.get_mut(&id).and_then(|it| it.raft.as_mut()).expect("the voter runs")
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    /// The running leader with the latest term that has committed an entry of that
    /// term.
    pub fn leader(&mut self) -> Option<NodeId> {
        let rafts = self.nodes.values().filter_map(|it| it.raft.as_ref());
        rafts.filter(|it| it.has_committed_in_term()).max_by_key(|it| it.term()).map(Raft::id)
    }

    /// Runs steps with the given faults.
    pub fn run(&mut self, steps: u32, faults: Faults) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(1..8));
            self.deliver(faults);
            self.write_disks();
            self.tick();
            self.change_partitions(faults);
            self.crash_at_random(faults);
            self.restart_at_random();
            self.check();
        }
    }

    /// Heals the network, restarts crashed nodes and runs until there is a leader
    /// that has committed an entry of its term.
    pub fn recover(&mut self) -> NodeId {
        self.cut_links.clear();
        let no_faults = Faults { loss: 0, duplicate: 0, crash: 0, partition: 0 };
        for _ in 0..200 {
            let down: Vec<NodeId> = self.down();
            down.into_iter().for_each(|id| self.restart(id));
            self.run(50, no_faults);
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader was elected after the network was healed");
    }

    /// Proposes a unique command to the leader.
    pub fn propose(&mut self) -> Option<(Term, Index)> {
        let leader = self.leader()?;
        self.proposals += 1;
        let command = Command::Settle {
            key: ClaimKey::at(WallTime(1)),
            fence: Fence(self.proposals),
            settlement: Settlement::Unknown,
        };
        self.raft(leader).propose(command).ok()
    }

    /// Adds the next node as a learner, or promotes it once it has caught up.
    /// Returns true when all nodes are voters.
    pub fn add_next_voter(&mut self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let ids = self.ids();
        let raft = self.raft(leader);
        let mut next = raft.config().clone();
        let Some(id) = ids.into_iter().find(|id| !next.voters.contains_key(id)) else {
            return true;
        };
        let commit = raft.commit_index();
        if next.learners.contains_key(&id) {
            if raft.followers().get(&id).is_some_and(|it| it.matched >= commit) {
                next.learners.shift_remove(&id);
                next.voters.insert(id, addr(id));
                let _ = raft.propose_config(next);
            }
        } else {
            next.learners.insert(id, addr(id));
            let _ = raft.propose_config(next);
        }
        false
    }

    /// Replaces a node's log up to its applied index by a snapshot.
    pub fn compact(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).expect("the voter exists");
        let Some(raft) = node.raft.as_mut() else {
            return;
        };
        let index = node.applied;
        if let Some((term, config)) = raft.snapshot_base(index).filter(|_| index > Index(0)) {
            raft.compact(Snapshot { index, term, config, state: State::default() });
        }
    }

    /// Crashes a node; its unsynced writes are lost.
    pub fn crash(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).expect("the voter exists");
        node.raft = None;
        node.writing = None;
    }

    pub fn restart(&mut self, id: NodeId) {
        let seed = self.rng.random();
        let node = self.nodes.get_mut(&id).expect("the voter exists");
        let disk = node.disk.clone();
        let start = disk.snapshot.as_ref().map_or(Index(0), |it| it.index);
        let restored =
            RestoredState { hard: disk.hard, snapshot: disk.snapshot, entries: disk.entries };
        node.raft = Some(Raft::new(id, restored, self.now, seed));
        node.applied = start;
    }

    /// Cuts all links of a node, in both directions.
    pub fn isolate(&mut self, id: NodeId) {
        for other in self.ids() {
            self.cut_links.push((id, other));
            self.cut_links.push((other, id));
        }
    }

    fn down(&self) -> Vec<NodeId> {
        let down = self.nodes.iter().filter(|(_, it)| it.raft.is_none());
        down.map(|(id, _)| *id).collect()
    }

    fn deliver(&mut self, faults: Faults) {
        let mut due = std::mem::take(&mut self.in_flight);
        due.shuffle(&mut self.rng);
        let count = due.len().min(self.rng.random_range(0..=due.len() + 2));
        self.in_flight = due.split_off(count);
        for (from, to, message) in due {
            if self.chance(faults.duplicate) {
                self.in_flight.push((from, to, message.clone()));
            }
            if self.chance(faults.loss) || self.cut_links.contains(&(from, to)) {
                continue;
            }
            let now = self.now;
            if let Some(raft) = self.nodes.get_mut(&to).and_then(|it| it.raft.as_mut()) {
                raft.step(now, from, message);
            }
        }
    }

    /// Starts and completes writes; each may take several steps.
    fn write_disks(&mut self) {
        for id in self.ids() {
            let ends = self.rng.random_bool(0.2);
            let node = self.nodes.get_mut(&id).expect("the voter exists");
            let Some(raft) = node.raft.as_mut() else {
                continue;
            };
            if ends && let Some(batch) = node.writing.take() {
                batch.ops.iter().for_each(|op| node.disk.write(op));
                raft.synced(batch.last);
                self.in_flight
                    .extend(batch.after_sync.into_iter().map(|it| (id, it.to, it.message)));
            }
            if node.writing.is_none() {
                node.writing = raft.take_batch();
            }
            self.in_flight.extend(raft.take_ready().into_iter().map(|it| (id, it.to, it.message)));
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            if let Some(raft) = node.raft.as_mut() {
                raft.tick(now);
            }
        }
    }

    fn change_partitions(&mut self, faults: Faults) {
        if self.chance(faults.partition) {
            let ids = self.ids();
            let from = ids[self.rng.random_range(0..ids.len())];
            let to = ids[self.rng.random_range(0..ids.len())];
            self.cut_links.push((from, to));
        }
        if self.chance(faults.partition) && !self.cut_links.is_empty() {
            let at = self.rng.random_range(0..self.cut_links.len());
            self.cut_links.swap_remove(at);
        }
    }

    fn crash_at_random(&mut self, faults: Faults) {
        if self.chance(faults.crash) {
            let ids = self.ids();
            let at = self.rng.random_range(0..ids.len());
            self.crash(ids[at]);
        }
    }

    fn restart_at_random(&mut self) {
        for id in self.down() {
            if self.chance(20) {
                self.restart(id);
            }
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    /// Checks that no leader holds a lease once a later one has been elected.
    fn check_leases(&self) {
        let rafts: Vec<&Raft> = self.nodes.values().filter_map(|it| it.raft.as_ref()).collect();
        let latest = rafts.iter().filter(|it| it.role() == Role::Leader).map(|it| it.term()).max();
        for raft in rafts {
            let leased = raft.lease().is_some_and(|it| it > self.now);
            assert!(
                !leased || Some(raft.term()) == latest,
                "{} holds a lease of term {} while a later leader was elected",
                raft.id(),
                raft.term()
            );
        }
    }

    /// Checks that each term has one leader and each committed index one entry.
    fn check(&mut self) {
        self.check_leases();
        for (id, node) in &mut self.nodes {
            let Some(raft) = node.raft.as_mut() else {
                continue;
            };
            if raft.role() == Role::Leader {
                let first = self.leaders.entry(raft.term()).or_insert(*id);
                assert_eq!(first, id, "two leaders in term {}", raft.term());
            }
            if let Some(snapshot) = raft.take_installed() {
                node.applied = snapshot.index;
            }
            for entry in raft.take_committed() {
                node.applied = entry.index;
                let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
                assert_eq!(*first, entry, "two entries were committed at {}", entry.index);
            }
        }
    }
}

impl Disk {
    fn write(&mut self, op: &LogOp) {
        match op {
            LogOp::Hard(hard) => self.hard = *hard,
            LogOp::Append(entry) => self.entries.push(entry.clone()),
            LogOp::Truncate { from } => self.entries.retain(|it| it.index < *from),
            LogOp::Snapshot(snapshot) => {
                self.entries.retain(|it| it.index > snapshot.index);
                self.snapshot = Some(snapshot.clone());
            }
        }
    }
}
