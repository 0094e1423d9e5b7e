//! The body of a response that is forwarded as it arrives.

use {
    super::{
        body_check::BodyCheck,
        crash_watch::AttemptWatch,
        record::RequestRecord,
        relay::{InFlightGuard, RunTimer},
        rollouts::SendGuard,
        stream_recorder::StreamGuard,
        upstream::Lease,
    },
    coord::relay::EventScanner,
    hyper::body::{Body, Bytes, Frame, Incoming, SizeHint},
    std::{
        error::Error,
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Instant,
    },
    tokio::time::{Sleep, sleep_until},
};

/// What a stream holds while it is under way.
pub struct StreamGuards {
    pub lease: Lease,
    pub watch: Box<AttemptWatch>,
    pub stream: StreamGuard,
    pub in_flight: InFlightGuard,
    pub send: SendGuard,
}

/// Streams an endpoint's response body to the caller. If the body ends early,
/// the caller's connection is closed, so that a partial body never looks
/// complete.
pub struct RelayBody {
    inner: Incoming,
    check: BodyCheck,
    lease: Option<Lease>,
    watch: Option<Box<AttemptWatch>>,
    stream: Option<StreamGuard>,
    timer: Option<RunTimer>,
    deadline: Pin<Box<Sleep>>,
    record: RequestRecord,
    send: SendGuard,
    _in_flight: InFlightGuard,
}

impl RelayBody {
    /// Forwards a body until it ends or the deadline passes.
    pub fn new(
        inner: Incoming,
        check: BodyCheck,
        guards: StreamGuards,
        timer: RunTimer,
        deadline: Instant,
        record: RequestRecord,
    ) -> Self {
        let deadline = Box::pin(sleep_until(deadline.into()));
        let StreamGuards { lease, watch, stream, in_flight, send } = guards;
        let mut body = Self {
            inner,
            check,
            lease: Some(lease),
            watch: Some(watch),
            stream: Some(stream),
            timer: Some(timer),
            deadline,
            record,
            send,
            _in_flight: in_flight,
        };
        body.finish_at_end();
        body
    }

    fn add_data(&mut self, data: &Bytes) {
        if !data.is_empty() {
            self.send.answered();
        }
        self.check.push(data);
        self.record.add_bytes(data.len());
        let events = self.check.events();
        if let Some(it) = events {
            self.record.set_events(it.events(), it.is_partial());
        }
        if let Some(it) = self.watch.as_mut().filter(|_| !data.is_empty()) {
            it.note_bytes(events.map(EventScanner::events));
        }
    }

    /// Finishes a body whose last byte has arrived: hyper doesn't poll a body of
    /// known length again after that.
    fn finish_at_end(&mut self) {
        if self.inner.is_end_stream() && self.check.check_end().is_ok() {
            self.finish();
        }
    }

    /// Returns the connection to the pool and records the complete response.
    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
        if let Some(watch) = self.watch.take() {
            watch.close();
        }
        if let Some(stream) = self.stream.take() {
            stream.close();
        }
        if let Some(timer) = self.timer.take() {
            timer.close();
        }
        self.record.finish("whole");
    }

    /// Closes the endpoint's connection and records a response that was cut.
    fn break_off(&mut self, err: impl Error + Send + Sync + 'static) -> io::Error {
        self.lease = None;
        if let Some(it) = self.watch.take() {
            it.broke_off(true);
        }
        self.record.log_error(&err);
        self.record.finish("broken_off");
        io::Error::other(err)
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
            Poll::Ready(Some(Err(err))) => Poll::Ready(Some(Err(self.break_off(err)))),
            Poll::Ready(None) => match self.check.check_end() {
                Ok(()) => {
                    self.finish();
                    Poll::Ready(None)
                }
                Err(err) => {
                    self.send.failed();
                    Poll::Ready(Some(Err(self.break_off(err))))
                }
            },
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.lease = None;
                self.send.timed_out();
                self.record.finish("timed_out");
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    /// Unknown for a body whose content is checked at its end: a length would let it
    /// look complete before.
    fn size_hint(&self) -> SizeHint {
        match self.check.events() {
            Some(_) => SizeHint::default(),
            None => self.inner.size_hint(),
        }
    }
}
