//! The thread that makes batches durable.

use {
    super::{DiskError, Identity, Store},
    crate::event::{Event, Inbox},
    coord::raft::Batch,
    std::{
        sync::mpsc::{Receiver, Sender, channel},
        thread::{self, JoinHandle},
    },
};

enum Job {
    Batch(Batch),
    Identity(Identity),
}

/// The way to the disk thread. The core has at most one batch under way.
pub struct DiskWriter {
    jobs: Sender<Job>,
    thread: JoinHandle<()>,
}

impl DiskWriter {
    /// Starts the thread.
    pub fn start(store: Store, inbox: Inbox) -> Self {
        let (jobs, receiver) = channel();
        let thread = thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write_all(store, &receiver, &inbox))
            .expect("the disk thread starts");
        Self { jobs, thread }
    }

    /// Has a batch made durable; [`Event::Synced`] tells when it is.
    pub fn commit(&self, batch: Batch) {
        let _ = self.jobs.send(Job::Batch(batch));
    }

    /// Has the identity made durable before any later batch.
    pub fn save_identity(&self, identity: Identity) {
        let _ = self.jobs.send(Job::Identity(identity));
    }

    /// Waits for what was ordered, and ends the thread.
    pub fn close(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

fn write_all(mut store: Store, jobs: &Receiver<Job>, inbox: &Inbox) {
    for job in jobs {
        if let Err(err) = write_one(&mut store, job, inbox) {
            inbox.send(Event::DiskFailed(err));
            return;
        }
    }
}

fn write_one(store: &mut Store, job: Job, inbox: &Inbox) -> Result<(), DiskError> {
    match job {
        Job::Identity(it) => it.save(store.folder()),
        Job::Batch(batch) => {
            let last = batch.last;
            store.commit(batch)?;
            inbox.send(Event::Synced(last));
            Ok(())
        }
    }
}
