//! Whether the body of an endpoint's response is whole at its end.

use {
    super::framing::Framing,
    coord::relay::EventScanner,
    hyper::{
        HeaderMap, Response,
        body::Body,
        header::{CONTENT_ENCODING, CONTENT_TYPE},
    },
    snafu::Snafu,
};

const EVENT_STREAM: &str = "text/event-stream";

/// Why a body isn't whole although its framing has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum EarlyEnd {
    #[snafu(display("the stream ends inside an event"))]
    InsideEvent,
    #[snafu(display("the connection was closed before the first event"))]
    NoEvent,
}

/// Checks the end of one body.
#[derive(Debug)]
pub struct BodyCheck {
    framing: Framing,
    /// Scans a body that consists of server-sent events.
    events: Option<EventScanner>,
}

impl BodyCheck {
    /// Creates the check of a response's body. If the response should be a stream, a
    /// body without a framing of its own is taken as events whatever its type.
    pub fn new(response: &Response<impl Body>, is_stream: bool) -> Self {
        let framing = Framing::of(response);
        let unframed_stream = is_stream && framing == Framing::Close;
        let scanned = is_event_stream(response.headers()) || unframed_stream;
        Self { framing, events: scanned.then(EventScanner::default) }
    }

    /// The framing of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// The scanner of a body that consists of events.
    pub fn events(&self) -> Option<&EventScanner> {
        self.events.as_ref()
    }

    /// Scans the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        if let Some(it) = &mut self.events {
            it.push(bytes);
        }
    }

    /// Checks a body whose framing has ended. Where that is the end of the
    /// connection, only a complete event shows that the endpoint answered at all.
    ///
    /// # Errors
    /// The body was cut although its framing has ended.
    pub fn check_end(&self) -> Result<(), EarlyEnd> {
        match &self.events {
            Some(it) if it.is_partial() => Err(EarlyEnd::InsideEvent),
            Some(it) if self.framing == Framing::Close && it.events() == 0 => {
                Err(EarlyEnd::NoEvent)
            }
            _ => Ok(()),
        }
    }
}

/// Whether a body with these headers consists of server-sent events that can be
/// scanned.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|it| it.to_str().ok());
    let kind = text(CONTENT_TYPE).and_then(|it| it.split(';').next()).unwrap_or_default();
    let plain = text(CONTENT_ENCODING).is_none_or(|it| it.eq_ignore_ascii_case("identity"));
    kind.trim().eq_ignore_ascii_case(EVENT_STREAM) && plain
}
