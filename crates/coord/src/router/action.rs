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
pub struct AttemptIdent {
    pub request: RequestId,
    pub stage: StageName,
    pub attempt: AttemptId,
}

/// A call of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    pub ident: AttemptIdent,
    pub endpoint: EndpointName,
    pub addr: SocketAddr,
    pub pool: PoolName,
    pub class: Class,
    /// What is left of the request's deadline.
    pub remaining: Millis,
    /// The first piece wanted; earlier ones were received already.
    pub from_piece: u32,
    /// Present where a repeat matters: such a call must not be repeated.
    pub fence: Option<Fence>,
    pub input: Arc<str>,
}

/// A params to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimParams {
    pub key: ClaimKey,
    pub digest: RequestDigest,
    pub route: RouteName,
    pub team: TeamName,
}

/// Something for the embedder to do.
#[derive(Debug)]
pub enum Action {
    Claim {
        request: RequestId,
        params: ClaimParams,
    },
    Settle {
        key: ClaimKey,
        fence: Fence,
        settlement: Settlement,
    },
    Send(Box<EndpointCall>),
    Cancel {
        ident: AttemptIdent,
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
        ident: AttemptIdent,
        number: u32,
        data: String,
    },
    /// The answer is complete with so many pieces.
    Done {
        ident: AttemptIdent,
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
