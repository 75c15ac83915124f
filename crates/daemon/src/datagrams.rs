//! Membership messages between daemons as datagrams (UDP).
//!
//! These messages are small, may be lost, and go to changing peers. Over connections, each of hundreds
//! of daemons would need one to every other. A message that does not fit into a datagram goes over a
//! connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bincode::error::EncodeError;
use dahlia_node::wire::PeerMessage;
use dahlia_types::{DaemonId, Incarnation, ReplicaId};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::handshake::Identity;
use crate::logging::part;
use crate::peers::PeerEvent;
use crate::traffic::Traffic;

/// Largest datagram in bytes. It fits into an Ethernet frame with the headers of UDP and IPv6.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Size of the receive buffer. A longer datagram is truncated and refused.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// A datagram: the sender, the message, and a keyed hash over both.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    daemon: DaemonId,
    incarnation: Incarnation,
    message: Vec<u8>,
    proof: [u8; 32],
}

/// Why a message cannot be sent as a datagram.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// It can't be encoded.
    #[snafu(display("The message can't be encoded: {source}"))]
    Encoding {
        /// What failed.
        source: EncodeError,
    },
    /// It does not fit.
    #[snafu(display("The message has {bytes} bytes with its envelope; at most {most} fit"))]
    TooLong {
        /// Its size with the envelope.
        bytes: usize,
        /// The most that fit.
        most: usize,
    },
}

/// Sends datagrams. Cheap to clone.
#[derive(Clone)]
pub struct DatagramSender {
    identity: Identity,
    socket: Arc<UdpSocket>,
    traffic: Arc<Traffic>,
}

impl DatagramSender {
    /// Creates a sender that uses `socket`.
    pub fn new(identity: Identity, socket: Arc<UdpSocket>, traffic: Arc<Traffic>) -> Self {
        Self { identity, socket, traffic }
    }

    /// Sends a message if it fits. It may still be lost on the way.
    ///
    /// # Errors
    /// Why nothing was sent.
    pub fn send(&self, peer: SocketAddr, message: &PeerMessage) -> Result<(), DatagramError> {
        let bytes = self.encode(message).context(EncodingSnafu)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return TooLongSnafu { bytes: bytes.len(), most: MAX_DATAGRAM_BYTES }.fail();
        }
        match self.socket.try_send_to(&bytes, peer) {
            Ok(sent) => self.traffic.count(message.kind(), sent),
            Err(error) => {
                log::debug!(target: part::PEERS, "Sending a datagram to {peer} failed: {error}.");
            }
        }
        Ok(())
    }

    fn encode(&self, message: &PeerMessage) -> Result<Vec<u8>, EncodeError> {
        let config = bincode::config::standard();
        let message = bincode::serde::encode_to_vec(message, config)?;
        let Identity { daemon, incarnation, key } = &self.identity;
        let proof = key.prove(&proof_text(*daemon, *incarnation, &message));
        let datagram = Datagram { daemon: *daemon, incarnation: *incarnation, message, proof };
        bincode::serde::encode_to_vec(datagram, config)
    }
}

/// Receives datagrams while the daemon runs. Those without a valid proof are dropped.
pub async fn receive(socket: Arc<UdpSocket>, identity: Identity, inbox: mpsc::Sender<PeerEvent>) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // An ICMP error reports a peer that is gone. The next datagram may be valid.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(error) => {
                log::warn!(target: part::PEERS, "Receiving datagrams failed: {error}.");
                tokio::task::yield_now().await;
                continue;
            }
        };
        match decode(&buffer[..length], &identity) {
            Some((from, message)) => {
                if inbox.send(PeerEvent::Message { from, message }).await.is_err() {
                    return;
                }
            }
            None => log::debug!(target: part::PEERS, "Refused a datagram of {peer}."),
        }
    }
}

fn decode(bytes: &[u8], identity: &Identity) -> Option<(ReplicaId, PeerMessage)> {
    let config = bincode::config::standard().with_limit::<RECEIVE_BUFFER_BYTES>();
    let (datagram, _): (Datagram, usize) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    let Datagram { daemon, incarnation, message, proof } = datagram;
    // The message is decoded only after its sender has proved that it has the key.
    if !identity.key.verify(&proof_text(daemon, incarnation, &message), &proof) {
        return None;
    }
    let (message, _) = bincode::serde::decode_from_slice(&message, config).ok()?;
    Some((ReplicaId { daemon, incarnation }, message))
}

fn proof_text(daemon: DaemonId, incarnation: Incarnation, message: &[u8]) -> Vec<u8> {
    let mut text = format!("dahlialadder datagram {daemon} {incarnation} ").into_bytes();
    text.extend(message);
    text
}
