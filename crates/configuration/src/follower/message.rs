//! A follower's events, actions and messages to other daemons.

use std::sync::Arc;

use dahlia_types::{DaemonId, Generation, Zone};
use serde::{Deserialize, Serialize};

use crate::{ConfigurationRecord, RecordError, RecordId, ServiceUnavailable};

/// Another daemon that membership considers alive.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: Zone,
}

/// A message between followers. Messages may be lost, delayed or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for the receiver's newest generation and states the sender's, if it knows one.
    Compare(Option<RecordId>),
    /// Answers [`PeerMessage::Compare`].
    CompareReply {
        /// The sender's newest generation.
        newest: Option<RecordId>,
        /// Whether the sender serves by it. A starting daemon does not.
        is_serving: bool,
    },
    /// Announces a generation that is new to the sender. The sender has its record.
    Announce(RecordId),
    /// Requests the record of the receiver's newest generation.
    Fetch,
    /// The bytes of a record.
    Record(Vec<u8>),
}

/// An event that a follower handles.
#[derive(Debug, Clone)]
pub enum FollowerEvent {
    /// The other daemons that membership considers alive. Pass the first list once a peer from the
    /// settings has sent its members; pass an empty one if none of those peers could be reached.
    /// Until the first list the daemon does not serve.
    Peers(Vec<Peer>),
    /// The result of [`FollowerAction::ReadService`]: the key's value, which may be stale.
    ServiceRead(Result<Option<Vec<u8>>, ServiceUnavailable>),
    /// The watch delivered a value of the key.
    Watched(Vec<u8>),
    /// The watch broke or could not be opened.
    WatchEnded,
    /// A message from another daemon arrived.
    Message {
        /// The sender.
        from: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// This daemon's change writer wrote a generation.
    Accepted(Arc<ConfigurationRecord>),
    /// Time has passed.
    Tick,
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerAction {
    /// Read the configuration's key.
    ReadService,
    /// Read the key, pass its value as [`FollowerEvent::Watched`], and watch it from that version.
    OpenWatch,
    /// End the watch.
    CloseWatch,
    /// Send a message to another daemon.
    Send {
        /// The receiver.
        to: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// Start to serve. Without a preceding [`FollowerAction::Activate`] no generation exists.
    Ready,
    /// Put this generation in force. Generations only rise.
    Activate(Arc<ConfigurationRecord>),
    /// Log and count an anomaly.
    Report(Anomaly),
}

/// An error outside of this daemon that the follower tolerates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Anomaly {
    /// The service answered with an older generation than the one in force.
    StaleRead {
        /// The generation that the service answered with.
        found: Generation,
        /// The generation in force.
        in_force: Generation,
    },
    /// Two records of one generation differ. The one in force stays.
    RecordsDiffer {
        /// The generation.
        generation: Generation,
    },
    /// A record cannot be read. The generation in force stays.
    UnreadableRecord(RecordError),
}
