//! Idle connections to servers, kept for the next request.
//!
//! Connections are kept per server instance, since another instance may get the same address. The
//! connection used last is taken first, so that surplus connections expire.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dahlia_backends::BackendId;
use http::HeaderMap;
use tokio::time::{Duration, Instant};

use crate::connection::ServerConnection;
use crate::idle_limit::{IdleLimit, Reset};
use crate::{RelaySettings, Service, hop_by_hop};

/// How often expired connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The most idle connections of a server whose service is not described.
const DEFAULT_MAX_IDLE: usize = 4;

/// How long an idle connection is kept, and how many are kept for its server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeepAlive {
    /// How long it is kept.
    pub(crate) idle_timeout: Duration,
    /// The most idle connections of its server, this one included.
    pub(crate) max_idle: usize,
}

impl KeepAlive {
    /// Derives the values from the head of an answer and the service's description.
    pub(crate) fn new(
        answer: &HeaderMap,
        service: Option<&Service>,
        settings: &RelaySettings,
    ) -> Self {
        let max_idle = service.map_or(DEFAULT_MAX_IDLE, |service| {
            (service.max_connections / settings.connection_sharers).max(1) as usize
        });
        Self { idle_timeout: idle_timeout(answer, settings), max_idle }
    }

    /// The values for another connection of the same service, on which this answer came.
    pub(crate) fn with_answer(self, answer: &HeaderMap, settings: &RelaySettings) -> Self {
        Self { idle_timeout: idle_timeout(answer, settings), ..self }
    }
}

fn idle_timeout(answer: &HeaderMap, settings: &RelaySettings) -> Duration {
    match hop_by_hop::keep_alive_seconds(answer) {
        Some(seconds) => {
            let server_timeout = Duration::from_secs(seconds);
            let margin = Duration::from_millis(settings.idle_margin_ms);
            // Connections are reused even if the server keeps them for only a second.
            server_timeout - margin.min(server_timeout / 2)
        }
        None => Duration::from_millis(settings.idle_connection_ms),
    }
}

/// Idle connections of all servers.
pub(crate) struct Pool {
    idle: Mutex<IdleConnections>,
}

struct IdleConnections {
    by_server: HashMap<BackendId, Vec<IdleConnection>>,
    swept_at: Instant,
    idle_limit: IdleLimit,
}

/// An idle connection.
pub(crate) struct IdleConnection {
    pub(crate) connection: ServerConnection,
    pub(crate) idle_since: Instant,
    expires_at: Instant,
}

impl IdleConnection {
    /// A connection that is idle from now on.
    pub(crate) fn new(connection: ServerConnection, keep_alive: KeepAlive) -> Self {
        let now = Instant::now();
        Self { connection, idle_since: now, expires_at: now + keep_alive.idle_timeout }
    }
}

/// A connection for one request.
pub(crate) struct Connected {
    pub(crate) connection: ServerConnection,
    /// How long the connection was idle before; none for a new one.
    pub(crate) idle_for: Option<Duration>,
}

impl Pool {
    pub(crate) fn new() -> Self {
        let idle = IdleConnections {
            by_server: HashMap::new(),
            swept_at: Instant::now(),
            idle_limit: IdleLimit::default(),
        };
        Self { idle: Mutex::new(idle) }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the connection of a server that was used last. If the server has closed it meanwhile,
    /// a request on it is not sent. If the request does not tolerate the loss of its answer, it
    /// gets no connection that the server may have dropped.
    pub(crate) fn take(&self, server: &BackendId, tolerates_loss: bool) -> Option<Connected> {
        let now = Instant::now();
        let mut idle = self.lock();
        let idle_limit = idle.idle_limit;
        let connections = idle.by_server.get_mut(server)?;
        connections.retain(|idle| idle.expires_at > now);
        let idle_for = now - connections.last()?.idle_since;
        if !tolerates_loss && !idle_limit.allows(idle_for, now) {
            return None;
        }
        let IdleConnection { connection, .. } = connections.pop()?;
        Some(Connected { connection, idle_for: Some(idle_for) })
    }

    /// Takes an idle connection that is still open, the one that was used last. It may be put back as it is.
    pub(crate) fn take_open(&self, server: &BackendId) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.by_server.get_mut(server)?;
        connections.retain_mut(|it| it.expires_at > now && it.connection.is_reusable());
        connections.pop()
    }

    /// Whether an idle connection to a server is still open.
    pub(crate) fn has_open(&self, server: &BackendId) -> bool {
        let mut idle = self.lock();
        let connections = idle.by_server.get_mut(server).into_iter().flatten();
        connections.into_iter().any(|idle| idle.connection.is_reusable())
    }

    /// Records that a request to a server got a reset instead of an answer. A server that silently
    /// dropped one idle connection has dropped the others too: it may have restarted without
    /// notice.
    pub(crate) fn record_reset(&self, server: &BackendId, reset: Reset) {
        let mut idle = self.lock();
        idle.idle_limit.record(reset, Instant::now());
        if reset.is_from_dropped_connection() {
            idle.by_server.remove(server);
        }
    }

    /// Closes the idle connections to the servers that match.
    pub(crate) fn close(&self, matches: impl Fn(&BackendId) -> bool) {
        self.lock().by_server.retain(|server, _| !matches(server));
    }

    /// Keeps a connection if it can be reused.
    pub(crate) fn put(
        &self,
        server: &BackendId,
        connection: ServerConnection,
        keep_alive: KeepAlive,
    ) {
        self.put_idle(server, IdleConnection::new(connection, keep_alive), keep_alive.max_idle);
    }

    /// Keeps a connection that may have been idle for a while, if it can be reused. At most `max_idle` connections of its
    /// server are kept.
    pub(crate) fn put_idle(
        &self,
        server: &BackendId,
        mut connection: IdleConnection,
        max_idle: usize,
    ) {
        let now = Instant::now();
        if connection.expires_at <= now || !connection.connection.is_reusable() {
            return;
        }
        let mut idle = self.lock();
        idle.sweep(now);
        let connections = idle.by_server.entry(server.clone()).or_default();
        if connections.len() >= max_idle {
            connections.remove(0);
        }
        // The one that was used last is taken first.
        let position = connections.partition_point(|it| it.idle_since <= connection.idle_since);
        connections.insert(position, connection);
    }
}

impl IdleConnections {
    fn sweep(&mut self, now: Instant) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for connections in self.by_server.values_mut() {
            connections.retain(|idle| idle.expires_at > now);
        }
        self.by_server.retain(|_, connections| !connections.is_empty());
    }
}
