//! Bodies that end with an error.

use {
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Delays the error of a body by one poll: the server closes the connection at once
/// on an error, and drops the bytes before it that it hasn't sent.
pub struct FlushedBody<B: Body> {
    inner: B,
    error: Option<B::Error>,
}

impl<B: Body> FlushedBody<B> {
    /// Wraps a body.
    pub fn new(inner: B) -> Self {
        Self { inner, error: None }
    }
}

impl<B: Body<Error: Unpin> + Unpin> Body for FlushedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(err) = self.error.take() {
            return Poll::Ready(Some(Err(err)));
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Err(err))) => {
                self.error = Some(err);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
