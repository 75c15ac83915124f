//! What a leader knows of one peer.

use std::collections::VecDeque;

use dahlia_types::{LogIndex, Timestamp};

use super::Snapshot;

/// How a leader sends to a peer.
#[derive(Debug, Clone)]
pub(super) enum Sending {
    /// It does not know where the logs agree: one append at a time.
    Probe {
        /// When the unanswered append was sent.
        in_flight: Option<Timestamp>,
    },
    /// The logs agree up to `matched`: appends follow each other without waiting.
    Pipeline {
        /// Unanswered appends: last entry and time sent.
        in_flight: VecDeque<(LogIndex, Timestamp)>,
    },
    /// The peer needs a snapshot that the driver has not given yet.
    AwaitSnapshot,
    /// The snapshot goes part by part.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Bytes acknowledged.
        offset: usize,
        /// When the unanswered part was sent.
        in_flight: Option<Timestamp>,
    },
}

/// What a leader knows of one peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// The configuration when this stay of the peer began, which tells it from earlier ones.
    pub session: LogIndex,
    /// Last entry known to be equal.
    pub matched: LogIndex,
    /// Next entry to send.
    pub next: LogIndex,
    /// How it is sent to.
    pub sending: Sending,
    /// Latest own sending time that the peer has answered.
    pub last_contact: Timestamp,
    /// When the last append or heartbeat left.
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

    /// Starts again after the last entry known to be equal.
    pub fn probe(&mut self) {
        self.next = self.matched.next();
        self.sending = Sending::Probe { in_flight: None };
    }

    /// Takes in that the logs are equal up to `index`. Returns whether that is news.
    pub fn match_up_to(&mut self, index: LogIndex) -> bool {
        let is_news = index > self.matched;
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
        is_news
    }

    /// When the oldest unanswered append or part was sent.
    pub fn oldest_in_flight(&self) -> Option<Timestamp> {
        match &self.sending {
            Sending::Probe { in_flight } | Sending::Snapshot { in_flight, .. } => *in_flight,
            Sending::Pipeline { in_flight } => in_flight.front().map(|(_, sent)| *sent),
            Sending::AwaitSnapshot => None,
        }
    }
}
