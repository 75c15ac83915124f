//! The few file operations that the log uses.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A step on the disk that takes longer is logged.
const SLOW_STEP: Duration = Duration::from_secs(1);

/// Files of one flat folder. Each operation is one durable step: a test may lose power after any.
pub trait Disk: Send {
    /// Names of all files, in any order.
    ///
    /// # Errors
    /// An I/O error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole file.
    ///
    /// # Errors
    /// An I/O error, e.g. when there is no such file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Makes an empty file, or empties one that an earlier life left.
    ///
    /// # Errors
    /// An I/O error.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file. Not durable before [`Self::sync`].
    ///
    /// # Errors
    /// An I/O error; any part of the bytes may then be in the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes of a file durable.
    ///
    /// # Errors
    /// An I/O error; what is durable is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Cuts a file off, durably.
    ///
    /// # Errors
    /// An I/O error.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes a file. Not durable before [`Self::sync_folder`].
    ///
    /// # Errors
    /// An I/O error.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes new and removed names durable.
    ///
    /// # Errors
    /// An I/O error.
    fn sync_folder(&mut self) -> io::Result<()>;
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
        // The folder's own name must outlast a loss of power as well.
        if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { folder: folder.to_owned(), open: None })
    }

    /// The same folder with no file open.
    #[must_use]
    pub fn reopen(&self) -> Self {
        Self { folder: self.folder.clone(), open: None }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The file that is written to, opened once.
    fn written(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(held, _)| held == name);
        if !is_open {
            let file = OpenOptions::new().append(true).open(self.path(name))?;
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

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        File::create(self.path(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.written(name)?;
        timed("write", name, || file.write_all(bytes))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        #[cfg(feature = "fault-points")]
        let folder = self.folder.clone();
        let file = self.written(name)?;
        timed("sync", name, || {
            #[cfg(feature = "fault-points")]
            crate::fault_points::wait_while_stalled(&folder);
            file.sync_data()
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.written(name)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(held, _)| held == name) {
            self.open = None;
        }
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        timed("sync of names", "", || File::open(&self.folder)?.sync_all())
    }
}

/// Carries out one step, and logs it if it was slow: a daemon says nothing meanwhile.
fn timed<T>(step: &str, file: &str, run: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    let result = run();
    let took = began.elapsed();
    if took >= SLOW_STEP {
        ::log::warn!(
            target: "store",
            step = step, file = file, took_ms = took.as_millis() as u64;
            "A step on the disk was slow."
        );
    }
    result
}
