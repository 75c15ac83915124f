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
use crate::rest_limit::{Reset, RestLimit};
use crate::{RelaySettings, Service, hop};

/// How often expired connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The most idle connections of a server whose service is not described.
const MOST_IDLE_BY_DEFAULT: usize = 4;

/// How long an idle connection is kept, and among how many.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keeping {
    /// How long it is kept.
    pub(crate) rest: Duration,
    /// The most idle connections of its server, this one included.
    pub(crate) most: usize,
}

impl Keeping {
    /// Derives this from the head of an answer and the service's description.
    pub(crate) fn new(
        answer: &HeaderMap,
        service: Option<&Service>,
        settings: &RelaySettings,
    ) -> Self {
        let rest = match hop::keep_alive_seconds(answer) {
            Some(seconds) => {
                let end = Duration::from_secs(seconds);
                let margin = Duration::from_millis(settings.idle_margin_ms);
                // Servers that keep connections for only a second still get them reused.
                end - margin.min(end / 2)
            }
            None => Duration::from_millis(settings.idle_connection_ms),
        };
        let most = service.map_or(MOST_IDLE_BY_DEFAULT, |service| {
            (service.max_connections / settings.connection_sharers).max(1) as usize
        });
        Self { rest, most }
    }
}

/// Idle connections of all servers.
pub(crate) struct Pool {
    idle: Mutex<IdleConnections>,
}

struct IdleConnections {
    by_server: HashMap<BackendId, Vec<IdleConnection>>,
    swept_at: Instant,
    rest_limit: RestLimit,
}

struct IdleConnection {
    connection: ServerConnection,
    since: Instant,
    until: Instant,
}

/// A connection for one request.
pub(crate) struct Connected {
    pub(crate) connection: ServerConnection,
    /// How long the connection was idle before; none for a new one.
    pub(crate) rested: Option<Duration>,
}

impl Pool {
    pub(crate) fn new() -> Self {
        let idle = IdleConnections {
            by_server: HashMap::new(),
            swept_at: Instant::now(),
            rest_limit: RestLimit::default(),
        };
        Self { idle: Mutex::new(idle) }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the connection of a server that was used last. If the server has closed it meanwhile,
    /// a request on it is not sent. If the request does not tolerate the loss of its answer, it
    /// gets no connection that the server may have dropped.
    pub(crate) fn take(&self, server: &BackendId, may_lose: bool) -> Option<Connected> {
        let now = Instant::now();
        let mut idle = self.lock();
        let rest_limit = idle.rest_limit;
        let connections = idle.by_server.get_mut(server)?;
        connections.retain(|idle| idle.until > now);
        let rested = now - connections.last()?.since;
        if !may_lose && !rest_limit.allows(rested, now) {
            return None;
        }
        let IdleConnection { connection, .. } = connections.pop()?;
        Some(Connected { connection, rested: Some(rested) })
    }

    /// Records that a request to a server got a reset instead of an answer. A server that silently
    /// dropped one idle connection has dropped the others too: it may have restarted without
    /// notice.
    pub(crate) fn note_reset(&self, server: &BackendId, reset: Reset) {
        let mut idle = self.lock();
        idle.rest_limit.note(reset, Instant::now());
        if reset.is_of_dropped_connection() {
            idle.by_server.remove(server);
        }
    }

    /// Closes the idle connections to the servers that match.
    pub(crate) fn close(&self, servers: impl Fn(&BackendId) -> bool) {
        self.lock().by_server.retain(|server, _| !servers(server));
    }

    /// Keeps a connection if it can be reused.
    pub(crate) fn put(
        &self,
        server: &BackendId,
        mut connection: ServerConnection,
        keeping: Keeping,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let now = Instant::now();
        let mut idle = self.lock();
        idle.sweep(now);
        let connections = idle.by_server.entry(server.clone()).or_default();
        if connections.len() >= keeping.most {
            connections.remove(0);
        }
        let until = now + keeping.rest;
        connections.push(IdleConnection { connection, since: now, until });
    }
}

impl IdleConnections {
    fn sweep(&mut self, now: Instant) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for connections in self.by_server.values_mut() {
            connections.retain(|idle| idle.until > now);
        }
        self.by_server.retain(|_, connections| !connections.is_empty());
    }
}
