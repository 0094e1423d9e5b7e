//! The check whether an endpoint whose connection has ended has crashed.

use {
    metrics::counter,
    std::{fmt, io, time::Duration},
};

/// The time between a broken connection and the check of its endpoint, so that the
/// listener of a process that ends is gone too.
pub const CHECK_DELAY: Duration = Duration::from_millis(50);
/// How long a connection may take. An endpoint that can't be reached hasn't crashed in a
/// way that can be told from a lost link.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// What a check has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// Nothing listens any more: the endpoint has crashed.
    Refused,
    /// The address accepts connections.
    Accepted,
    /// No connection was made in time, or it failed in another way.
    Unreachable,
}

impl CheckResult {
    /// The result of a try to connect; `None` if it took too long.
    pub fn of_connection<T>(connected: Option<&io::Result<T>>) -> Self {
        match connected {
            Some(Ok(_)) => Self::Accepted,
            Some(it) if is_refusal(it) => Self::Refused,
            Some(Err(_)) | None => Self::Unreachable,
        }
    }

    /// Counts the check.
    pub fn count(self) {
        counter!("mangobend_endpoint_checks_total", "result" => self.to_string()).increment(1);
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Accepted => "accepted",
            Self::Unreachable => "unreachable",
        })
    }
}

/// Whether nothing listens any more where a connection was tried.
pub fn is_refusal<T>(connected: &io::Result<T>) -> bool {
    connected.as_ref().is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}
