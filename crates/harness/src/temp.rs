//! Temporary folders.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

/// A folder under the system's temporary folder, removed on drop unless
/// `MANGOBEND_KEEP` is set.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates an empty folder.
    ///
    /// # Panics
    /// If the folder can't be created.
    pub fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("mangobend-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the temporary folder can't be created");
        Self(path)
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Copies the files of a folder into this one.
    ///
    /// # Errors
    /// A file can't be read or written.
    pub fn copy_from(&self, from: &Path) -> io::Result<()> {
        for entry in fs::read_dir(from)? {
            let entry = entry?;
            fs::copy(entry.path(), self.0.join(entry.file_name()))?;
        }
        Ok(())
    }
}

impl Default for TempDir {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("MANGOBEND_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
