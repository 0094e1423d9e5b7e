//! A peer's connection of which little is read before the secret is known.

use {
    crate::memory::{GuardedStream, note_refusal},
    coord::memory::{FirstBytes, FirstMessage, HeadCheck},
    std::{
        io, mem,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    subtle::ConstantTimeEq,
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// How the answer begins that makes a connection a web socket.
const UPGRADED: &[u8] = b"HTTP/1.1 101";
/// The most bytes of one read before the secret is known.
const READ_BYTES: usize = 1 << 10;

/// A connection that ends if its client sends much without the secret. Until the secret is known
/// it counts as one whose head is under way, and has the time limit of that.
pub struct GuardedSocket {
    inner: GuardedStream,
    secret: Arc<str>,
    /// Ends when the connection is to be closed. What serves it no longer waits for that once it
    /// is a web socket.
    closed: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
    is_closed: bool,
    phase: Phase,
}

enum Phase {
    /// No web socket yet.
    Head(HeadCheck),
    /// The secret hasn't come. Of the bytes that came, `ready` may be handled now.
    Unproven { check: FirstMessage, held: Vec<u8>, ready: usize },
    /// The secret has come. What was held is handled first.
    Proven { held: Vec<u8> },
}

impl GuardedSocket {
    /// Watches a connection whose client is to show the secret.
    pub fn new(inner: GuardedStream, secret: Arc<str>) -> Self {
        let guard = inner.guard().clone();
        let closed = Box::pin(async move { guard.closed().await });
        Self { inner, secret, closed, is_closed: false, phase: Phase::Head(HeadCheck::default()) }
    }

    /// Notes that the answer that begins so was written.
    fn note_written(&mut self, first: &[u8]) -> io::Result<()> {
        let Phase::Head(check) = &self.phase else {
            return Ok(());
        };
        if !first.starts_with(UPGRADED) {
            return Ok(());
        }
        if !check.is_whole() {
            return Err(self.deny());
        }
        let check = FirstMessage::new(&self.secret);
        self.phase = Phase::Unproven { check, held: Vec::new(), ready: 0 };
        Ok(())
    }

    fn deny(&self) -> io::Error {
        note_refusal("peers", "no_secret", Some(self.inner.guard().client()));
        io::ErrorKind::PermissionDenied.into()
    }

    /// Reads until some of what is held may be handled, or the connection ends.
    fn poll_unproven(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Phase::Unproven { check, held, ready: 0 } = &mut self.phase {
            self.is_closed = self.is_closed || self.closed.as_mut().poll(cx).is_ready();
            if self.is_closed {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let mut bytes = [0; READ_BYTES];
            let most = check.room().saturating_sub(held.len()).min(READ_BYTES);
            let mut buf = ReadBuf::new(&mut bytes[..most]);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
            held.extend_from_slice(buf.filled());
            match check.check(held, |a, b| a.ct_eq(b).into()) {
                FirstBytes::Pass(count) => {
                    if let Phase::Unproven { ready, .. } = &mut self.phase {
                        *ready = count;
                    }
                }
                FirstBytes::Proven => {
                    self.inner.guard().note_request();
                    self.phase = Phase::Proven { held: mem::take(held) };
                }
                FirstBytes::Denied => {
                    self.is_closed = true;
                    return Poll::Ready(Err(self.deny()));
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for GuardedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let own = &mut *self;
        ready!(own.poll_unproven(cx))?;
        let (held, ready) = match &mut own.phase {
            Phase::Head(check) => {
                let before = buf.filled().len();
                ready!(Pin::new(&mut own.inner).poll_read(cx, buf))?;
                let is_accepted = check.accepts(&buf.filled()[before..]);
                return Poll::Ready(if is_accepted { Ok(()) } else { Err(own.deny()) });
            }
            Phase::Proven { held } if held.is_empty() => {
                return Pin::new(&mut own.inner).poll_read(cx, buf);
            }
            Phase::Proven { held } => {
                let all = held.len();
                (held, &mut { all })
            }
            Phase::Unproven { held, ready, .. } => (held, ready),
        };
        let count = buf.remaining().min(*ready);
        buf.put_slice(&held[..count]);
        held.drain(..count);
        *ready -= count;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        Poll::Ready(self.note_written(buf).map(|()| count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        let first = bufs.iter().find(|it| !it.is_empty()).map_or(&[][..], |it| &**it);
        Poll::Ready(self.note_written(first).map(|()| count))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
