//! Durable storage of a daemon's replica groups: one write-ahead log for all groups of the daemon,
//! which also holds the identity of its replicas, and copies of documents.
//!
//! | module | job |
//! |---|---|
//! | `disk` | the file operations that are used; tests substitute a disk that loses power |
//! | `documents` | copies of documents whose source is elsewhere |
//! | `error` | errors of the log |
//! | `frame` | the checksummed unit of one write and one sync |
//! | `segment` | names and headers of the log's files |
//! | `open` | reads all segments back |
//! | `replay` | rebuilds replicas from the changes in the segments |
//! | `fault_points` | faults that tests inject from outside the process |
//! | `log` | opens the log, appends to it and removes obsolete segments |
//!
//! # Assumptions about the disk
//!
//! After a power loss, each file holds what its last sync covered; any part of what was written
//! later may be there too. After a failed sync the kernel may drop what it could not write: it is
//! still read, and the next sync succeeds without it. A new file or a removed name is durable once
//! the folder is synced; names that a failed sync did not cover are covered by the next one. The
//! log therefore makes one write and one sync for each frame, so that only the last frame of the
//! last segment can be torn. It removes a segment only after the removal of the one before it was
//! synced.

mod disk;
mod documents;
mod error;
#[cfg(feature = "fault-points")]
pub mod fault_points;
mod frame;
mod log;
mod open;
mod replay;
mod segment;
mod settings;

pub use disk::{Disk, FolderDisk};
pub use documents::{CopyError, DocumentCopies, DocumentCopy, OpenedCopies};
pub use error::{DiskOperation, LogError};
pub use frame::{FORMAT_VERSION, Frame, FrameError, encode_frame, read_frames};
pub use log::{DurableLog, OpenedLog};
pub use replay::ReplayError;
pub use segment::LogIdentity;
pub use settings::DurableSettings;
