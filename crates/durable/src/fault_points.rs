//! Faults that tests inject from outside the process. Built only with the feature `fault-points`.
//!
//! | file next to the folder | effect |
//! |---|---|
//! | `<folder>.stalled` | every sync waits while it exists |
//! | `<folder>.full` | every write says that the disk is full while it exists |
//! | `<folder>.fail-write` | the next write writes a part and fails, and removes the file |
//! | `<folder>.fail-sync` | the next sync fails, and removes the file |

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Interval at which a stalled sync checks whether the stall has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The file that stalls every sync in `folder` while it exists.
pub fn stall_file(folder: &Path) -> PathBuf {
    beside(folder, ".stalled")
}

/// The file that makes the disk of `folder` full while it exists.
pub fn full_file(folder: &Path) -> PathBuf {
    beside(folder, ".full")
}

/// The file that fails the next write in `folder` after a part of it.
pub fn failed_write_file(folder: &Path) -> PathBuf {
    beside(folder, ".fail-write")
}

/// The file that fails the next sync in `folder`.
pub fn failed_sync_file(folder: &Path) -> PathBuf {
    beside(folder, ".fail-sync")
}

fn beside(folder: &Path, suffix: &str) -> PathBuf {
    let mut path = OsString::from(folder);
    path.push(suffix);
    path.into()
}

pub(crate) fn wait_while_stalled(folder: &Path) {
    let file = stall_file(folder);
    while file.exists() {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Fails a write of `bytes` if it is ordered to.
pub(crate) fn check_write(folder: &Path, file: &mut File, bytes: &[u8]) -> io::Result<()> {
    if full_file(folder).exists() {
        return Err(io::Error::from(io::ErrorKind::StorageFull));
    }
    if consume_fault(&failed_write_file(folder)) {
        file.write_all(&bytes[..bytes.len() / 2])?;
        return Err(io::Error::other("a write failed by a fault point"));
    }
    Ok(())
}

/// Fails a sync if it is ordered to.
pub(crate) fn check_sync(folder: &Path) -> io::Result<()> {
    match consume_fault(&failed_sync_file(folder)) {
        true => Err(io::Error::other("a sync failed by a fault point")),
        false => Ok(()),
    }
}

/// Removes the file of a single fault, so that it acts once. Returns whether it existed.
fn consume_fault(file: &Path) -> bool {
    fs::remove_file(file).is_ok()
}
