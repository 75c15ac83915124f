//! The first frame of a connection between daemons, which proves that its sender has the peer key.

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_node::wire::{ConnectionPurpose, Hello, PROTOCOL_VERSION};
use dahlia_types::{DaemonId, Incarnation, PeerKey};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::frames::{FrameError, FrameStream};

/// Timeout for the first frame of a connection.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for opening a connection. Far longer than a round trip between regions. The operating system
/// repeats a lost first packet only after a second, and a packet to a machine without power is lost, so
/// a new attempt reaches a machine that is back much sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The identity that this daemon proves to its peers.
#[derive(Clone)]
pub struct Identity {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// The key that all daemons share.
    pub key: PeerKey,
}

impl Identity {
    /// Connects to a peer and introduces this daemon.
    ///
    /// # Errors
    /// [`FrameError`] when the peer cannot be reached in time.
    pub async fn connect(
        &self,
        peer: SocketAddr,
        purpose: ConnectionPurpose,
    ) -> Result<FrameStream, FrameError> {
        let step = "connecting to";
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let connected = connecting.map_err(|_| FrameError::TimedOut { step, peer })?;
        let stream = connected.map_err(|source| FrameError::Connect { peer, source })?;
        let mut frames = FrameStream::new(stream, peer);
        // This daemon chose the address, so the peer is trusted without a proof.
        frames.trust();
        frames.send(&self.hello(purpose)).await?;
        Ok(frames)
    }

    /// Receives and checks the first frame of an accepted connection.
    ///
    /// # Errors
    /// [`FrameError::Refused`] when the version differs or the proof is wrong; others when the
    /// connection is broken or silent.
    pub async fn accept(&self, frames: &mut FrameStream) -> Result<Hello, FrameError> {
        let peer = frames.peer();
        let received = timeout(HANDSHAKE_TIMEOUT, frames.receive::<Hello>()).await;
        let step = "waiting for the first frame of";
        let hello = received.map_err(|_| FrameError::TimedOut { step, peer })??;
        if hello.version != PROTOCOL_VERSION {
            let reason = format!("protocol version {}; ours is {PROTOCOL_VERSION}", hello.version);
            return Err(FrameError::Refused { peer, reason });
        }
        if !self.key.verify(&proof_text(hello.daemon, hello.incarnation), &hello.proof) {
            let reason = "its proof was not made with our peer key".to_owned();
            return Err(FrameError::Refused { peer, reason });
        }
        frames.trust();
        Ok(hello)
    }

    fn hello(&self, purpose: ConnectionPurpose) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            daemon: self.daemon,
            incarnation: self.incarnation,
            proof: self.key.prove(&proof_text(self.daemon, self.incarnation)),
            purpose,
        }
    }
}

fn proof_text(daemon: DaemonId, incarnation: Incarnation) -> Vec<u8> {
    format!("dahlialadder peer {PROTOCOL_VERSION} {daemon} {incarnation}").into_bytes()
}
