//! Simulated endpoints ("stand-ins") that run in a child process.

use {
    crate::{Binaries, Proc},
    coord::ids::EndpointName,
    standin::{Control, EndpointSpec, Record, run::StandInAddr},
    std::{net::SocketAddr, process::Command, time::Duration},
    ureq::Agent,
};

/// A child process that runs one or more stand-ins.
#[derive(Debug)]
pub struct StandIns {
    pub proc: Proc,
    pub addrs: Vec<StandInAddr>,
    agent: Agent,
}

impl StandIns {
    /// Starts stand-ins that announce themselves to the given endpoint listeners.
    ///
    /// # Panics
    /// If the process doesn't start.
    pub fn start(specs: &[EndpointSpec], announce: &[SocketAddr]) -> Self {
        let spec = serde_json::to_string(specs).expect("specs serialize to JSON");
        let to: Vec<String> = announce.iter().map(ToString::to_string).collect();
        let mut command = Command::new(&Binaries::build().stand_in);
        command.args(["--spec", &spec, "--announce", &to.join(",")]);
        let (proc, line) = Proc::start(&mut command, None);
        let addrs = serde_json::from_str(&line).expect("the stand-ins printed no valid addresses");
        let config = Agent::config_builder().proxy(None);
        let config = config.timeout_global(Some(Duration::from_secs(5)));
        Self { proc, addrs, agent: config.build().new_agent() }
    }

    /// The address of a stand-in.
    ///
    /// # Panics
    /// If no stand-in has this name.
    pub fn addr(&self, name: &EndpointName) -> SocketAddr {
        let found = self.addrs.iter().find(|it| it.name == *name);
        found.expect("no stand-in has this name").addr
    }

    /// Sets the misbehaviour of a stand-in.
    ///
    /// # Panics
    /// If the request fails.
    pub fn control(&self, name: &EndpointName, control: &Control) {
        let url = format!("http://{}/control", self.addr(name));
        let sent = self.agent.post(url).send_json(control);
        assert!(sent.is_ok(), "the control request failed");
    }

    /// The record of a stand-in.
    ///
    /// # Panics
    /// If the request fails.
    pub fn record(&self, name: &EndpointName) -> Record {
        let url = format!("http://{}/record", self.addr(name));
        let mut answer = self.agent.get(url).call().expect("the record request failed");
        answer
            .body_mut()
            .with_config()
            .limit(256 << 20)
            .read_json()
            .expect("the record is not valid JSON")
    }

    /// The records of all stand-ins.
    pub fn records(&self) -> Vec<(EndpointName, Record)> {
        self.addrs.iter().map(|it| (it.name.clone(), self.record(&it.name))).collect()
    }
}
