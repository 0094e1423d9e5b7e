//! Daemons that run as child processes.

use {
    crate::{Binaries, Caller, Operator, Proc, wait_until},
    serde::Deserialize,
    std::{
        net::SocketAddr,
        path::PathBuf,
        process::{Command, Stdio},
        time::Duration,
    },
};

const ANY_PORT: &str = "127.0.0.1:0";

/// The options that a daemon is started with.
#[derive(Debug, Clone, Default)]
pub struct DaemonSpec {
    pub name: String,
    pub domain: String,
    /// The data folder.
    pub data: Option<PathBuf>,
    /// Peer addresses of instances to join.
    pub join: Vec<SocketAddr>,
    /// The peer address to advertise, such as that of a proxy.
    pub advertise: Option<SocketAddr>,
    /// The file that standard error is appended to.
    pub log: Option<PathBuf>,
    /// Additional command-line flags.
    pub args: Vec<String>,
    /// The program to run; that of this build if `None`.
    pub program: Option<PathBuf>,
    /// Addresses to listen on, those of a previous run; free ports if `None`.
    pub addrs: Option<Addrs>,
}

/// The listen addresses that a daemon prints when it starts.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Addrs {
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub endpoint: SocketAddr,
    pub peer: SocketAddr,
    /// Only of a daemon that runs a relay.
    pub relay: Option<SocketAddr>,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    pub spec: DaemonSpec,
    pub addrs: Addrs,
    pub proc: Proc,
}

impl DaemonSpec {
    /// The command line that starts the daemon.
    pub fn command(&self) -> Command {
        let program = self.program.as_ref().unwrap_or_else(|| &Binaries::build().daemon);
        let mut command = Command::new(program);
        command.args(["--name", &self.name, "--domain", &self.domain]);
        command.args(["--stop-notice", "300", "--log-level", "debug"]);
        let addrs = self.addrs;
        let listen =
            |addr: Option<SocketAddr>| addr.map_or(ANY_PORT.to_owned(), |it| it.to_string());
        command.args(["--caller-listen", &listen(addrs.map(|it| it.caller))]);
        command.args(["--operator-listen", &listen(addrs.map(|it| it.operator))]);
        command.args(["--endpoint-listen", &listen(addrs.map(|it| it.endpoint))]);
        command.args(["--peer-listen", &listen(addrs.map(|it| it.peer))]);
        if let Some(it) = &self.data {
            command.arg("--data").arg(it);
        }
        if !self.join.is_empty() {
            let join: Vec<String> = self.join.iter().map(ToString::to_string).collect();
            command.args(["--join", &join.join(",")]);
        }
        if let Some(it) = self.advertise {
            command.args(["--peer-advertise", &it.to_string()]);
        }
        // Logs that are kept have the fields of each event.
        let stated = self.args.iter().any(|it| it == "--log-format");
        if std::env::var_os("MANGOBEND_KEEP").is_some() && !stated {
            command.args(["--log-format", "json"]);
        }
        command.args(&self.args).stdin(Stdio::null());
        if let Some(it) = addrs.and_then(|it| it.relay) {
            command.args(["--relay-listen", &it.to_string()]);
        }
        command
    }

    /// Starts the daemon and waits until it prints its addresses.
    ///
    /// # Panics
    /// If it doesn't start.
    pub fn start(self) -> Daemon {
        let (proc, line) = Proc::start(&mut self.command(), self.log.as_deref());
        let addrs = serde_json::from_str(&line).expect("the daemon printed no valid addresses");
        Daemon { spec: self, addrs, proc }
    }
}

impl Daemon {
    /// Kills the daemon and starts it again with the same addresses and data.
    pub fn restart(self) -> Self {
        let spec = self.kill();
        spec.start()
    }

    /// Kills the daemon and returns a spec that starts it on the same addresses.
    pub fn kill(self) -> DaemonSpec {
        let spec = DaemonSpec { addrs: Some(self.addrs), ..self.spec };
        self.proc.kill();
        spec
    }

    /// A client of the caller API.
    pub fn caller(&self) -> Caller {
        Caller::new(self.addrs.caller)
    }

    /// A client of the operator API.
    pub fn operator(&self) -> Operator {
        Operator::new(self.addrs.operator)
    }

    /// Waits until the daemon holds a lease and returns how long that took.
    pub fn wait_ready(&self, timeout: Duration) -> Duration {
        let caller = self.caller();
        wait_until(&format!("{} is ready", self.spec.name), timeout, || caller.is_ready())
    }
}
