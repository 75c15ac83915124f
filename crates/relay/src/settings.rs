//! Settings of the relay. Operators set the limits on callers together with the routes.

use dahlia_admission::WaitingSettings;
use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Settings of the relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySettings {
    /// Most open connections of callers. Beyond it, and beyond what memory and descriptors allow, those
    /// that wait for their callers are closed in favour of new ones.
    pub most_connections: usize,
    /// Descriptors that the process may have open; absent: they limit nothing.
    pub max_descriptors: Option<u64>,
    /// Requests in progress at once that were sent before the answer to the one before them on their
    /// connection had ended. Further ones wait.
    pub most_sent_ahead: usize,
    /// Milliseconds within which a connection to a server must open.
    pub connect_timeout_ms: u64,
    /// Milliseconds that sent bytes may stay unacknowledged before a connection counts as dead.
    pub unacknowledged_timeout_ms: u64,
    /// Whole seconds between keep-alive probes on a silent connection, and before the first one.
    pub probe_interval_s: u64,
    /// Unanswered probes until a connection counts as dead.
    pub most_probes: u32,
    /// Milliseconds without any byte from a server after which a probe connection to it is opened,
    /// while a request waits that another server may run; 0 disables probes. This should be longer
    /// than the pauses in streams that callers accept, so that a working server is seldom probed.
    pub silence_ms: u64,
    /// Daemons that share a server's connections: each daemon keeps at most its equal part of them
    /// idle.
    pub connection_sharers: u32,
    /// Milliseconds that an idle connection is kept, if the server does not say how long.
    pub idle_connection_ms: u64,
    /// Milliseconds before the keep-alive time of a server ends from which on a connection is not
    /// used.
    pub idle_margin_ms: u64,
    /// Milliseconds after which the list of servers is too old to send a request by it, while its source answers; absent: no
    /// age is.
    pub most_list_age_ms: Option<u64>,
    /// Milliseconds that a request waits for a list that is not too old, before it goes by the one that is there.
    pub most_list_wait_ms: u64,
    /// Servers that may refuse one request without running it, before the caller is told to retry.
    pub most_refusals: u32,
    /// Repeats after a lost answer that each first send of a request that may be repeated allows
    /// its service.
    pub repeats_per_first_send: f64,
    /// Repeats that each service may get before any first send.
    pub initial_repeats: f64,
    /// The most repeats that first sends save up for a service.
    pub most_saved_repeats: f64,
    /// Milliseconds after which a first send allows no repeat any more.
    pub repeat_window_ms: u64,
    /// Servers that may end under one request, over all its attempts at all gateways, before it is refused.
    pub most_ended_servers: u32,
    /// Seconds for which it is known that a server ended under a request.
    pub ended_servers_retention_s: u64,
    /// Milliseconds after which a caller may retry, if nothing better is known.
    pub retry_after_ms: u64,
    /// Bytes of the longest answer that is not a stream, and of the longest event of a stream.
    pub most_answer_bytes: usize,
    /// Megabytes of memory that the process may use; the shares below are fractions of it. If it is
    /// absent, memory limits nothing.
    pub memory_mb: Option<u64>,
    /// The largest share reserved for all callers and servers. The rest is for code, tables,
    /// messages between daemons, and fragmentation in the allocator.
    pub held_share: f64,
    /// The largest share for callers' connections and the buffers of requests that arrive on them.
    pub connections_share: f64,
    /// The reserved share from which on no new program may start, so that active programs can
    /// continue.
    pub first_turns_share: f64,
    /// The largest share reserved for one caller. It must leave room for the longest answer.
    pub caller_share: f64,
    /// The largest share on its way to one server, if there is more than one request.
    pub server_share: f64,
    /// Milliseconds within which the body of a request must arrive, unless its caller waits for
    /// less.
    pub body_timeout_ms: u64,
    /// Milliseconds without progress after which a caller that does not read a stream is
    /// disconnected. This is shorter than servers tolerate an unread answer, since it occupies a
    /// slot there.
    pub caller_stall_ms: u64,
    /// Queues of requests that wait for a server. They are used if they are enabled and routes
    /// retain turns or callers have tenants.
    pub waiting: WaitingSettings,
    /// Milliseconds for which the end of a turn is submitted to the ledger again and again.
    pub close_turn_ms: u64,
    /// Milliseconds between these submissions.
    pub close_turn_pause_ms: u64,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            most_connections: 2_048,
            max_descriptors: None,
            most_sent_ahead: 2,
            connect_timeout_ms: 300,
            unacknowledged_timeout_ms: 1_500,
            probe_interval_s: 1,
            most_probes: 2,
            silence_ms: 400,
            connection_sharers: 8,
            idle_connection_ms: 4_000,
            idle_margin_ms: 1_000,
            most_list_age_ms: None,
            most_list_wait_ms: 300,
            most_refusals: 3,
            repeats_per_first_send: 0.1,
            initial_repeats: 2.0,
            most_saved_repeats: 10.0,
            repeat_window_ms: 10_000,
            most_ended_servers: 3,
            ended_servers_retention_s: 600,
            retry_after_ms: 100,
            most_answer_bytes: 16 * 1024 * 1024,
            memory_mb: None,
            held_share: 0.5,
            connections_share: 0.25,
            first_turns_share: 0.3,
            caller_share: 0.2,
            server_share: 0.15,
            body_timeout_ms: 10_000,
            caller_stall_ms: 2_000,
            waiting: WaitingSettings::default(),
            close_turn_ms: 8_000,
            close_turn_pause_ms: 250,
        }
    }
}

impl RelaySettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("relay.most_connections", self.most_connections, 1, 1_000_000)?;
        if let Some(descriptors) = self.max_descriptors {
            check_range("relay.max_descriptors", descriptors, 300, 1 << 30)?;
        }
        check_range("relay.most_sent_ahead", self.most_sent_ahead, 1, 100_000)?;
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
        if let Some(age_ms) = self.most_list_age_ms {
            check_range("relay.most_list_age_ms", age_ms, 1, 3_600_000)?;
        }
        check_range("relay.most_list_wait_ms", self.most_list_wait_ms, 0, 60_000)?;
        check_range("relay.most_refusals", self.most_refusals, 1, 1_000)?;
        check_range("relay.repeats_per_first_send", self.repeats_per_first_send, 0.0, 10.0)?;
        check_range("relay.most_saved_repeats", self.most_saved_repeats, 0.0, 1e6)?;
        let most_saved = self.most_saved_repeats;
        check_range("relay.initial_repeats", self.initial_repeats, 0.0, most_saved)?;
        check_range("relay.repeat_window_ms", self.repeat_window_ms, 100, 3_600_000)?;
        check_range("relay.most_ended_servers", self.most_ended_servers, 1, 1_000)?;
        let retention = self.ended_servers_retention_s;
        check_range("relay.ended_servers_retention_s", retention, 1, 86_400)?;
        check_range("relay.retry_after_ms", self.retry_after_ms, 1, 60_000)?;
        check_range("relay.most_answer_bytes", self.most_answer_bytes, 1_024, 1 << 32)?;
        if let Some(memory_mb) = self.memory_mb {
            check_range("relay.memory_mb", memory_mb, 1, 1 << 20)?;
        }
        check_range("relay.held_share", self.held_share, 0.01, 0.9)?;
        check_range("relay.connections_share", self.connections_share, 0.01, 0.9)?;
        let held = self.held_share;
        check_range("relay.first_turns_share", self.first_turns_share, 0.01, held)?;
        check_range("relay.caller_share", self.caller_share, 0.001, held)?;
        check_range("relay.server_share", self.server_share, 0.001, held)?;
        check_range("relay.body_timeout_ms", self.body_timeout_ms, 1, 600_000)?;
        check_range("relay.caller_stall_ms", self.caller_stall_ms, 1, 600_000)?;
        self.waiting.check()?;
        check_range("relay.close_turn_ms", self.close_turn_ms, 0, 600_000)?;
        check_range("relay.close_turn_pause_ms", self.close_turn_pause_ms, 1, 60_000)
    }
}
