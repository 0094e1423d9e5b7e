//! A connection to an endpoint that can be looked at while `hyper` drives it.

use {
    crate::memory::poll_read_some,
    socket2::SockRef,
    std::{
        io,
        mem::MaybeUninit,
        net::Shutdown,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A TCP connection with several owners, one of which reads and writes.
#[derive(Clone)]
pub struct SharedStream(Rc<TcpStream>);

impl SharedStream {
    /// Shares a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Whether bytes have arrived that nobody has read, or the connection has ended. What is
    /// read to find out is lost: the connection must then not be used any more.
    pub fn is_spoiled(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let read = SockRef::from(&*self.0).recv(&mut byte);
        !read.is_err_and(|it| it.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read_some(&self.0, cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
