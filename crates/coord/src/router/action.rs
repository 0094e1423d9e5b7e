//! The router's interface to its embedder: actions to carry out and events of
//! attempts.

use {
    super::Finish,
    crate::{
        claims::{RequestDigest, Settlement},
        ids::{
            AttemptId, ClaimKey, Class, EndpointName, Fence, Generation, PoolName, RequestId,
            RouteName, StageName, TeamName, Tokens,
        },
        limits::LimitNotice,
        relay::EndpointNotice,
        tables::Suspect,
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Identifies one attempt; each line of an endpoint's answer repeats it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptIdent {
    pub request: RequestId,
    pub stage: StageName,
    pub attempt: AttemptId,
}

/// A call of one stage at an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    pub ident: AttemptIdent,
    pub endpoint: EndpointName,
    pub generation: Generation,
    pub addr: SocketAddr,
    pub pool: PoolName,
    pub class: Class,
    /// The request that the call belongs to.
    pub origin: RequestOrigin,
    /// The time until the request's deadline.
    pub remaining: Millis,
    /// The first piece to send; earlier ones have been received.
    pub from_piece: u32,
    /// Present if the stage has an effect; such a call must not be repeated.
    pub fence: Option<Fence>,
    pub input: Arc<str>,
}

/// What makes a request the same as another one.
#[derive(Debug, Clone)]
pub struct RequestOrigin {
    pub route: RouteName,
    pub team: TeamName,
    pub input: Arc<str>,
}

impl RequestOrigin {
    /// Returns the request as a suspect.
    pub fn suspect(&self) -> Suspect {
        Suspect::Request(RequestDigest::of(&self.route, &self.team, &self.input))
    }
}

/// The parameters of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimParams {
    pub key: ClaimKey,
    pub digest: RequestDigest,
    pub route: RouteName,
    pub team: TeamName,
}

/// An action for the embedder to carry out.
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
    /// A piece of the last stage's answer, to be streamed to the caller.
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

/// An event of an attempt. Each `ident` is as received from the endpoint and
/// may be wrong.
#[derive(Debug, Clone)]
pub enum AttemptEvent {
    Piece {
        ident: AttemptIdent,
        number: u32,
        data: String,
    },
    /// The answer is complete; `pieces` is its total number of pieces.
    Done {
        ident: AttemptIdent,
        pieces: u32,
        tokens: Tokens,
    },
    /// The endpoint refused the call without beginning it. `cold` means that
    /// it can take fewer requests than assumed.
    Refused {
        cold: bool,
    },
    /// What the endpoint says of itself in the head of the answer; more events follow.
    Notice(EndpointNotice),
    /// What the head of the answer says of the endpoint's limit; more events follow.
    Limit(LimitNotice),
    /// The attempt failed. Unless `sent`, the endpoint cannot have begun it.
    Failed {
        sent: bool,
        detail: String,
    },
}
