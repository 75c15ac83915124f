//! One connection to a server.
//!
//! hyper's connection is driven by the task that waits for its answer, not by a task of its own.
//! That saves two wake-ups per request, and the connection closes when the caller disconnects.

use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::{TrySendError, http1};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Duration, timeout};

use crate::RelaySettings;
use crate::paced_stream::{AnswerProgress, PacedStream};
use crate::repeats::LossCause;

/// Bytes of an answer, the head at least, that are read before they are needed. What a slow caller
/// has not taken waits at the server.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

type Driver = http1::Connection<TokioIo<ServerStream>, Full<Bytes>>;

/// A connection could not be opened; nothing was sent.
#[derive(Debug, Snafu)]
pub(crate) enum OpenError {
    #[snafu(display("{server} took longer than the time to connect"))]
    Timeout { server: SocketAddr },
    #[snafu(display("connecting to {server}: {source}"))]
    Connect { server: SocketAddr, source: io::Error },
    #[snafu(display("starting HTTP with {server}: {source}"))]
    Start { server: SocketAddr, source: hyper::Error },
}

impl OpenError {
    /// Whether nothing listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A request got no head of an answer.
#[derive(Debug, Snafu)]
pub(crate) enum SendError {
    /// No byte of it was sent, so it cannot have run.
    #[snafu(display("the connection was closed before the request was sent"))]
    NotSent,
    /// Some of it was sent, so it may have run.
    #[snafu(display("no answer to what was sent: {source}"))]
    NoAnswer { source: hyper::Error },
}

impl SendError {
    /// Why the answer to what was sent is lost.
    pub(crate) fn loss_cause(&self) -> LossCause {
        match self {
            Self::NoAnswer { source } => loss_cause(source),
            Self::NotSent => LossCause::Disconnected,
        }
    }
}

/// Why an answer is lost after an error of its connection.
pub(crate) fn loss_cause(error: &hyper::Error) -> LossCause {
    if error.is_parse() {
        return LossCause::InvalidAnswer;
    }
    match io_error_kind(error) {
        Some(io::ErrorKind::TimedOut) => LossCause::ConnectionTimeout,
        Some(io::ErrorKind::InvalidData) => LossCause::InvalidAnswer,
        _ => LossCause::Disconnected,
    }
}

fn io_error_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    let source = error.source()?.downcast_ref::<io::Error>()?;
    Some(source.kind())
}

/// One connection to a server, with at most one request on it.
pub(crate) struct ServerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// None once the connection has ended.
    driver: Option<Box<Driver>>,
    progress: Arc<WriteProgress>,
    received: Arc<AnswerProgress>,
}

impl ServerConnection {
    /// Opens a connection.
    pub(crate) async fn open(
        server: SocketAddr,
        settings: &RelaySettings,
    ) -> Result<Self, OpenError> {
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        let stream = timeout(connect_timeout, TcpStream::connect(server)).await;
        let stream = stream.map_err(|_| OpenError::Timeout { server })?;
        let stream = stream.context(ConnectSnafu { server })?;
        // Systems without these options still work, but notice dead peers later.
        let _ = stream.set_nodelay(true);
        let _ = set_dead_peer_detection(&stream, settings);
        let progress = Arc::new(WriteProgress::default());
        let (stream, received) = PacedStream::new(stream);
        let stream = ServerStream { stream, progress: Arc::clone(&progress) };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.context(StartSnafu { server })?;
        Ok(Self { sender, driver: Some(Box::new(driver)), progress, received })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let written_before = self.progress.written();
        self.received.record();
        let mut answer = pin!(self.sender.try_send_request(request));
        let answer = poll_fn(|context| {
            poll_driver(&mut self.driver, context);
            answer.as_mut().poll(context)
        });
        let answer = answer.await;
        self.received.record();
        answer.map_err(|error| self.progress.classify(error, written_before))
    }

    /// Sends a request and waits for the head of its answer for a time. None if that has passed and the connection has not
    /// ended; it ends then.
    pub(crate) async fn send_within(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Option<Response<Incoming>>, SendError> {
        timeout(limit, self.send(request)).await.ok().transpose()
    }

    /// Returns the next data of an answer's body; none at its end.
    pub(crate) async fn next_data(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Bytes, hyper::Error>> {
        let data = poll_fn(|context| {
            if let Poll::Ready(data) = poll_data(body, context) {
                return Poll::Ready(data);
            }
            poll_driver(&mut self.driver, context);
            poll_data(body, context)
        })
        .await;
        self.received.record();
        data
    }

    /// Reads and discards the rest of an answer's body. Returns whether it has ended within this many bytes.
    pub(crate) async fn read_rest(&mut self, body: &mut Incoming, max_bytes: usize) -> bool {
        let mut read = 0;
        while let Some(data) = self.next_data(body).await {
            match data {
                Ok(piece) if read + piece.len() <= max_bytes => read += piece.len(),
                Ok(_) | Err(_) => return false,
            }
        }
        true
    }

    /// Returns when the connection has ended.
    pub(crate) async fn closed(&mut self) {
        poll_fn(|context| {
            poll_driver(&mut self.driver, context);
            if self.driver.is_none() { Poll::Ready(()) } else { Poll::Pending }
        })
        .await
    }

    /// Whether the connection can take another request: the last request is fully sent and
    /// answered, no bytes are left over, and the server has not closed it. hyper takes no further
    /// request before that.
    pub(crate) fn is_reusable(&mut self) -> bool {
        poll_driver(&mut self.driver, &mut Context::from_waker(Waker::noop()));
        self.driver.is_some() && self.sender.is_ready()
    }
}

fn poll_driver(driver: &mut Option<Box<Driver>>, context: &mut Context<'_>) {
    let Some(running) = driver else { return };
    // How the connection ended shows in the answer.
    if Pin::new(running).poll(context).is_ready() {
        *driver = None;
    }
}

fn poll_data(
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, hyper::Error>>> {
    loop {
        let frame = match Pin::new(&mut *body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error))),
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            return Poll::Ready(Some(Ok(data)));
        }
    }
}

/// Makes the system close connections whose peer disappeared without closing them, because it lost
/// power or is cut off.
fn set_dead_peer_detection(stream: &TcpStream, settings: &RelaySettings) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let interval = Duration::from_secs(settings.probe_interval_s);
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(settings.most_probes);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(settings.unacknowledged_timeout_ms)))
}

/// The number of bytes that the socket has accepted.
#[derive(Debug, Default)]
struct WriteProgress(AtomicU64);

impl WriteProgress {
    fn written(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Why a request got no head, if the socket had accepted this many bytes before it.
    fn classify(
        &self,
        error: TrySendError<Request<Full<Bytes>>>,
        written_before: u64,
    ) -> SendError {
        if error.message().is_some() || self.written() == written_before {
            return SendError::NotSent;
        }
        SendError::NoAnswer { source: error.into_error() }
    }

    fn record(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(accepted)) = result {
            self.0.fetch_add(*accepted as u64, Ordering::Relaxed);
        }
    }
}

/// A stream to a server that counts the bytes that the socket has accepted.
struct ServerStream {
    stream: PacedStream,
    progress: Arc<WriteProgress>,
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.progress.record(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.progress.record(&result);
        result
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
