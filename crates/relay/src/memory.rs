//! Limits on the memory for bodies that are in transit between callers and servers.
//!
//! A process that exceeds its memory is killed, and all its requests fail. So memory is reserved
//! for each body, composed prompt, answer and turn output before its bytes are stored, and it stays
//! reserved until the last byte is gone: taken by the caller's socket, taken by the server's
//! socket, or dropped. Each caller and each server also has a limit of its own, so that a slow one
//! cannot use up the memory of the others.
//!
//! As memory runs out, work is held back in this order: answers wait unread at their servers, first
//! turns of programs are refused, then all requests are refused.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dahlia_backends::BackendId;
use snafu::Snafu;
use tokio::sync::Notify;

use crate::RelaySettings;

const BYTES_PER_MB: f64 = 1_048_576.0;

/// Limits on reserved memory, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// For all callers and servers together.
    pub total: usize,
    /// The total from which on first turns of programs are refused.
    pub first_turns: usize,
    /// For one caller.
    pub caller: usize,
    /// For bytes on their way to one server.
    pub server: usize,
}

impl MemoryLimits {
    const NONE: Self =
        Self { total: usize::MAX, first_turns: usize::MAX, caller: usize::MAX, server: usize::MAX };

    /// Derives the limits from the memory of the process; there are none if it is not configured.
    pub fn new(settings: &RelaySettings) -> Self {
        let Some(memory_mb) = settings.memory_mb else { return Self::NONE };
        let memory = memory_mb as f64 * BYTES_PER_MB;
        let part = |share: f64| (memory * share) as usize;
        Self {
            total: part(settings.held_share),
            first_turns: part(settings.first_turns_share),
            caller: part(settings.caller_share),
            server: part(settings.server_share),
        }
    }
}

/// Why memory cannot be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum NotHeld {
    /// The limit of the gateway is reached.
    #[snafu(display("the gateway holds as many bytes as it may"))]
    Full,
    /// The limit of the caller is reached.
    #[snafu(display("it holds as many bytes for this caller as it may"))]
    CallerFull,
}

/// The memory reserved by one gateway.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bounds: MemoryLimits,
    total: AtomicUsize,
    /// Bytes of the buffers of callers' connections. The number of connections bounds them. They
    /// are counted separately, because idle connections are no reason to refuse a request.
    connection_buffers: AtomicUsize,
    to_servers: Mutex<HashMap<BackendId, usize>>,
    /// Whether a caller has exceeded the total limit.
    is_overdrawn: AtomicBool,
    /// Notified whenever memory is released.
    freed: Notify,
}

impl HeldBytes {
    pub(crate) fn new(settings: &RelaySettings) -> Arc<Self> {
        Arc::new(Self {
            bounds: MemoryLimits::new(settings),
            total: AtomicUsize::new(0),
            connection_buffers: AtomicUsize::new(0),
            to_servers: Mutex::default(),
            is_overdrawn: AtomicBool::new(false),
            freed: Notify::new(),
        })
    }

    /// The bytes that are reserved now.
    pub(crate) fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// The most bytes that the buffers of callers' connections may take now.
    pub(crate) fn connection_buffers(&self) -> usize {
        self.connection_buffers.load(Ordering::Relaxed)
    }

    /// Whether a request may start. Requests of active programs are accepted while first turns are
    /// refused: the work already spent on these programs would be lost.
    pub(crate) fn may_begin(&self, is_under_way: bool) -> bool {
        let most = if is_under_way { self.bounds.total } else { self.bounds.first_turns };
        self.total() < most
    }

    /// Creates the quota of a new caller's connection with buffers of this size.
    pub(crate) fn caller(self: &Arc<Self>, buffers: usize) -> CallerBytes {
        self.connection_buffers.fetch_add(buffers, Ordering::Relaxed);
        let account = CallerAccount {
            held: Arc::clone(self),
            bytes: AtomicUsize::new(0),
            overdraws: AtomicBool::new(false),
            buffers,
        };
        CallerBytes(Arc::new(account))
    }

    /// Reserves bytes on their way to a server; none if the server's limit is reached. A single
    /// request may exceed that limit.
    pub(crate) fn send(self: &Arc<Self>, server: &BackendId, bytes: usize) -> Option<OnTheWay> {
        let mut to_servers = self.to_servers.lock().unwrap_or_else(PoisonError::into_inner);
        let before = to_servers.get(server).copied().unwrap_or(0);
        if before > 0 && before + bytes > self.bounds.server {
            return None;
        }
        to_servers.insert(server.clone(), before + bytes);
        Some(OnTheWay { held: Arc::clone(self), server: server.clone(), bytes })
    }

    fn sent(&self, server: &BackendId, bytes: usize) {
        let mut to_servers = self.to_servers.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(left) = to_servers.get_mut(server) else { return };
        *left = left.saturating_sub(bytes);
        if *left == 0 {
            to_servers.remove(server);
        }
    }

    fn take(&self, bytes: usize) -> Result<(), NotHeld> {
        let within =
            |total: usize| total.checked_add(bytes).filter(|sum| *sum <= self.bounds.total);
        let taken = self.total.fetch_update(Ordering::Relaxed, Ordering::Relaxed, within);
        taken.map(drop).map_err(|_| NotHeld::Full)
    }
}

#[derive(Debug)]
struct CallerAccount {
    held: Arc<HeldBytes>,
    bytes: AtomicUsize,
    /// Whether this caller is the one that has exceeded the total limit.
    overdraws: AtomicBool,
    buffers: usize,
}

impl Drop for CallerAccount {
    fn drop(&mut self) {
        self.held.connection_buffers.fetch_sub(self.buffers, Ordering::Relaxed);
    }
}

/// The memory quota of one caller's connection. Clones share one quota.
#[derive(Debug, Clone)]
pub(crate) struct CallerBytes(Arc<CallerAccount>);

impl CallerBytes {
    /// Returns a reservation of no bytes, which can grow.
    pub(crate) fn nothing(&self) -> Held {
        Held { caller: self.clone(), bytes: 0 }
    }

    /// The bytes that this caller may still reserve.
    fn room(&self) -> usize {
        self.0.held.bounds.caller.saturating_sub(self.0.bytes.load(Ordering::Relaxed))
    }

    fn take(&self, bytes: usize) -> Result<(), NotHeld> {
        if bytes > self.room() {
            return Err(NotHeld::CallerFull);
        }
        self.0.held.take(bytes)?;
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Reserves beyond the total limit, unless another caller does so already. Otherwise callers
    /// that keep their reservations while they wait for more memory could all wait for each other.
    fn overdraw(&self, bytes: usize) -> Result<(), NotHeld> {
        let CallerAccount { held, bytes: own, overdraws, .. } = &*self.0;
        if bytes > self.room() {
            return Err(NotHeld::CallerFull);
        }
        if !overdraws.load(Ordering::Relaxed) {
            if held.is_overdrawn.swap(true, Ordering::Relaxed) {
                return Err(NotHeld::Full);
            }
            overdraws.store(true, Ordering::Relaxed);
        }
        held.total.fetch_add(bytes, Ordering::Relaxed);
        own.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    fn free(&self, bytes: usize) {
        let CallerAccount { held, bytes: own, overdraws, .. } = &*self.0;
        let had = own.fetch_sub(bytes, Ordering::Relaxed);
        let total = held.total.fetch_sub(bytes, Ordering::Relaxed) - bytes;
        let is_made_good = had == bytes || total <= held.bounds.total;
        if is_made_good && overdraws.swap(false, Ordering::Relaxed) {
            held.is_overdrawn.store(false, Ordering::Relaxed);
        }
        held.freed.notify_waiters();
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    caller: CallerBytes,
    bytes: usize,
}

impl Held {
    /// Reserves further bytes, before they are stored.
    ///
    /// # Errors
    /// A limit is reached. The bytes reserved before stay reserved.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), NotHeld> {
        if bytes == 0 {
            // A body whose memory is reserved need not wait while another caller exceeds the limit.
            return Ok(());
        }
        self.caller.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves further bytes. While the gateway's limit is reached, this waits until memory is
    /// released or no other caller exceeds the limit.
    ///
    /// # Errors
    /// The caller's own limit is reached.
    pub(crate) async fn grow_when_free(&mut self, bytes: usize) -> Result<(), NotHeld> {
        let account = Arc::clone(&self.caller.0);
        loop {
            // Subscribe before the check, so that no release in between is missed.
            let mut freed = pin!(account.held.freed.notified());
            freed.as_mut().enable();
            match self.grow(bytes).or_else(|why| self.overdraw(bytes, why)) {
                Err(NotHeld::Full) => freed.await,
                grown => return grown,
            }
        }
    }

    fn overdraw(&mut self, bytes: usize, why: NotHeld) -> Result<(), NotHeld> {
        if why == NotHeld::CallerFull {
            return Err(why);
        }
        self.caller.overdraw(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Moves at most this many bytes to a new reservation.
    pub(crate) fn split(&mut self, bytes: usize) -> Held {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Held { caller: self.caller.clone(), bytes }
    }

    /// Merges another reservation of the same caller into this one.
    pub(crate) fn join(&mut self, mut other: Held) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Attaches the reservation to some bytes: it ends when the last reader has dropped them.
    pub(crate) fn tie_to(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldPiece { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.caller.free(self.bytes);
        }
    }
}

/// A body that is assembled piece by piece. Its whole buffer is reserved before it is allocated,
/// since allocated memory is unavailable to others even before the bytes arrive.
#[derive(Debug)]
pub(crate) struct Assembly {
    bytes: Vec<u8>,
    /// The length that the head announced. The buffer for it is allocated when the first bytes
    /// arrive.
    expected: usize,
    /// The most bytes that the body may have.
    limit: usize,
    held: Held,
}

impl Assembly {
    pub(crate) fn new(expected: Option<u64>, limit: usize, caller: &CallerBytes) -> Self {
        let expected = expected.map_or(0, |expected| expected as usize);
        Self { bytes: Vec::new(), expected, limit, held: caller.nothing() }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The capacity that the buffer needs for this many more bytes.
    fn wanted(&self, more: usize) -> usize {
        let end = self.bytes.len() + more;
        match self.bytes.capacity() {
            0 => end.max(self.expected),
            enough if enough >= end => enough,
            too_little => end.max(self.most().min(2 * too_little)),
        }
    }

    /// The most capacity that the buffer may have.
    fn most(&self) -> usize {
        self.limit.min(self.held.bytes.saturating_add(self.held.caller.room()))
    }

    fn add(&mut self, piece: &[u8], wanted: usize) {
        if wanted > self.bytes.capacity() {
            // Allocate exactly what is reserved.
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Appends a piece.
    ///
    /// # Errors
    /// No memory is available for it.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<(), NotHeld> {
        let wanted = self.wanted(piece.len());
        self.held.grow(wanted.saturating_sub(self.held.bytes))?;
        self.add(piece, wanted);
        Ok(())
    }

    /// Appends a piece once memory is available for it.
    ///
    /// # Errors
    /// The caller's own limit is reached.
    pub(crate) async fn push_when_free(&mut self, piece: &[u8]) -> Result<(), NotHeld> {
        let wanted = self.wanted(piece.len());
        self.held.grow_when_free(wanted.saturating_sub(self.held.bytes)).await?;
        self.add(piece, wanted);
        Ok(())
    }

    pub(crate) fn finish(self) -> HeldBody {
        HeldBody { bytes: self.bytes.into(), held: self.held }
    }
}

/// A complete body and its reservation.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    pub(crate) held: Held,
}

struct HeldPiece {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A reservation for bytes on their way to a server. It is released on drop.
#[derive(Debug)]
pub(crate) struct OnTheWay {
    held: Arc<HeldBytes>,
    server: BackendId,
    bytes: usize,
}

impl Drop for OnTheWay {
    fn drop(&mut self) {
        self.held.sent(&self.server, self.bytes);
    }
}
