//! A leader's replication progress for one peer.

use std::collections::VecDeque;

use dahlia_types::{LogIndex, Timestamp};

use super::Snapshot;

/// How a leader replicates to a peer.
#[derive(Debug, Clone)]
pub(super) enum Sending {
    /// The leader does not know where the logs agree, and sends one append at a time.
    Probe {
        /// When the unanswered append was sent.
        in_flight: Option<Timestamp>,
    },
    /// The logs agree up to `matched`, and appends are sent without waiting for answers.
    Pipeline {
        /// Unanswered appends, as last entry and sending time.
        in_flight: VecDeque<(LogIndex, Timestamp)>,
    },
    /// The peer needs a snapshot that the driver has not provided yet.
    AwaitSnapshot,
    /// The leader sends a snapshot in chunks.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Bytes acknowledged.
        offset: usize,
        /// When the unanswered chunk was sent.
        in_flight: Option<Timestamp>,
    },
}

/// The replication progress of one peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// The configuration index when the peer became a member. It distinguishes this membership from
    /// earlier ones of the same replica.
    pub session: LogIndex,
    /// Last entry that is known to be equal in both logs.
    pub matched: LogIndex,
    /// Next entry to send.
    pub next: LogIndex,
    /// The replication mode.
    pub sending: Sending,
    /// The latest sending time, by the leader's clock, of a message that the peer answered.
    pub last_contact: Timestamp,
    /// When the last append, heartbeat or snapshot chunk was sent.
    pub last_sent: Timestamp,
}

impl Peer {
    pub fn new(session: LogIndex, next: LogIndex, now: Timestamp) -> Self {
        Self {
            session,
            matched: LogIndex(0),
            next,
            sending: Sending::Probe { in_flight: None },
            last_contact: now,
            last_sent: Timestamp::ZERO,
        }
    }

    /// Probes again after the last entry that is known to be equal.
    pub fn probe(&mut self) {
        self.next = self.matched.next();
        self.sending = Sending::Probe { in_flight: None };
    }

    /// Records that the logs are equal up to `index`. Returns whether `matched` increased.
    pub fn match_up_to(&mut self, index: LogIndex) -> bool {
        let is_new = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.sending {
            Sending::Probe { .. } => {
                self.next = self.matched.next();
                self.sending = Sending::Pipeline { in_flight: VecDeque::new() };
            }
            Sending::Pipeline { in_flight } => {
                while in_flight.front().is_some_and(|(last, _)| *last <= index) {
                    in_flight.pop_front();
                }
            }
            Sending::AwaitSnapshot | Sending::Snapshot { .. } => {}
        }
        is_new
    }

    /// When the oldest unanswered append or chunk was sent.
    pub fn oldest_in_flight(&self) -> Option<Timestamp> {
        match &self.sending {
            Sending::Probe { in_flight } | Sending::Snapshot { in_flight, .. } => *in_flight,
            Sending::Pipeline { in_flight } => in_flight.front().map(|(_, sent)| *sent),
            Sending::AwaitSnapshot => None,
        }
    }
}
