//! The body of a response that is forwarded as it arrives.

use {
    super::{record::RequestRecord, relay::InFlightGuard, upstream::Lease},
    coord::relay::EventScanner,
    hyper::body::{Body, Bytes, Frame, Incoming, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Instant,
    },
    tokio::time::{Sleep, sleep_until},
};

/// Streams an endpoint's response body to the caller. If the body ends early,
/// the caller's connection is closed, so that a partial body never looks
/// complete.
pub struct RelayBody {
    inner: Incoming,
    events: EventScanner,
    lease: Option<Lease>,
    deadline: Pin<Box<Sleep>>,
    record: RequestRecord,
    _in_flight: InFlightGuard,
}

impl RelayBody {
    /// Forwards a body until it ends or the deadline passes.
    pub fn new(
        inner: Incoming,
        lease: Lease,
        deadline: Instant,
        record: RequestRecord,
        in_flight: InFlightGuard,
    ) -> Self {
        let deadline = Box::pin(sleep_until(deadline.into()));
        let lease = Some(lease);
        let events = EventScanner::default();
        let mut body = Self { inner, events, lease, deadline, record, _in_flight: in_flight };
        body.finish_at_end();
        body
    }

    fn add_data(&mut self, data: &Bytes) {
        self.events.push(data);
        self.record.add_bytes(data.len());
        self.record.set_events(self.events.events(), self.events.is_partial());
    }

    /// Finishes a body whose last byte has arrived: hyper doesn't poll a body of
    /// known length again after that.
    fn finish_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    /// Returns the connection to the pool and records the complete response.
    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
        self.record.finish("whole");
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.add_data(data);
                }
                self.finish_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                self.lease = None;
                self.record.log_error(&err);
                self.record.finish("broken_off");
                Poll::Ready(Some(Err(io::Error::other(err))))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.lease = None;
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
