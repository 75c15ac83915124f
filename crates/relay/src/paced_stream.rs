//! A connection whose peer cannot hold this process up with what it sends.
//!
//! hyper reads on in one call while a peer sends and nothing of a message is complete, and the reader of a body takes
//! pieces as fast as they come. A process with one thread does nothing else meanwhile: no timer fires and no deadline is
//! kept. So the task that reads yields after some bytes, and the bytes between two steps of progress are limited.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes after which the task that reads yields to others.
const BYTES_PER_TURN: usize = 8 * 1024;
/// The most bytes that bring no progress: interim heads (100 to 199), an incomplete head, the frames around chunks.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 64 * 1024;

/// Counts the bytes that were read since the peer's answer last made progress.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    bytes_since: AtomicUsize,
}

impl AnswerProgress {
    /// Records a step of progress: a request is sent, the head of its answer has come, or a piece of its body.
    pub fn record(&self) {
        self.bytes_since.store(0, Ordering::Relaxed);
    }

    fn is_overdue(&self) -> bool {
        self.bytes_since.load(Ordering::Relaxed) >= MAX_BYTES_WITHOUT_PROGRESS
    }

    fn add(&self, bytes: usize) {
        self.bytes_since.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The connection. Reading fails with [`io::ErrorKind::InvalidData`] when too many bytes came without progress.
pub struct PacedStream {
    stream: TcpStream,
    progress: Arc<AnswerProgress>,
    /// The bytes read since the task last yielded.
    bytes_in_turn: usize,
}

impl PacedStream {
    /// Wraps a connection. Whoever reads its answers records their progress.
    pub fn new(stream: TcpStream) -> (Self, Arc<AnswerProgress>) {
        let progress = Arc::<AnswerProgress>::default();
        (Self { stream, progress: Arc::clone(&progress), bytes_in_turn: 0 }, progress)
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_overdue() {
            let problem = format!("no answer within {MAX_BYTES_WITHOUT_PROGRESS} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        if self.bytes_in_turn >= BYTES_PER_TURN {
            self.bytes_in_turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let wanted = buffer.remaining().min(BYTES_PER_TURN - self.bytes_in_turn);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
        let result = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let read = part.filled().len();
        if result.is_pending() {
            self.bytes_in_turn = 0;
        }
        ready!(result)?;
        buffer.advance(read);
        self.bytes_in_turn += read;
        self.progress.add(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
