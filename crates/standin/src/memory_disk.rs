//! A disk in memory for crash tests: a crash discards what was not synced, and
//! any operation can be made to fail.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use edges::disk::DiskFolder;
use indexmap::IndexMap;

/// What a crash leaves of the unsynced end of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashTail {
    /// Nothing: the file ends at its last sync.
    Lost,
    /// Its first bytes, at most this many: a torn write.
    Torn(usize),
}

#[derive(Debug, Clone, Default)]
struct DiskFile {
    /// Content as a running process reads it.
    content: Vec<u8>,
    /// Content at the last sync.
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct DiskCore {
    /// Files by name, as a running process sees them.
    files: IndexMap<String, DiskFile>,
    /// Files by name, as of the last sync of the folder; a crash restores these
    /// names. The content of a file is updated by each sync of the file.
    durable: IndexMap<String, DiskFile>,
    /// Number of operations that change the disk or sync it, so far.
    operations: usize,
    /// Number of the first operation that fails.
    fail_at: Option<usize>,
    /// Bytes that may still be written before the disk is full; `None` for no
    /// limit.
    free_bytes: Option<usize>,
}

/// A disk whose content outlives the journals opened on it; clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    core: Arc<Mutex<DiskCore>>,
}

impl MemoryDisk {
    fn lock(&self) -> MutexGuard<'_, DiskCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of operations that changed the disk or synced it, so far.
    pub fn operations(&self) -> usize {
        self.lock().operations
    }

    /// Makes the operation with this number, from 0, and all later ones fail
    /// until the next crash or [`MemoryDisk::restore`].
    pub fn fail_at(&self, operation: usize) {
        self.lock().fail_at = Some(operation);
    }

    /// Limits the bytes that can still be written until the next crash or
    /// [`MemoryDisk::restore`]. A write beyond them leaves its first bytes.
    pub fn limit_free_bytes(&self, bytes: usize) {
        self.lock().free_bytes = Some(bytes);
    }

    /// Ends failures and the limit on free bytes.
    pub fn restore(&self) {
        let mut core = self.lock();
        core.fail_at = None;
        core.free_bytes = None;
    }

    /// Simulates a crash: discards unsynced names, and unsynced content except
    /// what `tail` leaves. Also ends failures and the limit on free bytes.
    pub fn crash(&self, tail: CrashTail) {
        let mut core = self.lock();
        core.fail_at = None;
        core.free_bytes = None;
        let mut files = core.durable.clone();
        for (name, file) in &mut files {
            let written = core.files.get(name).map_or(&[][..], |file| &file.content[..]);
            let mut remaining = file.synced.clone();
            if let CrashTail::Torn(bytes) = tail {
                let unsynced = written.get(remaining.len()..).unwrap_or(&[]);
                remaining.extend(unsynced.iter().take(bytes));
            }
            file.content.clone_from(&remaining);
            file.synced = remaining;
        }
        core.files.clone_from(&files);
        core.durable = files;
    }

    /// Flips the lowest bit of the byte at `offset`, in synced content too.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut core = self.lock();
        let DiskCore { files, durable, .. } = &mut *core;
        for view in [files, durable] {
            if let Some(file) = view.get_mut(name) {
                file.content[offset] ^= 1;
                file.synced[offset] ^= 1;
            }
        }
    }

    /// Lengths of the files in bytes, by name.
    pub fn lengths(&self) -> IndexMap<String, usize> {
        let core = self.lock();
        core.files.iter().map(|(name, file)| (name.clone(), file.content.len())).collect()
    }
}

impl DiskCore {
    /// Counts an operation; fails from the number set by `fail_at` on.
    fn begin_operation(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        match self.fail_at {
            Some(fail_at) if number >= fail_at => Err(io::Error::other("injected disk failure")),
            _ => Ok(()),
        }
    }

    /// Takes up to `bytes` of what is free, and returns how many.
    fn take_free_bytes(&mut self, bytes: usize) -> usize {
        let Some(free) = &mut self.free_bytes else { return bytes };
        let taken = bytes.min(*free);
        *free -= taken;
        taken
    }

    fn file(&mut self, name: &str) -> io::Result<&mut DiskFile> {
        self.files.get_mut(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl DiskFolder for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names: Vec<String> = self.lock().files.keys().cloned().collect();
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.lock().file(name)?.content.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut core = self.lock();
        core.begin_operation()?;
        let taken = core.take_free_bytes(bytes.len());
        let file = core.files.entry(name.to_owned()).or_default();
        file.content.extend_from_slice(&bytes[..taken]);
        if taken < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut core = self.lock();
        core.begin_operation()?;
        core.file(name)?.content.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut core = self.lock();
        core.begin_operation()?;
        let file = core.file(name)?;
        file.synced.clone_from(&file.content);
        let file = file.clone();
        if let Some(durable) = core.durable.get_mut(name) {
            *durable = file;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut core = self.lock();
        core.begin_operation()?;
        let file = core.file(from)?.clone();
        core.files.shift_remove(from);
        core.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut core = self.lock();
        core.begin_operation()?;
        core.files.shift_remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut core = self.lock();
        core.begin_operation()?;
        let files = core.files.clone();
        core.durable = files;
        Ok(())
    }
}
