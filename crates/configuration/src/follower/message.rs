//! What a follower reacts to, what it tells other daemons, and what its driver is to do.

use std::sync::Arc;

use dahlia_types::{DaemonId, Generation, Zone};
use serde::{Deserialize, Serialize};

use crate::{ConfigurationRecord, RecordError, RecordId, ServiceUnavailable};

/// Another daemon that is believed to live.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: Zone,
}

/// A message between followers. Each may be lost, late or repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for the other's newest generation and states one's own; none when it knows none.
    Compare(Option<RecordId>),
    /// Answers [`PeerMessage::Compare`].
    CompareReply {
        /// The sender's newest generation.
        newest: Option<RecordId>,
        /// Whether the sender serves by it; a daemon that starts does not.
        is_serving: bool,
    },
    /// A generation that is new to the sender, who has its record.
    Announce(RecordId),
    /// Asks for the record of the newest generation.
    Fetch,
    /// A record's bytes.
    Record(Vec<u8>),
}

/// What a follower reacts to.
#[derive(Debug, Clone)]
pub enum FollowerEvent {
    /// The other daemons that membership believes to live. Pass the first list once a peer of
    /// the settings has told its members, or all of them were tried in vain: then an empty one.
    /// Until the first list the daemon does not serve.
    Peers(Vec<Peer>),
    /// The result of [`FollowerAction::ReadService`]: the key's value, perhaps an older one.
    ServiceRead(Result<Option<Vec<u8>>, ServiceUnavailable>),
    /// The watch delivered a value of the key.
    Watched(Vec<u8>),
    /// The watch could not be opened or broke.
    WatchEnded,
    /// A message of another daemon.
    Message {
        /// Who sent it.
        from: DaemonId,
        /// What it says.
        message: PeerMessage,
    },
    /// This daemon's accepter brought in a generation.
    Accepted(Arc<ConfigurationRecord>),
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerAction {
    /// Read the configuration's key.
    ReadService,
    /// Read the key, report its value as watched, and watch it from there.
    OpenWatch,
    /// End the watch.
    CloseWatch,
    /// Send to another daemon.
    Send {
        /// To whom.
        to: DaemonId,
        /// What.
        message: PeerMessage,
    },
    /// The daemon may serve. Without a preceding [`FollowerAction::Activate`] no generation exists.
    Ready,
    /// This generation is in force from now on. Generations only rise.
    Activate(Arc<ConfigurationRecord>),
    /// Something is wrong outside; to be logged and counted.
    Report(Anomaly),
}

/// Something outside that is wrong and does no harm here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Anomaly {
    /// The service answered with an older generation than is in force.
    StaleRead {
        /// What it answered.
        found: Generation,
        /// What is in force.
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
