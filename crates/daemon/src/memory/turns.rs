//! Serializes the handling of configurations.

use {
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::timeout,
    },
};

/// The longest wait for the turn, as for room for a body.
const TURN_WAIT: Duration = Duration::from_secs(2);

/// The turn to decode a configuration and have it agreed, which takes several times its length.
#[derive(Debug, Clone)]
pub struct ConfigurationTurns(Arc<Semaphore>);

/// Held while a configuration is taken.
#[derive(Debug)]
pub struct ConfigurationTurn {
    _permit: OwnedSemaphorePermit,
}

impl Default for ConfigurationTurns {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(1)))
    }
}

impl ConfigurationTurns {
    /// Waits for the turn. Nothing if it doesn't come in time.
    pub async fn take(&self) -> Option<ConfigurationTurn> {
        let permit = timeout(TURN_WAIT, self.0.clone().acquire_owned()).await;
        permit.ok()?.ok().map(|it| ConfigurationTurn { _permit: it })
    }
}
