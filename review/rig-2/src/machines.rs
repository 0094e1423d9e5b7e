//! The machines of a small deployment as processes, and the operator.

use crate::http::{exchange, post_text};
use crate::record::Record;
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

/// The processes that were started, for the end of a case that takes too long.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

fn send_signal(pid: u32, signal: i32) {
    // The ids are those of child processes that were not waited for.
    unsafe { kill(pid as i32, signal) };
}

/// Ends all processes that were started.
pub fn kill_started() {
    for pid in STARTED.lock().expect("the list of processes").iter() {
        send_signal(*pid, SIGKILL);
    }
}

pub const PROGRAM: &str = "target/release/mangobend-platform";

/// What may differ between the cases.
#[derive(Clone)]
pub struct Layout {
    pub core: u8,
    pub edges: u8,
    pub memory_mb: u64,
}

/// The processes of the system. Each machine has a loopback address of its own, and all use the
/// same ports, as on the platform.
pub struct Machines {
    pub layout: Layout,
    net: [u8; 2],
    ports: Ports,
    folder: PathBuf,
    pub running: Vec<Option<Child>>,
}

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    frontend: u16,
    readiness: u16,
    internal: u16,
}

impl Machines {
    /// Starts all machines at once, as at the first start of a system.
    pub fn start(layout: Layout) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("rig-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = [(64 + pid / 250 % 128) as u8, (1 + pid % 250) as u8];
        let base = free_base(Ipv4Addr::new(127, net[0], net[1], 10));
        let ports =
            Ports { control: base, frontend: base + 1, readiness: base + 2, internal: base + 10 };
        let count = layout.core + layout.edges;
        let mut machines = Self { layout, net, ports, folder, running: Vec::new() };
        for n in 0..count {
            machines.running.push(None);
            machines.start_one(n, true);
        }
        machines
    }

    /// Starts one machine, again after its end.
    pub fn start_one(&mut self, n: u8, bootstrap: bool) {
        let path = self.folder.join(format!("m{n}.conf"));
        fs::write(&path, self.settings(n, bootstrap)).expect("the settings are written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("m{n}.log")))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .env("MANGOBEND_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        STARTED.lock().expect("the list of processes").push(child.id());
        self.running[usize::from(n)] = Some(child);
    }

    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 10 + n)
    }

    /// An address for a stand-in.
    pub fn stand_in(&self, n: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.net[0], self.net[1], 100 + n), self.ports.control + 5).into()
    }

    pub fn control(&self, n: u8) -> SocketAddr {
        (self.ip(n), self.ports.control).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.layout.core).map(|n| self.control(n)).collect()
    }

    /// The machine with this number among the edges.
    pub fn edge(&self, n: u8) -> u8 {
        self.layout.core + n
    }

    pub fn frontend(&self, edge: u8) -> SocketAddr {
        (self.ip(self.edge(edge)), self.ports.frontend).into()
    }

    pub fn readiness(&self, edge: u8) -> SocketAddr {
        (self.ip(self.edge(edge)), self.ports.readiness).into()
    }

    fn settings(&self, n: u8, bootstrap: bool) -> String {
        let ip = self.ip(n);
        let Ports { control, frontend, readiness, internal } = self.ports;
        let seeds: Vec<String> =
            (0..3.min(self.layout.core)).map(|it| self.control(it).to_string()).collect();
        let is_core = n < self.layout.core;
        let own = match is_core {
            false => format!(
                "Role=entry\nMachineClass=edge\nServes=edge\nListen.Frontend={ip}:{frontend}\n\
                 Listen.Readiness={ip}:{readiness}\nLimits.DiskMb=0\nLimits.CpuShare=0.25\n"
            ),
            true => format!(
                "Role=control\nMachineClass=core\nServes=control_plane\nDataDir={}\n\
                 Listen.Control={ip}:{control}\nLimits.DiskMb=128\nLimits.CpuShare=0.6\n",
                self.folder.join(format!("m{n}")).display()
            ),
        };
        let zone = ["harju-a", "harju-b", "harju-c"][usize::from(n % 3)];
        format!(
            "NodeName=m{n}\n{own}Ip={ip}\nZone={zone}\nRegion=harju\nZones.harju-a=harju\n\
             Zones.harju-b=harju\nZones.harju-c=harju\nInternalPorts={internal},{}\nSeeds={}\n\
             Bootstrap={bootstrap}\nFaultCounted={is_core}\nLimits.Cores=1\nLimits.MemoryMb={}\n\
             Limits.MaxFds=4100\nLimits.LinkMbps=1000.0\nDiscovery=registration\nEntry=vip\n\
             HeartbeatMs=1200\nContracts=base,drain,config,cost,retry,recover,engine,stream,\
             tenants,places,stages\nFaultTolerance.Machines={}\nFaultTolerance.Zones=1\n\
             FaultTolerance.Regions=0\nBounds.SeedLagS=3\nBounds.ReuseAfterS=2\n\
             Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\n\
             Bounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n\
             Bounds.RollbackSlackMs=250\nBounds.MaxSkewMs=5000\nBounds.StrictRevocation=false\n\
             Bounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n\
             Bounds.BudgetSlack=56\nBounds.ColdOvershoot=1.5\nBounds.ColdSlack=5\n\
             Bounds.EvacuateMs=5000\nBounds.RecoverS=12\nBounds.LateAfterMs=120\n\
             Bounds.RetryAfterS=9.1\nConfigMode=highest\n",
            internal + 9,
            seeds.join(","),
            self.layout.memory_mb,
            (self.layout.core - 1) / 2,
        )
    }

    /// Changes the settings file of a machine: the seeds in another order.
    pub fn change_settings(&self, n: u8) {
        let seeds: Vec<String> =
            (0..3.min(self.layout.core)).map(|it| self.control(it).to_string()).collect();
        let turned: Vec<String> = seeds.iter().rev().cloned().collect();
        let text = self.settings(n, true).replace(&seeds.join(","), &turned.join(","));
        fs::write(self.folder.join(format!("m{n}.conf")), text).expect("the settings are written");
    }

    /// Sends a signal to the process of a machine, unless it has ended.
    pub fn signal(&self, n: u8, signal: i32) {
        if let Some(child) = &self.running[usize::from(n)] {
            send_signal(child.id(), signal);
        }
    }

    pub fn pid(&self, n: u8) -> Option<u32> {
        self.running[usize::from(n)].as_ref().map(Child::id)
    }

    /// Whether the process of a machine has ended.
    pub fn has_ended(&mut self, n: u8) -> bool {
        match &mut self.running[usize::from(n)] {
            Some(child) => child.try_wait().is_ok_and(|it| it.is_some()),
            None => true,
        }
    }

    /// Sends an order to the machines of the core in turn until one acknowledges it.
    pub fn order(&self, path: &str, body: &str, within: Duration) -> bool {
        let end = Instant::now() + within;
        let mut turn = 0;
        while Instant::now() < end {
            let node = self.control(turn % self.layout.core);
            turn += 1;
            let second = Duration::from_millis(1000);
            if exchange(node, &post_text(path, body), second).is_some_and(|it| it.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether an edge says that it is ready.
    pub fn is_ready(&self, edge: u8) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n";
        exchange(self.readiness(edge), request, Duration::from_millis(500))
            .is_some_and(|it| it.status == 200)
    }

    /// Waits until all edges are ready. Exits with 2 otherwise.
    pub fn wait_ready(&self, record: &Record) {
        let end = Instant::now() + Duration::from_secs(25);
        while Instant::now() < end {
            if (0..self.layout.edges).all(|it| self.is_ready(it)) {
                record.line("all edges are ready");
                return;
            }
            sleep(Duration::from_millis(100));
        }
        record.line("the system doesn't become ready: the case couldn't run");
        self.kill_all();
        std::process::exit(2);
    }

    /// The resident memory of a machine's process, in MB.
    pub fn memory_mb(&self, n: u8) -> u64 {
        let Some(pid) = self.pid(n) else { return 0 };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    fn kill_all(&self) {
        for n in 0..self.running.len() as u8 {
            self.signal(n, SIGCONT);
            self.signal(n, SIGKILL);
        }
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        self.kill_all();
        for it in self.running.iter_mut().flatten() {
            let _ = it.kill();
            let _ = it.wait();
        }
        if std::env::var_os("RIG_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a port after which those that the machines use are free at one of their addresses.
fn free_base(ip: Ipv4Addr) -> u16 {
    let start = 20_000 + (std::process::id() % 200) as u16 * 50;
    let is_free = |base: u16| (base..base + 20).all(|it| TcpListener::bind((ip, it)).is_ok());
    (0..200).map(|it| start + it * 50).find(|it| is_free(*it)).expect("free ports")
}
