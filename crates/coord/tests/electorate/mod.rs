//! Voters and instances without sockets and disks: messages arrive after one
//! step, writes are durable at once.

use {
    coord::{
        control::{Completion, RenewError, RenewRequest, Token, Voter, first_voter, first_voters},
        ids::{Incarnation, Index, NodeId, Version},
        raft::{Entry, Hard, LogOp, Message, Restored, Role},
        tables::{Command, Member},
        time::{Millis, Time},
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The length of a step.
const STEP: Millis = Millis(10);
/// How often an instance renews its lease.
const RENEW_EVERY: u64 = 200;

/// What is durable.
#[derive(Default, Clone)]
struct Disk {
    hard: Hard,
    entries: Vec<Entry>,
}

struct Node {
    id: NodeId,
    voter: Option<Voter>,
    disk: Disk,
    /// The part of a first voter that has an entry before it starts.
    seq: u64,
}

/// Instances with a disk by number; all mend.
pub struct Electorate {
    now: Time,
    nodes: BTreeMap<u64, Node>,
    wire: Vec<(NodeId, NodeId, Message)>,
    ids: u64,
}

/// The peer address of an instance.
pub fn peer(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7000))
}

impl Electorate {
    /// A system that so many first voters found together.
    pub fn found(count: u64) -> Self {
        let seeds: Vec<SocketAddr> = (1..=count).map(peer).collect();
        let mut electorate =
            Self { now: Time(1), nodes: BTreeMap::new(), wire: Vec::new(), ids: 1000 };
        for number in 1..=count {
            let id = first_voter(&seeds, peer(number));
            electorate.add(number, id);
            let voter = electorate.voter(number).expect("it was just started");
            voter.raft_mut().found(first_voters(&seeds));
        }
        electorate
    }

    /// Starts an instance with an empty disk.
    pub fn join(&mut self, number: u64) {
        self.ids += 1;
        self.add(number, NodeId(self.ids));
    }

    /// The identity of an instance.
    pub fn id(&self, number: u64) -> NodeId {
        self.nodes[&number].id
    }

    /// Ends a process; its disk stays.
    pub fn stop(&mut self, number: u64) {
        self.nodes.get_mut(&number).expect("a known number").voter = None;
    }

    /// Starts a process on its disk.
    pub fn start(&mut self, number: u64) {
        let now = self.now;
        let node = self.nodes.get_mut(&number).expect("a known number");
        let Disk { hard, entries } = node.disk.clone();
        let restored = Restored { hard, snapshot: None, entries };
        let mut voter = Voter::new(node.id, restored, now, number);
        voter.set_voter_repair(true);
        node.voter = Some(voter);
    }

    /// Ends a process with its disk and starts it with an empty one.
    pub fn wipe(&mut self, number: u64) {
        self.stop(number);
        self.run(500);
        self.join(number);
    }

    /// The number of the instance that leads, if one can act.
    pub fn leader(&self) -> Option<u64> {
        let leads = |it: &Node| {
            let raft = it.voter.as_ref().map(Voter::raft);
            raft.is_some_and(|it| it.is_settled() && it.lease().is_some_and(|end| end > self.now))
        };
        self.nodes.iter().find(|(_, it)| leads(it)).map(|(number, _)| *number)
    }

    /// The identities of the voters, as the leader has agreed on them.
    pub fn voters(&self) -> Vec<NodeId> {
        let Some(raft) = self.leading() else {
            return Vec::new();
        };
        let config = raft.agreed_config();
        config.voters.keys().copied().collect()
    }

    /// The peer addresses of the voters in order.
    pub fn voter_peers(&self) -> Vec<SocketAddr> {
        let raft = self.leading().expect("an instance leads");
        let mut peers: Vec<SocketAddr> = raft.agreed_config().voters.values().copied().collect();
        peers.sort();
        peers
    }

    /// Whether every running instance has committed all that the leader has.
    pub fn applied_everywhere(&self) -> bool {
        let Some(last) = self.leading().map(|it| it.commit()) else {
            return false;
        };
        let voters = self.nodes.values().filter_map(|it| it.voter.as_ref());
        voters.into_iter().all(|it| it.raft().commit() == last)
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Millis(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until something holds.
    ///
    /// # Panics
    /// It doesn't hold in time.
    pub fn run_until(&mut self, millis: u64, holds: impl Fn(&Self) -> bool) {
        let end = self.now + Millis(millis);
        while !holds(self) {
            assert!(self.now < end, "not within {millis} ms; voters {:?}", self.voters());
            self.step();
        }
    }

    fn leading(&self) -> Option<&coord::raft::Raft> {
        let number = self.leader()?;
        self.nodes[&number].voter.as_ref().map(Voter::raft)
    }

    fn add(&mut self, number: u64, id: NodeId) {
        let node = Node { id, voter: None, disk: Disk::default(), seq: 0 };
        self.nodes.insert(number, node);
        self.start(number);
    }

    fn voter(&mut self, number: u64) -> Option<&mut Voter> {
        self.nodes.get_mut(&number)?.voter.as_mut()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.wire) {
            let node = self.nodes.values_mut().find(|it| it.id == to);
            if let Some(voter) = node.and_then(|it| it.voter.as_mut()) {
                voter.step(now, from, message);
            }
        }
        let numbers: Vec<u64> = self.nodes.keys().copied().collect();
        for number in numbers {
            if let Some(voter) = self.voter(number) {
                voter.tick(now);
            }
            if now.0 % RENEW_EVERY < STEP.0 {
                self.renew(number);
            }
            self.flush(number);
        }
    }

    /// Renews the lease of an instance with the leader, or has it join.
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
            leaving: false,
        };
        let voter = self.voter(leader).expect("the leader runs");
        voter.renew(now, Token(number), request);
        let refused = voter.take_completions().into_iter().any(|it| {
            matches!(it, Completion::Renewal(_, result) if matches!(*result, Err(RenewError::NotMember)))
        });
        if refused {
            let member = Member {
                id,
                name: format!("n{number}").parse().expect("a name"),
                domain: "d".parse().expect("a name"),
                peer: peer(number),
                incarnation: Incarnation(1),
                disk: true,
            };
            let voter = self.voter(leader).expect("the leader runs");
            voter.propose(now, Token(number), Command::Join(member));
        }
    }

    /// Makes writes durable and puts messages on the wire.
    fn flush(&mut self, number: u64) {
        let now = self.now;
        let node = self.nodes.get_mut(&number).expect("a known number");
        let Some(voter) = &mut node.voter else {
            return;
        };
        let mut sent = voter.raft_mut().take_ready();
        while let Some(batch) = voter.raft_mut().take_batch() {
            batch.ops.iter().for_each(|it| node.disk.write(it));
            voter.synced(now, batch.last);
            sent.extend(batch.after);
            sent.extend(voter.raft_mut().take_ready());
        }
        let follows = voter.raft().role() != Role::Leader;
        if follows {
            voter.take_completions();
        }
        let from = node.id;
        self.wire.extend(sent.into_iter().map(|it| (from, it.to, it.message)));
    }
}

impl Disk {
    fn write(&mut self, op: &LogOp) {
        match op {
            LogOp::Hard(hard) => self.hard = *hard,
            LogOp::Append(entry) => self.entries.push(entry.clone()),
            LogOp::Truncate { from } => self.entries.retain(|it| it.index < *from),
            LogOp::Snapshot(_) => unreachable!("these runs are too short for a snapshot"),
        }
    }
}
