//! What a daemon's replica groups must find again after a loss of power: one write-ahead log for
//! all groups of the daemon, and the identity of its replicas.
//!
//! | module | job |
//! |---|---|
//! | `disk` | the few file operations used; tests put one in place that loses power |
//! | `documents` | copies of documents that lie elsewhere as a rule |
//! | `error` | why the log could not be used |
//! | `frame` | the checksummed unit that is written and synced at once |
//! | `segment` | names and headers of the log's files, reading one back |
//! | `open` | reading all segments back |
//! | `replay` | from segments to replicas |
//! | `fault_points` | faults that tests bring about from outside |
//! | `log` | opening, appending, dropping what newer images cover |
//!
//! # What is relied on
//!
//! A loss of power leaves each file with what its last sync covered; of what was written later,
//! any part may be there. A new file and a removed name last once the folder is synced. So there
//! is one write and one sync for each frame, only the last frame of the last segment can be torn,
//! and a segment is removed only after the removal of the one before it was synced.

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
