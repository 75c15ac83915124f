//! Limits of a chunk store.

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Limits of a chunk store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Largest total size of all segments in bytes; above it new chunks are refused.
    pub max_bytes: u64,
    /// Size of a segment in bytes at which the next one is started.
    pub segment_bytes: u64,
    /// Size of the largest chunk in bytes.
    pub max_chunk_bytes: u64,
    /// Percent of a segment's bytes that must be obsolete before it is compacted.
    pub compact_percent: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            max_bytes: 8 << 30,
            segment_bytes: 64 << 20,
            max_chunk_bytes: 16 << 20,
            compact_percent: 50,
        }
    }
}

impl StoreSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("store.max_chunk_bytes", self.max_chunk_bytes, 1_024, 1 << 30)?;
        check_range("store.segment_bytes", self.segment_bytes, 4_096, 4 << 30)?;
        check_range("store.max_bytes", self.max_bytes, self.segment_bytes, 1 << 50)?;
        check_range("store.compact_percent", self.compact_percent, 1, 99)
    }
}
