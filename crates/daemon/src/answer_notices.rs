//! What an endpoint says of itself in the head of an answer.

use {
    coord::relay::{EndpointNotice, parse_pause},
    hyper::{
        Response, StatusCode,
        header::{HeaderName, RETRY_AFTER},
    },
};

/// The project's own header of an endpoint that is leaving.
pub const LEAVING_HEADER: &str = "mangobend-leaving";
/// The value of the header; with any other the endpoint isn't leaving.
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
