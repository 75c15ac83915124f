//! Errors of the log.

use std::io;

use bincode::error::EncodeError;
use snafu::Snafu;

use crate::frame::FrameError;
use crate::replay::ReplayError;

/// The disk operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskOperation {
    /// Listing the files of the folder.
    List,
    /// Reading a file.
    Read,
    /// Creating a segment.
    Create,
    /// Writing a frame or a document.
    Write,
    /// Syncing a segment.
    Sync,
    /// Truncating a segment after a failed write or a power loss.
    Cut,
}

/// Why the log could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The disk is full. The frame does not count as written, and the write can be retried.
    #[snafu(display("the disk is full ({operation:?} of {name})"))]
    Full {
        /// The operation that failed.
        operation: DiskOperation,
        /// The file.
        name: String,
    },
    /// A disk operation failed for another reason.
    #[snafu(display("{operation:?} of {name}: {source}"))]
    Io {
        /// The operation that failed.
        operation: DiskOperation,
        /// The file.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// The changes cannot be encoded as a frame.
    #[snafu(display("encoding a frame: {source}"))]
    Encode {
        /// The cause.
        source: EncodeError,
    },
    /// Synced bytes of a segment are damaged.
    #[snafu(display("{name}: {source}"))]
    Damaged {
        /// The file.
        name: String,
        /// The cause.
        source: FrameError,
    },
    /// A segment's header is damaged, or the file is not the segment that its name says.
    #[snafu(display("{name} has an invalid segment header"))]
    InvalidHeader {
        /// The file.
        name: String,
    },
    /// A segment lacks frames that the next segment follows, and ends with a damaged one.
    #[snafu(display("{name} is damaged from byte {offset} on and a later segment exists"))]
    DamagedEnd {
        /// The file.
        name: String,
        /// Where the damage begins, in bytes.
        offset: usize,
    },
    /// A segment between two others is missing.
    #[snafu(display("{name} is missing"))]
    MissingSegment {
        /// The file.
        name: String,
    },
    /// A segment was written by a build with another format.
    #[snafu(display("{name} has format {version}, this build reads {}", crate::FORMAT_VERSION))]
    UnsupportedVersion {
        /// The file.
        name: String,
        /// The version of its format.
        version: u32,
    },
    /// The changes in the log cannot be replayed.
    #[snafu(display("{name}: {source}"))]
    Replay {
        /// The file.
        name: String,
        /// The cause.
        source: ReplayError,
    },
}

impl LogError {
    /// Converts an I/O error; a full disk becomes [`Self::Full`].
    pub(crate) fn io(operation: DiskOperation, name: &str, source: io::Error) -> Self {
        let is_full =
            matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded);
        let name = name.to_owned();
        if is_full { Self::Full { operation, name } } else { Self::Io { operation, name, source } }
    }

    /// Whether the disk is full, so that the same write can be retried later.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
