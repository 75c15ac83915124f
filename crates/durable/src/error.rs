//! Why the log could not be opened or written.

use std::io;

use bincode::error::EncodeError;
use snafu::Snafu;

use crate::frame::FrameError;
use crate::replay::ReplayError;

/// What was being done to a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskOperation {
    /// Looking for segments.
    List,
    /// Reading a segment back.
    Read,
    /// Beginning a segment.
    Create,
    /// Writing a frame.
    Write,
    /// Syncing a frame.
    Sync,
    /// Cutting off what a failed write or a loss of power left.
    Cut,
}

/// Why the log could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The disk is full. Nothing of the frame counts; it may be tried again.
    #[snafu(display("the disk is full ({operation:?} of {name})"))]
    Full {
        /// What was being done.
        operation: DiskOperation,
        /// The file.
        name: String,
    },
    /// Any other failure of the disk.
    #[snafu(display("{operation:?} of {name}: {source}"))]
    Io {
        /// What was being done.
        operation: DiskOperation,
        /// The file.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// Changes that no frame can hold.
    #[snafu(display("encoding a frame: {source}"))]
    Encode {
        /// Cause.
        source: EncodeError,
    },
    /// Synced bytes were changed since.
    #[snafu(display("{name}: {source}"))]
    Damaged {
        /// The file.
        name: String,
        /// Cause.
        source: FrameError,
    },
    /// A segment's beginning was changed, or it is not the segment that its name says.
    #[snafu(display("{name} does not begin as this segment should"))]
    InvalidHeader {
        /// The file.
        name: String,
    },
    /// A segment ends in a damaged frame though a later segment was begun.
    #[snafu(display("{name} is damaged from byte {offset} on and a later segment exists"))]
    DamagedEnd {
        /// The file.
        name: String,
        /// Where.
        offset: usize,
    },
    /// A segment between two others is not there.
    #[snafu(display("{name} is missing"))]
    MissingSegment {
        /// The file.
        name: String,
    },
    /// Written by a build with another format.
    #[snafu(display("{name} has format {version}, this build reads {}", crate::FORMAT_VERSION))]
    UnsupportedVersion {
        /// The file.
        name: String,
        /// Its version.
        version: u32,
    },
    /// The changes do not follow from each other.
    #[snafu(display("{name}: {source}"))]
    Replay {
        /// The file.
        name: String,
        /// Cause.
        source: ReplayError,
    },
}

impl LogError {
    /// From an I/O error, with a full disk told from other failures.
    pub(crate) fn io(operation: DiskOperation, name: &str, source: io::Error) -> Self {
        let is_full =
            matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded);
        let name = name.to_owned();
        if is_full { Self::Full { operation, name } } else { Self::Io { operation, name, source } }
    }

    /// Whether the same changes may be written again later.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
