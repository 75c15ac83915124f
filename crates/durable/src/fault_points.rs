//! Faults that tests inject from outside the process. Built only with the feature `fault-points`.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Interval at which a stalled sync checks whether the stall has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The file that stalls every sync in `folder` while it exists.
pub fn stall_file(folder: &Path) -> PathBuf {
    let mut path = OsString::from(folder);
    path.push(".stalled");
    path.into()
}

pub(crate) fn wait_while_stalled(folder: &Path) {
    let file = stall_file(folder);
    while file.exists() {
        thread::sleep(POLL_INTERVAL);
    }
}
