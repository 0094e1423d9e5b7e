//! The check whether an endpoint whose connection has ended has crashed.

use {
    metrics::counter,
    std::{
        fmt,
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

/// The time between a broken connection and the check of its endpoint, so that the
/// listener of a process that ends is gone too.
pub const CHECK_DELAY: Duration = Duration::from_millis(50);
/// How long a connection may take. An endpoint that can't be reached hasn't crashed in a
/// way that can be told from a lost link.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an answer may take where a connection was made: a sound endpoint may fall
/// silent for about a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a check has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// Nothing listens any more: the endpoint has crashed.
    Refused,
    /// The address accepts connections and closes them without an answer, as of an endpoint
    /// that has crashed behind a proxy, or that has too many connections.
    Closed,
    /// The address accepts connections and answers nothing, as of an endpoint that hangs, or
    /// that is full.
    Silent,
    /// The endpoint answers.
    Answered,
    /// It answers another request meanwhile.
    Alive,
    /// No connection was made in time, or it failed in another way.
    Unreachable,
    /// The address accepts connections, and the endpoint may not be sent anything now.
    Skipped,
}

impl CheckResult {
    /// Whether the endpoint may have crashed.
    pub fn is_crash(self) -> bool {
        matches!(self, Self::Refused | Self::Closed | Self::Silent)
    }

    /// Whether the endpoint may have crashed, and an announcement would refute it.
    pub fn is_presumed(self) -> bool {
        matches!(self, Self::Closed | Self::Silent)
    }

    /// Counts the check.
    pub fn count(self) {
        counter!("mangobend_endpoint_checks_total", "result" => self.to_string()).increment(1);
    }

    fn of_error(err: &io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unreachable,
        }
    }

    /// The result of reading the beginning of an answer.
    fn of_read(read: io::Result<usize>) -> Self {
        match read {
            Ok(count) if count > 0 => Self::Answered,
            Err(err)
                if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                Self::Silent
            }
            Ok(_) | Err(_) => Self::Closed,
        }
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Answered => "answered",
            Self::Alive => "alive",
            Self::Unreachable => "unreachable",
            Self::Skipped => "skipped",
        })
    }
}

/// Asks an endpoint for its health on a new connection, if `may_ask` allows it. Any answer
/// will do.
pub async fn check(addr: SocketAddr, path: &str, may_ask: impl FnOnce() -> bool) -> CheckResult {
    let connecting = tokio::net::TcpStream::connect(addr);
    let mut stream = match tokio::time::timeout(CHECK_TIMEOUT, connecting).await {
        Ok(Ok(it)) => it,
        Ok(Err(err)) => return CheckResult::of_error(&err),
        Err(_) => return CheckResult::Unreachable,
    };
    if !may_ask() {
        return CheckResult::Skipped;
    }
    let asking = async {
        stream.write_all(health_request(addr, path).as_bytes()).await?;
        stream.read(&mut [0; 1]).await
    };
    let read = tokio::time::timeout(ANSWER_TIMEOUT, asking).await;
    CheckResult::of_read(read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())))
}

/// As [`check`], on the calling thread and in any case.
pub fn check_blocking(addr: SocketAddr, path: &str) -> CheckResult {
    let mut stream = match TcpStream::connect_timeout(&addr, CHECK_TIMEOUT) {
        Ok(it) => it,
        Err(err) => return CheckResult::of_error(&err),
    };
    let mut ask = || {
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(health_request(addr, path).as_bytes())?;
        stream.read(&mut [0; 1])
    };
    CheckResult::of_read(ask())
}

fn health_request(addr: SocketAddr, path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n")
}

/// Whether nothing listens any more where a connection was tried.
pub fn is_refusal<T>(connected: &io::Result<T>) -> bool {
    connected.as_ref().is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}
