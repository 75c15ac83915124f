//! Messages between daemons about membership.

use std::net::SocketAddr;

use dahlia_types::{DaemonId, ReplicaId};
use serde::{Deserialize, Serialize};

use super::{Fact, FactKey, MemberRecord};

/// A message, with updates piggybacked on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender and its incarnation.
    pub from: ReplicaId,
    /// The sender's address, for receivers that do not know the sender yet.
    pub address: SocketAddr,
    /// The message itself.
    pub body: MemberMessage,
    /// Records of members.
    pub members: Vec<MemberRecord>,
    /// Facts.
    pub facts: Vec<Fact>,
}

impl Envelope {
    /// Whether it carries documents.
    pub fn has_documents(&self) -> bool {
        self.facts.iter().any(|fact| matches!(fact.key, FactKey::Document(_)))
    }
}

/// The body of a membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks the receiver for an acknowledgement.
    Ping {
        /// Echoed in the acknowledgement.
        sequence: u32,
        /// The incarnation that is probed. A later one also answers, and gossips its own record.
        to: ReplicaId,
        /// The daemon that requested the probe, unless it is the sender.
        on_behalf_of: Option<DaemonId>,
    },
    /// Acknowledges a ping, possibly through the daemon that relayed it.
    Ack {
        /// The sequence number of the ping.
        sequence: u32,
        /// The daemon that answered.
        answering: ReplicaId,
        /// The daemon that requested the probe.
        on_behalf_of: Option<DaemonId>,
    },
    /// Asks the receiver to ping a member on behalf of the sender.
    PingRequest {
        /// Echoed in the acknowledgement.
        sequence: u32,
        /// The member to ping.
        target: ReplicaId,
    },
    /// Carries updates only.
    Gossip,
    /// Hashes of the sender's members and facts.
    SyncRequest(SyncDigest),
    /// The sender's records and facts in the buckets whose hashes differed.
    SyncChunk(SyncChunk),
}

/// Hashes of members and facts, by bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDigest {
    /// One hash for each bucket of members.
    pub members: Vec<u32>,
    /// One hash for each bucket of facts. One further value after them marks that the hashes include
    /// holder documents.
    pub facts: Vec<u32>,
}

/// Part of an answer to a comparison. The records and facts are in the envelope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncChunk {
    /// Buckets of members, by bit, that the receiver should send in return.
    pub wanted_members: u64,
    /// Buckets of facts, by bit, that the receiver should send in return. All bits, without a
    /// comparison before, request the holder documents.
    pub wanted_facts: u64,
}
