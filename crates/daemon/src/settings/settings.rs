//! Checked settings.

use {
    super::{
        SettingsError,
        raw::{Raw, spec_of, wrong},
        spec::{ENV_PREFIX, help},
    },
    crate::relay::RelaySettings,
    coord::{
        ids::{DomainName, InstanceName},
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

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    Plain,
    Json,
}

/// A listener and the secret that those who come in must show.
#[derive(Debug, Clone)]
pub struct Guarded {
    pub listen: SocketAddr,
    /// Empty when none is set; the listener is then bound to loopback.
    pub secret: Arc<str>,
    /// Whether the address was narrowed to loopback.
    pub narrowed: bool,
}

/// All settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: InstanceName,
    pub domain: DomainName,
    pub caller: SocketAddr,
    pub operator: Guarded,
    pub endpoint: Guarded,
    pub peer: Guarded,
    pub advertise: Option<SocketAddr>,
    pub join: Vec<SocketAddr>,
    /// All first voters, where this instance is one of them and its data
    /// folder may be empty.
    pub found_with: Vec<SocketAddr>,
    pub mend_voters: bool,
    pub relay: Option<RelaySettings>,
    pub data: Option<PathBuf>,
    pub policy: Policy,
    pub max_requests: usize,
    pub max_queue: usize,
    pub max_body: usize,
    pub max_connections: usize,
    pub endpoint_threads: usize,
    pub team_series: usize,
    pub stop_bound: Millis,
    pub stop_notice: Millis,
    pub log_level: LevelFilter,
    pub log_format: LogFormat,
    /// The crates whose lines are logged at `log_level`.
    pub log_parts: Vec<&'static str>,
}

/// What the command line asks for.
pub enum Parsed {
    Help(String),
    Check,
    Run(Box<Settings>),
}

/// Parses and checks the command line and environment.
///
/// # Errors
/// The first setting that is wrong.
pub fn parse(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Parsed, SettingsError> {
    let raw = Raw::collect(args, &env)?;
    if raw.help {
        return Ok(Parsed::Help(help()));
    }
    let settings = check(&raw, &env)?;
    match raw.check {
        true => Ok(Parsed::Check),
        false => Ok(Parsed::Run(Box::new(settings))),
    }
}

fn check(raw: &Raw, env: &impl Fn(&str) -> Option<String>) -> Result<Settings, SettingsError> {
    Ok(Settings {
        name: raw.need("name")?,
        domain: raw.need("domain")?,
        caller: raw.need("caller-listen")?,
        operator: guarded(raw, env, "operator")?,
        endpoint: guarded(raw, env, "endpoint")?,
        peer: guarded(raw, env, "peer")?,
        advertise: raw.get("peer-advertise")?,
        join: raw.get::<AddrList>("join")?.map_or_else(Vec::new, |it| it.0),
        found_with: found_with(raw)?,
        mend_voters: raw.need::<Switch>("mend-voters")?.0,
        relay: raw.get("relay-listen")?.map(RelaySettings::new),
        data: raw.get("data")?,
        policy: raw.need("policy")?,
        max_requests: raw.number("max-requests", 1, 100_000)? as usize,
        max_queue: raw.number("max-queue", 1, 100_000)? as usize,
        max_body: raw.number("max-body", 1024, 16 << 20)? as usize,
        max_connections: raw.number("max-connections", 1, 65_536)? as usize,
        endpoint_threads: raw.number("endpoint-threads", 1, 4096)? as usize,
        team_series: raw.number("team-series", 0, 10_000)? as usize,
        stop_bound: Millis(raw.number("stop-bound", 0, 600_000)?),
        stop_notice: Millis(raw.number("stop-notice", 0, 60_000)?),
        log_level: raw.need("log-level")?,
        log_format: raw.need("log-format")?,
        log_parts: vec!["daemon"],
    })
}

fn guarded(
    raw: &Raw,
    env: &impl Fn(&str) -> Option<String>,
    part: &str,
) -> Result<Guarded, SettingsError> {
    let listen: SocketAddr = raw.need(&format!("{part}-listen"))?;
    let flag = format!("{part}-secret-file");
    let secret = match raw.get::<PathBuf>(&flag)? {
        Some(path) => {
            let text = fs::read_to_string(&path);
            let text = text.map_err(|err| wrong(spec_of(&flag), &path.to_string_lossy(), err))?;
            text.trim().to_owned()
        }
        None => env(&format!("{ENV_PREFIX}{}_SECRET", part.to_uppercase())).unwrap_or_default(),
    };
    let narrowed = secret.is_empty() && !listen.ip().is_loopback();
    let ip = if narrowed { IpAddr::V4(Ipv4Addr::LOCALHOST) } else { listen.ip() };
    let listen = SocketAddr::new(ip, listen.port());
    Ok(Guarded { listen, secret: secret.into(), narrowed })
}

fn found_with(raw: &Raw) -> Result<Vec<SocketAddr>, SettingsError> {
    let voters = raw.get::<AddrList>("found-with")?.map_or_else(Vec::new, |it| it.0);
    let own: SocketAddr = match raw.get("peer-advertise")? {
        Some(it) => it,
        None => raw.need("peer-listen")?,
    };
    if !voters.is_empty() && !voters.contains(&own) {
        let text = voters.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let detail = format!("it doesn't hold this instance's own peer address {own}");
        return Err(wrong(spec_of("found-with"), &text, detail));
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
