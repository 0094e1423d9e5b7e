//! What the scripts of the review share: a small deployment of the project's own program on
//! loopback addresses, with stand-ins for its clients, replicas, operator and platform.

pub mod http;
pub mod json;

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The result of a case, as its exit code.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of one run: a line for each thing sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record isn't poisoned");
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A machine of the deployment.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub core: bool,
    child: Option<Child>,
}

/// A deployment of the project's own program.
pub struct Fleet {
    pub record: Record,
    pub trouble: bool,
    pub machines: Vec<Machine>,
    root: PathBuf,
    folder: PathBuf,
    ports: [u16; 4],
    /// The first two bytes of all addresses.
    net: [u8; 2],
    next_ip: AtomicU64,
}

/// Ports in each deployment: clients, readiness, control, internal.
const FRONTEND: usize = 0;
const READINESS: usize = 1;
const CONTROL: usize = 2;
const INTERNAL: usize = 3;

impl Fleet {
    /// Prepares a deployment; `zones` names the zone of each machine. The record goes to
    /// the folder that `CASE` names.
    pub fn new(cores: &[&str], edges: &[&str]) -> Fleet {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"));
        let case = PathBuf::from(std::env::var("CASE").expect("CASE names the folder of the case"));
        let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
        let file = File::create(case.join("record.txt")).expect("the record can be written");
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        record.line(format!("trouble: {trouble}"));
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let net = [(64 + pid / 256 % 128) as u8, (pid % 256) as u8];
        let mut fleet = Fleet {
            record,
            trouble,
            machines: Vec::new(),
            root,
            folder,
            ports: [0; 4],
            net,
            next_ip: AtomicU64::new(10),
        };
        let port = |from: u16| {
            let free =
                |it: &u16| TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], 10), *it)).is_ok();
            (from..from + 400).step_by(10).find(free).expect("a free port")
        };
        fleet.ports = [port(21000), port(22000), port(23000), port(24000)];
        for (core, zones, class) in [(true, cores, "core"), (false, edges, "edge")] {
            for (i, zone) in zones.iter().enumerate() {
                let ip = fleet.fresh_ip();
                let name = format!("{class}-{zone}-{}", i + 1);
                fleet.machines.push(Machine {
                    name,
                    ip,
                    zone: (*zone).to_owned(),
                    core,
                    child: None,
                });
            }
        }
        fleet
    }

    /// A loopback address that nothing else uses.
    pub fn fresh_ip(&self) -> Ipv4Addr {
        let n = self.next_ip.fetch_add(1, Ordering::Relaxed) as u8;
        Ipv4Addr::new(127, self.net[0], self.net[1], n)
    }

    fn seeds(&self) -> Vec<String> {
        let cores = self.machines.iter().filter(|it| it.core).take(3);
        cores.map(|it| format!("{}:{}", it.ip, self.ports[CONTROL])).collect()
    }

    fn settings(&self, at: usize, first: bool) -> String {
        let it = &self.machines[at];
        let mut zones: Vec<&str> = self.machines.iter().map(|it| it.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let (class, role, serves) = match it.core {
            true => ("core", "control", "control_plane"),
            false => ("edge", "entry", "edge"),
        };
        let mut text = format!(
            "NodeName={}\nRole={role}\nMachineClass={class}\nServes={serves}\nIp={}\nZone={}\nRegion=r\n",
            it.name, it.ip, it.zone
        );
        for zone in zones {
            text += &format!("Zones.{zone}=r\n");
        }
        if it.core {
            let folder = self.folder.join(&it.name);
            text += &format!(
                "Listen.Control={}:{}\nDataDir={}\n",
                it.ip,
                self.ports[CONTROL],
                folder.display()
            );
        } else {
            text += &format!(
                "Listen.Frontend={0}:{1}\nListen.Readiness={0}:{2}\n",
                it.ip, self.ports[FRONTEND], self.ports[READINESS]
            );
        }
        let internal = self.ports[INTERNAL];
        text += &format!("InternalPorts={internal},{}\n", internal + 9);
        text += &format!(
            "Seeds={}\nBootstrap={first}\nFaultCounted={}\n",
            self.seeds().join(","),
            it.core
        );
        let tolerated = (self.cores().len() - 1) / 2;
        text += &format!("Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
                 Limits.LinkMbps=1000.0\nLimits.DiskMb=128\nDiscovery=registration\nEntry=vip\n\
                 HeartbeatMs=1200\n\
                 Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,stages\n\
                 FaultTolerance.Machines={tolerated}\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n\
                 Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n\
                 Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
                 Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxSkewMs=5000\n\
                 Bounds.StrictRevocation=false\nBounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\n\
                 Bounds.BudgetWindowS=10\nBounds.BudgetSlack=54\nBounds.ColdOvershoot=1.5\n\
                 Bounds.ColdSlack=5\nBounds.EvacuateMs=5000\nBounds.RecoverS=12\n\
                 Bounds.LateAfterMs=120\nBounds.RetryAfterS=8\nConfigMode=highest\n");
        text
    }

    /// Starts the program of a machine by the command of the deploy file.
    pub fn start(&mut self, at: usize, first: bool) {
        let text = self.settings(at, first);
        let it = &self.machines[at];
        let file = self.folder.join(format!("{}.conf", it.name));
        fs::write(&file, text).expect("the settings can be written");
        let log = |kind: &str| {
            let path = self.folder.join(format!("{}.{kind}", it.name));
            fs::OpenOptions::new().create(true).append(true).open(path).expect("a log file")
        };
        let child = Command::new("target/release/mangobend-platform")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("MANGOBEND_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn();
        let child = child
            .unwrap_or_else(|err| self.give_up(&format!("the program can't be started: {err}")));
        self.record.line(format!("{} started at {}", it.name, it.ip));
        self.machines[at].child = Some(child);
    }

    pub fn start_all(&mut self) {
        for at in 0..self.machines.len() {
            self.start(at, true);
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, at: usize, signal: i32, name: &str) {
        if let Some(child) = &self.machines[at].child {
            self.record.line(format!("{name} to {}", self.machines[at].name));
            // The process is a child that wasn't waited for, so that its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process of a machine, unless it has ended, and waits for its end.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.machines[at].child.take() {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(format!(
                    "the process of {} has ended ({status})",
                    self.machines[at].name
                ));
                return;
            }
            self.record.line(format!("SIGKILL to {}", self.machines[at].name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The exit of a machine's process, if it has ended by itself.
    pub fn exited(&mut self, at: usize) -> Option<String> {
        let child = self.machines[at].child.as_mut()?;
        child.try_wait().ok().flatten().map(|it| it.to_string())
    }

    /// Stops a machine as the platform does: SIGTERM, and SIGKILL after `GraceS`.
    pub fn stop(&mut self, at: usize) {
        self.signal(at, SIGTERM, "SIGTERM");
        let end = Instant::now() + Duration::from_secs(8);
        while self.exited(at).is_none() && Instant::now() < end {
            sleep_ms(10);
        }
        self.kill(at);
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|it| self.machines[*it].core).collect()
    }

    pub fn edges(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|it| !self.machines[*it].core).collect()
    }

    pub fn control(&self, at: usize) -> SocketAddr {
        SocketAddr::from((self.machines[at].ip, self.ports[CONTROL]))
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores().into_iter().map(|it| self.control(it)).collect()
    }

    pub fn frontend(&self, at: usize) -> SocketAddr {
        SocketAddr::from((self.machines[at].ip, self.ports[FRONTEND]))
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let addr = SocketAddr::from((self.machines[at].ip, self.ports[READINESS]));
        let answer = http::call(addr, "GET", "/api/readyz", "", Duration::from_millis(800));
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// What a machine's process has written.
    pub fn log(&self, at: usize) -> String {
        let path = self.folder.join(format!("{}.out", self.machines[at].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// What a machine's process has written to its standard error.
    pub fn errors(&self, at: usize) -> String {
        let path = self.folder.join(format!("{}.err", self.machines[at].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// The core machine that leads, by the highest term in which one began to, and that term.
    pub fn leader(&self) -> (usize, u64) {
        let term_led = |at: &usize| {
            let log = self.log(*at);
            let led = log.lines().filter(|it| it.contains("\"role\":\"Leader\""));
            let terms = led
                .filter_map(|it| it.split("\"term\":\"").nth(1)?.split('"').next()?.parse().ok());
            terms.max().unwrap_or(0_u64)
        };
        let leaders = self.cores().into_iter().map(|it| (it, term_led(&it)));
        leaders.max_by_key(|(_, term)| *term).expect("a core machine")
    }

    /// Sends an order of the operator to one node after the other until it is acknowledged.
    pub fn order(&self, path: &str, body: &str, nodes: &[SocketAddr], wait: Duration) -> bool {
        let end = Instant::now() + wait;
        let mut at = 0;
        while Instant::now() < end {
            let node = nodes[at % nodes.len()];
            at += 1;
            let sent = self.record.now();
            let answer = http::call(node, "POST", path, body, Duration::from_secs(1));
            let text = match &answer {
                Ok(it) => it.status().to_string(),
                Err(err) => err.to_string(),
            };
            self.record.line(format!("operator: POST {path} to {node}, sent at {sent:.3}: {text}"));
            if answer.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            sleep_ms(50 << at.min(4));
        }
        false
    }

    /// Starts everything and sends the first configuration; gives up if that fails.
    pub fn found(&mut self, config: &str) {
        self.start_all();
        if !self.order("/api/Config.Replace", config, &self.controls(), Duration::from_secs(15)) {
            self.give_up("the first configuration wasn't acknowledged");
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !self.edges().into_iter().all(|it| self.is_ready(it)) {
            if Instant::now() > end {
                self.give_up("the edge machines aren't ready");
            }
            sleep_ms(100);
        }
        self.record.line("all edge machines are ready");
    }

    fn give_up(&self, why: &str) -> ! {
        self.record.line(format!("not run: {why}"));
        eprintln!("not run: {why}");
        // The processes end with `Drop` only if the stack unwinds.
        std::panic::panic_any(NotRun);
    }

    /// Ends the run with what is to be said of the rule.
    pub fn finish(self, broken: Option<String>) -> i32 {
        let (code, text) = match broken {
            Some(it) => (BROKEN, format!("BROKEN: {it}")),
            None => (HELD, "held".to_owned()),
        };
        self.record.line(&text);
        println!("{text}");
        code
    }
}

struct NotRun;

impl Drop for Fleet {
    fn drop(&mut self) {
        for it in &mut self.machines {
            if let Some(mut child) = it.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var("KEEP").is_ok() {
            true => eprintln!("logs: {}", self.folder.display()),
            false => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Runs a case and exits with its result.
pub fn run(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    std::panic::set_hook(Box::new(|info| {
        if !info.payload().is::<NotRun>() {
            eprintln!("not run: {info}");
        }
    }));
    std::process::exit(std::panic::catch_unwind(case).unwrap_or(NOT_RUN))
}

/// A replica that announces itself.
#[derive(Clone)]
pub struct Beats {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// The version of its software.
    pub version: String,
    /// More fields of the body, such as `,"Phase":"both"`.
    pub more: String,
    pub state: Arc<Mutex<String>>,
    pub cold_ms: Arc<AtomicU64>,
    pub born: u64,
}

impl Beats {
    pub fn new(id: &str, service: &str, addr: SocketAddr, zone: &str, slots: u32) -> Beats {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Beats {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            zone: zone.to_owned(),
            slots,
            version: "v1".to_owned(),
            more: String::new(),
            state: Arc::new(Mutex::new("ready".to_owned())),
            cold_ms: Arc::default(),
            born: born as u64,
        }
    }

    pub fn body(&self, seq: u64) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\"Slots\":{},\
             \"State\":\"{}\",\"ColdRemainingMs\":{},\"Seq\":{seq},\"born\":{}{}}}",
            self.service,
            self.addr,
            self.zone,
            self.version,
            self.slots,
            self.state.lock().expect("not poisoned"),
            self.cold_ms.load(Ordering::Relaxed),
            self.born,
            self.more
        )
    }

    /// Sends a heartbeat to one node after the other until one acknowledges it.
    pub fn beat(&self, seq: u64, nodes: &[SocketAddr], record: &Record) -> bool {
        for i in 0..nodes.len() {
            let node = nodes[(seq as usize + i) % nodes.len()];
            let path = format!("/api/Instances.Heartbeat/{}", self.id);
            let answer = http::call(node, "POST", &path, &self.body(seq), Duration::from_secs(1));
            if answer.is_ok_and(|it| it.status() == 200) {
                if seq == 1 {
                    record.line(format!(
                        "{} of {} at {} is registered",
                        self.id, self.service, self.addr
                    ));
                }
                return true;
            }
        }
        false
    }

    /// Sends heartbeats for as long as the process runs.
    pub fn run(self, nodes: Vec<SocketAddr>, record: Record) {
        thread::spawn(move || {
            for seq in 1.. {
                while seq == 1 && !self.beat(seq, &nodes, &record) {
                    sleep_ms(200);
                }
                if seq > 1 {
                    self.beat(seq, &nodes, &record);
                }
                sleep_ms(1200);
            }
        });
    }
}

/// Where the folder of a case lies, for scripts that need files of their own.
pub fn case_folder() -> PathBuf {
    Path::new(&std::env::var("CASE").unwrap_or_default()).to_owned()
}
