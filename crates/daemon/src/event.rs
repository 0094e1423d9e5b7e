//! What reaches the core loop from the threads around it.

use {
    crate::{
        callers::CallerReply,
        disk::DiskError,
        operators::OperatorCall,
        peers::{PeerCall, PeerError, Responder},
    },
    coord::{
        control::{Envelope, Token},
        ids::{AttemptId, EndpointName, Index, RequestId, SystemId},
        router::{AttemptEvent, Submission},
        wire::Announcement,
    },
    std::{
        net::SocketAddr,
        sync::mpsc::{SyncSender, TrySendError},
    },
    tokio::sync::{mpsc::UnboundedSender, oneshot},
};

/// The most events that wait for the core loop.
pub const MAX_EVENTS: usize = 16_384;

/// Something for the core loop.
pub enum Event {
    Submit {
        submission: Submission,
        reply: UnboundedSender<CallerReply>,
    },
    CallerGone(RequestId),
    Attempt {
        id: AttemptId,
        event: AttemptEvent,
    },
    /// A call by a peer.
    Peer {
        call: Box<Envelope<PeerCall>>,
        respond: Responder,
    },
    /// A peer asks which system this is.
    Hello {
        respond: oneshot::Sender<Option<SystemId>>,
    },
    /// The answer to a call of a peer.
    PeerAnswered {
        token: Token,
        answer: Result<Box<crate::peers::PeerAnswer>, PeerError>,
    },
    /// A peer's answer to the question which system it is.
    HelloAnswered(Option<SystemId>),
    Operator(OperatorCall),
    /// What an endpoint says of itself. Whoever waits is told once news are
    /// agreed, at once if there are none.
    Announce {
        announcement: Box<Announcement>,
        committed: Option<oneshot::Sender<bool>>,
    },
    /// An endpoint leaves for good.
    Deregister {
        endpoint: EndpointName,
        committed: Option<oneshot::Sender<bool>>,
    },
    /// The addresses to join have changed.
    SeedsChanged(Vec<SocketAddr>),
    Synced(Index),
    DiskFailed(DiskError),
    Stop,
}

/// The way to the core loop.
#[derive(Clone)]
pub struct Inbox(SyncSender<Event>);

impl Inbox {
    /// Wraps the sending half of the core loop's channel.
    pub fn new(sender: SyncSender<Event>) -> Self {
        Self(sender)
    }

    /// Sends an event, waiting for room. For threads that may wait.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }

    /// Sends an event if there is room; false if there is none.
    pub fn offer(&self, event: Event) -> bool {
        !matches!(self.0.try_send(event), Err(TrySendError::Full(_)))
    }
}
