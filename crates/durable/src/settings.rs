//! Settings of the log.

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

const MIB: u64 = 1024 * 1024;

/// Settings of the log of replica groups under `<data folder>/groups`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DurableSettings {
    /// Size in bytes at which a new segment is started.
    pub segment_bytes: u64,
    /// Bytes of changes that are kept before new images of groups are written. The log takes at
    /// most about this size plus three times the groups' state. Reading it at the start takes
    /// time and memory proportional to its size.
    pub compact_above_bytes: u64,
}

impl Default for DurableSettings {
    fn default() -> Self {
        Self { segment_bytes: 16 * MIB, compact_above_bytes: 48 * MIB }
    }
}

impl DurableSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("durable.segment_bytes", self.segment_bytes, 4 * 1024, 1024 * MIB)?;
        let smallest = self.segment_bytes;
        check_range(
            "durable.compact_above_bytes",
            self.compact_above_bytes,
            smallest,
            64 * 1024 * MIB,
        )
    }
}
