//! Bulk history: old turns are moved from the replicas' memory to store daemons' disks, and read
//! back when a prompt or a late reader needs them.
//!
//! | module | job |
//! |---|---|
//! | `message` | what owners and store daemons say to each other |
//! | `holders` | which store daemons hold a chunk |
//! | `cache` | chunks that were read lately |
//! | `moving` | the owner moves old turns |
//! | `reading` | the owner reads turns back |
//! | `repair` | the owner looks after the number of copies |
//! | `serving` | a store daemon carries out what owners ask |

mod cache;
mod holders;
mod message;
mod moving;
mod reading;
mod repair;
mod serving;

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

pub(crate) use cache::ChunkCache;
pub use message::{ChunkMessage, StoreOperation, StoreRequest, StoreResult};
pub(crate) use moving::PendingMoves;
pub(crate) use reading::PendingReads;
pub(crate) use repair::CopyChecks;

/// Settings of bulk history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HistorySettings {
    /// Store daemons that hold each chunk, in different zones as far as there are zones. Turns
    /// stay in the replicas' memory while fewer store daemons are live.
    pub copies: usize,
    /// Bytes of a program's history that stay in the replicas' memory.
    pub inline_bytes: u64,
    /// Bytes of chunks read lately that an owner keeps.
    pub cache_bytes: u64,
    /// Chunks whose copies an owner checks in a second.
    pub checks_per_second: usize,
}

impl Default for HistorySettings {
    fn default() -> Self {
        Self { copies: 2, inline_bytes: 64 << 10, cache_bytes: 16 << 20, checks_per_second: 64 }
    }
}

impl HistorySettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("history.copies", self.copies, 1, 9)?;
        check_range("history.inline_bytes", self.inline_bytes, 0, 1 << 40)?;
        check_range("history.cache_bytes", self.cache_bytes, 1 << 10, 1 << 40)?;
        check_range("history.checks_per_second", self.checks_per_second, 0, 10_000)
    }
}

/// All that a node keeps of bulk history.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) cache: ChunkCache,
    pub(crate) pending_moves: PendingMoves,
    pub(crate) pending_reads: PendingReads,
    pub(crate) copy_checks: CopyChecks,
}
