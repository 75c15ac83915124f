//! The file operations that a store uses.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The files of one flat folder. Tests substitute a disk that tears writes and becomes full.
pub trait Disk: Send {
    /// Lists the names of all files, in any order.
    ///
    /// # Errors
    /// An I/O error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the length of a file in bytes.
    ///
    /// # Errors
    /// An I/O error, e.g. when there is no such file.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Reads exactly `length` bytes from `offset`.
    ///
    /// # Errors
    /// An I/O error, which is `UnexpectedEof` if the file is too short.
    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Appends to a file and makes it durable, creating the file if it is missing.
    ///
    /// # Errors
    /// An I/O error, after which any part of the bytes may be in the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file and makes what is left of it durable.
    ///
    /// # Errors
    /// An I/O error, after which the file may have either length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Writes again the bytes that a file already holds from its start, so that the next truncation makes them
    /// durable even if an earlier sync failed. Durable bytes stay durable. A disk that keeps what a failed sync
    /// did not cover does nothing.
    ///
    /// # Errors
    /// An I/O error.
    fn rewrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let _ = (name, bytes);
        Ok(())
    }

    /// Removes a file durably. A file that is missing counts as removed, because an earlier call may have
    /// failed after its removal.
    ///
    /// # Errors
    /// An I/O error, after which the file may or may not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names of all files durable, and the removals of those that are missing. A disk on which names
    /// are always durable does nothing.
    ///
    /// # Errors
    /// An I/O error.
    fn sync_names(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A folder of the file system.
pub struct FolderDisk {
    folder: PathBuf,
    open_file: Option<(String, File)>,
}

impl FolderDisk {
    /// Opens a folder, creating it if it is missing. Its own name and those in it are durable then.
    ///
    /// # Errors
    /// An I/O error when it cannot be created or synced.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        sync_folder(folder)?;
        Ok(Self { folder: folder.to_owned(), open_file: None })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Returns the file to append to, which stays open until another one is appended to.
    fn file_for_appending(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open_file.as_ref().is_some_and(|(open_name, _)| open_name == name);
        if !is_open {
            let file = OpenOptions::new().create(true).append(true).open(self.path(name))?;
            // Without this a crash can lose the file's name, and with it the synced contents. An earlier call may
            // have created the file and failed here, so that its existence does not show that its name is durable.
            sync_folder(&self.folder)?;
            self.open_file = Some((name.to_owned(), file));
        }
        match &mut self.open_file {
            Some((_, file)) => Ok(file),
            None => Err(io::Error::other("the file was just opened")),
        }
    }
}

impl Disk for FolderDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path(name))?.len())
    }

    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.path(name))?;
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = vec![0; length];
        file.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.file_for_appending(name)?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file = None;
        let file = OpenOptions::new().write(true).open(self.path(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rewrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(name))?.write_all_at(bytes, 0)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open_file.as_ref().is_some_and(|(open_name, _)| open_name == name) {
            self.open_file = None;
        }
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => sync_folder(&self.folder),
        }
    }

    fn sync_names(&mut self) -> io::Result<()> {
        sync_folder(&self.folder)
    }
}

/// Makes the creation and removal of files in a folder durable.
fn sync_folder(folder: &Path) -> io::Result<()> {
    #[cfg(feature = "fault-points")]
    crate::fault_points::check_names(folder)?;
    File::open(folder)?.sync_all()
}
