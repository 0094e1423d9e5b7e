//! Whether a caller can tell a cut answer by its missing last chunk.

use {
    hyper::{Request, Version},
    socket2::SockRef,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Whether the caller of a connection knows chunks, as all do until a request says
/// otherwise. One that doesn't takes the end of the connection for the end of an
/// answer without a length.
#[derive(Debug, Default)]
pub struct ChunkSupport {
    missing: AtomicBool,
}

impl ChunkSupport {
    /// Notes the version of the connection's current request.
    pub fn note<B>(&self, request: &Request<B>) {
        self.missing.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
    }

    /// Closes a connection that ended with an error, with a reset if the caller
    /// would otherwise take a cut answer as complete.
    pub fn close_failed(&self, stream: TcpStream) {
        if self.missing.load(Ordering::Relaxed)
            && let Err(err) = SockRef::from(&stream).set_linger(Some(Duration::ZERO))
        {
            log::warn!(error:% = err; "[callers] a cut answer can't be marked by a reset");
        }
    }
}
