//! Messages between daemons about membership.

use std::net::SocketAddr;

use dahlia_types::{DaemonId, ReplicaId};
use serde::{Deserialize, Serialize};

use super::{Fact, FactKey, MemberRecord};

/// A message with the news that fit beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender, in its present life.
    pub from: ReplicaId,
    /// Where the sender listens, for receivers that do not know it yet.
    pub address: SocketAddr,
    /// What it says.
    pub body: MemberMessage,
    /// News of members.
    pub members: Vec<MemberRecord>,
    /// News of facts.
    pub facts: Vec<Fact>,
}

impl Envelope {
    /// Whether it carries documents.
    pub fn has_documents(&self) -> bool {
        self.facts.iter().any(|fact| matches!(fact.key, FactKey::Document(_)))
    }
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Are you there?
    Ping {
        /// Echoed in the answer.
        sequence: u32,
        /// Who is meant; a later life answers, and tells of itself.
        to: ReplicaId,
        /// The daemon on whose behalf it is asked, when not the sender's own.
        on_behalf_of: Option<DaemonId>,
    },
    /// The answer to a ping, possibly relayed.
    Ack {
        /// Echo.
        sequence: u32,
        /// Who answered.
        answering: ReplicaId,
        /// The daemon on whose behalf it was asked.
        on_behalf_of: Option<DaemonId>,
    },
    /// Ping a member for me.
    PingRequest {
        /// Echoed in the answer.
        sequence: u32,
        /// Who is meant.
        target: ReplicaId,
    },
    /// News only.
    Gossip,
    /// Hashes of what the sender knows.
    SyncRequest(SyncDigest),
    /// What the sender knows where the hashes differed.
    SyncChunk(SyncChunk),
}

/// Hashes of members and facts, by bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDigest {
    /// One hash for each bucket of members.
    pub members: Vec<u32>,
    /// One hash for each bucket of facts. One more value behind them says that the documents are among
    /// them that only daemons with groups keep.
    pub facts: Vec<u32>,
}

/// Part of an answer to a comparison; the records are in the envelope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncChunk {
    /// Buckets of members, by bit, that the receiver should send in return.
    pub wanted_members: u64,
    /// Buckets of facts, by bit, that the receiver should send in return. All of them, without a
    /// comparison before, ask for the documents that only daemons with groups keep.
    pub wanted_facts: u64,
}
