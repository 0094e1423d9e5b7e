//! Parsed and validated settings.

use {
    super::{
        SettingsError,
        raw::{RawSettings, find_spec, invalid_value},
        spec::{ENV_PREFIX, help},
    },
    crate::{memory::MemorySettings, relay::RelaySettings},
    coord::{
        ids::{DomainName, InstanceName},
        load::LoadSettings,
        memory::MemoryMb,
        rollouts::RolloutBounds,
        router::Policy,
        time::Millis,
    },
    log::LevelFilter,
    std::{
        ffi::OsString,
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        str::FromStr,
        sync::Arc,
    },
};

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    Plain,
    Json,
}

/// A listener's address and the secret that its clients must present.
#[derive(Debug, Clone)]
pub struct SecuredListener {
    pub listen: SocketAddr,
    /// Empty if none is set; the listener is then bound to loopback.
    pub secret: Arc<str>,
    /// Whether the configured address was replaced by loopback for lack of a
    /// secret.
    pub forced_loopback: bool,
}

/// All settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: InstanceName,
    pub domain: DomainName,
    pub caller: SocketAddr,
    pub operator: SecuredListener,
    pub endpoint: SecuredListener,
    pub peer: SecuredListener,
    pub advertise: Option<SocketAddr>,
    pub join: Vec<SocketAddr>,
    /// The peer addresses of all initial voters of a new system, if this
    /// instance is one of them; its data folder may then be empty.
    pub found_with: Vec<SocketAddr>,
    pub mend_voters: bool,
    pub relay: Option<RelaySettings>,
    /// The bounds of rollouts that this instance leads.
    pub rollouts: RolloutBounds,
    pub data: Option<PathBuf>,
    pub policy: Policy,
    /// Whether this instance asks for shared load of endpoints, and its capacity.
    pub load: LoadSettings,
    pub max_requests: usize,
    pub max_queue: usize,
    pub max_body: usize,
    pub max_connections: usize,
    pub endpoint_threads: usize,
    pub team_series: usize,
    pub stop_bound: Millis,
    pub stop_notice: Millis,
    pub memory: MemorySettings,
    /// Whether an embedding program takes configurations of 16 MiB.
    pub takes_configurations: bool,
    pub log_level: LevelFilter,
    pub log_format: LogFormat,
    /// The crates that log at `log_level`; all others log errors only.
    pub log_crates: Vec<&'static str>,
}

/// The action that the command line selects.
pub enum Action {
    Help(String),
    Check,
    Run(Box<Settings>),
}

/// Parses and validates the command line and environment.
///
/// # Errors
/// The first setting that is unknown, missing or invalid.
pub fn parse(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Action, SettingsError> {
    let raw = RawSettings::collect(args, &env)?;
    if raw.help {
        return Ok(Action::Help(help()));
    }
    let settings = build(&raw, &env)?;
    match raw.check {
        true => Ok(Action::Check),
        false => Ok(Action::Run(Box::new(settings))),
    }
}

fn build(
    raw: &RawSettings,
    env: &impl Fn(&str) -> Option<String>,
) -> Result<Settings, SettingsError> {
    Ok(Settings {
        name: raw.required("name")?,
        domain: raw.required("domain")?,
        caller: raw.required("caller-listen")?,
        operator: secured_listener(raw, env, "operator")?,
        endpoint: secured_listener(raw, env, "endpoint")?,
        peer: secured_listener(raw, env, "peer")?,
        advertise: raw.get("peer-advertise")?,
        join: raw.get::<AddrList>("join")?.map_or_else(Vec::new, |it| it.0),
        found_with: found_with(raw)?,
        mend_voters: raw.required::<Switch>("mend-voters")?.0,
        relay: raw.get("relay-listen")?.map(RelaySettings::new),
        rollouts: RolloutBounds {
            share: raw.required::<Share>("rollout-share")?.0,
            slack: raw.bounded("rollout-slack", 0, 1_000_000)? as u32,
            rollback: Millis(raw.bounded("rollout-rollback", 1000, 600_000)?),
        },
        data: raw.get("data")?,
        policy: raw.required("policy")?,
        load: load_settings(raw)?,
        max_requests: raw.bounded("max-requests", 1, 100_000)? as usize,
        max_queue: raw.bounded("max-queue", 1, 100_000)? as usize,
        max_body: raw.bounded("max-body", 1024, 16 << 20)? as usize,
        max_connections: raw.bounded("max-connections", 1, 65_536)? as usize,
        endpoint_threads: raw.bounded("endpoint-threads", 1, 4096)? as usize,
        team_series: raw.bounded("team-series", 0, 10_000)? as usize,
        stop_bound: Millis(raw.bounded("stop-bound", 0, 600_000)?),
        stop_notice: Millis(raw.bounded("stop-notice", 0, 60_000)?),
        memory: memory_settings(raw)?,
        takes_configurations: false,
        log_level: raw.required("log-level")?,
        log_format: raw.required("log-format")?,
        log_crates: vec!["daemon"],
    })
}

fn memory_settings(raw: &RawSettings) -> Result<MemorySettings, SettingsError> {
    let given = |flag: &str| Ok(raw.get::<String>(flag)?.is_some());
    let limit = match given("memory-mb")? {
        true => Some(MemoryMb(raw.bounded("memory-mb", 64, 1 << 20)?)),
        false => None,
    };
    let max_fds = match given("max-fds")? {
        true => Some(raw.bounded("max-fds", 128, 1 << 20)? as usize),
        false => None,
    };
    Ok(MemorySettings { limit, max_fds })
}

fn secured_listener(
    raw: &RawSettings,
    env: &impl Fn(&str) -> Option<String>,
    part: &str,
) -> Result<SecuredListener, SettingsError> {
    let listen: SocketAddr = raw.required(&format!("{part}-listen"))?;
    let flag = format!("{part}-secret-file");
    let secret = match raw.get::<PathBuf>(&flag)? {
        Some(path) => {
            let text = fs::read_to_string(&path);
            let text =
                text.map_err(|err| invalid_value(find_spec(&flag), &path.to_string_lossy(), err))?;
            text.trim().to_owned()
        }
        None => env(&format!("{ENV_PREFIX}{}_SECRET", part.to_uppercase())).unwrap_or_default(),
    };
    let forced_loopback = secret.is_empty() && !listen.ip().is_loopback();
    let ip = if forced_loopback { IpAddr::V4(Ipv4Addr::LOCALHOST) } else { listen.ip() };
    let listen = SocketAddr::new(ip, listen.port());
    Ok(SecuredListener { listen, secret: secret.into(), forced_loopback })
}

/// The capacity of an instance that relays no requests isn't compared with others.
fn load_settings(raw: &RawSettings) -> Result<LoadSettings, SettingsError> {
    let capacity = raw.get("capacity")?.filter(|_| raw.is_set("relay-listen"));
    let wanted = raw.required::<Switch>("share-load")?.0;
    Ok(LoadSettings { capacity: capacity.unwrap_or_default(), wanted })
}

fn found_with(raw: &RawSettings) -> Result<Vec<SocketAddr>, SettingsError> {
    let voters = raw.get::<AddrList>("found-with")?.map_or_else(Vec::new, |it| it.0);
    let own: SocketAddr = match raw.get("peer-advertise")? {
        Some(it) => it,
        None => raw.required("peer-listen")?,
    };
    if !voters.is_empty() && !voters.contains(&own) {
        let text = voters.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let detail = format!("it doesn't hold this instance's own peer address {own}");
        return Err(invalid_value(find_spec("found-with"), &text, detail));
    }
    Ok(voters)
}

struct Switch(bool);

impl FromStr for Switch {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "on" => Ok(Self(true)),
            "off" => Ok(Self(false)),
            _ => Err("it is neither"),
        }
    }
}

/// A part of a whole.
struct Share(f64);

impl FromStr for Share {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let share = s.parse().map_err(|_| "it is no number")?;
        match (0.0..=1.0).contains(&share) {
            true => Ok(Self(share)),
            false => Err("it is out of bounds"),
        }
    }
}

struct AddrList(Vec<SocketAddr>);

impl FromStr for AddrList {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.split(',').map(|it| it.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "plain" => Ok(Self::Plain),
            "json" => Ok(Self::Json),
            _ => Err("it is neither"),
        }
    }
}
