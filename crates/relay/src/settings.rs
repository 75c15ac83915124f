//! Settings of the relay. Limits on callers are the operators' and come with the routes.

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Settings of the relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySettings {
    /// Callers' connections open at once; further ones wait in the listener's queue.
    pub most_connections: usize,
    /// Milliseconds until a connection to a server must be open.
    pub connect_timeout_ms: u64,
    /// Milliseconds that sent bytes may stay unacknowledged before a connection counts as dead.
    pub unacknowledged_timeout_ms: u64,
    /// Whole seconds between keep-alive probes on a silent connection, and before the first one.
    pub probe_interval_s: u64,
    /// Unanswered probes until a connection counts as dead.
    pub most_probes: u32,
    /// Milliseconds without a sign of a server after which a new connection to it is tried, while
    /// a request waits that another server may run; 0 never. Longer than the pauses of streams
    /// that callers accept, so that a server that works is seldom asked.
    pub silence_ms: u64,
    /// Daemons that share a server's connections: idle ones are kept up to this part of them.
    pub connection_sharers: u32,
    /// Milliseconds that an idle connection is kept when the server does not say how long.
    pub idle_connection_ms: u64,
    /// Milliseconds before the end that a server names after which a connection is left alone.
    pub idle_margin_ms: u64,
    /// Servers that may refuse one request unrun before the caller is told to come back.
    pub most_refusals: u32,
    /// Milliseconds after which a caller may come back when nothing better is known.
    pub retry_after_ms: u64,
    /// Bytes of the longest answer that is not a stream, and of the longest event of a stream.
    pub most_answer_bytes: usize,
    /// Milliseconds for which the end of a turn is offered to the ledger again.
    pub close_turn_ms: u64,
    /// Milliseconds between such offers.
    pub close_turn_pause_ms: u64,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            most_connections: 2_048,
            connect_timeout_ms: 300,
            unacknowledged_timeout_ms: 1_500,
            probe_interval_s: 1,
            most_probes: 2,
            silence_ms: 400,
            connection_sharers: 8,
            idle_connection_ms: 4_000,
            idle_margin_ms: 1_000,
            most_refusals: 3,
            retry_after_ms: 100,
            most_answer_bytes: 16 * 1024 * 1024,
            close_turn_ms: 8_000,
            close_turn_pause_ms: 250,
        }
    }
}

impl RelaySettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("relay.most_connections", self.most_connections, 1, 1_000_000)?;
        check_range("relay.connect_timeout_ms", self.connect_timeout_ms, 1, 60_000)?;
        check_range(
            "relay.unacknowledged_timeout_ms",
            self.unacknowledged_timeout_ms,
            100,
            600_000,
        )?;
        check_range("relay.probe_interval_s", self.probe_interval_s, 1, 3_600)?;
        check_range("relay.most_probes", self.most_probes, 1, 100)?;
        check_range("relay.silence_ms", self.silence_ms, 0, 60_000)?;
        check_range("relay.connection_sharers", self.connection_sharers, 1, 100_000)?;
        check_range("relay.idle_connection_ms", self.idle_connection_ms, 0, 3_600_000)?;
        check_range("relay.idle_margin_ms", self.idle_margin_ms, 0, 60_000)?;
        check_range("relay.most_refusals", self.most_refusals, 1, 1_000)?;
        check_range("relay.retry_after_ms", self.retry_after_ms, 1, 60_000)?;
        check_range("relay.most_answer_bytes", self.most_answer_bytes, 1_024, 1 << 32)?;
        check_range("relay.close_turn_ms", self.close_turn_ms, 0, 600_000)?;
        check_range("relay.close_turn_pause_ms", self.close_turn_pause_ms, 1, 60_000)
    }
}
