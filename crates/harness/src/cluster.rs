//! A whole system of daemons, each behind a proxy for its peers.

use {
    crate::{Daemon, DaemonSpec, Fault, Operator, Proxy, TempDir, wait_until},
    std::{net::SocketAddr, time::Duration},
};

/// A wide bound for what should take a second or two.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// How large a system is.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Instances with a data folder that vote.
    pub voters: usize,
    /// Instances without a data folder.
    pub non_voters: usize,
    /// Failure domains; instances are dealt to them in turn.
    pub domains: Vec<String>,
    /// Further flags of each daemon.
    pub args: Vec<String>,
}

/// One instance of a system, running or not.
#[derive(Debug)]
pub struct Instance {
    pub spec: DaemonSpec,
    pub daemon: Option<Daemon>,
    /// Before its peer listener.
    pub proxy: Proxy,
}

/// A running system.
#[derive(Debug)]
pub struct Cluster {
    pub instances: Vec<Instance>,
    pub folder: TempDir,
    spec: ClusterSpec,
}

impl ClusterSpec {
    /// Voters in three failure domains, and other instances beside them.
    pub fn new(voters: usize, non_voters: usize) -> Self {
        let domains = ["north", "east", "south"].map(ToOwned::to_owned).to_vec();
        Self { voters, non_voters, domains, args: Vec::new() }
    }

    /// Starts the system and waits until each instance holds a lease.
    pub fn start(self) -> Cluster {
        let folder = TempDir::new();
        let mut cluster = Cluster { instances: Vec::new(), folder, spec: self.clone() };
        cluster.add(true);
        cluster.daemon(0).operator().bootstrap().expect("the first instance founds a system");
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
    /// Starts one more instance, with or without a data folder.
    pub fn add(&mut self, persistent: bool) -> usize {
        let i = self.instances.len();
        let name = format!("i{i}");
        let proxy = Proxy::start("127.0.0.1:1".parse().expect("an address"));
        let data = self.folder.path().join(&name);
        let spec = DaemonSpec {
            domain: self.spec.domains[i % self.spec.domains.len()].clone(),
            data: persistent.then_some(data),
            join: self.instances.iter().map(|it| it.proxy.addr()).collect(),
            advertise: Some(proxy.addr()),
            log: Some(self.folder.path().join(format!("{name}.log"))),
            args: self.spec.args.clone(),
            addrs: None,
            name,
        };
        self.instances.push(Instance { spec, daemon: None, proxy });
        self.start(i);
        i
    }

    /// Starts an instance that isn't running, on its earlier addresses.
    pub fn start(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        let daemon = instance.spec.clone().start();
        instance.spec.addrs = Some(daemon.addrs);
        instance.proxy.set_target(daemon.addrs.peer);
        instance.daemon = Some(daemon);
        for pid in self.daemons().map(|it| it.proc.id()) {
            self.instances.iter().for_each(|it| it.proxy.track_process(pid));
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, i: usize) {
        self.instances[i].daemon.take().expect("the instance runs").proc.kill();
    }

    /// A running instance.
    pub fn daemon(&self, i: usize) -> &Daemon {
        self.instances[i].daemon.as_ref().expect("the instance runs")
    }

    /// All running instances.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.instances.iter().filter_map(|it| it.daemon.as_ref())
    }

    /// Waits until each running instance holds a lease.
    pub fn wait_ready(&self) {
        for it in self.daemons() {
            it.wait_ready(LONG_TIMEOUT);
        }
    }

    /// Puts a fault on all that goes from an instance to its peers and back.
    pub fn set_fault(&self, i: usize, fault: Fault) {
        let pid = self.daemon(i).proc.id();
        self.instances[i].proxy.set_fault(fault);
        for (j, instance) in self.instances.iter().enumerate() {
            if i != j {
                instance.proxy.set_process_fault(pid, fault);
            }
        }
    }

    /// Ends the faults of an instance.
    pub fn clear_fault(&self, i: usize) {
        self.set_fault(i, Fault::default());
    }

    /// Makes an instance a voter and waits until it is one.
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

    /// Removes a voter by its id and waits until it is none.
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

    /// The ids of the voters by the names of their instances.
    pub fn voter_ids(&self) -> Vec<(String, String)> {
        let status = self.operator().status().expect("the leader answers");
        let voters = status.members.iter().filter(|it| it.vote == "voter");
        voters.map(|it| (it.name.to_string(), it.id.to_string())).collect()
    }

    /// An operator at the first instance that runs.
    pub fn operator(&self) -> Operator {
        self.daemons().next().expect("an instance runs").operator()
    }

    /// The announcement listeners of all instances.
    pub fn announce_addrs(&self) -> Vec<SocketAddr> {
        self.daemons().map(|it| it.addrs.endpoint).collect()
    }

    /// The instance of the leader, waiting for one.
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
        found.expect("a leader was found")
    }
}
