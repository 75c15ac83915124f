//! Daemons that an earlier life of this one knew, greeted until they are heard from.
//!
//! Seeds are a few, and may be stale or the last to be back. Where all daemons begin anew at the
//! same moment, those with a disk remember where the others listened: they make themselves known
//! there, also to daemons that keep nothing and would wait for a seed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dahlia_types::{Duration, Timestamp};

use super::state::Membership;
use super::{MemberMessage, MemberRecord};

/// The pause after the first round; it doubles with each further one. Longer than a round trip
/// within a region, and short against the time that callers wait for the first answer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Rounds until an address counts as given up: with the pauses above they cover 1.5 s, in which
/// machines that lost power together are back. Later ones ask their seeds.
const ROUNDS: u32 = 6;

/// Addresses that were not heard from yet.
#[derive(Debug, Clone, Default)]
pub(super) struct PreviousPeers {
    waiting: BTreeSet<SocketAddr>,
    rounds: u32,
    next: Timestamp,
}

impl PreviousPeers {
    /// When the next round is due; none when nobody is left to be greeted.
    pub fn next_round(&self) -> Option<Timestamp> {
        (!self.waiting.is_empty()).then_some(self.next)
    }

    /// The daemon at an address knows of this one.
    pub fn heard_from(&mut self, address: &SocketAddr) {
        self.waiting.remove(address);
    }

    /// Addresses to greet now.
    fn take_round(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if self.next_round().is_none_or(|next| now < next) {
            return Vec::new();
        }
        let round: Vec<SocketAddr> = self.waiting.iter().copied().collect();
        self.next = now + FIRST_PAUSE.times(1 << self.rounds);
        self.rounds += 1;
        if self.rounds >= ROUNDS {
            self.waiting.clear();
        }
        round
    }
}

impl Membership {
    /// Makes this daemon known at addresses that an earlier life of it knew.
    pub fn contact_previous_peers(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.info.address;
        let others = addresses.into_iter().filter(|address| *address != own);
        self.previous_peers =
            PreviousPeers { waiting: others.collect(), rounds: 0, next: self.now };
    }

    /// Greets those that are due. A greeting is small and needs no answer: a daemon to which it is
    /// news compares of its own accord, see [`Self::greet`].
    pub(super) fn contact_due_previous_peers(&mut self) {
        for address in self.previous_peers.take_round(self.now) {
            let own: Vec<MemberRecord> = vec![self.own.clone()];
            self.send_to_address(address, MemberMessage::Gossip, own, Vec::new());
        }
    }
}
