//! The descriptors of the process.

use {
    coord::memory::{ConnectionClass, DescriptorPlan},
    std::sync::{Arc, Mutex, PoisonError},
};

/// Counts the connections of the process by kind.
#[derive(Debug, Clone)]
pub struct Descriptors {
    plan: DescriptorPlan,
    open: Arc<Mutex<[usize; ConnectionClass::COUNT]>>,
}

/// Counts one connection until dropped.
#[derive(Debug)]
pub struct Descriptor {
    class: ConnectionClass,
    open: Arc<Mutex<[usize; ConnectionClass::COUNT]>>,
}

impl Descriptors {
    /// Shares out the descriptors as planned.
    pub fn new(plan: DescriptorPlan) -> Self {
        Self { plan, open: Arc::default() }
    }

    /// Takes a descriptor, if this kind of connection may have one more.
    pub fn take(&self, class: ConnectionClass) -> Option<Descriptor> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.plan.has_room(class, *open) {
            return None;
        }
        open[class as usize] += 1;
        Some(Descriptor { class, open: self.open.clone() })
    }

    /// Takes a descriptor for a connection that replaces one being closed, which still counts
    /// until it is gone.
    pub fn take_over(&self, class: ConnectionClass) -> Descriptor {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open[class as usize] += 1;
        Descriptor { class, open: self.open.clone() }
    }

    /// Returns the part of a kind that the others can't take.
    pub fn own(&self, class: ConnectionClass) -> usize {
        self.plan.own(class)
    }

    /// Returns how many connections of a kind are open.
    pub fn count(&self, class: ConnectionClass) -> usize {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)[class as usize]
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open[self.class as usize] -= 1;
    }
}
