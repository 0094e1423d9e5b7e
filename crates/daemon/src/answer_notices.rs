//! What an endpoint says of itself in the head of an answer.

use {
    coord::{
        limits::{LimitNotice, parse_limit},
        relay::{EndpointNotice, parse_pause},
    },
    hyper::{
        Response, StatusCode,
        header::{HeaderName, RETRY_AFTER},
    },
};

/// The project's own header of an endpoint that is leaving.
pub const LEAVING_HEADER: &str = "mangobend-leaving";
/// The project's own header of an endpoint that takes a limited number of requests a
/// second.
pub const LIMIT_HEADER: &str = "mangobend-limit";
/// The project's own header of an endpoint that goes down when it rejects more requests in
/// a second.
pub const BRITTLE_HEADER: &str = "mangobend-brittle";
/// The value of the leaving header; with any other the endpoint isn't leaving.
const LEAVING: &[u8] = b"1";

/// Reads the notices from the head of an answer; `leaving` names the header of an
/// endpoint that is leaving.
pub fn read_notices<B>(
    response: &Response<B>,
    leaving: &HeaderName,
) -> impl Iterator<Item = EndpointNotice> {
    let headers = response.headers();
    let is_leaving = headers.get(leaving).is_some_and(|it| it.as_bytes() == LEAVING);
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let wait = headers.get(RETRY_AFTER).filter(|_| refused).and_then(|it| it.to_str().ok());
    let pause = wait.and_then(parse_pause).map(EndpointNotice::Pause);
    pause.into_iter().chain(is_leaving.then_some(EndpointNotice::Leaving))
}

/// Reads the limit from the head of an answer, or how many requests its endpoint may reject
/// in a second; `limit` names the header. Of several
/// values the lowest counts.
pub fn read_limit<B>(response: &Response<B>, limit: &HeaderName) -> LimitNotice {
    let values = || response.headers().get_all(limit).iter();
    let parsed = values().filter_map(|it| it.to_str().ok()).filter_map(parse_limit);
    match parsed.min() {
        Some(rate) => LimitNotice::Named(rate),
        None if values().next().is_some() => LimitNotice::Unreadable,
        None => LimitNotice::Absent,
    }
}
