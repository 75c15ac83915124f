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
use std::mem;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dahlia_backends::BackendId;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::{Duration, timeout};

use crate::RelaySettings;

const BYTES_PER_MB: f64 = 1_048_576.0;
/// Bytes of each request that do not count as arriving, so that small requests need no room among large ones.
const UNCOUNTED_ARRIVING_BYTES: usize = 8 * 1_024;
/// The limit on requests that are arriving, as a share of the limit from which on first turns are refused, so
/// that requests that never arrive whole cause no such refusal.
const ARRIVING_SHARE: f64 = 0.8;

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
        let share_of_memory = |share: f64| (memory * share) as usize;
        Self {
            total: share_of_memory(settings.held_share),
            first_turns: share_of_memory(settings.first_turns_share),
            caller: share_of_memory(settings.caller_share),
            server: share_of_memory(settings.server_share),
        }
    }
}

/// Why memory cannot be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum ReservationError {
    /// The limit of the gateway is reached.
    #[snafu(display("the gateway holds as many bytes as it may"))]
    GatewayFull,
    /// The limit of the caller is reached.
    #[snafu(display("it holds as many bytes for this caller as it may"))]
    CallerFull,
}

/// The memory reserved by one gateway.
#[derive(Debug)]
pub(crate) struct MemoryQuota {
    limits: MemoryLimits,
    reserved: AtomicUsize,
    /// Bytes of the buffers of callers' connections. The number of connections bounds them. They
    /// are counted separately, because idle connections are no reason to refuse a request.
    connection_buffers: AtomicUsize,
    /// Bytes reserved for requests that have not arrived whole.
    arriving: AtomicUsize,
    to_servers: Mutex<HashMap<BackendId, usize>>,
    /// Whether a caller has exceeded the total limit.
    is_total_exceeded: AtomicBool,
    /// Notified whenever memory is released.
    released: Notify,
}

impl MemoryQuota {
    pub(crate) fn new(settings: &RelaySettings) -> Arc<Self> {
        Arc::new(Self {
            limits: MemoryLimits::new(settings),
            reserved: AtomicUsize::new(0),
            connection_buffers: AtomicUsize::new(0),
            arriving: AtomicUsize::new(0),
            to_servers: Mutex::default(),
            is_total_exceeded: AtomicBool::new(false),
            released: Notify::new(),
        })
    }

    /// The bytes that are reserved now.
    pub(crate) fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// The most bytes that the buffers of callers' connections may take now.
    pub(crate) fn connection_buffers(&self) -> usize {
        self.connection_buffers.load(Ordering::Relaxed)
    }

    /// Whether a request may start. Requests of active programs are accepted while first turns are
    /// refused: the work already spent on these programs would be lost.
    pub(crate) fn may_start(&self, is_active: bool) -> bool {
        let most = if is_active { self.limits.total } else { self.limits.first_turns };
        self.reserved() < most
    }

    /// Creates the quota of a new caller's connection with buffers of this size.
    pub(crate) fn caller_quota(self: &Arc<Self>, buffers: usize) -> CallerQuota {
        self.connection_buffers.fetch_add(buffers, Ordering::Relaxed);
        let account = CallerAccount {
            gateway: Arc::clone(self),
            bytes: AtomicUsize::new(0),
            exceeds_total: AtomicBool::new(false),
            buffers,
        };
        CallerQuota(Arc::new(account))
    }

    /// Reserves bytes on their way to a server; none if the server's limit is reached. A single
    /// request may exceed that limit.
    pub(crate) fn reserve_send(
        self: &Arc<Self>,
        server: &BackendId,
        bytes: usize,
    ) -> Option<SendReservation> {
        let mut to_servers = self.to_servers.lock().unwrap_or_else(PoisonError::into_inner);
        let before = to_servers.get(server).copied().unwrap_or(0);
        if before > 0 && before + bytes > self.limits.server {
            return None;
        }
        to_servers.insert(server.clone(), before + bytes);
        Some(SendReservation { gateway: Arc::clone(self), server: server.clone(), bytes })
    }

    fn release_send(&self, server: &BackendId, bytes: usize) {
        let mut to_servers = self.to_servers.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(left) = to_servers.get_mut(server) else { return };
        *left = left.saturating_sub(bytes);
        if *left == 0 {
            to_servers.remove(server);
        }
    }

    /// Waits for a release of memory after `begin`, for at most this long, if `begin` returns that there will
    /// be one.
    pub(crate) async fn released_after(&self, begin: impl FnOnce() -> bool, limit: Duration) {
        // Subscribe before, so that no release is missed.
        let mut released = pin!(self.released.notified());
        released.as_mut().enable();
        if begin() {
            // Whoever waits checks the memory again.
            let _ = timeout(limit, released).await;
        }
    }

    /// Counts more bytes of a request that is arriving. A single request is limited only by the other
    /// limits.
    fn count_arriving(&self, before: usize, bytes: usize) -> Result<(), ReservationError> {
        let limit = (self.limits.first_turns as f64 * ARRIVING_SHARE) as usize;
        let add = |counted: usize| {
            let others = counted.saturating_sub(before);
            let sum = others.saturating_add(bytes);
            (others == 0 || sum <= limit).then_some(sum)
        };
        let counted = self.arriving.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        counted.map(drop).map_err(|_| ReservationError::GatewayFull)
    }

    fn reserve(&self, bytes: usize) -> Result<(), ReservationError> {
        let add_within_limit =
            |total: usize| total.checked_add(bytes).filter(|sum| *sum <= self.limits.total);
        let taken =
            self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_within_limit);
        taken.map(drop).map_err(|_| ReservationError::GatewayFull)
    }
}

#[derive(Debug)]
struct CallerAccount {
    gateway: Arc<MemoryQuota>,
    bytes: AtomicUsize,
    /// Whether this caller is the one that has exceeded the total limit.
    exceeds_total: AtomicBool,
    buffers: usize,
}

impl Drop for CallerAccount {
    fn drop(&mut self) {
        self.gateway.connection_buffers.fetch_sub(self.buffers, Ordering::Relaxed);
    }
}

/// The memory quota of one caller's connection. Clones share one quota.
#[derive(Debug, Clone)]
pub(crate) struct CallerQuota(Arc<CallerAccount>);

impl CallerQuota {
    /// Returns a reservation of no bytes, which can grow.
    pub(crate) fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { caller: self.clone(), bytes: 0, arriving_bytes: 0 }
    }

    /// The bytes that this caller may still reserve.
    fn available(&self) -> usize {
        self.0.gateway.limits.caller.saturating_sub(self.0.bytes.load(Ordering::Relaxed))
    }

    fn reserve(&self, bytes: usize) -> Result<(), ReservationError> {
        if bytes > self.available() {
            return Err(ReservationError::CallerFull);
        }
        self.0.gateway.reserve(bytes)?;
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Reserves beyond the total limit, unless another caller does so already. Otherwise callers
    /// that keep their reservations while they wait for more memory could all wait for each other.
    fn exceed_total(&self, bytes: usize) -> Result<(), ReservationError> {
        let CallerAccount { gateway, bytes: own_bytes, exceeds_total, .. } = &*self.0;
        if bytes > self.available() {
            return Err(ReservationError::CallerFull);
        }
        if !exceeds_total.load(Ordering::Relaxed) {
            if gateway.is_total_exceeded.swap(true, Ordering::Relaxed) {
                return Err(ReservationError::GatewayFull);
            }
            exceeds_total.store(true, Ordering::Relaxed);
        }
        gateway.reserved.fetch_add(bytes, Ordering::Relaxed);
        own_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    fn release(&self, bytes: usize) {
        let CallerAccount { gateway, bytes: own_bytes, exceeds_total, .. } = &*self.0;
        let bytes_before = own_bytes.fetch_sub(bytes, Ordering::Relaxed);
        let total = gateway.reserved.fetch_sub(bytes, Ordering::Relaxed) - bytes;
        let is_within_total = bytes_before == bytes || total <= gateway.limits.total;
        if is_within_total && exceeds_total.swap(false, Ordering::Relaxed) {
            gateway.is_total_exceeded.store(false, Ordering::Relaxed);
        }
        gateway.released.notify_waiters();
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    caller: CallerQuota,
    bytes: usize,
    /// The bytes of it that count as arriving.
    arriving_bytes: usize,
}

impl MemoryReservation {
    /// Reserves further bytes, before they are stored.
    ///
    /// # Errors
    /// A limit is reached. The bytes reserved before stay reserved.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ReservationError> {
        if bytes == 0 {
            // A body whose memory is reserved need not wait while another caller exceeds the limit.
            return Ok(());
        }
        self.caller.reserve(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves bytes for what arrives of a request, up to this many in all.
    ///
    /// # Errors
    /// A limit is reached. The bytes reserved before stay reserved.
    pub(crate) fn grow_arriving(&mut self, bytes: usize) -> Result<(), ReservationError> {
        if bytes > UNCOUNTED_ARRIVING_BYTES.max(self.arriving_bytes) {
            self.caller.0.gateway.count_arriving(self.arriving_bytes, bytes)?;
            self.arriving_bytes = bytes;
        }
        self.grow(bytes.saturating_sub(self.bytes))
    }

    /// Notes that the request has arrived whole. Its bytes stay reserved.
    pub(crate) fn end_arrival(&mut self) {
        let arrived = mem::take(&mut self.arriving_bytes);
        let gateway = &self.caller.0.gateway;
        gateway.arriving.fetch_sub(arrived, Ordering::Relaxed);
        gateway.released.notify_waiters();
    }

    /// Reserves further bytes. While the gateway's limit is reached, this waits until memory is
    /// released or no other caller exceeds the limit.
    ///
    /// # Errors
    /// The caller's own limit is reached.
    pub(crate) async fn grow_when_available(
        &mut self,
        bytes: usize,
    ) -> Result<(), ReservationError> {
        let account = Arc::clone(&self.caller.0);
        loop {
            // Subscribe before the check, so that no release in between is missed.
            let mut released = pin!(account.gateway.released.notified());
            released.as_mut().enable();
            match self.grow(bytes).or_else(|why| self.exceed_total(bytes, why)) {
                Err(ReservationError::GatewayFull) => released.await,
                grown => return grown,
            }
        }
    }

    fn exceed_total(
        &mut self,
        bytes: usize,
        why: ReservationError,
    ) -> Result<(), ReservationError> {
        if why == ReservationError::CallerFull {
            return Err(why);
        }
        self.caller.exceed_total(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Moves at most this many bytes to a new reservation.
    pub(crate) fn split(&mut self, bytes: usize) -> MemoryReservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryReservation { caller: self.caller.clone(), bytes, arriving_bytes: 0 }
    }

    /// Merges another reservation of the same caller into this one.
    pub(crate) fn merge(&mut self, mut other: MemoryReservation) {
        self.bytes += mem::take(&mut other.bytes);
        self.arriving_bytes += mem::take(&mut other.arriving_bytes);
    }

    /// Attaches the reservation to some bytes: it ends when the last reader has dropped them.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ReservedPiece { bytes, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if self.arriving_bytes > 0 {
            self.end_arrival();
        }
        if self.bytes > 0 {
            self.caller.release(self.bytes);
        }
    }
}

/// The body of a server's answer that is assembled piece by piece. Its whole buffer is reserved before it is allocated,
/// since allocated memory is unavailable to others even before the bytes arrive.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    /// The length that the head announced. The buffer for it is allocated when the first bytes
    /// arrive.
    expected: usize,
    /// The most bytes that the body may have.
    limit: usize,
    reservation: MemoryReservation,
}

impl BodyBuffer {
    pub(crate) fn new(expected: Option<u64>, limit: usize, caller: &CallerQuota) -> Self {
        let expected = expected.map_or(0, |expected| expected as usize);
        Self { bytes: Vec::new(), expected, limit, reservation: caller.empty_reservation() }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The capacity that the buffer needs for this many more bytes.
    fn required_capacity(&self, more: usize) -> usize {
        let end = self.bytes.len() + more;
        match self.bytes.capacity() {
            0 => end.max(self.expected),
            enough if enough >= end => enough,
            current => end.max(self.max_capacity().min(2 * current)),
        }
    }

    /// The most capacity that the buffer may have.
    fn max_capacity(&self) -> usize {
        self.limit.min(self.reservation.bytes.saturating_add(self.reservation.caller.available()))
    }

    fn append(&mut self, piece: &[u8], capacity: usize) {
        if capacity > self.bytes.capacity() {
            // Allocate exactly what is reserved.
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Appends a piece once memory is available for it.
    ///
    /// # Errors
    /// The caller's own limit is reached.
    pub(crate) async fn push_when_available(
        &mut self,
        piece: &[u8],
    ) -> Result<(), ReservationError> {
        let capacity = self.required_capacity(piece.len());
        self.reservation
            .grow_when_available(capacity.saturating_sub(self.reservation.bytes))
            .await?;
        self.append(piece, capacity);
        Ok(())
    }

    pub(crate) fn finish(self) -> ReservedBody {
        ReservedBody { bytes: self.bytes.into(), reservation: self.reservation }
    }
}

/// A complete body and its reservation.
#[derive(Debug)]
pub(crate) struct ReservedBody {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: MemoryReservation,
}

struct ReservedPiece {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A reservation for bytes on their way to a server. It is released on drop.
#[derive(Debug)]
pub(crate) struct SendReservation {
    gateway: Arc<MemoryQuota>,
    server: BackendId,
    bytes: usize,
}

impl Drop for SendReservation {
    fn drop(&mut self) {
        self.gateway.release_send(&self.server, self.bytes);
    }
}
