//! Owns the data folder: the trait at the edge to the disk, and the real one.
//!
//! Invariants:
//! - what was appended or renamed lasts only once it is synced;
//! - one process at a time uses a folder.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use indexmap::IndexMap;

/// A folder whose files last once they are synced. A trait, since tests put a
/// failing disk in its place.
pub trait DiskFolder: Send {
    /// Names of the files.
    ///
    /// # Errors
    /// What the disk says.
    fn list(&self) -> io::Result<Vec<String>>;

    /// A whole file.
    ///
    /// # Errors
    /// What the disk says.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes at the end of a file, which is made when missing.
    ///
    /// # Errors
    /// What the disk says.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    ///
    /// # Errors
    /// What the disk says.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes a file's content last.
    ///
    /// # Errors
    /// What the disk says; nothing is certain of the file any more.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, replacing the file that had it.
    ///
    /// # Errors
    /// What the disk says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// What the disk says.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names of the files last.
    ///
    /// # Errors
    /// What the disk says.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Name of the file whose lock keeps other processes out.
const LOCK_FILE: &str = "lock";

/// A folder of the host's file system.
#[derive(Debug)]
pub struct HostFolder {
    path: PathBuf,
    open: IndexMap<String, File>,
    _lock: File,
}

impl HostFolder {
    /// Opens a folder, making it when missing, and locks it.
    ///
    /// # Errors
    /// When it can't be made, or another process uses it.
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
