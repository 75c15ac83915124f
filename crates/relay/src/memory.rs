//! Bytes that are held for callers and servers, each kind within a bound.
//!
//! A process that holds more than its memory is killed, and everything under way with it. So each body,
//! composed prompt, answer and turn output is counted from before it is kept until its last byte is
//! gone: handed to the caller's socket, taken by the server's, or dropped. What one caller or one server
//! makes this process hold is bounded by itself, so that none that is slow takes the room of all others.
//!
//! What is new waits or is refused, in this order as room runs out: answers wait unread at their
//! servers, first turns of programs are refused, then all requests.

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

/// Bounds on bytes held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// For all callers and servers together.
    pub total: usize,
    /// In all, from which on no first turn of a program is taken.
    pub first_turns: usize,
    /// For one caller.
    pub caller: usize,
    /// On their way to one server.
    pub server: usize,
}

impl MemoryLimits {
    const NONE: Self =
        Self { total: usize::MAX, first_turns: usize::MAX, caller: usize::MAX, server: usize::MAX };

    /// The bounds that follow from the memory of the process; none where it is not stated.
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

/// Why bytes may not be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum NotHeld {
    /// The gateway holds as much as it may in all.
    #[snafu(display("the gateway holds as many bytes as it may"))]
    Full,
    /// The caller makes it hold as much as one caller may.
    #[snafu(display("it holds as many bytes for this caller as it may"))]
    CallerFull,
}

/// The bytes held by one gateway.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bounds: MemoryLimits,
    total: AtomicUsize,
    /// Buffers of callers' connections. They are bounded by the number of these, and kept apart: idle
    /// connections are no reason to refuse a request.
    connection_buffers: AtomicUsize,
    to_servers: Mutex<HashMap<BackendId, usize>>,
    /// Whether a caller has overdrawn the total.
    is_overdrawn: AtomicBool,
    /// Told whenever bytes are freed.
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

    /// Bytes held now.
    pub(crate) fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// The most that buffers of callers' connections may take now.
    pub(crate) fn connection_buffers(&self) -> usize {
        self.connection_buffers.load(Ordering::Relaxed)
    }

    /// Whether a request may begin. Programs under way go on while first turns are refused: what was
    /// spent on them would be lost.
    pub(crate) fn may_begin(&self, is_under_way: bool) -> bool {
        let most = if is_under_way { self.bounds.total } else { self.bounds.first_turns };
        self.total() < most
    }

    /// A caller, with the buffers of its connection.
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

    /// Counts bytes on their way to a server; none if there are too many already. A single request
    /// may go whatever its size.
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
    /// Whether it is the one that has overdrawn the total.
    overdraws: AtomicBool,
    buffers: usize,
}

impl Drop for CallerAccount {
    fn drop(&mut self) {
        self.held.connection_buffers.fetch_sub(self.buffers, Ordering::Relaxed);
    }
}

/// The bytes held for one caller's connection. Clones are the same caller's.
#[derive(Debug, Clone)]
pub(crate) struct CallerBytes(Arc<CallerAccount>);

impl CallerBytes {
    /// Nothing yet, to be grown.
    pub(crate) fn nothing(&self) -> Held {
        Held { caller: self.clone(), bytes: 0 }
    }

    /// What it may still make this process hold.
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

    /// Takes more than the total allows, unless another caller does. Those that keep what they have while
    /// they wait for more could otherwise all wait for each other.
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

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    caller: CallerBytes,
    bytes: usize,
}

impl Held {
    /// Counts further bytes before they are kept.
    ///
    /// # Errors
    /// There is no room for them; those before still count.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), NotHeld> {
        if bytes == 0 {
            // What has its memory need not wait while another caller overdraws.
            return Ok(());
        }
        self.caller.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// The same, but while the gateway is full it waits until bytes are freed or nobody else overdraws.
    ///
    /// # Errors
    /// The caller's own bound is reached.
    pub(crate) async fn grow_when_free(&mut self, bytes: usize) -> Result<(), NotHeld> {
        let account = Arc::clone(&self.caller.0);
        loop {
            // Listens before it looks, so that nothing freed in between is missed.
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

    /// Hands some of the count over, as far as there is so much.
    pub(crate) fn split(&mut self, bytes: usize) -> Held {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Held { caller: self.caller.clone(), bytes }
    }

    /// Takes over what another one counts for the same caller.
    pub(crate) fn join(&mut self, mut other: Held) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Ties the count to some bytes: it ends when the last reader has dropped them.
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

/// A body that is put together piece by piece. What is set aside for it counts before it is: memory that
/// waits for bytes to come is as little use to others as memory that has them.
#[derive(Debug)]
pub(crate) struct Assembly {
    bytes: Vec<u8>,
    /// Bytes that its head promised; memory for them is set aside when the first of them come.
    expected: usize,
    /// Bytes that it may have.
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

    /// The memory that has to be set aside for so many more bytes.
    fn wanted(&self, more: usize) -> usize {
        let end = self.bytes.len() + more;
        match self.bytes.capacity() {
            0 => end.max(self.expected),
            enough if enough >= end => enough,
            too_little => end.max(self.most().min(2 * too_little)),
        }
    }

    /// The most memory that may be set aside for it.
    fn most(&self) -> usize {
        self.limit.min(self.held.bytes.saturating_add(self.held.caller.room()))
    }

    fn add(&mut self, piece: &[u8], wanted: usize) {
        if wanted > self.bytes.capacity() {
            // Exactly as much as counts.
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Adds a piece.
    ///
    /// # Errors
    /// There is no room for it.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<(), NotHeld> {
        let wanted = self.wanted(piece.len());
        self.held.grow(wanted.saturating_sub(self.held.bytes))?;
        self.add(piece, wanted);
        Ok(())
    }

    /// Adds a piece once there is room for it.
    ///
    /// # Errors
    /// The caller's own bound is reached.
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

/// A body that is there whole, and its count.
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

/// Bytes on their way to a server until this is dropped.
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
