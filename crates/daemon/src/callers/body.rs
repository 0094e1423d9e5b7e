//! Answers as HTTP bodies.

use {
    super::reply::{CallerReply, into_answer},
    crate::event::{Event, Inbox},
    coord::{ids::RequestId, wire::CallerEvent},
    http_body_util::{Either, Full},
    hyper::body::{Body, Bytes, Frame},
    serde::Serialize,
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// A whole body or a stream of events.
pub type AnswerBody = Either<Full<Bytes>, EventBody>;

/// Tells the core loop when a caller has gone before its answer.
pub struct DisconnectGuard {
    request: RequestId,
    inbox: Inbox,
    done: bool,
}

impl DisconnectGuard {
    /// A caller that waits for a request.
    pub fn new(request: RequestId, inbox: Inbox) -> Self {
        Self { request, inbox, done: false }
    }

    /// The caller has its answer.
    pub fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.done {
            self.inbox.offer(Event::Abandon(self.request));
        }
    }
}

/// Server-sent events of one request, each sent as it comes.
pub struct EventBody {
    request: RequestId,
    first: Option<CallerReply>,
    replies: UnboundedReceiver<CallerReply>,
    guard: DisconnectGuard,
    pieces: u32,
}

impl EventBody {
    /// Streams the replies to a request, of which the first has come.
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
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.guard.done {
            return Poll::Ready(None);
        }
        let next = match self.first.take() {
            Some(it) => Poll::Ready(Some(it)),
            None => self.replies.poll_recv(cx),
        };
        match next {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(reply)) => {
                let event = self.event(reply);
                let text = format!("data: {}\n\n", json_text(&event));
                Poll::Ready(Some(Ok(Frame::data(text.into()))))
            }
        }
    }
}

/// A value as JSON text.
pub fn json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the value can be written as JSON")
}
