//! The specifications of all settings.

/// The specification of a setting, as shown by `--help`.
pub struct SettingSpec {
    pub flag: &'static str,
    /// The default value; empty means unset.
    pub default: &'static str,
    pub allowed: &'static str,
    pub help: &'static str,
}

/// All settings that take a value.
pub const SETTINGS: &[SettingSpec] = &[
    spec("name", "", "a name", "the instance's name, unique in the system"),
    spec("domain", "", "a name", "the failure domain that the instance is in"),
    spec("caller-listen", "127.0.0.1:0", "IP:PORT", "where callers come in"),
    spec("operator-listen", "127.0.0.1:0", "IP:PORT", "where operators and metrics come in"),
    spec("endpoint-listen", "127.0.0.1:0", "IP:PORT", "where endpoints announce themselves"),
    spec("peer-listen", "127.0.0.1:0", "IP:PORT", "where other instances come in"),
    spec("peer-advertise", "", "IP:PORT", "where others reach it, if not at peer-listen"),
    spec("join", "", "IP:PORT,IP:PORT", "peer addresses of instances of the system to join"),
    spec("found-with", "", "IP:PORT,IP:PORT", "peer addresses of all first voters, if one of them"),
    spec("mend-voters", "off", "on or off", "the leader changes the voters without an operator"),
    spec("relay-listen", "", "IP:PORT", "where callers of relayed requests come in; unset: none"),
    spec("data", "", "a folder", "the data folder; without one the instance can't vote"),
    spec("operator-secret-file", "", "a file", "the secret that operators show"),
    spec("endpoint-secret-file", "", "a file", "the secret that announcing endpoints show"),
    spec("peer-secret-file", "", "a file", "the secret that instances show each other"),
    spec("policy", "shares", "shares, random, round-robin or least", "how endpoints are picked"),
    spec("share-load", "off", "on or off", "all instances place by the endpoints' summed load"),
    spec(
        "capacity",
        "",
        "thousandths of a core",
        "the instance's share of processors; unset: unknown",
    ),
    spec("max-requests", "1024", "1 to 100000 requests", "requests held at one time"),
    spec("max-queue", "512", "1 to 100000 requests", "requests that wait for one pool"),
    spec("max-body", "1048576", "1024 to 16777216 bytes", "the longest body of a request"),
    spec("max-connections", "2048", "1 to 65536 connections", "callers' connections at one time"),
    spec("memory-mb", "", "64 to 1048576 MiB", "the process's memory; unset: parts as for 120 MiB"),
    spec("max-fds", "", "128 to 1048576", "descriptors to use; unset: what the system allows"),
    spec("endpoint-threads", "256", "1 to 4096 threads", "calls of endpoints at one time"),
    spec("team-series", "100", "0 to 10000 teams", "teams with metrics of their own"),
    spec("stop-bound", "30000", "0 to 600000 ms", "how long a planned stop may take"),
    spec("stop-notice", "1000", "0 to 60000 ms", "from leaving readiness to refusing new work"),
    spec("rollout-share", "0.1", "0 to 1", "a pool's part that a bad version may get"),
    spec("rollout-slack", "50", "0 to 1000000 requests", "what it may get beside that"),
    spec("rollout-rollback", "5000", "1000 to 600000 ms", "the time to leave a bad version"),
    spec("log-level", "info", "error, warn, info, debug or trace", "the least level logged"),
    spec("log-format", "plain", "plain or json", "the form of log lines"),
];

/// The prefix of the settings' environment variables.
pub const ENV_PREFIX: &str = "MANGOBEND_";

/// The environment variable of a setting.
pub fn env_name(flag: &str) -> String {
    format!("{ENV_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// The text of `--help`.
pub fn help() -> String {
    let mut text = String::from(
        "mangobendd: an entry instance of the serving system\n\n\
         Each setting can also be given by its environment variable; the flag goes first.\n\
         Secrets can be given whole in MANGOBEND_OPERATOR_SECRET, MANGOBEND_ENDPOINT_SECRET\n\
         and MANGOBEND_PEER_SECRET.\n\n\
         \x20 --help   show this text\n\
         \x20 --check  check the settings and exit\n\n",
    );
    for it in SETTINGS {
        let default = if it.default.is_empty() { "unset" } else { it.default };
        text += &format!(
            "  --{} VALUE\n      {}; {} (default {default}; {})\n",
            it.flag,
            it.help,
            it.allowed,
            env_name(it.flag)
        );
    }
    text
}

const fn spec(
    flag: &'static str,
    default: &'static str,
    allowed: &'static str,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { flag, default, allowed, help }
}
