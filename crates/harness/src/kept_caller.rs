//! A caller of relayed requests that keeps its connection for as long as it can.

use {
    crate::{RawResponse, read_response},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// Longer than any deadline of the requests.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that was sent whole, and what came back.
#[derive(Debug)]
pub struct Exchange {
    pub id: String,
    /// The index of the instance.
    pub instance: usize,
    /// When the last byte was sent.
    pub sent_at: Instant,
    /// When the response or the connection ended.
    pub ended_at: Instant,
    pub response: RawResponse,
}

/// A caller with at most one connection.
#[derive(Debug)]
pub struct KeptCaller {
    addrs: Vec<SocketAddr>,
    kept: Option<(usize, TcpStream)>,
    /// Whether it sends on a connection of which it was told that it will be closed.
    is_stubborn: bool,
}

impl KeptCaller {
    /// Creates a caller of the instances whose relays listen at `addrs`.
    pub fn new(addrs: &[SocketAddr], is_stubborn: bool) -> Self {
        Self { addrs: addrs.to_vec(), kept: None, is_stubborn }
    }

    /// Sends a request on the open connection, or else on a new one to the first instance
    /// that accepts it, beginning with `first`. Returns nothing if the request wasn't sent
    /// whole.
    pub fn send(&mut self, first: usize, id: &str, request: &str) -> Option<Exchange> {
        let kept = self.kept.take().filter(|(_, it)| is_open(it));
        let (instance, mut stream) = kept.or_else(|| self.connect(first))?;
        stream.write_all(request.as_bytes()).ok()?;
        let sent_at = Instant::now();
        let response = read_response(&mut stream);
        let told = response.header("connection").is_some_and(|it| it == "close");
        if response.complete && response.status != 503 && (!told || self.is_stubborn) {
            self.kept = Some((instance, stream));
        }
        Some(Exchange { id: id.to_owned(), instance, sent_at, ended_at: Instant::now(), response })
    }

    fn connect(&self, first: usize) -> Option<(usize, TcpStream)> {
        let order = (0..self.addrs.len()).map(|it| (first + it) % self.addrs.len());
        order.into_iter().find_map(|instance| {
            let stream = TcpStream::connect_timeout(&self.addrs[instance], CONNECT_TIMEOUT).ok()?;
            stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
            stream.set_nodelay(true).ok()?;
            Some((instance, stream))
        })
    }
}

/// Whether the other side hasn't closed a connection that has nothing to be read.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let is_idle = peeked.is_err_and(|it| it.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && is_idle
}
