//! A client's connection whose reads and writes are watched.

use {
    super::ConnectionGuard,
    socket2::SockRef,
    std::{
        io,
        net::Shutdown,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The most bytes of one read. `hyper` doubles its buffer, of 8 KiB at first, when a read
/// fills it.
const READ_BYTES: usize = (8 << 10) - 1;

/// A TCP connection that tells its guard what its client does.
pub struct GuardedStream {
    inner: TcpStream,
    guard: ConnectionGuard,
    is_blocked: bool,
}

impl GuardedStream {
    /// Watches a connection.
    pub fn new(inner: TcpStream, guard: ConnectionGuard) -> Self {
        Self { inner, guard, is_blocked: false }
    }

    /// Returns the guard of the connection.
    pub fn guard(&self) -> &ConnectionGuard {
        &self.guard
    }

    /// Returns the connection itself.
    pub fn tcp(&self) -> &TcpStream {
        &self.inner
    }

    /// Returns the connection itself, no longer watched.
    pub fn into_tcp(self) -> TcpStream {
        self.inner
    }

    fn note_write(&mut self, is_blocked: bool) {
        // Each write starts the time anew, so that a client that takes some bytes stays.
        if !is_blocked || !self.is_blocked {
            self.is_blocked = is_blocked;
            self.guard.note_blocked(is_blocked);
        }
    }

    fn poll_written(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.inner.poll_write_ready(cx)?.is_pending() {
                self.note_write(true);
                return Poll::Pending;
            }
            match write(&self.inner) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.note_write(false);
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(poll_read_some(&self.inner, cx, buf))?;
        self.guard.note_read();
        Poll::Ready(Ok(()))
    }
}

/// Reads what has arrived, at most [`READ_BYTES`].
pub fn poll_read_some(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let most = buf.remaining().min(READ_BYTES);
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled_to(most)) {
            Ok(count) => {
                buf.advance(count);
                return Poll::Ready(Ok(()));
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => return Poll::Ready(Err(err)),
        }
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |it| it.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |it| it.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.inner).shutdown(Shutdown::Write))
    }
}
