//! Frames between daemons: a 4-byte length, then a `bincode` value.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dahlia_node::wire::MAX_FRAME_BYTES;
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// A fault on a connection to a peer, with the step and the peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The connection could not be made.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Reading or writing failed, or a frame is too large.
    #[snafu(display("{step} {peer}: {source}"))]
    Transfer {
        /// `reading from` or `writing to`.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A frame does not hold what was expected.
    #[snafu(display("decoding a frame from {peer}: {source}"))]
    Decode {
        /// The peer.
        peer: SocketAddr,
        /// Cause.
        source: bincode::error::DecodeError,
    },
    /// A value could not be written as a frame.
    #[snafu(display("encoding a frame for {peer}: {source}"))]
    Encode {
        /// The peer.
        peer: SocketAddr,
        /// Cause.
        source: bincode::error::EncodeError,
    },
    /// The peer ended the connection.
    #[snafu(display("{peer} closed the connection"))]
    Closed {
        /// The peer.
        peer: SocketAddr,
    },
    /// The peer did not show the peer key, or speaks another version.
    #[snafu(display("{peer} was refused: {reason}"))]
    Refused {
        /// The peer.
        peer: SocketAddr,
        /// Why.
        reason: String,
    },
    /// Nothing came in time.
    #[snafu(display("{step} {peer}: timed out"))]
    TimedOut {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
    },
}

/// A machine that lost power or is cut off resets nothing: a connection to it takes bytes until
/// the kernel gives up, after many seconds. Bytes that are not acknowledged for so long break it;
/// it is made anew at once, and every protocol above repeats what matters.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between probes of a silent connection, and before the first one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that break a connection.
const MOST_PROBES: u32 = 2;

/// Largest first frame of a connection, in bytes. A sender that has not shown the peer key yet
/// may not make this daemon set memory aside for more.
const LARGEST_FIRST_FRAME: usize = 64 * 1024;

/// A connection that carries frames.
pub struct FrameStream {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    peer: SocketAddr,
}

impl FrameStream {
    /// Takes over a connection. Frames received are small until [`FrameStream::trust`].
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        // Frames are small and wait for an answer; batching by the kernel would only delay them.
        let _ = stream.set_nodelay(true);
        notice_silence(&stream);
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(LARGEST_FIRST_FRAME).new_codec();
        Self { framed: Framed::new(stream, codec), peer }
    }

    /// The other side is a daemon of this system: frames may be as large as the protocol allows.
    pub fn trust(&mut self) {
        self.framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// The other side's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends one value. Returns the bytes of its frame.
    ///
    /// # Errors
    /// [`FrameError`] when the value cannot be encoded or the connection is broken.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<usize, FrameError> {
        let length = self.feed(value).await?;
        self.flush().await?;
        Ok(length)
    }

    /// Puts one value into the buffer that [`FrameStream::flush`] sends. Returns the bytes of its
    /// frame.
    ///
    /// # Errors
    /// [`FrameError`] when the value cannot be encoded or the connection is broken.
    pub async fn feed<T: Serialize>(&mut self, value: &T) -> Result<usize, FrameError> {
        let bytes = encode(value, self.peer)?;
        let length = bytes.len() + LENGTH_BYTES;
        let step = "writing to";
        self.framed.feed(bytes).await.context(TransferSnafu { step, peer: self.peer })?;
        Ok(length)
    }

    /// Sends what is in the buffer.
    ///
    /// # Errors
    /// [`FrameError`] when the connection is broken.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let step = "writing to";
        let flushed = SinkExt::<Bytes>::flush(&mut self.framed).await;
        flushed.context(TransferSnafu { step, peer: self.peer })
    }

    /// Waits until the other side closes the connection or it breaks.
    pub async fn ended(&mut self) {
        while let Some(Ok(_)) = self.framed.next().await {}
    }

    /// Receives one value.
    ///
    /// # Errors
    /// [`FrameError`] when the connection ended or the frame is malformed or too large.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        let step = "reading from";
        let frame = self.framed.next().await;
        let frame = frame.ok_or(FrameError::Closed { peer: self.peer })?;
        let frame = frame.context(TransferSnafu { step, peer: self.peer })?;
        decode(&frame, self.peer)
    }
}

/// A socket that refuses an option still works; its end is noticed later.
fn notice_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MOST_PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Writes a value as a frame's contents.
///
/// # Errors
/// [`FrameError::Encode`] naming the peer it was meant for.
pub fn encode<T: Serialize>(value: &T, peer: SocketAddr) -> Result<Bytes, FrameError> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    Ok(bytes.context(EncodeSnafu { peer })?.into())
}

/// Reads a value from a frame's contents, whoever wrote them.
///
/// # Errors
/// [`FrameError::Decode`] when they are malformed or claim more than the protocol's largest frame.
pub fn decode<T: DeserializeOwned>(frame: &[u8], peer: SocketAddr) -> Result<T, FrameError> {
    // The limit bounds what a forged length inside the frame may make the decoder allocate.
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let decoded = bincode::serde::decode_from_slice(frame, config);
    let (value, _) = decoded.context(DecodeSnafu { peer })?;
    Ok(value)
}
