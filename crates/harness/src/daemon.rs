//! Daemons as child processes.

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

/// How a daemon is started.
#[derive(Debug, Clone, Default)]
pub struct DaemonSpec {
    pub name: String,
    pub domain: String,
    pub data: Option<PathBuf>,
    pub join: Vec<SocketAddr>,
    /// Where others are told to reach it, such as a proxy.
    pub advertise: Option<SocketAddr>,
    pub log: Option<PathBuf>,
    /// Further flags.
    pub args: Vec<String>,
    /// The addresses of an earlier start, to come back on.
    pub addrs: Option<Addrs>,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Addrs {
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub endpoint: SocketAddr,
    pub peer: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    pub spec: DaemonSpec,
    pub addrs: Addrs,
    pub proc: Proc,
}

impl DaemonSpec {
    /// The command that starts the daemon.
    pub fn command(&self) -> Command {
        let mut command = Command::new(&Binaries::build().daemon);
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
        command.args(&self.args).stdin(Stdio::null());
        command
    }

    /// Starts the daemon.
    ///
    /// # Panics
    /// If it doesn't start.
    pub fn start(self) -> Daemon {
        let (proc, line) = Proc::start(&mut self.command(), self.log.as_deref());
        let addrs = serde_json::from_str(&line).expect("the daemon prints its addresses");
        Daemon { spec: self, addrs, proc }
    }
}

impl Daemon {
    /// Starts the daemon again on the same addresses and data.
    pub fn restart(self) -> Self {
        let spec = self.kill();
        spec.start()
    }

    /// Kills the daemon; the returned spec starts it on the same addresses.
    pub fn kill(self) -> DaemonSpec {
        let spec = DaemonSpec { addrs: Some(self.addrs), ..self.spec };
        self.proc.kill();
        spec
    }

    /// A caller of this daemon.
    pub fn caller(&self) -> Caller {
        Caller::new(self.addrs.caller)
    }

    /// An operator at this daemon.
    pub fn operator(&self) -> Operator {
        Operator::new(self.addrs.operator)
    }

    /// Waits until the daemon holds a lease.
    pub fn wait_ready(&self, timeout: Duration) -> Duration {
        let caller = self.caller();
        wait_until(&format!("{} is ready", self.spec.name), timeout, || caller.is_ready())
    }
}
