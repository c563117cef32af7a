//! Owns the data folder: the trait for its file operations, and the
//! implementation on the host's file system.
//!
//! Invariants:
//! - an append or a rename is durable only once it is synced;
//! - a lock file keeps a second process from using the same folder.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use indexmap::IndexMap;

/// A folder whose files are durable once they are synced. A trait, since tests
/// substitute a disk that fails.
pub trait DiskFolder: Send {
    /// Returns the names of the files in the folder.
    ///
    /// # Errors
    /// The operating system's error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// The operating system's error.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it is missing.
    ///
    /// # Errors
    /// The operating system's error.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// The operating system's error.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes a file's content durable.
    ///
    /// # Errors
    /// When the sync fails; what the file holds on disk is then undefined.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    /// The operating system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// When the operating system refuses, or the file is missing.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names of files durable.
    ///
    /// # Errors
    /// The operating system's error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// File whose lock excludes other processes.
const LOCK_FILE: &str = "lock";

/// A folder of the host's file system.
#[derive(Debug)]
pub struct HostFolder {
    path: PathBuf,
    open: IndexMap<String, File>,
    _lock: File,
}

impl HostFolder {
    /// Opens a folder, creating it if it is missing, and locks it.
    ///
    /// # Errors
    /// When it can't be created or another process has locked it.
    pub fn open(path: &Path) -> io::Result<HostFolder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock()
            .map_err(|error| io::Error::other(format!("{} is in use: {error}", path.display())))?;
        Ok(HostFolder { path: path.to_owned(), open: IndexMap::new(), _lock: lock })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::Error::other("the file was just opened"))
    }
}

impl DiskFolder for HostFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.shift_remove(from);
        self.open.shift_remove(to);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.shift_remove(name);
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
