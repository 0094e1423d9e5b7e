//! Accepts connections within a bound.

use {
    std::{net::TcpListener, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
};

/// How long accepting waits after an error, such as too many open files.
const PAUSE: Duration = Duration::from_millis(50);

/// Hands each connection to `serve` until the process ends, with a place that
/// it holds while it lives. Connections beyond `most` are closed at once.
///
/// # Panics
/// If the listener can't be made non-blocking.
pub async fn accept(
    listener: TcpListener,
    part: &str,
    most: usize,
    mut serve: impl FnMut(TcpStream, OwnedSemaphorePermit),
) {
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime runs");
    let places = Arc::new(Semaphore::new(most));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match places.clone().try_acquire_owned() {
                Ok(place) => serve(stream, place),
                Err(_) => log::warn!(
                    from:% = from, most = most;
                    "[{part}] connection refused, too many are open"
                ),
            },
            Err(err) => {
                log::warn!("[{part}] A connection could not be accepted: {err}.");
                sleep(PAUSE).await;
            }
        }
    }
}
