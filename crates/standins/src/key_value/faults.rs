//! Faults of the key-value service.

use serde::{Deserialize, Serialize};

/// How the service is out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It answers that it is unavailable.
    Refuse,
    /// It takes requests and never answers; they have no effect.
    Hang,
}

/// Every fault that is in force. The default has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeyValueFaults {
    /// The service does not serve; watches break.
    pub outage: Option<Outage>,
    /// Each request takes effect this much later, in milliseconds.
    pub delay_ms: u64,
    /// Each answer leaves this much after the effect, in milliseconds.
    pub reply_delay_ms: u64,
    /// This many changes take effect and their answers are lost.
    pub lose_replies: u32,
    /// Every request is refused with this time to come back, in milliseconds.
    pub rate_limit_retry_after_ms: Option<u64>,
    /// Reads give the state in which the store was when this was switched on.
    pub stale_reads: bool,
    /// Watches stay open and send nothing.
    pub silent_watches: bool,
}
