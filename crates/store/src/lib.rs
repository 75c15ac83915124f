//! Stores the history of programs on a small disk, as checksummed chunks in append-only segments
//! under one folder.
//!
//! A store daemon has one [`ChunkStore`]. A chunk is identified by its program and its digest. It
//! is written once, synced before it is acknowledged, and removed when its program is forgotten.
//! Torn writes are truncated at the next start, and damaged records are detected by their checksum.
//! When the disk is full, new chunks are refused and stored ones are still served. Other store
//! daemons have further copies, from which lost chunks are copied again.
//!
//! | module | job |
//! |---|---|
//! | `disk` | the file operations that are used; tests substitute a disk that fails |
//! | `record` | the format of segments and records |
//! | `segment` | names of the segments' files, and the scan that reads one back |
//! | `store` | the chunks of one folder |
//! | `settings` | limits of a store |
//! | `fault_points` | faults that tests inject from outside, with the feature `fault-points` |

mod disk;
#[cfg(feature = "fault-points")]
pub mod fault_points;
mod record;
mod segment;
mod settings;
mod store;

pub use disk::{Disk, FolderDisk};
pub use record::FORMAT_VERSION;
pub use settings::StoreSettings;
pub use store::{ChunkStore, RecoveryReport, StoreError, StoreUsage};
