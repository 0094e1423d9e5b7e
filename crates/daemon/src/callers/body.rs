//! HTTP response bodies for callers.

use {
    super::reply::{CallerReply, into_answer},
    crate::{
        event::{Event, Inbox},
        flushed_body::FlushedBody,
        memory::Share,
    },
    coord::{ids::RequestId, wire::CallerEvent},
    http_body_util::{Either, Full},
    hyper::body::{Body, Bytes, Frame},
    serde::Serialize,
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// A complete body or a stream of server-sent events.
pub type AnswerBody = Either<Full<Bytes>, FlushedBody<EventBody>>;

/// Abandons a request in the core loop if it is dropped before its answer is
/// complete, as when the caller disconnects.
pub struct DisconnectGuard {
    request: RequestId,
    inbox: Inbox,
    done: bool,
    /// The room of the request's input.
    _share: Option<Share>,
}

impl DisconnectGuard {
    /// A guard for a request whose caller waits for the answer.
    pub fn new(request: RequestId, inbox: Inbox) -> Self {
        Self { request, inbox, done: false, _share: None }
    }

    /// Holds the room of the request's input as long as the guard lives.
    pub fn with_share(mut self, share: Option<Share>) -> Self {
        self._share = share;
        self
    }

    /// Disarms the guard: the answer is complete.
    pub fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.done {
            self.inbox.offer(Event::CallerGone(self.request));
        }
    }
}

/// The server-sent events of one request, each sent as soon as it is ready. If the
/// core loop ends before the request, the connection is closed, so that the body
/// never looks complete.
pub struct EventBody {
    request: RequestId,
    first: Option<CallerReply>,
    replies: UnboundedReceiver<CallerReply>,
    guard: DisconnectGuard,
    pieces: u32,
}

impl EventBody {
    /// Streams the replies to a request, starting with `first`.
    pub fn new(
        request: RequestId,
        first: CallerReply,
        replies: UnboundedReceiver<CallerReply>,
        guard: DisconnectGuard,
    ) -> Self {
        Self { request, first: Some(first), replies, guard, pieces: 0 }
    }

    fn event(&mut self, reply: CallerReply) -> CallerEvent {
        match reply {
            CallerReply::Piece { number, data } => {
                self.pieces = number + 1;
                CallerEvent::Piece { number, data }
            }
            CallerReply::Finish(finish) => {
                self.guard.finish();
                match into_answer(self.request, *finish) {
                    Ok(answer) => CallerEvent::Done { pieces: self.pieces, answer },
                    Err(err) => CallerEvent::Error(err),
                }
            }
        }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.guard.done {
            return Poll::Ready(None);
        }
        let next = match self.first.take() {
            Some(it) => Poll::Ready(Some(it)),
            None => self.replies.poll_recv(cx),
        };
        match next {
            Poll::Pending => Poll::Pending,
            // The core loop has ended without finishing the request.
            Poll::Ready(None) => {
                log::warn!(request:% = self.request; "[callers] answer cut, the core loop has ended");
                Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())))
            }
            Poll::Ready(Some(reply)) => {
                let event = self.event(reply);
                let text = format!("data: {}\n\n", json_text(&event));
                Poll::Ready(Some(Ok(Frame::data(text.into()))))
            }
        }
    }
}

/// Serializes a value as JSON text.
pub fn json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the value can be serialized as JSON")
}
