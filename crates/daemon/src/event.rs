//! Events that other threads send to the core loop.

use {
    crate::{
        callers::CallerReply,
        disk::DiskError,
        operators::OperatorCall,
        peers::{LeaderAnswer, PeerCall, PeerError, Responder},
    },
    coord::{
        control::{CrashReport, Departure, Envelope, LeaderReport, Token},
        ids::{AttemptId, Index, PoolName, RequestId, SystemId},
        router::{AttemptEvent, Submission},
        streams::{StreamGroup, StreamOrigin, StreamQuery},
        tables::SuspectKey,
        wire::Announcement,
    },
    std::{
        net::SocketAddr,
        sync::mpsc::{SyncSender, TrySendError},
        time::Instant,
    },
    tokio::sync::{mpsc::UnboundedSender, oneshot},
};

/// The capacity of the core loop's event queue.
pub const MAX_EVENTS: usize = 16_384;

/// An event for the core loop.
pub enum Event {
    /// A caller's request.
    Submit { submission: Submission, reply: UnboundedSender<CallerReply> },
    /// The caller of a request has closed its connection.
    CallerGone(RequestId),
    /// Progress or the end of an attempt at an endpoint.
    Attempt { id: AttemptId, event: AttemptEvent },
    /// A peer's call.
    Peer { call: Box<Envelope<PeerCall>>, respond: Responder },
    /// A peer's question which system this instance belongs to.
    Hello { respond: oneshot::Sender<Option<SystemId>> },
    /// A peer's question who leads.
    FindLeader { respond: oneshot::Sender<LeaderReport> },
    /// What became of the question who leads.
    LeaderAnswered { from: SocketAddr, answer: LeaderAnswer },
    /// A peer's answer to a call of this instance.
    PeerAnswered { token: Token, answer: Result<Box<crate::peers::PeerAnswer>, PeerError> },
    /// A peer's answer to the question which system it belongs to.
    HelloAnswered(Option<SystemId>),
    /// An operator's question or command.
    Operator(OperatorCall),
    /// An endpoint's announcement of its state. `committed` receives true once the
    /// replicated tables hold a change, or at once if nothing has changed, and
    /// false without a lease or if the change can't be committed.
    Announce { announcement: Box<Announcement>, committed: Option<oneshot::Sender<bool>> },
    /// An endpoint is deregistered. `committed` is as for an announcement.
    Deregister { departure: Departure, committed: Option<oneshot::Sender<bool>> },
    /// An endpoint has crashed under a request, whose connection ended at `at`.
    EndpointCrashed { report: CrashReport, at: Instant },
    /// An endpoint of a pool has answered a request with these suspects, or with none.
    SuspectsAnswered { pool: PoolName, keys: Vec<SuspectKey> },
    /// Endpoints have begun streams. `committed` receives whether that is recorded.
    RecordStreams { records: Vec<StreamGroup>, committed: Option<oneshot::Sender<bool>> },
    /// A question what a stream came from; the answer is `None` if that isn't certain.
    FindStream { query: StreamQuery, respond: oneshot::Sender<Option<StreamOrigin>> },
    /// This instance reaches no endpoints any more, or reaches them again.
    ReachChanged { is_cut: bool },
    /// The addresses to join have changed.
    SeedsChanged(Vec<SocketAddr>),
    /// The Raft log is durable up to this index.
    Synced(Index),
    /// A write to the data folder has failed.
    DiskFailed(DiskError),
    /// A signal asks for a graceful shutdown.
    Stop,
}

/// The sending side of the core loop's event queue.
#[derive(Clone)]
pub struct Inbox(SyncSender<Event>);

impl Inbox {
    /// Wraps the sending half of the core loop's channel.
    pub fn new(sender: SyncSender<Event>) -> Self {
        Self(sender)
    }

    /// Sends an event, and blocks while the queue is full. Not for async code.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }

    /// Sends an event without blocking; returns false if the queue is full.
    pub fn offer(&self, event: Event) -> bool {
        !matches!(self.0.try_send(event), Err(TrySendError::Full(_)))
    }
}
