//! A cluster of daemons. A proxy sits in front of each daemon's peer listener.

use {
    crate::{Daemon, DaemonSpec, Fault, Operator, Proxy, TempDir, wait_until},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// A generous time-out for operations that normally take a second or two.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(30);

const SIGTERM: i32 = 15;

/// The size and layout of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Voting instances, each with a data folder.
    pub voters: usize,
    /// Instances without a data folder.
    pub non_voters: usize,
    /// Failure domains, assigned to the instances round-robin.
    pub domains: Vec<String>,
    /// Additional command-line flags for each daemon.
    pub args: Vec<String>,
    /// The program to run; that of this build if `None`.
    pub program: Option<PathBuf>,
}

/// One instance of a cluster, running or stopped.
#[derive(Debug)]
pub struct Instance {
    pub spec: DaemonSpec,
    pub daemon: Option<Daemon>,
    /// Forwards to the peer listener; other instances connect through it.
    pub proxy: Proxy,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    pub instances: Vec<Instance>,
    pub folder: TempDir,
    spec: ClusterSpec,
    /// Those of instances taken away for good, whose addresses stay silent.
    gone: Vec<Proxy>,
}

impl ClusterSpec {
    /// A cluster of voters and non-voters spread over three failure domains.
    pub fn new(voters: usize, non_voters: usize) -> Self {
        let domains = ["north", "east", "south"].map(ToOwned::to_owned).to_vec();
        Self { voters, non_voters, domains, args: Vec::new(), program: None }
    }

    /// Starts the cluster and waits until each instance holds a lease and each
    /// voter has its vote.
    pub fn start(self) -> Cluster {
        let folder = TempDir::new();
        let mut cluster =
            Cluster { instances: Vec::new(), folder, spec: self.clone(), gone: Vec::new() };
        cluster.add(true);
        cluster.daemon(0).operator().bootstrap().expect("bootstrapping the first instance failed");
        cluster.daemon(0).wait_ready(LONG_TIMEOUT);
        for i in 1..self.voters + self.non_voters {
            cluster.add(i < self.voters);
        }
        cluster.wait_ready();
        for i in 1..self.voters {
            cluster.add_voter(i);
        }
        cluster
    }
}

impl Cluster {
    /// Starts another instance, with a data folder if `persistent`, and returns
    /// its index.
    pub fn add(&mut self, persistent: bool) -> usize {
        let i = self.instances.len();
        let name = format!("i{i}");
        let proxy = Proxy::start("127.0.0.1:1".parse().expect("the address is valid"));
        let data = self.folder.path().join(&name);
        let spec = DaemonSpec {
            domain: self.spec.domains[i % self.spec.domains.len()].clone(),
            data: persistent.then_some(data),
            join: self.instances.iter().map(|it| it.proxy.addr()).collect(),
            advertise: Some(proxy.addr()),
            log: Some(self.folder.path().join(format!("{name}.log"))),
            args: self.spec.args.clone(),
            program: self.spec.program.clone(),
            addrs: None,
            name,
        };
        self.instances.push(Instance { spec, daemon: None, proxy });
        self.start(i);
        i
    }

    /// Starts a stopped instance on its previous addresses. Those to join are the current
    /// ones, as in settings that are written anew at each start.
    pub fn start(&mut self, i: usize) {
        if !self.instances[i].spec.join.is_empty() {
            self.instances[i].spec.join = self.other_addrs(i);
        }
        let instance = &mut self.instances[i];
        let daemon = instance.spec.clone().start();
        instance.spec.addrs = Some(daemon.addrs);
        instance.proxy.set_target(daemon.addrs.peer);
        instance.daemon = Some(daemon);
        for pid in self.daemons().map(|it| it.proc.id()) {
            self.instances.iter().for_each(|it| it.proxy.track_process(pid));
        }
    }

    /// Stops an instance with SIGTERM and starts it with another program, on the same
    /// addresses and data; that of this build if `None`.
    ///
    /// # Panics
    /// If it doesn't exit with success.
    pub fn replace(&mut self, i: usize, program: Option<PathBuf>) {
        let mut daemon = self.instances[i].daemon.take().expect("the instance isn't running");
        daemon.proc.signal(SIGTERM);
        let status = daemon.proc.wait(LONG_TIMEOUT);
        assert!(status.is_some_and(|it| it.success()), "instance {i} ended with {status:?}");
        self.instances[i].spec.program = program;
        self.start(i);
        self.daemon(i).wait_ready(LONG_TIMEOUT);
    }

    /// Kills a running instance.
    ///
    /// # Panics
    /// If the instance isn't running.
    pub fn kill(&mut self, i: usize) {
        self.instances[i].daemon.take().expect("the instance isn't running").proc.kill();
    }

    /// Takes a running instance away for good: its process is killed, and its peer address
    /// doesn't answer any more.
    ///
    /// # Panics
    /// If the instance isn't running.
    pub fn remove(&mut self, i: usize) {
        self.instances[i].proxy.silence();
        self.kill(i);
    }

    /// Starts an instance without data, with a name and a peer address of its own, in place
    /// of one that was removed. Callers, operators and endpoints reach it where they reached
    /// that one.
    pub fn start_successor(&mut self, i: usize) {
        let proxy = Proxy::start("127.0.0.1:1".parse().expect("the address is valid"));
        let name = format!("i{i}-{}", self.gone.len());
        let join = self.other_addrs(i);
        let instance = &mut self.instances[i];
        let spec = &mut instance.spec;
        spec.data = spec.data.is_some().then(|| self.folder.path().join(&name));
        spec.log = Some(self.folder.path().join(format!("{name}.log")));
        spec.join = join;
        spec.advertise = Some(proxy.addr());
        if let Some(addrs) = &mut spec.addrs {
            addrs.peer.set_port(0);
        }
        spec.name = name;
        self.gone.push(std::mem::replace(&mut instance.proxy, proxy));
        self.start(i);
    }

    /// The peer addresses of the other instances.
    pub fn other_addrs(&self, i: usize) -> Vec<SocketAddr> {
        let others = self.instances.iter().enumerate().filter(|(j, _)| *j != i);
        others.map(|(_, it)| it.proxy.addr()).collect()
    }

    /// Waits until the set of voters is mended.
    pub fn wait_mended(&self) {
        wait_until("the set of voters is mended", LONG_TIMEOUT, || self.is_mended());
    }

    /// Whether as many instances vote as the cluster began with, all of them running and
    /// with a lease.
    pub fn is_mended(&self) -> bool {
        self.operator().status().is_ok_and(|status| {
            let voters = status.members.iter().filter(|it| it.vote != "none");
            let runs = |name: &str| self.daemons().any(|it| it.spec.name == name);
            let sound = voters.clone().filter(|it| it.vote == "voter" && it.lease);
            voters.count() == self.spec.voters
                && sound.filter(|it| runs(it.name.as_str())).count() == self.spec.voters
        })
    }

    /// The daemon of a running instance.
    ///
    /// # Panics
    /// If the instance isn't running.
    pub fn daemon(&self, i: usize) -> &Daemon {
        self.instances[i].daemon.as_ref().expect("the instance isn't running")
    }

    /// The daemons of all running instances.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.instances.iter().filter_map(|it| it.daemon.as_ref())
    }

    /// Waits until each running instance holds a lease.
    pub fn wait_ready(&self) {
        for it in self.daemons() {
            it.wait_ready(LONG_TIMEOUT);
        }
    }

    /// Sets the fault of all traffic between an instance and its peers, in both
    /// directions.
    pub fn set_fault(&self, i: usize, fault: Fault) {
        let pid = self.daemon(i).proc.id();
        self.instances[i].proxy.set_fault(fault);
        for (j, instance) in self.instances.iter().enumerate() {
            if i != j {
                instance.proxy.set_process_fault(pid, fault);
            }
        }
    }

    /// Removes the fault of an instance's peer traffic.
    pub fn clear_fault(&self, i: usize) {
        self.set_fault(i, Fault::default());
    }

    /// Makes an instance a voter and waits until the status shows it as a voter
    /// with a lease.
    pub fn add_voter(&self, i: usize) {
        let name = self.instances[i].spec.name.clone();
        let operator = self.operator();
        wait_until("a voter is added", LONG_TIMEOUT, || {
            let body = serde_json::json!({ "instance": name, "add": true });
            let _ = operator.post::<String>("/v1/voters", &body);
            operator.status().is_ok_and(|it| {
                let named = |m: &&coord::control::MemberStatus| m.name.as_str() == name;
                it.members.iter().filter(named).any(|m| m.vote == "voter" && m.lease)
            })
        });
    }

    /// Removes the voter with this node id and waits until it no longer votes.
    pub fn remove_voter(&self, id: &str) {
        let operator = self.operator();
        wait_until("a voter is removed", LONG_TIMEOUT, || {
            let body = serde_json::json!({ "instance": id, "add": false });
            let _ = operator.post::<String>("/v1/voters", &body);
            operator.status().is_ok_and(|it| {
                let member = it.members.iter().find(|m| m.id.to_string() == id);
                member.is_none_or(|m| m.vote == "none")
            })
        });
    }

    /// The instance names and node ids of the voters.
    pub fn voter_ids(&self) -> Vec<(String, String)> {
        let status = self.operator().status().expect("the status request failed");
        let voters = status.members.iter().filter(|it| it.vote == "voter");
        voters.map(|it| (it.name.to_string(), it.id.to_string())).collect()
    }

    /// An operator client of the first running instance.
    pub fn operator(&self) -> Operator {
        self.daemons().next().expect("no instance is running").operator()
    }

    /// The addresses of all running instances' endpoint listeners.
    pub fn announce_addrs(&self) -> Vec<SocketAddr> {
        self.daemons().map(|it| it.addrs.endpoint).collect()
    }

    /// Waits for a leader and returns the index of its instance.
    pub fn leader(&self) -> usize {
        let mut found = None;
        wait_until("a leader is known", LONG_TIMEOUT, || {
            found = self.daemons().find_map(|it| {
                let status = it.operator().status().ok()?;
                let member = status.members.iter().find(|m| m.id == status.leader)?;
                let name = member.name.as_str();
                self.instances.iter().position(|it| it.spec.name == name && it.daemon.is_some())
            });
            found.is_some()
        });
        found.expect("wait_until returned without a leader")
    }
}
