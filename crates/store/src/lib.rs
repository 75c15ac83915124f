//! Bulk history on a small disk: checksummed chunks in append-only segments under one folder.
//!
//! A store daemon keeps one [`ChunkStore`]. A chunk is written once, named by its program and
//! its digest, synced before it is acknowledged, and removed when its program is forgotten.
//! Torn writes are cut off at the next start, damaged records are refused by their checksum, a
//! full disk refuses new chunks and goes on serving old ones. Other copies are on other store
//! daemons; what is lost here is copied anew from them.
//!
//! | module | job |
//! |---|---|
//! | `disk` | the few file operations that are used, so that tests can make them fail |
//! | `record` | the format of segments and records |
//! | `segment` | reading a segment back |
//! | `store` | the chunks of one folder |
//! | `settings` | limits |

mod disk;
mod record;
mod segment;
mod settings;
mod store;

pub use disk::{Disk, FolderDisk};
pub use record::FORMAT_VERSION;
pub use settings::StoreSettings;
pub use store::{ChunkStore, RecoveryReport, StoreError, StoreUsage};
