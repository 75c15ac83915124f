//! The few file operations that a store uses.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files of one flat folder. Tests put one in place that tears writes and runs full.
pub trait Disk: Send {
    /// Names of all files, in any order.
    ///
    /// # Errors
    /// An I/O error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Length of a file in bytes.
    ///
    /// # Errors
    /// An I/O error, e.g. when there is no such file.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Reads exactly `length` bytes from `offset`.
    ///
    /// # Errors
    /// An I/O error; `UnexpectedEof` when the file is shorter.
    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Appends to a file and makes it durable, creating the file if it is missing.
    ///
    /// # Errors
    /// An I/O error; any part of the bytes may then be in the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file off.
    ///
    /// # Errors
    /// An I/O error.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// An I/O error.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A real folder.
pub struct FolderDisk {
    folder: PathBuf,
    open: Option<(String, File)>,
}

impl FolderDisk {
    /// Opens a folder, creating it if it is missing.
    ///
    /// # Errors
    /// An I/O error when it cannot be created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self { folder: folder.to_owned(), open: None })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The file that is appended to, opened once.
    fn appended(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(held, _)| held == name);
        if !is_open {
            let path = self.path(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            if is_new {
                // Without this a crash may lose the file's name together with synced contents.
                File::open(&self.folder)?.sync_all()?;
            }
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
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
        let file = self.appended(name)?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open = None;
        let file = OpenOptions::new().write(true).open(self.path(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(held, _)| held == name) {
            self.open = None;
        }
        fs::remove_file(self.path(name))
    }
}
