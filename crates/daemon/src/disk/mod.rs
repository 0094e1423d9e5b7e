//! The data folder: identity, Raft log and snapshots.

mod error;
mod folder;
mod frame;
mod identity;
mod retry;
mod store;
mod writer;

pub use {
    error::DiskError,
    folder::{Folder, SyncFile},
    identity::Identity,
    retry::retry_while_full,
    store::Store,
    writer::DiskWriter,
};
