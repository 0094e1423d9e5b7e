//! A load view shared by the core loop and the relay of one process.

use {
    super::LoadView,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// A handle to the load view of this instance.
#[derive(Debug, Clone, Default)]
pub struct SharedLoad(Arc<Mutex<LoadView>>);

impl SharedLoad {
    /// Creates a handle to a view.
    pub fn new(view: LoadView) -> Self {
        Self(Arc::new(Mutex::new(view)))
    }

    /// Locks the view. Never held across an await or a send.
    pub fn lock(&self) -> MutexGuard<'_, LoadView> {
        // No method of the view panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
