//! The check whether an endpoint whose connection has ended has crashed.

use std::{io, time::Duration};

/// The time between a broken connection and the check of its endpoint, so that the
/// listener of a process that ends is gone too.
pub const CHECK_DELAY: Duration = Duration::from_millis(50);
/// How long the check may take. An endpoint that doesn't answer it hasn't crashed in a
/// way that can be told from a lost link.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether nothing listens any more where a connection was tried.
pub fn is_refusal<T>(connected: &io::Result<T>) -> bool {
    connected.as_ref().is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}
