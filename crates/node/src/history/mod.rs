//! Bulk history: moves old turns from the replicas' memory to store daemons' disks, and reads them
//! back when a prompt or a late reader needs them.
//!
//! | module | purpose |
//! |---|---|
//! | `message` | messages between owners and store daemons |
//! | `holders` | chooses the store daemons that hold a chunk |
//! | `cache` | caches chunks that were read recently |
//! | `moving` | moves old turns to store daemons, at the owner |
//! | `reading` | reads turns back, at the owner |
//! | `repair` | maintains the number of copies, at the owner |
//! | `serving` | handles messages about chunks |

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
    /// Number of store daemons that hold each chunk, in different zones as far as possible. Turns stay
    /// in the replicas' memory while fewer store daemons are live.
    pub copies: usize,
    /// Bytes of a program's history that stay in the replicas' memory; older turns are moved.
    pub inline_bytes: u64,
    /// Size of an owner's cache of chunks in bytes.
    pub cache_bytes: u64,
    /// Number of chunks per second whose copies an owner checks.
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
    /// The first field with a value out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("history.copies", self.copies, 1, 9)?;
        check_range("history.inline_bytes", self.inline_bytes, 0, 1 << 40)?;
        check_range("history.cache_bytes", self.cache_bytes, 1 << 10, 1 << 40)?;
        check_range("history.checks_per_second", self.checks_per_second, 0, 10_000)
    }
}

/// The state of bulk history on a node.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) cache: ChunkCache,
    pub(crate) pending_moves: PendingMoves,
    pub(crate) pending_reads: PendingReads,
    pub(crate) copy_checks: CopyChecks,
}
