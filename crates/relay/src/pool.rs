//! Idle connections to servers, kept for the next request.
//!
//! They are kept for one life of a server, since its address may pass to another. The connection
//! used last is used first, so that those beyond need grow old and go.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dahlia_backends::BackendId;
use http::HeaderMap;
use tokio::time::{Duration, Instant};

use crate::connection::ServerConnection;
use crate::{RelaySettings, Service, hop};

/// How often connections that have grown old are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Idle connections of a server whose service is not described.
const MOST_IDLE_BY_DEFAULT: usize = 4;

/// How an idle connection is to be kept.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keeping {
    /// How long.
    pub(crate) rest: Duration,
    /// Beside how many others of its server, itself included.
    pub(crate) most: usize,
}

impl Keeping {
    /// What the head of an answer and the service's description allow.
    pub(crate) fn new(
        answer: &HeaderMap,
        service: Option<&Service>,
        settings: &RelaySettings,
    ) -> Self {
        let rest = match hop::keep_alive_seconds(answer) {
            Some(seconds) => {
                let end = Duration::from_secs(seconds);
                let margin = Duration::from_millis(settings.idle_margin_ms);
                // A server that keeps connections for a second only keeps them all the same.
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
}

struct IdleConnection {
    connection: ServerConnection,
    until: Instant,
}

impl Pool {
    pub(crate) fn new() -> Self {
        let idle = IdleConnections { by_server: HashMap::new(), swept_at: Instant::now() };
        Self { idle: Mutex::new(idle) }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection of a server that was used last. It may have been closed meanwhile; then a
    /// request on it is not sent.
    pub(crate) fn take(&self, server: &BackendId) -> Option<ServerConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.by_server.get_mut(server)?;
        loop {
            let last = connections.pop()?;
            if last.until > now {
                return Some(last.connection);
            }
        }
    }

    /// Keeps a connection, if it can be used again.
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
        connections.push(IdleConnection { connection, until: now + keeping.rest });
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
