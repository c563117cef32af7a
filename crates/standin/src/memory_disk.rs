//! A stand-in disk in memory: what was not synced is lost in a crash, and any
//! operation can be made to fail.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use edges::disk::DiskFolder;
use indexmap::IndexMap;

/// What a crash leaves of a file's unsynced tail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashTail {
    /// Nothing.
    Lost,
    /// So many bytes of it.
    Torn(usize),
}

#[derive(Debug, Clone, Default)]
struct DiskFile {
    content: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct DiskCore {
    /// Files as a running process sees them.
    files: IndexMap<String, DiskFile>,
    /// Files whose names last.
    lasting: IndexMap<String, DiskFile>,
    operations: usize,
    fail_at: Option<usize>,
    /// Bytes that may still be written before the disk is full.
    room: Option<usize>,
}

/// A disk that several journals in turn can use.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    core: Arc<Mutex<DiskCore>>,
}

impl MemoryDisk {
    fn lock(&self) -> MutexGuard<'_, DiskCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Operations so far.
    pub fn operations(&self) -> usize {
        self.lock().operations
    }

    /// Lets the operation of this number, and all after it, fail.
    pub fn fail_at(&self, operation: usize) {
        self.lock().fail_at = Some(operation);
    }

    /// Leaves so many bytes of room.
    pub fn leave_room(&self, bytes: usize) {
        self.lock().room = Some(bytes);
    }

    /// Crashes: unsynced content goes, but for what `tail` leaves; unsynced
    /// names go. The disk works again.
    pub fn crash(&self, tail: CrashTail) {
        let mut core = self.lock();
        core.fail_at = None;
        core.room = None;
        let mut files = core.lasting.clone();
        for (name, file) in &mut files {
            let written = core.files.get(name).map_or(&[][..], |file| &file.content[..]);
            let mut left = file.synced.clone();
            if let CrashTail::Torn(bytes) = tail {
                let unsynced = written.get(left.len()..).unwrap_or(&[]);
                left.extend(unsynced.iter().take(bytes));
            }
            file.content.clone_from(&left);
            file.synced = left;
        }
        core.files.clone_from(&files);
        core.lasting = files;
    }

    /// Flips a bit of a file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut core = self.lock();
        let DiskCore { files, lasting, .. } = &mut *core;
        for side in [files, lasting] {
            if let Some(file) = side.get_mut(name) {
                file.content[offset] ^= 1;
                file.synced[offset] ^= 1;
            }
        }
    }

    /// Names and lengths of the files.
    pub fn lengths(&self) -> IndexMap<String, usize> {
        let core = self.lock();
        core.files.iter().map(|(name, file)| (name.clone(), file.content.len())).collect()
    }
}

impl DiskCore {
    /// Counts an operation; fails when its turn has come.
    fn operate(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        match self.fail_at {
            Some(fail_at) if number >= fail_at => Err(io::Error::other("the disk failed")),
            _ => Ok(()),
        }
    }

    fn take_room(&mut self, bytes: usize) -> io::Result<()> {
        let Some(room) = &mut self.room else { return Ok(()) };
        if *room < bytes {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        *room -= bytes;
        Ok(())
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
        core.operate()?;
        core.take_room(bytes.len())?;
        core.files.entry(name.to_owned()).or_default().content.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut core = self.lock();
        core.operate()?;
        core.file(name)?.content.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut core = self.lock();
        core.operate()?;
        let file = core.file(name)?;
        file.synced.clone_from(&file.content);
        let file = file.clone();
        if let Some(lasting) = core.lasting.get_mut(name) {
            *lasting = file;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut core = self.lock();
        core.operate()?;
        let file = core.file(from)?.clone();
        core.files.shift_remove(from);
        core.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut core = self.lock();
        core.operate()?;
        core.files.shift_remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut core = self.lock();
        core.operate()?;
        let files = core.files.clone();
        core.lasting = files;
        Ok(())
    }
}
