//! The data folder: its lock, and files that are replaced atomically.

use {
    super::{DiskError, error::*, retry_while_full},
    snafu::ResultExt,
    std::{
        fs::{self, File, TryLockError},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Makes the content of the file at a path durable. Tests of lost power pass their own.
pub type SyncFile = Box<dyn Fn(&Path, &File) -> io::Result<()> + Send>;

/// The data folder, locked for this process until the value is dropped.
pub struct Folder {
    path: PathBuf,
    sync_file: SyncFile,
    _lock: File,
}

impl Folder {
    /// Creates the folder if it doesn't exist, and locks it.
    ///
    /// # Errors
    /// The folder can't be written, or another process has locked it.
    pub fn open(path: &Path) -> Result<Self, DiskError> {
        Self::open_with(path, Box::new(|_, file| file.sync_data()))
    }

    /// Does what [`Self::open`] does, with another way to sync files.
    ///
    /// # Errors
    /// The folder can't be written, or another process has locked it.
    pub fn open_with(path: &Path, sync_file: SyncFile) -> Result<Self, DiskError> {
        fs::create_dir_all(path).context(UnwritableSnafu { path })?;
        let lock = File::create(path.join("lock")).context(UnwritableSnafu { path })?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), sync_file, _lock: lock }),
            Err(TryLockError::WouldBlock) => InUseSnafu { path }.fail(),
            Err(TryLockError::Error(err)) => Err(err).context(UnwritableSnafu { path }),
        }
    }

    /// The path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// The names of the files in the folder, sorted.
    pub fn names(&self) -> Result<Vec<String>, DiskError> {
        let path = &self.path;
        let mut names = Vec::new();
        for entry in fs::read_dir(path).context(ReadSnafu { path })? {
            let entry = entry.context(ReadSnafu { path })?;
            names.extend(entry.file_name().into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    /// Replaces a file atomically; its content and name are durable on return.
    pub fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let path = self.file(name);
        let temp = self.file(&format!("{name}.new"));
        let write = || -> io::Result<()> {
            let mut file = File::create(&temp)?;
            file.write_all(bytes)?;
            (self.sync_file)(&temp, &file)?;
            fs::rename(&temp, &path)
        };
        let undo = || {
            self.remove(&format!("{name}.new"));
            Ok(())
        };
        retry_while_full(|| write().context(WriteSnafu { path: &path }), undo)?;
        self.sync()
    }

    /// Makes the content of a file in the folder durable.
    ///
    /// # Errors
    /// It can't be synced.
    pub fn sync_file(&self, path: &Path, file: &File) -> io::Result<()> {
        (self.sync_file)(path, file)
    }

    /// Syncs the directory, so that created and removed files are durable.
    pub fn sync(&self) -> Result<(), DiskError> {
        let path = &self.path;
        let sync = || File::open(path).and_then(|it| it.sync_all()).context(WriteSnafu { path });
        retry_while_full(sync, || Ok(()))
    }

    /// Removes a file if it exists.
    pub fn remove(&self, name: &str) {
        let _ = fs::remove_file(self.file(name));
    }
}
