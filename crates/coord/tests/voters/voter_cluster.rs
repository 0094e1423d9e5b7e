//! Simulated cluster of instances and their voters: messages arrive after one
//! step, writes are durable at once.

use {
    coord::{
        control::{
            Completion, ProposalError, RenewError, RenewRequest, Token, Voter, first_voter,
            first_voters,
        },
        ids::{CatalogVersion, Incarnation, Index, NodeId, PoolName, Version},
        raft::{Entry, HardState, LogOp, Message, RestoredState},
        tables::{Command, Member, RolloutStanding},
        time::{Millis, Time},
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Simulated time per step.
const STEP: Millis = Millis(10);
/// Interval at which an instance renews its lease.
const RENEW_INTERVAL_MS: u64 = 200;

/// Durable state of an instance.
#[derive(Default, Clone)]
struct Disk {
    hard: HardState,
    entries: Vec<Entry>,
}

struct Node {
    id: NodeId,
    voter: Option<Voter>,
    disk: Disk,
    /// The sequence number of the latest renewal.
    seq: u64,
    /// Whether the process and its clock stand still, and how far the clock is behind.
    paused: bool,
    lag: Millis,
    /// The results of reads, in order.
    reads: Vec<Result<(), ProposalError>>,
}

impl Node {
    fn time(&self, now: Time) -> Time {
        Time(now.0 - self.lag.0)
    }

    /// Keeps the results of reads, and returns the other completions.
    fn take_completions(&mut self) -> Vec<Completion> {
        let all = self.voter.as_mut().map(Voter::take_completions).unwrap_or_default();
        let (reads, others): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|it| matches!(it, Completion::Read(..)));
        self.reads.extend(reads.into_iter().filter_map(|it| match it {
            Completion::Read(_, result) => Some(result),
            _ => None,
        }));
        others
    }
}

/// Simulated instances by number. All have a disk and repair the set of voters
/// while they lead.
pub struct VoterCluster {
    now: Time,
    nodes: BTreeMap<u64, Node>,
    in_flight: Vec<(NodeId, NodeId, Message)>,
    last_id: u64,
}

/// The peer address of an instance.
pub fn peer(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7000))
}

impl VoterCluster {
    /// A new cluster of `count` initial voters.
    pub fn bootstrap(count: u64) -> Self {
        let seeds: Vec<SocketAddr> = (1..=count).map(peer).collect();
        let mut cluster =
            Self { now: Time(1), nodes: BTreeMap::new(), in_flight: Vec::new(), last_id: 1000 };
        for number in 1..=count {
            let id = first_voter(&seeds, peer(number));
            cluster.add(number, id);
            let voter = cluster.voter(number).expect("it was just started");
            voter.raft_mut().bootstrap(first_voters(&seeds));
        }
        cluster
    }

    /// Starts a new instance with an empty disk.
    pub fn join(&mut self, number: u64) {
        self.last_id += 1;
        self.add(number, NodeId(self.last_id));
    }

    /// The node ID of an instance.
    pub fn id(&self, number: u64) -> NodeId {
        self.nodes[&number].id
    }

    /// Stops an instance and keeps its disk.
    pub fn stop(&mut self, number: u64) {
        self.nodes.get_mut(&number).expect("a known number").voter = None;
    }

    /// Starts a stopped instance from its disk.
    pub fn start(&mut self, number: u64) {
        let now = self.now;
        let node = self.nodes.get_mut(&number).expect("a known number");
        let Disk { hard, entries } = node.disk.clone();
        let restored = RestoredState { hard, snapshot: None, entries };
        let mut voter = Voter::new(node.id, restored, now, number);
        voter.set_voter_repair(true);
        node.voter = Some(voter);
    }

    /// Makes a process and its clock stand still. Messages to it are lost.
    pub fn pause(&mut self, number: u64) {
        self.nodes.get_mut(&number).expect("a known number").paused = true;
    }

    /// Lets a process go on, with its clock behind.
    pub fn resume(&mut self, number: u64) {
        self.nodes.get_mut(&number).expect("a known number").paused = false;
    }

    /// Whether an instance leads, and has a lease by its own clock.
    pub fn trusts_lease(&self, number: u64) -> bool {
        let node = &self.nodes[&number];
        let raft = node.voter.as_ref().expect("it runs").raft();
        raft.has_committed_in_term() && raft.lease().is_some_and(|it| it > node.time(self.now))
    }

    /// Proposes a command at the leader.
    pub fn propose(&mut self, command: Command) {
        let now = self.now;
        let number = self.leader().expect("an instance leads");
        self.voter(number).expect("it runs").propose(now, Token(number), command);
    }

    /// The version of the catalog that an instance has applied.
    pub fn catalog(&self, number: u64) -> CatalogVersion {
        self.nodes[&number].voter.as_ref().expect("it runs").state().tables.catalog.version
    }

    /// What an instance knows of a pool's rollouts.
    pub fn standing(&mut self, number: u64, pool: &PoolName) -> RolloutStanding {
        let now = self.nodes[&number].time(self.now);
        self.voter(number).expect("it runs").rollout_standing(now, pool)
    }

    /// Reads the state of an instance.
    pub fn read(&mut self, number: u64) {
        let now = self.nodes[&number].time(self.now);
        self.voter(number).expect("it runs").read(now, Token(number));
    }

    /// The results of the reads of an instance, in order.
    pub fn reads(&self, number: u64) -> &[Result<(), ProposalError>] {
        &self.nodes[&number].reads
    }

    /// Replaces a running instance by a new one with an empty disk, 500 ms later.
    pub fn wipe(&mut self, number: u64) {
        self.wipe_all(&[number]);
    }

    /// Replaces running instances by new ones with empty disks, 500 ms later.
    pub fn wipe_all(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|it| self.stop(*it));
        self.run(500);
        numbers.iter().for_each(|it| self.join(*it));
    }

    /// The number of the instance that leads with a valid lease, if there is one.
    pub fn leader(&self) -> Option<u64> {
        let leads = |number: &u64| {
            let node = &self.nodes[number];
            node.voter.is_some() && !node.paused && self.trusts_lease(*number)
        };
        self.nodes.keys().copied().find(leads)
    }

    /// The voters of the configuration that the leader has committed; empty
    /// without a leader.
    pub fn voters(&self) -> Vec<NodeId> {
        let Some(raft) = self.leader_raft() else {
            return Vec::new();
        };
        let config = raft.committed_config();
        config.voters.keys().copied().collect()
    }

    /// The learners of the leader's configuration; empty without a leader.
    pub fn learners(&self) -> Vec<NodeId> {
        let config = self.leader_raft().map(|it| it.config());
        config.map(|it| it.learners.keys().copied().collect()).unwrap_or_default()
    }

    /// The sorted peer addresses of the voters.
    pub fn voter_peers(&self) -> Vec<SocketAddr> {
        let raft = self.leader_raft().expect("an instance leads");
        let mut peers: Vec<SocketAddr> = raft.committed_config().voters.values().copied().collect();
        peers.sort();
        peers
    }

    /// Whether every running instance has the leader's commit index.
    pub fn all_caught_up(&self) -> bool {
        let Some(last) = self.leader_raft().map(|it| it.commit_index()) else {
            return false;
        };
        let voters = self.nodes.values().filter_map(|it| it.voter.as_ref());
        voters.into_iter().all(|it| it.raft().commit_index() == last)
    }

    /// Runs for `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Millis(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `holds` returns true.
    ///
    /// # Panics
    /// If it doesn't within `millis` milliseconds.
    pub fn run_until(&mut self, millis: u64, holds: impl Fn(&Self) -> bool) {
        let end = self.now + Millis(millis);
        while !holds(self) {
            assert!(self.now < end, "not within {millis} ms; voters {:?}", self.voters());
            self.step();
        }
    }

    fn leader_raft(&self) -> Option<&coord::raft::Raft> {
        let number = self.leader()?;
        self.nodes[&number].voter.as_ref().map(Voter::raft)
    }

    fn add(&mut self, number: u64, id: NodeId) {
        let node = Node {
            id,
            voter: None,
            disk: Disk::default(),
            seq: 0,
            paused: false,
            lag: Millis(0),
            reads: Vec::new(),
        };
        self.nodes.insert(number, node);
        self.start(number);
    }

    fn voter(&mut self, number: u64) -> Option<&mut Voter> {
        self.nodes.get_mut(&number)?.voter.as_mut()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            let node = self.nodes.values_mut().find(|it| it.id == to);
            if let Some(node) = node.filter(|it| !it.paused) {
                let now = node.time(now);
                node.voter.iter_mut().for_each(|it| it.step(now, from, message.clone()));
            }
        }
        let numbers: Vec<u64> = self.nodes.keys().copied().collect();
        for number in numbers {
            let node = self.nodes.get_mut(&number).expect("a known number");
            if node.paused {
                node.lag = Millis(node.lag.0 + STEP.0);
                continue;
            }
            let local = node.time(now);
            if let Some(voter) = &mut node.voter {
                voter.tick(local);
            }
            if now.0 % RENEW_INTERVAL_MS < STEP.0 {
                self.renew(number);
            }
            self.flush(number);
        }
    }

    /// Renews the lease of an instance at the leader, or joins it if it isn't a
    /// member.
    fn renew(&mut self, number: u64) {
        let (now, Some(leader)) = (self.now, self.leader()) else {
            return;
        };
        let node = self.nodes.get_mut(&number).expect("a known number");
        if node.voter.is_none() {
            return;
        }
        node.seq += 1;
        let (id, seq) = (node.id, node.seq);
        let request = RenewRequest {
            node: id,
            incarnation: Incarnation(1),
            seq,
            applied: Index(0),
            version: Version(0),
            grants_number: 0,
            excess: Vec::new(),
            holdings: None,
            reports: Vec::new(),
            faults: Vec::new(),
            healthy: Vec::new(),
            demand: Vec::new(),
            teams: Vec::new(),
            crashes: Vec::new(),
            answered: Vec::new(),
            answered_pools: Vec::new(),
            limits: None,
            load: None,
            packed: true,
            packed_tables: true,
            cut: false,
            reads_rollouts: false,
            rollouts: Vec::new(),
            voters: None,
            leaving: false,
        };
        let at = self.nodes.get_mut(&leader).expect("the leader runs");
        let now = at.time(now);
        at.voter.as_mut().expect("the leader runs").renew(now, Token(number), request);
        let refused = at.take_completions().into_iter().any(|it| {
            matches!(it, Completion::Renewal(_, result) if matches!(*result, Err(RenewError::NotMember)))
        });
        if refused {
            let member = Member {
                id,
                name: format!("n{number}").parse().expect("a name"),
                domain: "d".parse().expect("a name"),
                peer: peer(number),
                relay: None,
                incarnation: Incarnation(1),
                disk: true,
            };
            let voter = self.voter(leader).expect("the leader runs");
            voter.propose(now, Token(number), Command::Join(member));
        }
    }

    /// Makes writes durable and sends the messages.
    fn flush(&mut self, number: u64) {
        let now = self.now;
        let node = self.nodes.get_mut(&number).expect("a known number");
        let local = node.time(now);
        let Some(voter) = &mut node.voter else {
            return;
        };
        let mut sent = voter.raft_mut().take_ready();
        while let Some(batch) = voter.raft_mut().take_batch() {
            batch.ops.iter().for_each(|it| node.disk.write(it));
            voter.synced(local, batch.last);
            sent.extend(batch.after_sync);
            sent.extend(voter.raft_mut().take_ready());
        }
        node.take_completions();
        let from = node.id;
        self.in_flight.extend(sent.into_iter().map(|it| (from, it.to, it.message)));
    }
}

impl Disk {
    fn write(&mut self, op: &LogOp) {
        match op {
            LogOp::Hard(hard) => self.hard = *hard,
            LogOp::Append(entry) => self.entries.push(entry.clone()),
            LogOp::Truncate { from } => self.entries.retain(|it| it.index < *from),
            LogOp::Snapshot(_) => unreachable!("the simulated runs are too short for a snapshot"),
        }
    }
}
