//! Merges the heartbeats of many groups between two daemons into one message.
//!
//! Groups led by one daemon send their heartbeats at the same multiples of the interval. All
//! heartbeats to one daemon therefore fit into one batch that has the shared fields once.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, GroupId, LogIndex, ReplicaId, Term, Timestamp};
use serde::{Deserialize, Serialize};

use super::{GroupBody, GroupMessage, Heartbeat, HeartbeatResponse};

/// The heartbeat of one group, or the answer to it, without the fields that the batch shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHeartbeat {
    /// The group.
    pub group: GroupId,
    /// The sender's term in it.
    pub term: Term,
    /// The leader's configuration index when the receiver last became a member.
    pub session: LogIndex,
    /// The committed entry in a heartbeat; none in an answer.
    pub committed: Option<LogIndex>,
}

/// Heartbeats, or answers to them, with the same sender, receiver and time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatch {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The leader's time.
    pub sent: Timestamp,
    /// One heartbeat or answer for each group.
    pub groups: Vec<GroupHeartbeat>,
}

/// All messages to one daemon at one time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PeerBatch {
    /// Merged heartbeats and answers.
    pub heartbeats: Vec<HeartbeatBatch>,
    /// All other messages, in order.
    pub messages: Vec<GroupMessage>,
}

impl PeerBatch {
    /// Splits the batch into its messages. Heartbeats come first.
    pub fn into_messages(self) -> Vec<GroupMessage> {
        let mut messages = Vec::new();
        for batch in self.heartbeats {
            let HeartbeatBatch { from, to, sent, groups } = batch;
            messages
                .extend(groups.into_iter().map(|heartbeat| heartbeat.into_message(from, to, sent)));
        }
        messages.extend(self.messages);
        messages
    }
}

impl GroupHeartbeat {
    fn into_message(self, from: ReplicaId, to: ReplicaId, sent: Timestamp) -> GroupMessage {
        let Self { group, term, session, committed } = self;
        let body = match committed {
            Some(committed) => GroupBody::Heartbeat(Heartbeat { session, sent, committed }),
            None => GroupBody::HeartbeatResponse(HeartbeatResponse { session, sent }),
        };
        GroupMessage { group, from, to, term, body }
    }
}

type BatchKey = (ReplicaId, ReplicaId, Timestamp);

#[derive(Debug, Default)]
struct Pending {
    heartbeats: BTreeMap<BatchKey, Vec<GroupHeartbeat>>,
    messages: Vec<GroupMessage>,
}

/// Collects messages and batches them by destination.
#[derive(Debug, Default)]
pub struct Coalescer {
    pending: BTreeMap<DaemonId, Pending>,
}

impl Coalescer {
    /// Creates an empty coalescer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a message.
    pub fn push(&mut self, message: GroupMessage) {
        let pending = self.pending.entry(message.to.daemon).or_default();
        let GroupMessage { group, from, to, term, .. } = message;
        let (sent, session, committed) = match &message.body {
            GroupBody::Heartbeat(body) => (body.sent, body.session, Some(body.committed)),
            GroupBody::HeartbeatResponse(body) => (body.sent, body.session, None),
            _ => {
                pending.messages.push(message);
                return;
            }
        };
        let heartbeat = GroupHeartbeat { group, term, session, committed };
        pending.heartbeats.entry((from, to, sent)).or_default().push(heartbeat);
    }

    /// Takes everything collected, one batch for each destination.
    pub fn take(&mut self) -> Vec<(DaemonId, PeerBatch)> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_iter().map(|(daemon, pending)| (daemon, pending.into_batch())).collect()
    }
}

impl Pending {
    fn into_batch(self) -> PeerBatch {
        let heartbeats = self.heartbeats.into_iter();
        let heartbeats = heartbeats
            .map(|((from, to, sent), groups)| HeartbeatBatch { from, to, sent, groups })
            .collect();
        PeerBatch { heartbeats, messages: self.messages }
    }
}
