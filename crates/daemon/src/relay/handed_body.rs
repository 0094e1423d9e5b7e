//! The body of an answer that comes through another instance.

use {
    super::{record::RequestRecord, upstream::Connection},
    hyper::body::{Body, Bytes, Frame, Incoming, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Instant,
    },
    tokio::time::{Sleep, sleep_until},
};

/// Forwards a body as it arrives. Dropping it closes the connection to the other instance,
/// which then cancels the request. If the body ends early, so does the caller's answer.
pub struct HandedBody {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    record: RequestRecord,
    _connection: Connection,
}

impl HandedBody {
    /// Forwards a body until it ends or the deadline passes.
    pub fn new(
        inner: Incoming,
        connection: Connection,
        deadline: Instant,
        record: RequestRecord,
    ) -> Self {
        let deadline = Box::pin(sleep_until(deadline.into()));
        let mut body = Self { inner, deadline, record, _connection: connection };
        body.finish_at_end();
        body
    }

    /// Records the end of a body whose last byte has arrived: hyper doesn't poll a body of
    /// known length again after that.
    fn finish_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.record.finish("whole");
        }
    }
}

impl Body for HandedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let count = frame.data_ref().map_or(0, Bytes::len);
                self.record.add_bytes(count);
                self.finish_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                self.record.log_error(&err);
                self.record.finish("broken_off");
                Poll::Ready(Some(Err(io::Error::other(err))))
            }
            Poll::Ready(None) => {
                self.record.finish("whole");
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.record.finish("timed_out");
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
