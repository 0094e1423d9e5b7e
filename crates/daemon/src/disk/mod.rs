//! The data folder: identity, log and snapshots.

mod error;
mod folder;
mod frame;
mod identity;
mod room;
mod store;
mod writer;

pub use {
    error::DiskError, folder::Folder, identity::Identity, room::when_room, store::Store,
    writer::DiskWriter,
};
