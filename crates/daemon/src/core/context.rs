//! The inputs of the core loop.

use {
    crate::{
        disk::{DiskWriter, Identity},
        endpoints::EndpointClient,
        peers::Outgoing,
        relay::DrainState,
        rollout_handle::RolloutHandle,
        settings::Settings,
        tables_clock::TablesClock,
        telemetry::Meters,
    },
    coord::{
        ids::{NodeId, PoolName},
        limits::SharedGate,
        load::SharedLoad,
        raft::RestoredState,
        tables::{Suspects, Tables},
    },
    indexmap::IndexSet,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::AtomicBool},
        time::Instant,
    },
    tokio::sync::{mpsc::UnboundedSender, watch},
};

/// The settings and handles that the core loop is started with.
pub struct Context {
    pub settings: Settings,
    pub identity: Identity,
    /// The address at which peers reach this instance.
    pub peer_addr: SocketAddr,
    /// The disk writer and the restored Raft state, if there is a data folder.
    pub disk: Option<(DiskWriter, RestoredState)>,
    pub peers: UnboundedSender<Outgoing>,
    pub endpoints: EndpointClient,
    pub meters: Meters,
    /// Whether the load balancer may send callers to this instance.
    pub ready: Arc<AtomicBool>,
    /// Publishes the replicated tables to the relay.
    pub tables: watch::Sender<Arc<Tables>>,
    /// Publishes what endpoints have crashed under.
    pub suspects: watch::Sender<Arc<Suspects>>,
    /// The pools whose streams are to be recorded, for the relay.
    pub mixed: watch::Sender<Arc<IndexSet<PoolName>>>,
    /// The instances that reach no endpoints, for the relay.
    pub cut: watch::Sender<Arc<IndexSet<NodeId>>>,
    /// The address at which other instances reach the relay, if there is one.
    pub relay_addr: Option<SocketAddr>,
    /// The gate that sends to limited endpoints pass.
    pub gate: SharedGate,
    /// The gate that sends to pools with a rollout pass.
    pub rollouts: RolloutHandle,
    /// The load of endpoints as this instance knows it.
    pub load: SharedLoad,
    /// How old the tables are, for the relay.
    pub clock: TablesClock,
    pub drain: Arc<DrainState>,
    pub start: Instant,
    /// Seeds the random number generators.
    pub seed: u64,
}
