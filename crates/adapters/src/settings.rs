//! Timeouts and limits of an adapter.

use std::time::Duration;

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Maximum value of every timeout: one day, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Maximum value of the limits on bodies and lines: 1 GiB.
const MAX_BODY_LIMIT_BYTES: u64 = 1 << 30;

/// Timeouts and limits of one adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Timeout for opening a connection, in milliseconds. Must be shorter than the response timeout.
    pub connect_timeout_ms: u64,
    /// Timeout from sending until the answer begins or, for an answer that is not a stream, until
    /// it is complete, in milliseconds.
    pub response_timeout_ms: u64,
    /// Timeout for the next bytes of a stream, in milliseconds. Peers send heartbeats more often.
    pub idle_timeout_ms: u64,
    /// Maximum size of an answer that is not a stream, in bytes.
    pub max_body_bytes: u64,
    /// Maximum length of a line of a stream, in bytes.
    pub max_line_bytes: u64,
    /// Maximum number of idle connections kept open for each peer.
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
        let max_connect_timeout_ms = self.response_timeout_ms.saturating_sub(1);
        check_range(&field("response_timeout_ms"), self.response_timeout_ms, 2, MAX_TIMEOUT_MS)?;
        check_range(
            &field("connect_timeout_ms"),
            self.connect_timeout_ms,
            1,
            max_connect_timeout_ms,
        )?;
        check_range(&field("idle_timeout_ms"), self.idle_timeout_ms, 1, MAX_TIMEOUT_MS)?;
        check_range(&field("max_body_bytes"), self.max_body_bytes, 1_024, MAX_BODY_LIMIT_BYTES)?;
        check_range(&field("max_line_bytes"), self.max_line_bytes, 256, MAX_BODY_LIMIT_BYTES)?;
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
