//! Voters without sockets: messages are lost, repeated and reordered, and
//! processes crash between a write and its sync.

use {
    coord::{
        claims::Settlement,
        ids::ClaimKey,
        ids::{Fence, Index, NodeId, Term},
        raft::{Batch, Config, Entry, Hard, LogOp, Message, Raft, Restored, Role, Snapshot},
        tables::{Command, State},
        time::{Millis, Time, WallTime},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// What is durable at one voter.
#[derive(Default, Clone)]
struct Disk {
    hard: Hard,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
}

struct Node {
    raft: Option<Raft>,
    disk: Disk,
    writing: Option<Batch>,
    applied: Index,
}

/// A world of voters with a seeded schedule.
pub struct World {
    nodes: BTreeMap<NodeId, Node>,
    wire: Vec<(NodeId, NodeId, Message)>,
    cut: Vec<(NodeId, NodeId)>,
    pub now: Time,
    pub rng: StdRng,
    /// The first entry seen committed at each position.
    pub committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, NodeId>,
    proposals: u64,
}

/// How rough a run is, in parts of 1000 steps.
#[derive(Clone, Copy)]
pub struct Rough {
    pub lose: u32,
    pub repeat: u32,
    pub crash: u32,
    pub cut: u32,
}

fn addr(id: NodeId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], id.0 as u16))
}

fn config(ids: &[NodeId]) -> Config {
    Config { voters: ids.iter().map(|id| (*id, addr(*id))).collect(), learners: Default::default() }
}

impl World {
    /// A system of so many voters, founded by the first one.
    pub fn new(voters: u64, seed: u64) -> Self {
        let ids: Vec<NodeId> = (1..=voters).map(NodeId).collect();
        let mut world = Self {
            nodes: BTreeMap::new(),
            wire: Vec::new(),
            cut: Vec::new(),
            now: Time(1),
            rng: StdRng::seed_from_u64(seed),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
        };
        for id in &ids {
            let raft = Raft::new(*id, Restored::default(), world.now, seed ^ id.0);
            let node =
                Node { raft: Some(raft), disk: Disk::default(), writing: None, applied: Index(0) };
            world.nodes.insert(*id, node);
        }
        let founder = world.raft(ids[0]);
        founder.found(config(&ids[..1]));
        world
    }

    pub fn raft(&mut self, id: NodeId) -> &mut Raft {
        self.nodes.get_mut(&id).and_then(|it| it.raft.as_mut()).expect("the voter runs")
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    /// The leader of the latest term that is up and settled.
    pub fn leader(&mut self) -> Option<NodeId> {
        let rafts = self.nodes.values().filter_map(|it| it.raft.as_ref());
        rafts.filter(|it| it.is_settled()).max_by_key(|it| it.term()).map(Raft::id)
    }

    /// Runs steps of the given roughness.
    pub fn run(&mut self, steps: u32, rough: Rough) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(1..8));
            self.deliver(rough);
            self.write_disks();
            self.tick();
            self.change_cuts(rough);
            self.crash_some(rough);
            self.restart_some();
            self.check();
        }
    }

    /// Heals the network, restarts everyone and runs until a leader is settled.
    pub fn settle(&mut self) -> NodeId {
        self.cut.clear();
        let smooth = Rough { lose: 0, repeat: 0, crash: 0, cut: 0 };
        for _ in 0..200 {
            let down: Vec<NodeId> = self.down();
            down.into_iter().for_each(|id| self.restart(id));
            self.run(50, smooth);
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader after the network has healed");
    }

    /// Proposes a command with a number of its own at the leader.
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

    /// Makes the next voter in the world one of the voters, as far as possible.
    pub fn grow(&mut self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let ids = self.ids();
        let raft = self.raft(leader);
        let mut next = raft.config().clone();
        let Some(id) = ids.into_iter().find(|id| !next.voters.contains_key(id)) else {
            return true;
        };
        let commit = raft.commit();
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

    /// Replaces the log of a voter up to what it applied by a snapshot.
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

    /// Ends a process; what wasn't synced is lost.
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
        let restored = Restored { hard: disk.hard, snapshot: disk.snapshot, entries: disk.entries };
        node.raft = Some(Raft::new(id, restored, self.now, seed));
        node.applied = start;
    }

    /// Cuts the messages of one voter, in both directions.
    pub fn isolate(&mut self, id: NodeId) {
        for other in self.ids() {
            self.cut.push((id, other));
            self.cut.push((other, id));
        }
    }

    fn down(&self) -> Vec<NodeId> {
        let down = self.nodes.iter().filter(|(_, it)| it.raft.is_none());
        down.map(|(id, _)| *id).collect()
    }

    fn deliver(&mut self, rough: Rough) {
        let mut wire = std::mem::take(&mut self.wire);
        wire.shuffle(&mut self.rng);
        let now = wire.len().min(self.rng.random_range(0..=wire.len() + 2));
        self.wire = wire.split_off(now);
        for (from, to, message) in wire {
            if self.chance(rough.repeat) {
                self.wire.push((from, to, message.clone()));
            }
            if self.chance(rough.lose) || self.cut.contains(&(from, to)) {
                continue;
            }
            let now = self.now;
            if let Some(raft) = self.nodes.get_mut(&to).and_then(|it| it.raft.as_mut()) {
                raft.step(now, from, message);
            }
        }
    }

    /// Starts and ends writes; each may take several steps.
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
                self.wire.extend(batch.after.into_iter().map(|it| (id, it.to, it.message)));
            }
            if node.writing.is_none() {
                node.writing = raft.take_batch();
            }
            self.wire.extend(raft.take_ready().into_iter().map(|it| (id, it.to, it.message)));
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

    fn change_cuts(&mut self, rough: Rough) {
        if self.chance(rough.cut) {
            let ids = self.ids();
            let from = ids[self.rng.random_range(0..ids.len())];
            let to = ids[self.rng.random_range(0..ids.len())];
            self.cut.push((from, to));
        }
        if self.chance(rough.cut) && !self.cut.is_empty() {
            let at = self.rng.random_range(0..self.cut.len());
            self.cut.swap_remove(at);
        }
    }

    fn crash_some(&mut self, rough: Rough) {
        if self.chance(rough.crash) {
            let ids = self.ids();
            let at = self.rng.random_range(0..ids.len());
            self.crash(ids[at]);
        }
    }

    fn restart_some(&mut self) {
        for id in self.down() {
            if self.chance(20) {
                self.restart(id);
            }
        }
    }

    fn chance(&mut self, parts: u32) -> bool {
        self.rng.random_range(0..1000) < parts
    }

    /// No leader holds a lease once another has been elected after it.
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

    /// One leader a term, and one entry a committed position.
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
