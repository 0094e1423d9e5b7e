//! Responses to callers.

use {
    super::{handed_body::HandedBody, request::connection_options, stream::RelayBody},
    coord::time::Millis,
    http_body_util::{Either, Full},
    hyper::{
        Response, StatusCode,
        body::Bytes,
        header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER},
        http::response,
    },
};

/// Body of a response to a caller.
pub type ResponseBody = Either<Full<Bytes>, Either<RelayBody, HandedBody>>;

/// A response to a caller.
pub type RelayResponse = Response<ResponseBody>;

/// Marks a response whose body holds room of the answers' part until it is written.
#[derive(Debug, Clone, Copy)]
pub struct HoldsRoom;

/// Why a request isn't relayed or got no response from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// This instance has no catalog yet.
    NoCatalog,
    /// No route matches the host and path, or the route has no pool to pick.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The route or the key is unknown by tables that may lack accepted changes.
    Outdated,
    /// The head or the body is invalid.
    Malformed,
    /// The body exceeds the catalog's limit.
    TooLarge,
    /// The body stopped coming. The request has not run.
    Stalled,
    /// There is no memory for the body. The request has not run.
    NoMemory,
    /// The instance is stopping and accepts no new requests.
    Stopping,
    /// No endpoint is available for the request, or one of its stages failed.
    NoEndpoint,
    /// Every endpoint asked for a pause that ends too late.
    Paused,
    /// Every endpoint that could be sent to takes no more requests for now.
    Limited,
    /// The request, or a part of its prompt, crashes endpoints and is withheld from them.
    Withheld,
    /// The request takes up a stream, and it isn't certain which version began it.
    Unresumable,
    /// The body did not arrive, or the stages can't finish, before the deadline.
    TooLate,
    /// Endpoints refused the request or it could not be sent; it has not run.
    NotRun,
    /// The request was sent and may have run.
    Unknown,
    /// The deadline passed after the request was sent; it may have run.
    TimedOut,
}

impl Denial {
    /// Returns the HTTP status. Statuses that mean "not run" are used only if the
    /// request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::NoCatalog
            | Self::Outdated
            | Self::NoMemory
            | Self::Stopping
            | Self::NoEndpoint
            | Self::Paused
            | Self::Limited
            | Self::Withheld
            | Self::Unresumable
            | Self::TooLate
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name used in logs, metrics and the response body.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Outdated => "outdated",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::Stalled => "stalled",
            Self::NoMemory => "no_memory",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::Paused => "paused",
            Self::Limited => "limited",
            Self::Withheld => "withheld",
            Self::Unresumable => "unresumable",
            Self::TooLate => "too_late",
            Self::NotRun => "unrun",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Builds a response for a request without an endpoint's response, with the denial as an
/// extension. `retry_after` becomes the `Retry-After` header, in seconds with two decimals.
pub fn deny(denial: Denial, retry_after: Option<Millis>) -> RelayResponse {
    let mut response =
        Response::builder().status(denial.status()).header(CONTENT_TYPE, "text/plain");
    if let Some(wait) = retry_after {
        response = response.header(RETRY_AFTER, format!("{:.2}", wait.0 as f64 / 1000.0));
    }
    let text = Bytes::from_static(denial.name().as_bytes());
    response.extension(denial).body(full_body(text)).expect("the response head is valid")
}

/// Creates a body from bytes that are all available.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Either::Left(Full::new(bytes))
}

/// Creates a body that is forwarded as it arrives.
pub fn stream_body(body: RelayBody) -> ResponseBody {
    Either::Right(Either::Left(body))
}

/// Creates a body that another instance forwards.
pub fn handed_body(body: HandedBody) -> ResponseBody {
    Either::Right(Either::Right(body))
}

/// Whether a header applies to one connection only and must not be forwarded.
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

/// Adds `Connection: close`.
pub fn add_connection_close(response: &mut RelayResponse) {
    response.headers_mut().insert(CONNECTION, "close".parse().expect("the value is valid"));
}

/// Adds the id of the caller's attempt to a response.
pub fn add_request_id(response: &mut RelayResponse, request: &str, name: &HeaderName) {
    if let Ok(value) = request.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Removes headers that apply only to the connection to an endpoint or another
/// instance.
pub fn strip_hop_by_hop(head: &mut response::Parts) {
    let options = connection_options(&head.headers);
    let names: Vec<_> = head.headers.keys().cloned().collect();
    for name in names {
        if is_hop_by_hop(&name) || options.contains(&name) {
            head.headers.remove(&name);
        }
    }
}
