//! Frames between daemons: a 4-byte length followed by a `bincode` value.

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

/// Size of the length field in front of each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// An error on a connection to a peer, with the step and the peer.
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
    /// A frame does not contain the expected value.
    #[snafu(display("decoding a frame from {peer}: {source}"))]
    Decode {
        /// The peer.
        peer: SocketAddr,
        /// Cause.
        source: bincode::error::DecodeError,
    },
    /// A value could not be encoded as a frame.
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
    /// The peer did not prove that it has the peer key, or uses another protocol version.
    #[snafu(display("{peer} was refused: {reason}"))]
    Refused {
        /// The peer.
        peer: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The step took too long.
    #[snafu(display("{step} {peer}: timed out"))]
    TimedOut {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
    },
}

/// A connection breaks when sent bytes stay unacknowledged for this long. A machine that lost power or
/// is cut off sends no reset, and without this timeout the kernel would accept bytes for many seconds.
/// The connection is opened again at once, and every protocol above repeats what matters.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between keep-alive probes of an idle connection, and before the first one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes that break a connection.
const MAX_PROBES: u32 = 2;

/// Largest first frame of a connection, in bytes. A sender that has not proved that it has the peer
/// key may not make this daemon allocate more.
const MAX_FIRST_FRAME_BYTES: usize = 64 * 1024;

/// A connection that carries frames.
pub struct FrameStream {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    peer: SocketAddr,
}

impl FrameStream {
    /// Wraps a connection. Received frames must be small until [`FrameStream::trust`] is called.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        // Frames are small and their senders wait for answers, so batching by the kernel would only
        // delay them.
        let _ = stream.set_nodelay(true);
        set_tcp_timeouts(&stream);
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FIRST_FRAME_BYTES).new_codec();
        Self { framed: Framed::new(stream, codec), peer }
    }

    /// Allows frames of the protocol's full size, once the peer is known to be a daemon of this system.
    pub fn trust(&mut self) {
        self.framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends one value. Returns the size of its frame in bytes.
    ///
    /// # Errors
    /// [`FrameError`] when the value cannot be encoded or the connection is broken.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<usize, FrameError> {
        let length = self.feed(value).await?;
        self.flush().await?;
        Ok(length)
    }

    /// Adds one value to the buffer that [`FrameStream::flush`] sends. Returns the size of its frame in
    /// bytes.
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

    /// Sends the buffered frames.
    ///
    /// # Errors
    /// [`FrameError`] when the connection is broken.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let step = "writing to";
        let flushed = SinkExt::<Bytes>::flush(&mut self.framed).await;
        flushed.context(TransferSnafu { step, peer: self.peer })
    }

    /// Waits until the peer closes the connection or it breaks.
    pub async fn wait_until_closed(&mut self) {
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

/// Sets keep-alive probes and the acknowledgement timeout. A socket that refuses an option still works,
/// but a lost peer is detected later.
fn set_tcp_timeouts(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Encodes a value as a frame's contents.
///
/// # Errors
/// [`FrameError::Encode`] naming the peer it was meant for.
pub fn encode<T: Serialize>(value: &T, peer: SocketAddr) -> Result<Bytes, FrameError> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    Ok(bytes.context(EncodeSnafu { peer })?.into())
}

/// Decodes a value from a frame's contents, which may come from an untrusted sender.
///
/// # Errors
/// [`FrameError::Decode`] when they are malformed or claim more than the protocol's largest frame.
pub fn decode<T: DeserializeOwned>(frame: &[u8], peer: SocketAddr) -> Result<T, FrameError> {
    // The limit bounds what the decoder allocates for a forged length inside the frame.
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let decoded = bincode::serde::decode_from_slice(frame, config);
    let (value, _) = decoded.context(DecodeSnafu { peer })?;
    Ok(value)
}
