//! What the router asks its embedder to do, and what it is told.

use {
    super::Finish,
    crate::{
        claims::{RequestDigest, Settlement},
        ids::{
            AttemptId, ClaimKey, Class, EndpointName, Fence, PoolName, RequestId, RouteName,
            StageName, TeamName, Tokens,
        },
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Names one attempt towards an endpoint; each line of its answer repeats it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ident {
    pub request: RequestId,
    pub stage: StageName,
    pub attempt: AttemptId,
}

/// A call of an endpoint.
#[derive(Debug, Clone)]
pub struct AttemptSend {
    pub ident: Ident,
    pub endpoint: EndpointName,
    pub addr: SocketAddr,
    pub pool: PoolName,
    pub class: Class,
    /// What is left of the request's deadline.
    pub left: Millis,
    /// The first piece wanted; earlier ones were received already.
    pub from_piece: u32,
    /// Present where a repeat matters: such a call must not be repeated.
    pub fence: Option<Fence>,
    pub input: Arc<str>,
}

/// A wish to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWish {
    pub key: ClaimKey,
    pub digest: RequestDigest,
    pub route: RouteName,
    pub team: TeamName,
}

/// Something for the embedder to do.
#[derive(Debug)]
pub enum Effect {
    Claim {
        request: RequestId,
        wish: ClaimWish,
    },
    Settle {
        key: ClaimKey,
        fence: Fence,
        settlement: Settlement,
    },
    Send(Box<AttemptSend>),
    Cancel {
        ident: Ident,
        addr: SocketAddr,
    },
    /// A piece of the last stage's answer.
    Piece {
        request: RequestId,
        number: u32,
        data: String,
    },
    Finish {
        request: RequestId,
        finish: Box<Finish>,
    },
}

/// What came of an attempt. The idents are those that the endpoint stated.
#[derive(Debug, Clone)]
pub enum AttemptEvent {
    Piece {
        ident: Ident,
        number: u32,
        data: String,
    },
    /// The answer is complete with so many pieces.
    Done {
        ident: Ident,
        pieces: u32,
        tokens: Tokens,
    },
    /// The endpoint refused and states that it began nothing.
    Refused {
        cold: bool,
    },
    /// The attempt broke. Without `sent` the endpoint can't have begun.
    Failed {
        sent: bool,
        detail: String,
    },
}
