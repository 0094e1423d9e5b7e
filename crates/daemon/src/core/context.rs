//! What the core loop is given at its start.

use {
    crate::{
        disk::{DiskWriter, Identity},
        endpoints::EndpointCalls,
        peers::Outgoing,
        relay::DrainState,
        settings::Settings,
        telemetry::Meters,
    },
    coord::{raft::RestoredState, tables::Tables},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::AtomicBool},
        time::Instant,
    },
    tokio::sync::{mpsc::UnboundedSender, watch},
};

/// The parts around the core loop.
pub struct Context {
    pub settings: Settings,
    pub identity: Identity,
    /// Where peers reach this instance.
    pub peer: SocketAddr,
    /// Present with a data folder.
    pub disk: Option<(DiskWriter, RestoredState)>,
    pub peers: UnboundedSender<Outgoing>,
    pub endpoints: EndpointCalls,
    pub meters: Meters,
    pub ready: Arc<AtomicBool>,
    /// Where the agreed tables are shown to the other front doors.
    pub tables: watch::Sender<Arc<Tables>>,
    pub drain: Arc<DrainState>,
    pub start: Instant,
    pub seed: u64,
}
