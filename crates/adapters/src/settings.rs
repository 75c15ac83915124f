//! Timeouts and limits of an adapter.

use std::time::Duration;

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Longest time that any timeout may be set to: one day, in milliseconds.
const LONGEST_TIMEOUT_MS: u64 = 86_400_000;
/// Largest body that may be allowed: 1 GiB.
const LARGEST_BODY_BYTES: u64 = 1 << 30;

/// Timeouts and limits of one adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Longest time to make a connection, in milliseconds. Shorter than the response timeout.
    pub connect_timeout_ms: u64,
    /// Longest time from sending until the answer begins, and for a whole answer that is not a
    /// stream, in milliseconds.
    pub response_timeout_ms: u64,
    /// Longest silence inside a stream, in milliseconds. Peers send a sign of life more often.
    pub idle_timeout_ms: u64,
    /// Largest answer that is not a stream, in bytes.
    pub max_body_bytes: u64,
    /// Longest line of a stream, in bytes.
    pub max_line_bytes: u64,
    /// Unused connections that are kept open for each peer.
    pub idle_connections: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            response_timeout_ms: 2_000,
            idle_timeout_ms: 10_000,
            max_body_bytes: 16 << 20,
            max_line_bytes: 1 << 20,
            idle_connections: 64,
        }
    }
}

impl ClientSettings {
    /// Checks every field. `prefix` is the dotted path of these settings, e.g. `platform.engine`.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self, prefix: &str) -> Result<(), InvalidSetting> {
        let field = |name: &str| format!("{prefix}.{name}");
        let longest_connect = self.response_timeout_ms.saturating_sub(1);
        check_range(
            &field("response_timeout_ms"),
            self.response_timeout_ms,
            2,
            LONGEST_TIMEOUT_MS,
        )?;
        check_range(&field("connect_timeout_ms"), self.connect_timeout_ms, 1, longest_connect)?;
        check_range(&field("idle_timeout_ms"), self.idle_timeout_ms, 1, LONGEST_TIMEOUT_MS)?;
        check_range(&field("max_body_bytes"), self.max_body_bytes, 1_024, LARGEST_BODY_BYTES)?;
        check_range(&field("max_line_bytes"), self.max_line_bytes, 256, LARGEST_BODY_BYTES)?;
        check_range(&field("idle_connections"), self.idle_connections, 0, 65_536)
    }

    /// The connect timeout.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// The response timeout.
    pub fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.response_timeout_ms)
    }

    /// The idle timeout.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}
