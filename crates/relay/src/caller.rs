//! The state of a caller's connection, and its timeouts.
//!
//! A connection without a request has two timeouts: how long it may be idle, and how long a head
//! may take after its first byte. hyper has only one timer for both, so this module implements
//! them.
//!
//! A caller of HTTP/1.0 gets a stream without chunks, so the end of its connection is the end of the answer. That
//! connection is reset unless the answer is whole, also when this process dies.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{Semaphore, SemaphorePermit, watch};
use tokio::time::{Duration, Instant, Sleep, sleep_until};

use crate::caller_connections::{CallerConnections, Growth, IDLE_CONNECTION_BYTES, Waiting};

/// How long a connection must have waited for its caller before it may be closed in favour of others.
const MIN_WAIT: Duration = Duration::from_millis(25);
/// Bytes of the shortest request: `GET / HTTP/1.1` and an empty line.
const SHORTEST_HEAD_BYTES: u64 = 18;
/// How long an upload must have stalled before it ends in favour of other requests.
pub(crate) const MIN_UPLOAD_STALL: Duration = Duration::from_millis(250);

/// The phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request has arrived.
    Idle { since: Instant },
    /// The head of a request is arriving.
    ReadingHead { since: Instant },
    /// A request that was sent ahead waits its turn.
    WaitingTurn { since: Instant },
    /// The body of a request is being read.
    ReadingBody { last_byte: Instant },
    /// The request is being processed or answered.
    Busy,
}

impl Phase {
    fn is_idle(self) -> bool {
        matches!(self, Self::Idle { .. })
    }
}

/// What a connection that must close still sends to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReply {
    /// Nothing: no request has begun, or its caller reads no answer.
    None,
    /// A refusal of the request whose head is incomplete.
    RefuseHead,
    /// The request that is being read refuses itself.
    LeaveToRequest,
}

/// The result of checking a connection's idle timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleCheck {
    /// The timeout cannot pass before this moment.
    NotBefore(Instant),
    /// The timeout has passed.
    Expired,
}

#[derive(Debug)]
struct ConnectionState {
    phase: Phase,
    requests_served: u64,
    /// Bytes that have arrived since the connection was last idle.
    received: u64,
    /// When the caller must have taken the current answer.
    answer_deadline: Option<Instant>,
    /// How long the caller may go without taking a byte of the current stream.
    max_stall: Option<Duration>,
    /// Since when the caller takes no byte that is ready for it.
    blocked_since: Option<Instant>,
    close_delimited_answer: Option<CloseDelimitedAnswer>,
    /// The bytes that the connection may take now.
    bytes: usize,
    /// The bytes that it took when it was told to close in favour of others; none if it was not.
    displaced_bytes: Option<usize>,
}

/// The state of an answer that ends with the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseDelimitedAnswer {
    /// Some of it is missing.
    Incomplete,
    /// All of it has been handed to the connection.
    Whole,
}

/// A caller's connection, as its stream, its requests and the account of all connections see it.
#[derive(Debug)]
pub(crate) struct Connection {
    id: u64,
    connections: Arc<CallerConnections>,
    /// Bytes that it takes beyond [`IDLE_CONNECTION_BYTES`] while a request arrives or is served.
    request_bytes: usize,
    state: Mutex<ConnectionState>,
    must_close: watch::Sender<bool>,
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        let (bytes, displaced_bytes) = (state.bytes, state.displaced_bytes);
        self.connections.close(self.id, bytes, displaced_bytes);
    }
}

/// The state of a caller's connection, shared by its stream and its requests.
#[derive(Debug, Clone)]
pub(crate) struct CallerState(Arc<Connection>);

impl CallerState {
    /// Creates the state of a connection that `connections` counts.
    pub(crate) fn new(connections: Arc<CallerConnections>, id: u64, request_bytes: usize) -> Self {
        let state = Mutex::new(ConnectionState {
            phase: Phase::Idle { since: Instant::now() },
            requests_served: 0,
            received: 0,
            answer_deadline: None,
            max_stall: None,
            blocked_since: None,
            close_delimited_answer: None,
            bytes: IDLE_CONNECTION_BYTES,
            displaced_bytes: None,
        });
        let must_close = watch::Sender::new(false);
        Self(Arc::new(Connection { id, connections, request_bytes, state, must_close }))
    }

    pub(crate) fn id(&self) -> u64 {
        self.0.id
    }

    pub(crate) fn downgrade(&self) -> Weak<Connection> {
        Arc::downgrade(&self.0)
    }

    pub(crate) fn upgrade(connection: &Weak<Connection>) -> Option<Self> {
        connection.upgrade().map(Self)
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.0.lock()
    }

    /// Enters a phase. The connection takes more bytes while it is not idle.
    fn enter(&self, phase: Phase) {
        let Connection { id, connections, request_bytes, .. } = &*self.0;
        let mut state = self.lock();
        let was_idle = state.phase.is_idle();
        state.phase = phase;
        match (was_idle, phase.is_idle()) {
            (true, false) => state.bytes += request_bytes,
            (false, true) => state.bytes -= request_bytes,
            _ => return,
        }
        // The account looks at the states of other connections.
        drop(state);
        if !was_idle {
            connections.shrink(*request_bytes);
        } else if connections.grow(*id, *request_bytes) == Growth::NoRoom {
            self.0.must_close.send_replace(true);
        }
    }

    /// Marks the connection as busy until the guard is dropped.
    /// `request_bytes` is the length of the request that arrived, if its head tells.
    pub(crate) fn mark_busy(&self, request_bytes: Option<u64>) -> BusyGuard {
        let was_idle = self.lock().phase.is_idle();
        self.enter(Phase::Busy);
        let mut state = self.lock();
        state.close_delimited_answer = None;
        state.answer_deadline = None;
        let has_more = request_bytes
            .is_some_and(|bytes| state.received >= bytes.saturating_add(SHORTEST_HEAD_BYTES));
        drop(state);
        // Bytes that had not been read before the last answer would have ended the idle phase.
        BusyGuard { state: self.clone(), sends_ahead: was_idle || has_more }
    }

    /// Waits until a request that was sent ahead gets its turn, or the connection must close.
    pub(crate) async fn await_turn<'a>(&self, turns: &'a Semaphore) -> Option<SemaphorePermit<'a>> {
        self.lock().phase = Phase::WaitingTurn { since: Instant::now() };
        let turn = select! {
            turn = turns.acquire() => turn.ok(),
            () = self.must_close() => None,
        };
        self.lock().phase = Phase::Busy;
        turn
    }

    /// Notes that the body of a request is being read, and that some of it has just arrived.
    pub(crate) fn record_body_progress(&self) {
        self.lock().phase = Phase::ReadingBody { last_byte: Instant::now() };
    }

    /// Notes that a request has been read to its end.
    pub(crate) fn end_body(&self) {
        self.lock().phase = Phase::Busy;
    }

    /// What the connection waits for from its caller, and since when; none if it serves a request, or
    /// has not waited for long.
    pub(crate) fn waiting(&self, now: Instant) -> Option<(Waiting, Instant)> {
        let state = self.lock();
        if state.displaced_bytes.is_some() {
            return None;
        }
        let waiting = match (state.phase, state.blocked_since) {
            (Phase::Idle { .. } | Phase::Busy, Some(since)) => (Waiting::ForReader, since),
            (Phase::Idle { since }, None) if state.requests_served == 0 => {
                (Waiting::ForFirstRequest, since)
            }
            (Phase::Idle { since }, None) => (Waiting::ForNextRequest, since),
            (Phase::ReadingHead { since }, _) => (Waiting::ForHead, since),
            (Phase::WaitingTurn { since }, _) => (Waiting::SentAhead, since),
            (Phase::ReadingBody { last_byte }, _) => (Waiting::ForBody, last_byte),
            (Phase::Busy, None) => return None,
        };
        (now >= waiting.1 + MIN_WAIT).then_some(waiting)
    }

    /// When the body that is being read stalled, if it has for a while.
    pub(crate) fn stalled_upload(&self, now: Instant) -> Option<Instant> {
        let state = self.lock();
        match state.phase {
            Phase::ReadingBody { last_byte }
                if state.displaced_bytes.is_none() && now >= last_byte + MIN_UPLOAD_STALL =>
            {
                Some(last_byte)
            }
            _ => None,
        }
    }

    /// Tells the connection to close in favour of others. Returns the bytes that it takes; none if it
    /// was told before.
    pub(crate) fn displace(&self) -> Option<usize> {
        let mut state = self.lock();
        if state.displaced_bytes.is_some() {
            return None;
        }
        let bytes = state.bytes;
        state.displaced_bytes = Some(bytes);
        drop(state);
        self.0.must_close.send_replace(true);
        Some(bytes)
    }

    /// Returns once the connection must close in favour of others.
    pub(crate) async fn must_close(&self) {
        // The sender lives as long as this state.
        let _ = self.0.must_close.subscribe().wait_for(|must_close| *must_close).await;
    }

    /// Whether the connection must close in favour of others.
    pub(crate) fn is_displaced(&self) -> bool {
        *self.0.must_close.borrow()
    }

    /// What a connection that must close still sends to its caller.
    pub(crate) fn close_reply(&self) -> CloseReply {
        let state = self.lock();
        match state.phase {
            Phase::ReadingHead { .. } => CloseReply::RefuseHead,
            Phase::Idle { .. } => CloseReply::None,
            Phase::Busy if state.blocked_since.is_some() => CloseReply::None,
            Phase::WaitingTurn { .. } | Phase::ReadingBody { .. } | Phase::Busy => {
                CloseReply::LeaveToRequest
            }
        }
    }

    /// Notes whether the caller takes the bytes that are ready for it.
    fn set_blocked(&self, is_blocked: bool) {
        self.lock().blocked_since = is_blocked.then(Instant::now);
    }

    /// Whether no request is being read or served.
    fn awaits_request(&self) -> bool {
        matches!(self.lock().phase, Phase::Idle { .. } | Phase::ReadingHead { .. })
    }

    /// Sets when the caller must have taken the current answer.
    pub(crate) fn set_answer_deadline(&self, deadline: Instant) {
        self.lock().answer_deadline = Some(deadline);
    }

    /// Limits how long the caller may stall the current answer: it is a stream, which occupies a
    /// server's slot until the caller takes it.
    pub(crate) fn limit_stalls(&self, max_stall: Duration) {
        self.lock().max_stall = Some(max_stall);
    }

    /// Notes that the current answer ends with the connection, which must not close in good order before all of
    /// the answer has come.
    pub(crate) fn begin_close_delimited_answer(&self) {
        self.lock().close_delimited_answer = Some(CloseDelimitedAnswer::Incomplete);
    }

    /// When a write that blocks now times out. An answer that this process made itself has no deadline of
    /// its own.
    fn write_deadline(&self, default_stall: Duration) -> Instant {
        let state = self.lock();
        let stall_deadline = state.max_stall.map(|limit| Instant::now() + limit);
        let deadline = state.answer_deadline.into_iter().chain(stall_deadline).min();
        deadline.unwrap_or_else(|| Instant::now() + default_stall)
    }

    fn record_bytes(&self, bytes: usize) {
        let mut state = self.lock();
        state.received += bytes as u64;
        let is_idle = state.phase.is_idle();
        drop(state);
        if is_idle {
            self.enter(Phase::ReadingHead { since: Instant::now() });
        }
    }

    /// Whether the connection can be closed to new requests without losing one. A connection that
    /// never had a request may have one on the way. A connection whose head is arriving is answered
    /// and then closed. A busy connection finishes its answer first.
    pub(crate) fn is_safe_to_close(&self) -> bool {
        let state = self.lock();
        match state.phase {
            Phase::Idle { .. } => state.requests_served > 0,
            Phase::ReadingHead { .. } => false,
            Phase::WaitingTurn { .. } | Phase::ReadingBody { .. } | Phase::Busy => true,
        }
    }

    /// Checks whether the connection has been idle for too long.
    pub(crate) fn check_idle(&self, now: Instant, limit: Duration) -> IdleCheck {
        match self.lock().phase {
            Phase::Idle { since } if now >= since + limit => IdleCheck::Expired,
            Phase::Idle { since } => IdleCheck::NotBefore(since + limit),
            Phase::ReadingHead { .. }
            | Phase::WaitingTurn { .. }
            | Phase::ReadingBody { .. }
            | Phase::Busy => IdleCheck::NotBefore(now + limit),
        }
    }

    /// When the head of the current request began to arrive.
    fn head_since(&self) -> Option<Instant> {
        match self.lock().phase {
            Phase::ReadingHead { since } => Some(since),
            _ => None,
        }
    }

    /// Whether the head of a request is still incomplete.
    pub(crate) fn is_reading_head(&self) -> bool {
        self.head_since().is_some()
    }
}

/// Marks a connection as busy. The connection is idle from the guard's drop on.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    state: CallerState,
    sends_ahead: bool,
}

impl BusyGuard {
    /// Whether the caller sends requests before the answer to the one before them.
    pub(crate) fn sends_ahead(&self) -> bool {
        self.sends_ahead
    }

    /// Notes that all of the current answer has been handed to the connection.
    pub(crate) fn mark_whole(&self) {
        if let Some(answer) = &mut self.state.lock().close_delimited_answer {
            *answer = CloseDelimitedAnswer::Whole;
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.enter(Phase::Idle { since: Instant::now() });
        let mut state = self.state.lock();
        state.requests_served += 1;
        state.received = 0;
        state.max_stall = None;
    }
}

/// A caller's stream that records when bytes arrive. It fails if a head takes too long or if an
/// answer is not taken in time. It is reset if an answer that ends with it is not whole.
pub(crate) struct CallerStream {
    stream: TcpStream,
    state: CallerState,
    header_timeout: Duration,
    /// How long an answer without a deadline may stay unread.
    max_stall: Duration,
    /// Set only if a head does not arrive in one piece, which is rare.
    header_timer: Option<Pin<Box<Sleep>>>,
    /// Set only while the caller takes no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the system resets the connection when it closes.
    resets_on_close: bool,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        state: CallerState,
        header_timeout: Duration,
        max_stall: Duration,
    ) -> Self {
        Self {
            stream,
            state,
            header_timeout,
            max_stall,
            header_timer: None,
            write_timer: None,
            resets_on_close: false,
        }
    }

    fn poll_header_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(since) = self.state.head_since() else {
            self.header_timer = None;
            return Poll::Pending;
        };
        let deadline = since + self.header_timeout;
        let timer = self.header_timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        timer.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Applies the deadline to a write: a write fails if it still blocks when the answer is due, or
    /// if the caller has taken no byte of a stream for too long. The answer's body cannot notice
    /// this, since it is not polled until the caller has taken the earlier bytes.
    fn with_write_deadline(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.write_timer.take().is_some() {
                self.state.set_blocked(false);
            }
            return written;
        }
        let timer = self.write_timer.get_or_insert_with(|| {
            self.state.set_blocked(true);
            Box::pin(sleep_until(self.state.write_deadline(self.max_stall)))
        });
        timer.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Sets whether the system resets the connection when it closes. It is set before the first byte of a close-delimited answer,
    /// so that it holds when the process dies.
    fn set_reset_on_close(&mut self, resets: bool) -> io::Result<()> {
        if self.resets_on_close != resets {
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.resets_on_close = resets;
        }
        Ok(())
    }

    fn has_incomplete_answer(&self) -> bool {
        self.state.lock().close_delimited_answer == Some(CloseDelimitedAnswer::Incomplete)
    }

    fn protect_answer(&mut self) -> io::Result<()> {
        if self.has_incomplete_answer() { self.set_reset_on_close(true) } else { Ok(()) }
    }

    /// Writes bytes to the socket without waiting, just before it is closed.
    pub(crate) fn write_last(&self, bytes: &[u8]) {
        let _ = self.stream.try_write(bytes);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.write_timer.is_some() && self.state.awaits_request() {
            // A caller that does not read its answers gets no further request served. A write that goes
            // on, or its timer, wakes the connection.
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.record_bytes(buffer.filled().len() - before);
        }
        if result.is_pending() {
            return self.poll_header_timeout(context);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.protect_answer()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.with_write_deadline(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.protect_answer()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.with_write_deadline(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_incomplete_answer() {
            // A shutdown would end the answer in good order. The close that follows resets the connection.
            return Poll::Ready(self.set_reset_on_close(true));
        }
        self.set_reset_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
