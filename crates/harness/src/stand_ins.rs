//! Stand-ins of endpoints as child processes.

use {
    crate::{Binaries, Proc},
    coord::ids::EndpointName,
    standin::{Control, EndpointSpec, Record, run::StandInAddr},
    std::{net::SocketAddr, process::Command, time::Duration},
    ureq::Agent,
};

/// A process with one or several stand-ins.
#[derive(Debug)]
pub struct StandIns {
    pub proc: Proc,
    pub addrs: Vec<StandInAddr>,
    agent: Agent,
}

impl StandIns {
    /// Starts stand-ins that announce themselves to the given listeners.
    ///
    /// # Panics
    /// If they don't start.
    pub fn start(specs: &[EndpointSpec], announce: &[SocketAddr]) -> Self {
        let spec = serde_json::to_string(specs).expect("specs can be written as JSON");
        let to: Vec<String> = announce.iter().map(ToString::to_string).collect();
        let mut command = Command::new(&Binaries::build().stand_in);
        command.args(["--spec", &spec, "--announce", &to.join(",")]);
        let (proc, line) = Proc::start(&mut command, None);
        let addrs = serde_json::from_str(&line).expect("the stand-ins print their addresses");
        let config = Agent::config_builder().proxy(None);
        let config = config.timeout_global(Some(Duration::from_secs(5)));
        Self { proc, addrs, agent: config.build().new_agent() }
    }

    /// The address of one stand-in.
    ///
    /// # Panics
    /// If there is none of that name.
    pub fn addr(&self, name: &EndpointName) -> SocketAddr {
        let found = self.addrs.iter().find(|it| it.name == *name);
        found.expect("the stand-in exists").addr
    }

    /// Gives one stand-in its orders.
    ///
    /// # Panics
    /// If it doesn't take them.
    pub fn control(&self, name: &EndpointName, control: &Control) {
        let url = format!("http://{}/control", self.addr(name));
        let sent = self.agent.post(url).send_json(control);
        assert!(sent.is_ok(), "the stand-in takes orders");
    }

    /// The record of one stand-in.
    ///
    /// # Panics
    /// If it doesn't answer.
    pub fn record(&self, name: &EndpointName) -> Record {
        let url = format!("http://{}/record", self.addr(name));
        let mut answer = self.agent.get(url).call().expect("the stand-in shows its record");
        answer.body_mut().with_config().limit(256 << 20).read_json().expect("a record is JSON")
    }

    /// The records of all stand-ins.
    pub fn records(&self) -> Vec<(EndpointName, Record)> {
        self.addrs.iter().map(|it| (it.name.clone(), self.record(&it.name))).collect()
    }
}
