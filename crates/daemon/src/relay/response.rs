//! Answers to callers.

use {
    super::{request::RelayRequest, stream::RelayBody},
    coord::time::Millis,
    http_body_util::{Either, Full},
    hyper::{
        Response, StatusCode,
        body::Bytes,
        header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER},
    },
};

/// The body of an answer.
pub type ResponseBody = Either<Full<Bytes>, RelayBody>;

/// An answer to a caller.
pub type RelayResponse = Response<ResponseBody>;

/// Why a request isn't relayed, or has no answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// This instance knows no catalog yet.
    NoCatalog,
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The head or the body isn't proper.
    Malformed,
    TooLarge,
    /// A planned stop takes nothing new.
    Stopping,
    /// No endpoint of the pool may be given work.
    NoEndpoint,
    /// The stages can't be done in time.
    TooLate,
    /// Endpoints refused it, or it could not be sent.
    Unrun,
    /// It was sent and may have run.
    Unknown,
    /// It was sent, may have run, and the time is up.
    TimedOut,
}

impl Denial {
    /// The status that says no more than is true.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoCatalog | Self::Stopping | Self::NoEndpoint | Self::TooLate | Self::Unrun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::TooLate => "too_late",
            Self::Unrun => "unrun",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Writes an answer of the instance's own. `after` is when to come back.
pub fn deny(denial: Denial, retry_after: Option<Millis>) -> RelayResponse {
    let mut answer = Response::builder().status(denial.status()).header(CONTENT_TYPE, "text/plain");
    if let Some(wait) = retry_after {
        answer = answer.header(RETRY_AFTER, format!("{:.2}", wait.0 as f64 / 1000.0));
    }
    let text = Bytes::from_static(denial.name().as_bytes());
    answer.body(full_body(text)).expect("the answer's head is valid")
}

/// A body that is known whole.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Either::Left(Full::new(bytes))
}

/// A body that is relayed as it comes.
pub fn stream_body(body: RelayBody) -> ResponseBody {
    Either::Right(body)
}

/// Headers that belong to one connection, not to the message.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    ];
    NAMES.contains(&name.as_str())
}

/// Adds the word that the connection ends behind this answer.
pub fn add_connection_close(answer: &mut RelayResponse) {
    answer.headers_mut().insert(CONNECTION, "close".parse().expect("the value is valid"));
}

/// Marks an answer as that to an attempt of a caller.
pub fn add_request_id(answer: &mut RelayResponse, request: &RelayRequest, name: &HeaderName) {
    if let Ok(value) = request.id.parse() {
        answer.headers_mut().insert(name, value);
    }
}
