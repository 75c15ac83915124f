//! Faults that tests bring about from outside a process. Built only with the feature `fault-points`.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// How often a stalled sync looks whether it may go on.
const STEP: Duration = Duration::from_millis(5);

/// The file that stalls every sync in a folder for as long as it exists.
pub fn stall_file(folder: &Path) -> PathBuf {
    let mut path = OsString::from(folder);
    path.push(".stalled");
    path.into()
}

pub(crate) fn wait_while_stalled(folder: &Path) {
    let file = stall_file(folder);
    while file.exists() {
        thread::sleep(STEP);
    }
}
