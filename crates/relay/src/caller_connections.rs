//! The account of callers' connections: how many are open, what memory they may take, and which of
//! them is closed when a limit is reached.
//!
//! Callers decide how many connections there are and how long each one waits. When there is no room
//! for another one, the connection is closed whose loss costs an ordinary caller least. None of those
//! that qualify has a request that a server may have got, except a caller that takes no byte of its
//! answer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::select;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep};

use crate::RelaySettings;
use crate::caller::{CallerState, Connection};

/// Bytes of a connection without a request: its task, its socket and the smallest read buffer.
pub(crate) const IDLE_CONNECTION_BYTES: usize = 16 * 1_024;
/// Connections that are allowed whatever the memory and the descriptors are.
const MIN_CONNECTIONS: usize = 64;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// The share of the other descriptors that callers' connections may take. Each request may need one
/// connection to a server, and other daemons need some.
const CALLERS_DESCRIPTOR_SHARE: f64 = 0.45;
/// How often a full gateway looks again for a connection to close.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often it is logged that connections are closed in favour of others.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Number of open connections.
    pub connections: usize,
    /// Bytes of memory that they may take together.
    pub bytes: usize,
}

impl ConnectionLimits {
    /// Derives the limits from the memory and the descriptors of the process.
    pub fn new(settings: &RelaySettings) -> Self {
        let by_descriptors = settings.max_descriptors.map_or(usize::MAX, |descriptors| {
            let shared = descriptors.saturating_sub(FILE_DESCRIPTORS);
            (shared as f64 * CALLERS_DESCRIPTOR_SHARE) as usize
        });
        let connections = settings.most_connections.min(by_descriptors.max(MIN_CONNECTIONS));
        let bytes = settings.memory_mb.map_or(usize::MAX, |memory_mb| {
            let share = memory_mb as f64 * BYTES_PER_MB * settings.connections_share;
            (share as usize).max(MIN_CONNECTIONS * 4 * IDLE_CONNECTION_BYTES)
        });
        Self { connections, bytes }
    }
}

/// Why a connection may be closed in favour of another one, from the first that is closed to the last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Waiting {
    /// It has had no request yet.
    ForFirstRequest,
    /// The head of a request is incomplete.
    ForHead,
    /// Its next request was sent ahead and waits its turn.
    SentAhead,
    /// The body of a request has stalled.
    ForBody,
    /// It is idle between two requests.
    ForNextRequest,
    /// Its caller takes no byte of an answer.
    ForReader,
}

/// The open connections of one gateway.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    limits: ConnectionLimits,
    open: Mutex<HashMap<u64, Weak<Connection>>>,
    next_id: AtomicU64,
    bytes: AtomicUsize,
    /// Connections that were told to close and are still open.
    closing: AtomicUsize,
    closing_bytes: AtomicUsize,
    /// Connections closed so far in favour of others.
    displaced: AtomicU64,
    last_logged: Mutex<Option<Instant>>,
    closed: Notify,
}

impl CallerConnections {
    pub(crate) fn new(settings: &RelaySettings) -> Arc<Self> {
        Arc::new(Self {
            limits: ConnectionLimits::new(settings),
            open: Mutex::default(),
            next_id: AtomicU64::new(0),
            bytes: AtomicUsize::new(0),
            closing: AtomicUsize::new(0),
            closing_bytes: AtomicUsize::new(0),
            displaced: AtomicU64::new(0),
            last_logged: Mutex::default(),
            closed: Notify::new(),
        })
    }

    /// The bytes that open connections may take now.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// The number of connections closed so far in favour of others.
    pub(crate) fn displaced(&self) -> u64 {
        self.displaced.load(Ordering::Relaxed)
    }

    /// Counts a new connection. It takes `request_bytes` more while a request arrives or is served.
    pub(crate) fn open(self: &Arc<Self>, request_bytes: usize) -> CallerState {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(IDLE_CONNECTION_BYTES, Ordering::Relaxed);
        let state = CallerState::new(Arc::clone(self), id, request_bytes);
        self.lock().insert(id, state.downgrade());
        state
    }

    /// Waits until there is room for another connection. Meanwhile connections that wait for their
    /// callers are closed.
    pub(crate) async fn room(&self) {
        loop {
            let closed = self.closed.notified();
            tokio::pin!(closed);
            // Subscribe before the check, so that no close in between is missed.
            closed.as_mut().enable();
            let open = self.lock().len();
            if self.has_room(open, self.bytes()) {
                return;
            }
            // Those that were told to close will make room without another one.
            let staying = open.saturating_sub(self.closing.load(Ordering::Relaxed));
            let closing_bytes = self.closing_bytes.load(Ordering::Relaxed);
            if !self.has_room(staying, self.bytes().saturating_sub(closing_bytes)) {
                self.displace(Instant::now(), None);
            }
            select! {
                () = closed => {}
                () = sleep(ROOM_POLL_INTERVAL) => {}
            }
        }
    }

    fn has_room(&self, open: usize, bytes: usize) -> bool {
        open < self.limits.connections && bytes + IDLE_CONNECTION_BYTES <= self.limits.bytes
    }

    /// Counts more bytes of a connection, and closes another one if they exceed the limit. If no other
    /// one waits, it is this one: its request is refused.
    pub(crate) fn grow(&self, id: u64, bytes: usize) -> Growth {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let staying = (before + bytes).saturating_sub(self.closing_bytes.load(Ordering::Relaxed));
        match staying > self.limits.bytes && !self.displace(Instant::now(), Some(id)) {
            true => Growth::NoRoom,
            false => Growth::Counted,
        }
    }

    pub(crate) fn shrink(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Closes the connection that can best be spared, except one. Returns whether there is any.
    fn displace(&self, now: Instant, except: Option<u64>) -> bool {
        self.displace_one(except, |connection| connection.waiting(now))
    }

    /// Ends the upload that has stalled for longest, to make room for others. Returns whether there is
    /// any.
    pub(crate) fn displace_upload(&self, now: Instant, except: u64) -> bool {
        self.displace_one(Some(except), |connection| {
            connection.stalled_upload(now).map(|since| (Waiting::ForBody, since))
        })
    }

    fn displace_one(
        &self,
        except: Option<u64>,
        candidate: impl Fn(&CallerState) -> Option<(Waiting, Instant)>,
    ) -> bool {
        // The states are dropped after the lock: the last one of a connection takes it again.
        let open: Vec<CallerState> =
            self.lock().values().filter_map(CallerState::upgrade).collect();
        let candidates = open.iter().filter(|state| Some(state.id()) != except);
        let candidates = candidates.filter_map(|state| Some((candidate(state)?, state)));
        let Some((_, state)) = candidates.min_by_key(|(rank, _)| *rank) else { return false };
        if let Some(bytes) = state.displace() {
            self.closing.fetch_add(1, Ordering::Relaxed);
            self.closing_bytes.fetch_add(bytes, Ordering::Relaxed);
            self.displaced.fetch_add(1, Ordering::Relaxed);
            self.log_displaced(open.len());
        }
        true
    }

    /// Logs that connections are closed in favour of others, at most once in an interval.
    fn log_displaced(&self, open: usize) {
        let mut last = self.last_logged.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if last.is_some_and(|last| now < last + LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        log::warn!(
            target: "relay",
            open = open, bytes = self.bytes(), displaced = self.displaced();
            "No room for callers' connections or uploads; those that wait give way."
        );
    }

    /// Forgets a closed connection. `displaced_bytes` are those that it took when it was told to close in
    /// favour of others, if it was.
    pub(crate) fn close(&self, id: u64, bytes: usize, displaced_bytes: Option<usize>) {
        if let Some(displaced_bytes) = displaced_bytes {
            self.closing.fetch_sub(1, Ordering::Relaxed);
            self.closing_bytes.fetch_sub(displaced_bytes, Ordering::Relaxed);
        }
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.lock().remove(&id);
        self.closed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Weak<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a connection may take more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Growth {
    Counted,
    /// The limit is exceeded, and no other connection can be spared.
    NoRoom,
}
