//! An end-to-end harness for tests, the demo and the benchmarks: builds and
//! starts daemons and simulated endpoints as child processes, puts
//! fault-injecting proxies between them, and provides clients for callers and
//! operators.

mod build;
mod caller;
mod cluster;
mod daemon;
mod deployment;
mod in_force;
mod kept_caller;
mod operator;
mod owner;
mod process;
mod proxy;
mod relayed;
mod stand_ins;
mod temp;
mod usage;

pub use {
    build::{Binaries, Profile},
    caller::{Caller, CallerResult, StreamResult},
    cluster::{Cluster, ClusterSpec, Instance, LONG_TIMEOUT},
    daemon::{Addrs, Daemon, DaemonSpec},
    deployment::{Deployment, RequestKind, TablesFile},
    kept_caller::{Exchange, KeptCaller},
    operator::{Operator, new_change},
    process::{Proc, wait_until},
    proxy::{Fault, Proxy},
    relayed::{
        RawResponse, announce, connect, exchange, read_response, relay_catalog, relay_endpoint,
        relay_request, relay_route, try_exchange,
    },
    stand_ins::StandIns,
    temp::TempDir,
    usage::{cpu_seconds, open_fds, peak_mb, resident_mb},
};
