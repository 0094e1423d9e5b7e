//! When the kernel gives up connections whose other side has vanished.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// What the kernel allows the other side of a connection.
#[derive(Debug, Clone, Copy)]
pub struct SocketBounds {
    /// How long sent data may stay unacknowledged, or unsent as the other side doesn't read. Unset:
    /// it is sent again for minutes, and a side that only doesn't read isn't given up.
    user_timeout: Option<Duration>,
    /// Idle time before the first keep-alive probe, and the interval of probes.
    probe_interval: Duration,
    /// The number of unanswered probes that close the connection. A user timeout counts instead.
    max_probes: u32,
}

impl SocketBounds {
    /// Callers may stop reading for as long as the write timeouts of [`crate::memory`] allow. Those,
    /// the deadlines of requests and the idle timeout bound one that vanishes within its answer.
    /// Probes notice one that vanishes while it waits, so that the work for it ends.
    pub const CALLER: Self =
        Self { user_timeout: None, probe_interval: Duration::from_secs(1), max_probes: 2 };

    /// A request at an endpoint that has vanished has to be sent to another well before its
    /// deadline; longer than one retransmission.
    pub const ENDPOINT: Self = Self {
        user_timeout: Some(Duration::from_secs(2)),
        probe_interval: Duration::from_secs(1),
        max_probes: 2,
    };

    /// An instance that a request is handed to may leave a long body unread for 2 s, until there is
    /// room for it, before it refuses.
    pub const HELPER: Self = Self { user_timeout: Some(Duration::from_secs(4)), ..Self::ENDPOINT };

    /// Calls between instances have time limits of their own. Connections from instances that have
    /// vanished end, so that they don't hold descriptors for good.
    pub const PEER: Self =
        Self { user_timeout: None, probe_interval: Duration::from_secs(10), max_probes: 3 };

    /// Sets the bounds of a connection and disables Nagle's algorithm.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(self.user_timeout)?;
        let probes = TcpKeepalive::new()
            .with_time(self.probe_interval)
            .with_interval(self.probe_interval)
            .with_retries(self.max_probes);
        socket.set_tcp_keepalive(&probes)
    }
}
