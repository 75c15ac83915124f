//! Connections to other daemons. Each daemon opens a connection for what it sends. Messages to an
//! unreachable peer are dropped, since every protocol above repeats what matters.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dahlia_node::LogLineLimit;
use dahlia_node::wire::{ConnectionPurpose, PeerMessage, ReadAnswer, Transport};
use dahlia_node::wire_extension::MessageFrame;
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

/// Most messages queued for one peer. Further ones are dropped.
const PEER_QUEUE_CAPACITY: usize = 4_096;
/// Delay after a failed accept, which most likely lacked file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A connection is closed after this long without a message to send.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(120);

/// An event from the connections to other daemons.
pub enum PeerEvent {
    /// A message.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection that this daemon opened broke. The daemon there may have died.
    ConnectionLost(SocketAddr),
    /// A gateway of another daemon reads an answer here.
    Answer {
        /// The answer and the position to read from.
        read: ReadAnswer,
        /// The connection for the frames.
        frames: FrameStream,
    },
}

/// Sends messages to other daemons. Cheap to clone.
#[derive(Clone)]
pub struct PeerSender {
    identity: Identity,
    lost_connections: mpsc::Sender<PeerEvent>,
    traffic: Arc<Traffic>,
    datagrams: DatagramSender,
    clock: Clock,
    drop_log_limit: Arc<Mutex<LogLineLimit>>,
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<PeerMessage>>>>,
}

impl PeerSender {
    /// Creates a sender without connections. It reports broken connections to `lost_connections`.
    pub fn new(
        identity: Identity,
        lost_connections: mpsc::Sender<PeerEvent>,
        datagrams: DatagramSender,
        traffic: Arc<Traffic>,
        clock: Clock,
    ) -> Self {
        let (drop_log_limit, queues) = (Arc::default(), Arc::default());
        Self { identity, lost_connections, traffic, datagrams, clock, drop_log_limit, queues }
    }

    /// Sends a message to the daemon at `peer`; drops it when the queue is full.
    pub fn send(&self, peer: SocketAddr, message: PeerMessage) {
        let transport = message.transport();
        if transport != Transport::Connection {
            match self.datagrams.send(peer, &message) {
                Ok(()) => return,
                Err(error) if transport == Transport::DatagramOnly => {
                    return self.log_dropped(&message, &error);
                }
                // The message goes over a connection instead.
                Err(_) => {}
            }
        }
        let mut queues = self.queues.lock().expect("no holder of this lock panics");
        let open = queues.get(&peer).filter(|queue| !queue.is_closed());
        let queue = match open {
            Some(queue) => queue.clone(),
            None => {
                let (queue, queued) = mpsc::channel(PEER_QUEUE_CAPACITY);
                queues.insert(peer, queue.clone());
                let (lost_connections, traffic) =
                    (self.lost_connections.clone(), self.traffic.clone());
                tokio::spawn(run_connection(
                    self.identity.clone(),
                    peer,
                    queued,
                    lost_connections,
                    traffic,
                ));
                queue
            }
        };
        if queue.try_send(message).is_err() {
            log::debug!(target: part::PEERS, "Queue to {peer} is full. Dropped a message.");
        }
    }

    /// Logs that a message which may only go as a datagram was not sent.
    fn log_dropped(&self, message: &PeerMessage, error: &DatagramError) {
        let mut lines = self.drop_log_limit.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(passed_over) = lines.allow(self.clock.now()) else { return };
        log::warn!(
            target: part::PEERS,
            kind = message.kind().name(), cause:% = error, lines_passed_over = passed_over;
            "A message can't go as a datagram. Dropped it."
        );
    }
}

/// Connects to one peer and sends its queued messages until the queue closes or stays idle.
async fn run_connection(
    identity: Identity,
    peer: SocketAddr,
    mut queued: mpsc::Receiver<PeerMessage>,
    lost_connections: mpsc::Sender<PeerEvent>,
    traffic: Arc<Traffic>,
) {
    let mut backoff = ReconnectBackoff::default();
    let mut failures: u32 = 0;
    loop {
        match identity.connect(peer, ConnectionPurpose::Messages).await {
            Ok(frames) => {
                log::info!(
                    target: part::PEERS,
                    peer:% = peer, failures_before = std::mem::take(&mut failures);
                    "Connected."
                );
                backoff.reset();
                if send_until_closed(frames, &mut queued, &traffic).await {
                    return;
                }
                log::warn!(target: part::PEERS, peer:% = peer; "Lost a connection.");
                let _ = lost_connections.send(PeerEvent::ConnectionLost(peer)).await;
            }
            Err(error) => {
                // Only the first of a series of failures is a warning. The next `Connected.` line has
                // their count.
                let level = if failures == 0 { log::Level::Warn } else { log::Level::Debug };
                failures += 1;
                log::log!(
                    target: part::PEERS, level, peer:% = peer, cause:% = error; "No connection."
                );
            }
        }
        // Messages queued meanwhile are stale: their senders repeat them with newer contents.
        while queued.try_recv().is_ok() {}
        if queued.is_closed() {
            return;
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Sends messages until the connection ends. Returns whether it ended for lack of messages.
async fn send_until_closed(
    mut frames: FrameStream,
    queued: &mut mpsc::Receiver<PeerMessage>,
    traffic: &Traffic,
) -> bool {
    loop {
        let message = tokio::select! {
            next = timeout(IDLE_CONNECTION_TIMEOUT, queued.recv()) => match next {
                Ok(Some(message)) => message,
                _ => return true,
            },
            // The peer never writes on this connection, so anything readable is its end.
            () = frames.wait_until_closed() => return false,
        };
        if let Err(error) = send_batch(&mut frames, message, queued, traffic).await {
            log::debug!(target: part::PEERS, cause:% = error; "Sending failed.");
            return false;
        }
    }
}

/// Sends a message and those queued behind it with as few system calls as possible.
async fn send_batch(
    frames: &mut FrameStream,
    first: PeerMessage,
    queued: &mut mpsc::Receiver<PeerMessage>,
    traffic: &Traffic,
) -> Result<(), FrameError> {
    let mut next = Some(first);
    while let Some(message) = next {
        let kind = message.kind();
        traffic.count(kind, frames.feed(&MessageFrame::from(message)).await?);
        next = queued.try_recv().ok();
    }
    frames.flush().await
}

/// Accepts connections while the daemon runs.
pub async fn listen(listener: TcpListener, identity: Identity, inbox: mpsc::Sender<PeerEvent>) {
    // Connections end with this task, so that peers notice at once that the daemon is gone.
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
                sleep(ACCEPT_RETRY_DELAY).await;
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
        match frames.receive::<MessageFrame>().await {
            Ok(frame) => {
                let message = frame.into_message();
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
