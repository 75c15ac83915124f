//! Counters of the relay for metrics, and gauges of open requests and turns.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one relay. They only increase, except the three gauges at the end.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) connections: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) rejected: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) timed_out: AtomicU64,
    pub(crate) broken_off: AtomicU64,
    pub(crate) attempts: AtomicU64,
    pub(crate) connections_to_servers: AtomicU64,
    pub(crate) resumed: AtomicU64,
    pub(crate) open_connections: AtomicU64,
    pub(crate) in_progress: AtomicU64,
    pub(crate) unsettled_turns: AtomicU64,
}

/// The counters at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CounterReadings {
    /// Callers' connections accepted.
    pub connections: u64,
    /// Requests whose head was read.
    pub requests: u64,
    /// Answers of servers forwarded, whatever their status.
    pub answered: u64,
    /// Requests refused without having run, with a retry time (503, 429).
    pub refused: u64,
    /// Requests that were invalid or not allowed (other 4xx).
    pub rejected: u64,
    /// Requests whose outcome at a server is unknown (502).
    pub failed: u64,
    /// Requests that reached their deadline (504).
    pub timed_out: u64,
    /// Streams broken off after their head.
    pub broken_off: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Connections opened to servers.
    pub connections_to_servers: u64,
    /// Streams resumed at another server.
    pub resumed: u64,
    /// Callers' connections open now.
    pub open_connections: u64,
    /// Requests in progress now.
    pub in_progress: u64,
    /// Turns whose end is not yet confirmed by the ledger.
    pub unsettled_turns: u64,
    /// Zones that are being evacuated now.
    pub evacuated_zones: u64,
    /// Attempts at servers of these zones that have not ended.
    pub in_evacuated_zones: u64,
    /// Requests that wait for a server now.
    pub waiting: u64,
    /// Bytes of memory reserved for callers and servers.
    pub held_bytes: u64,
    /// The most bytes that buffers of callers' connections may take.
    pub connection_buffer_bytes: u64,
    /// Bytes that callers' connections may take, as the limit on them counts them.
    pub connection_bytes: u64,
    /// Connections closed because there was no room for others.
    pub displaced: u64,
}

impl Counters {
    pub(crate) fn read(&self) -> CounterReadings {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CounterReadings {
            connections: read(&self.connections),
            requests: read(&self.requests),
            answered: read(&self.answered),
            refused: read(&self.refused),
            rejected: read(&self.rejected),
            failed: read(&self.failed),
            timed_out: read(&self.timed_out),
            broken_off: read(&self.broken_off),
            attempts: read(&self.attempts),
            connections_to_servers: read(&self.connections_to_servers),
            resumed: read(&self.resumed),
            open_connections: read(&self.open_connections),
            in_progress: read(&self.in_progress),
            unsettled_turns: read(&self.unsettled_turns),
            ..CounterReadings::default()
        }
    }
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The gauge that a [`GaugeGuard`] increases.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Gauge {
    OpenConnections,
    InProgress,
    UnsettledTurns,
}

/// Increases a gauge by one until it is dropped.
#[derive(Debug)]
pub(crate) struct GaugeGuard {
    counters: Arc<Counters>,
    gauge: Gauge,
}

impl GaugeGuard {
    pub(crate) fn new(counters: &Arc<Counters>, gauge: Gauge) -> Self {
        let guard = Self { counters: Arc::clone(counters), gauge };
        guard.counter().fetch_add(1, Ordering::Relaxed);
        guard
    }

    fn counter(&self) -> &AtomicU64 {
        match self.gauge {
            Gauge::OpenConnections => &self.counters.open_connections,
            Gauge::InProgress => &self.counters.in_progress,
            Gauge::UnsettledTurns => &self.counters.unsettled_turns,
        }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.counter().fetch_sub(1, Ordering::Relaxed);
    }
}
