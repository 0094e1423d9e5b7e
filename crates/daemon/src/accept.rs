//! Accepts connections up to a limit.

use {
    std::{net::TcpListener, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
};

/// The delay after a failed accept, for instance with too many open files.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Hands each connection to `serve` until the process ends, together with a permit
/// to keep until the connection is closed. Connections beyond `max_connections` are
/// closed at once. `part` is the prefix of the log lines.
///
/// # Panics
/// If the listener can't be made non-blocking.
pub async fn accept(
    listener: TcpListener,
    part: &str,
    max_connections: usize,
    mut serve: impl FnMut(TcpStream, OwnedSemaphorePermit),
) {
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime runs");
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match permits.clone().try_acquire_owned() {
                Ok(permit) => serve(stream, permit),
                Err(_) => log::warn!(
                    from:% = from, most = max_connections;
                    "[{part}] connection closed, the connection limit is reached"
                ),
            },
            Err(err) => {
                log::warn!("[{part}] A connection could not be accepted: {err}.");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
