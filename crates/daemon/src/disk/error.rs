//! Errors of the data folder.

use {
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// An error of the data folder. Every error except a full disk ends the
/// process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DiskError {
    #[snafu(display("data folder {} can't be created or written: {source}", path.display()))]
    Unwritable { path: PathBuf, source: io::Error },
    #[snafu(display("data folder {} is in use by another process", path.display()))]
    InUse { path: PathBuf },
    #[snafu(display("{} can't be read: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{} can't be written or synced: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("{} is damaged at byte {at}: {detail}", path.display()))]
    Damaged { path: PathBuf, at: u64, detail: String },
}

impl DiskError {
    /// Whether the write failed because the disk or the quota is full.
    pub fn is_full(&self) -> bool {
        let Self::Write { source, .. } = self else {
            return false;
        };
        matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
    }
}
