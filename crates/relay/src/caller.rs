//! The state of a caller's connection, and its timeouts.
//!
//! A connection without a request has two timeouts: how long it may be idle, and how long a head
//! may take after its first byte. hyper has only one timer for both, so this module implements
//! them.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, Sleep, sleep_until};

/// The phase of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request has arrived.
    Resting { since: Instant },
    /// The head of a request is arriving.
    Head { since: Instant },
    /// The body of a request is being read, or the request is being processed or answered.
    Busy,
}

/// The result of checking a connection's idle timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RestCheck {
    /// The timeout cannot pass before this moment.
    Until(Instant),
    /// The timeout has passed.
    TooLong,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    served: u64,
    /// When the caller must have taken the current answer.
    answer_due: Option<Instant>,
    /// How long the caller may take no byte of the current stream.
    most_stall: Option<Duration>,
}

/// The state of a caller's connection, shared by its stream and its requests.
#[derive(Debug, Clone)]
pub(crate) struct CallerState(Arc<Mutex<State>>);

impl CallerState {
    pub(crate) fn new() -> Self {
        let phase = Phase::Resting { since: Instant::now() };
        Self(Arc::new(Mutex::new(State { phase, served: 0, answer_due: None, most_stall: None })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(crate) fn busy(&self) -> BusyGuard {
        self.lock().phase = Phase::Busy;
        BusyGuard(self.clone())
    }

    /// Sets when the caller must have taken the current answer.
    pub(crate) fn answer_due(&self, deadline: Instant) {
        self.lock().answer_due = Some(deadline);
    }

    /// Limits how long the caller may stall the current answer: it is a stream, which occupies a
    /// server's slot until the caller takes it.
    pub(crate) fn answer_streams(&self, most_stall: Duration) {
        self.lock().most_stall = Some(most_stall);
    }

    /// When a write that blocks now times out.
    fn write_due(&self) -> Option<Instant> {
        let state = self.lock();
        let stalled = state.most_stall.map(|most| Instant::now() + most);
        state.answer_due.into_iter().chain(stalled).min()
    }

    fn bytes_arrived(&self) {
        let mut state = self.lock();
        if matches!(state.phase, Phase::Resting { .. }) {
            state.phase = Phase::Head { since: Instant::now() };
        }
    }

    /// Whether the connection can be closed to new requests without losing one. A connection that
    /// never had a request may have one on the way. A connection whose head is arriving is answered
    /// and then closed.
    pub(crate) fn may_be_closed(&self) -> bool {
        let state = self.lock();
        match state.phase {
            Phase::Resting { .. } => state.served > 0,
            Phase::Head { .. } => false,
            Phase::Busy => true,
        }
    }

    /// Checks whether the connection has been idle for too long.
    pub(crate) fn check_rest(&self, now: Instant, most: Duration) -> RestCheck {
        match self.lock().phase {
            Phase::Resting { since } if now >= since + most => RestCheck::TooLong,
            Phase::Resting { since } => RestCheck::Until(since + most),
            Phase::Head { .. } | Phase::Busy => RestCheck::Until(now + most),
        }
    }

    /// When the head of the current request began to arrive.
    fn head_since(&self) -> Option<Instant> {
        match self.lock().phase {
            Phase::Head { since } => Some(since),
            Phase::Resting { .. } | Phase::Busy => None,
        }
    }

    /// Whether the head of a request is still incomplete.
    pub(crate) fn awaits_head(&self) -> bool {
        self.head_since().is_some()
    }
}

/// Marks a connection as busy. The connection is idle from the guard's drop on.
#[derive(Debug)]
pub(crate) struct BusyGuard(CallerState);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.phase = Phase::Resting { since: Instant::now() };
        state.served += 1;
        state.answer_due = None;
        state.most_stall = None;
    }
}

/// A caller's stream that records when bytes arrive. It fails if a head takes too long or if an
/// answer is not taken in time.
pub(crate) struct CallerStream {
    stream: TcpStream,
    state: CallerState,
    most_head_time: Duration,
    /// Set only if a head does not arrive in one piece, which is rare.
    alarm: Option<Pin<Box<Sleep>>>,
    /// Set only while the caller takes no bytes.
    write_alarm: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, state: CallerState, most_head_time: Duration) -> Self {
        Self { stream, state, most_head_time, alarm: None, write_alarm: None }
    }

    fn poll_head_time(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(since) = self.state.head_since() else {
            self.alarm = None;
            return Poll::Pending;
        };
        let end = since + self.most_head_time;
        let alarm = self.alarm.get_or_insert_with(|| Box::pin(sleep_until(end)));
        alarm.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Applies the deadline to a write: a write fails if it still blocks when the answer is due, or
    /// if the caller has taken no byte of a stream for too long. The answer's body cannot notice
    /// this, since it is not polled until the caller has taken the earlier bytes.
    fn or_due(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_alarm = None;
            return written;
        }
        if self.write_alarm.is_none() {
            self.write_alarm = self.state.write_due().map(|due| Box::pin(sleep_until(due)));
        }
        let Some(alarm) = &mut self.write_alarm else { return Poll::Pending };
        alarm.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes bytes to the socket without waiting, just before it is closed.
    pub(crate) fn last_word(&self, bytes: &[u8]) {
        let _ = self.stream.try_write(bytes);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.bytes_arrived();
        }
        if result.is_pending() {
            return self.poll_head_time(context);
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
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.or_due(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.or_due(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
