//! The file operations that the log uses.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A disk operation that takes longer than this is logged.
const SLOW_OPERATION_TIME: Duration = Duration::from_secs(1);

/// The files of one flat folder. Tests simulate a power loss after any single operation.
pub trait Disk: Send {
    /// Lists the names of all files, in any order.
    ///
    /// # Errors
    /// An I/O error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// An I/O error, e.g. when there is no such file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties one that an earlier process left.
    ///
    /// # Errors
    /// An I/O error.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file. The bytes are durable after [`Self::sync`].
    ///
    /// # Errors
    /// An I/O error, after which any part of the bytes may be in the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Writes again the bytes that a file already holds from its start, so that the next
    /// [`Self::sync`] covers them even if an earlier one failed. Durable bytes stay durable.
    ///
    /// # Errors
    /// An I/O error.
    fn rewrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes durable what was written to a file since the last sync, whether that one succeeded or
    /// failed.
    ///
    /// # Errors
    /// An I/O error, after which it is unknown which bytes are durable. The kernel may have dropped
    /// what it could not write, although it can still be read, and the next sync then succeeds
    /// without it.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file durably.
    ///
    /// # Errors
    /// An I/O error.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes a file. The removal is durable after [`Self::sync_folder`].
    ///
    /// # Errors
    /// An I/O error.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation and removal of files durable.
    ///
    /// # Errors
    /// An I/O error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
pub struct FolderDisk {
    folder: PathBuf,
    open_file: Option<(String, File)>,
}

impl FolderDisk {
    /// Opens a folder, creating it if it is missing.
    ///
    /// # Errors
    /// An I/O error when it cannot be created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        // The folder's own name must survive a power loss too.
        if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { folder: folder.to_owned(), open_file: None })
    }

    /// Opens the same folder again, without an open file.
    #[must_use]
    pub fn reopen(&self) -> Self {
        Self { folder: self.folder.clone(), open_file: None }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Returns the file to write to, which stays open until another one is written.
    fn file_for_writing(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open_file.as_ref().is_some_and(|(open_name, _)| open_name == name);
        if !is_open {
            let file = OpenOptions::new().append(true).open(self.path(name))?;
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

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        File::create(self.path(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        #[cfg(feature = "fault-points")]
        let folder = self.folder.clone();
        let file = self.file_for_writing(name)?;
        #[cfg(feature = "fault-points")]
        crate::fault_points::check_write(&folder, file, bytes)?;
        run_timed("write", name, || file.write_all(bytes))
    }

    fn rewrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // The open file only appends, at whatever offset.
        let file = OpenOptions::new().write(true).open(self.path(name))?;
        run_timed("rewrite", name, || file.write_all_at(bytes, 0))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        #[cfg(feature = "fault-points")]
        let folder = self.folder.clone();
        let file = self.file_for_writing(name)?;
        run_timed("sync", name, || {
            #[cfg(feature = "fault-points")]
            crate::fault_points::wait_while_stalled(&folder);
            #[cfg(feature = "fault-points")]
            crate::fault_points::check_sync(&folder)?;
            file.sync_data()
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.file_for_writing(name)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open_file.as_ref().is_some_and(|(open_name, _)| open_name == name) {
            self.open_file = None;
        }
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        run_timed("sync of names", "", || File::open(&self.folder)?.sync_all())
    }
}

/// Runs one disk operation and logs it if it was slow, because the daemon sends nothing meanwhile.
fn run_timed<T>(operation: &str, file: &str, run: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    let started_at = Instant::now();
    let result = run();
    let elapsed = started_at.elapsed();
    if elapsed >= SLOW_OPERATION_TIME {
        ::log::warn!(
            target: "store",
            step = operation, file = file, took_ms = elapsed.as_millis() as u64;
            "A step on the disk was slow."
        );
    }
    result
}
