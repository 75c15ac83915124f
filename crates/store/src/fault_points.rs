//! Faults that tests inject from outside. Built only with the feature `fault-points`.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};

/// The file that lets every sync of the names in `folder` fail while it exists.
pub fn names_failure_file(folder: &Path) -> PathBuf {
    let mut path = OsString::from(folder);
    path.push(".names-fail");
    path.into()
}

pub(crate) fn check_names(folder: &Path) -> io::Result<()> {
    if names_failure_file(folder).exists() {
        return Err(io::Error::other("an injected failure of a sync of names"));
    }
    Ok(())
}
