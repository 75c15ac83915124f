//! Addresses of daemons that were known before a restart.
//!
//! The seeds are few; their addresses may be stale, and they may be the last to start again. When
//! all daemons restart at the same moment, those with a disk still have the addresses of the
//! others. They announce themselves there, also to daemons without a disk, which would otherwise
//! wait for a seed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dahlia_types::{Duration, Timestamp};

use super::state::Membership;
use super::{MemberMessage, MemberRecord};

/// The interval after the first round; it doubles with each further round. It is longer than a
/// round trip within a region, and short compared with the time that callers wait for the first
/// answer.
const FIRST_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Rounds after which the remaining addresses are dropped. With the intervals above they cover
/// 1.5 s, in which machines that lost power together are back. Daemons that start later ask their
/// seeds.
const MAX_ROUNDS: u32 = 6;

/// Addresses from which no message has arrived yet.
#[derive(Debug, Clone, Default)]
pub(super) struct PreviousPeers {
    unanswered: BTreeSet<SocketAddr>,
    rounds: u32,
    next_round: Timestamp,
}

impl PreviousPeers {
    /// When the next round is due; none when no address is left.
    pub fn next_round(&self) -> Option<Timestamp> {
        (!self.unanswered.is_empty()).then_some(self.next_round)
    }

    /// Removes an address after a message from it: the daemon there knows this one.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.unanswered.remove(address);
    }

    /// The addresses to send to now; none before the next round is due.
    fn take_due_round(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if self.next_round().is_none_or(|next| now < next) {
            return Vec::new();
        }
        let round: Vec<SocketAddr> = self.unanswered.iter().copied().collect();
        self.next_round = now + FIRST_ROUND_INTERVAL.times(1 << self.rounds);
        self.rounds += 1;
        if self.rounds >= MAX_ROUNDS {
            self.unanswered.clear();
        }
        round
    }
}

impl Membership {
    /// Announces this daemon to addresses that it knew before its restart.
    pub fn contact_previous_peers(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.info.address;
        let others = addresses.into_iter().filter(|address| *address != own);
        self.previous_peers =
            PreviousPeers { unanswered: others.collect(), rounds: 0, next_round: self.now };
    }

    /// Sends the own record to the addresses that are due. The message is small and needs no answer:
    /// a daemon that did not know this one starts a comparison, see
    /// [`Self::compare_with_newcomer`].
    pub(super) fn announce_to_previous_peers(&mut self) {
        for address in self.previous_peers.take_due_round(self.now) {
            let own: Vec<MemberRecord> = vec![self.own.clone()];
            self.send_to_address(address, MemberMessage::Gossip, own, Vec::new());
        }
    }
}
