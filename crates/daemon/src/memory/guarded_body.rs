//! The body of an answer on a guarded connection.

use {
    super::ConnectionGuard,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Passes a body through. When it is dropped, its connection counts as idle.
pub struct GuardedBody<B> {
    inner: B,
    guard: ConnectionGuard,
}

impl<B> GuardedBody<B> {
    /// Wraps the body of the answer to a connection's current request.
    pub fn new(inner: B, guard: ConnectionGuard) -> Self {
        Self { inner, guard }
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B> Drop for GuardedBody<B> {
    fn drop(&mut self) {
        self.guard.note_answered();
    }
}
