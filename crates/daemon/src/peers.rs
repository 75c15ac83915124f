//! Connections to other daemons. Each daemon dials for what it sends; messages to a peer that
//! cannot be reached are dropped, since every protocol above repeats what matters.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dahlia_node::LogLineLimit;
use dahlia_node::wire::{ConnectionPurpose, PeerMessage, ReadAnswer, Transport};
use dahlia_types::ReplicaId;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::datagrams::{DatagramError, DatagramSender};
use crate::frames::{FrameError, FrameStream};
use crate::handshake::Identity;
use crate::logging::part;
use crate::reconnect::ReconnectBackoff;
use crate::traffic::Traffic;

/// Messages that may wait for one peer; later ones are dropped.
const QUEUE_PER_PEER: usize = 4_096;
/// Pause after an accept that failed, most likely for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A connection without a message to send for so long is given up.
const IDLE_CONNECTION: Duration = Duration::from_secs(120);

/// What arrives from other daemons.
pub enum PeerEvent {
    /// A message.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection that this daemon made broke: the daemon there may have died.
    ConnectionLost(SocketAddr),
    /// A gateway reads an answer here.
    Answer {
        /// What it reads.
        read: ReadAnswer,
        /// Where the frames go.
        frames: FrameStream,
    },
}

/// Sends messages to other daemons. Cheap to clone.
#[derive(Clone)]
pub struct PeerSender {
    identity: Identity,
    lost: mpsc::Sender<PeerEvent>,
    traffic: Arc<Traffic>,
    datagrams: DatagramSender,
    clock: Clock,
    drop_lines: Arc<Mutex<LogLineLimit>>,
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<PeerMessage>>>>,
}

impl PeerSender {
    /// A sender without connections.
    /// Connections that break are told to `lost`.
    pub fn new(
        identity: Identity,
        lost: mpsc::Sender<PeerEvent>,
        datagrams: DatagramSender,
        traffic: Arc<Traffic>,
        clock: Clock,
    ) -> Self {
        let (drop_lines, queues) = (Arc::default(), Arc::default());
        Self { identity, lost, traffic, datagrams, clock, drop_lines, queues }
    }

    /// Sends a message to the daemon at `peer`; drops it when the queue is full.
    pub fn send(&self, peer: SocketAddr, message: PeerMessage) {
        let transport = message.transport();
        if transport != Transport::Connection {
            match self.datagrams.send(peer, &message) {
                Ok(()) => return,
                Err(error) if transport == Transport::DatagramOnly => {
                    return self.note_dropped(&message, &error);
                }
                // It goes over a connection.
                Err(_) => {}
            }
        }
        let mut queues = self.queues.lock().expect("no holder of this lock panics");
        let open = queues.get(&peer).filter(|queue| !queue.is_closed());
        let queue = match open {
            Some(queue) => queue.clone(),
            None => {
                let (queue, waiting) = mpsc::channel(QUEUE_PER_PEER);
                queues.insert(peer, queue.clone());
                let (lost, traffic) = (self.lost.clone(), self.traffic.clone());
                tokio::spawn(pump(self.identity.clone(), peer, waiting, lost, traffic));
                queue
            }
        };
        if queue.try_send(message).is_err() {
            log::debug!(target: part::PEERS, "Queue to {peer} is full. Dropped a message.");
        }
    }

    /// A message that goes by datagrams alone was not sent.
    fn note_dropped(&self, message: &PeerMessage, error: &DatagramError) {
        let mut lines = self.drop_lines.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(passed_over) = lines.allow(self.clock.now()) else { return };
        log::warn!(
            target: part::PEERS,
            kind = message.kind().name(), cause:% = error, lines_passed_over = passed_over;
            "A message can't go as a datagram. Dropped it."
        );
    }
}

/// Sends what is queued for one peer for as long as something comes.
async fn pump(
    identity: Identity,
    peer: SocketAddr,
    mut waiting: mpsc::Receiver<PeerMessage>,
    lost: mpsc::Sender<PeerEvent>,
    traffic: Arc<Traffic>,
) {
    let mut pauses = ReconnectBackoff::default();
    let mut failures: u32 = 0;
    loop {
        match identity.connect(peer, ConnectionPurpose::Messages).await {
            Ok(frames) => {
                log::info!(
                    target: part::PEERS,
                    peer:% = peer, failures_before = std::mem::take(&mut failures);
                    "Connected."
                );
                pauses.reset();
                if pump_connected(frames, &mut waiting, &traffic).await {
                    return;
                }
                log::warn!(target: part::PEERS, peer:% = peer; "Lost a connection.");
                let _ = lost.send(PeerEvent::ConnectionLost(peer)).await;
            }
            Err(error) => {
                // One line for a row of failures; the next one tells how many there were.
                let level = if failures == 0 { log::Level::Warn } else { log::Level::Debug };
                failures += 1;
                log::log!(
                    target: part::PEERS, level, peer:% = peer, cause:% = error; "No connection."
                );
            }
        }
        // What queued up meanwhile is stale: its senders repeat with newer contents.
        while waiting.try_recv().is_ok() {}
        if waiting.is_closed() {
            return;
        }
        sleep(pauses.next_delay()).await;
    }
}

/// Returns whether the connection ended because nothing is left to send.
async fn pump_connected(
    mut frames: FrameStream,
    waiting: &mut mpsc::Receiver<PeerMessage>,
    traffic: &Traffic,
) -> bool {
    loop {
        let message = tokio::select! {
            next = timeout(IDLE_CONNECTION, waiting.recv()) => match next {
                Ok(Some(message)) => message,
                _ => return true,
            },
            // The other side never writes here, so anything that can be read is its end.
            () = frames.ended() => return false,
        };
        if let Err(error) = send_waiting(&mut frames, message, waiting, traffic).await {
            log::debug!(target: part::PEERS, cause:% = error; "Sending failed.");
            return false;
        }
    }
}

/// Sends a message and those that wait behind it with as few system calls as possible.
async fn send_waiting(
    frames: &mut FrameStream,
    first: PeerMessage,
    waiting: &mut mpsc::Receiver<PeerMessage>,
    traffic: &Traffic,
) -> Result<(), FrameError> {
    let mut next = Some(first);
    while let Some(message) = next {
        traffic.count(message.kind(), frames.feed(&message).await?);
        next = waiting.try_recv().ok();
    }
    frames.flush().await
}

/// Accepts connections for as long as the daemon runs.
pub async fn listen(listener: TcpListener, identity: Identity, inbox: mpsc::Sender<PeerEvent>) {
    // Connections end with this task, so that peers see at once that the daemon is gone.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, peer)) => {
                let frames = FrameStream::new(stream, peer);
                connections.spawn(serve(frames, identity.clone(), inbox.clone()));
            }
            Err(error) => {
                log::warn!(target: part::PEERS, "Accepting a connection failed: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(mut frames: FrameStream, identity: Identity, inbox: mpsc::Sender<PeerEvent>) {
    let hello = match identity.accept(&mut frames).await {
        Ok(hello) => hello,
        Err(error) => {
            log::warn!(target: part::PEERS, "Refused a connection. {error}.");
            return;
        }
    };
    if let ConnectionPurpose::Answer(read) = hello.purpose {
        let _ = inbox.send(PeerEvent::Answer { read, frames }).await;
        return;
    }
    loop {
        match frames.receive::<PeerMessage>().await {
            Ok(message) => {
                let from = ReplicaId { daemon: hello.daemon, incarnation: hello.incarnation };
                if inbox.send(PeerEvent::Message { from, message }).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!(target: part::PEERS, "A connection ended. {error}.");
                return;
            }
        }
    }
}
