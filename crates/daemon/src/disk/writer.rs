//! The thread that writes batches and the identity to disk.

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

/// A handle to the disk thread. The core loop has at most one batch in
/// progress.
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

    /// Queues a batch; [`Event::Synced`] reports that it is durable.
    pub fn commit(&self, batch: Batch) {
        let _ = self.jobs.send(Job::Batch(batch));
    }

    /// Queues the identity, which is written before any later batch.
    pub fn save_identity(&self, identity: Identity) {
        let _ = self.jobs.send(Job::Identity(identity));
    }

    /// Waits until all queued writes are done, and ends the thread.
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
