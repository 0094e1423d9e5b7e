//! Real processes for tests, the demo and the bench: builds and starts the
//! daemons and stand-ins, puts fault-injecting proxies between them, and
//! talks to them as callers and operators do.

mod build;
mod caller;
mod cluster;
mod daemon;
mod deployment;
mod operator;
mod owner;
mod process;
mod proxy;
mod stand_ins;
mod temp;
mod usage;

pub use {
    build::{Binaries, Profile},
    caller::{Caller, CallerResult, StreamResult},
    cluster::{Cluster, ClusterSpec, Instance, LONG_TIMEOUT},
    daemon::{Addrs, Daemon, DaemonSpec},
    deployment::{Deployment, RequestKind, TablesFile},
    operator::{Operator, new_change},
    process::{Proc, wait_until},
    proxy::{Fault, Proxy},
    stand_ins::StandIns,
    temp::TempDir,
    usage::{cpu_seconds, resident_mb},
};
