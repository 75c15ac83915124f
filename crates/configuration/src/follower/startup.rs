//! The startup of a daemon: what it must learn before it serves.
//!
//! A restart may lose a daemon's state, and the service may be down or answer with stale data. The
//! daemon serves once three conditions hold: a majority of the peers that it asked have replied, it
//! has the newest generation that any of them or the service named, and the time in which a
//! generation reaches every daemon has passed. Until then it refuses to serve, because serving by a
//! generation older than the one before the restart would be a revert. It need not wait for that
//! time if the service answered and no peer serves yet, as in the first start of a system.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{DaemonId, Generation, Timestamp};
use rand::seq::SliceRandom;

use super::{ConfigurationFollower, FollowerAction, Peer, PeerMessage};
use crate::{ConfigurationSettings, Mechanism, RecordId};

/// Two of three peers to ask are in the daemon's own zone: they are near, and they stay reachable
/// if the zone is partitioned from the others.
const OWN_ZONE_SHARE: (usize, usize) = (2, 3);

/// A peer's reply to a comparison.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerReply {
    pub(super) newest: Option<RecordId>,
    pub(super) is_serving: bool,
}

impl PeerReply {
    fn generation(&self) -> Generation {
        self.newest.map_or(Generation(0), |id| id.generation)
    }
}

/// How many times the pause between reads of a service that doesn't answer doubles.
const MAX_READ_PAUSE_DOUBLINGS: u32 = 6;

/// The state of a startup in progress.
#[derive(Debug)]
pub(super) struct Startup {
    started_at: Timestamp,
    /// None until the driver passes the first list of peers.
    peers_to_ask: Option<BTreeSet<DaemonId>>,
    replies: BTreeMap<DaemonId, PeerReply>,
    next_ask_at: Timestamp,
    next_read_at: Timestamp,
    read_count: u32,
    pub(super) service_answered: bool,
}

impl Startup {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            peers_to_ask: None,
            replies: BTreeMap::new(),
            next_ask_at: now,
            next_read_at: now,
            read_count: 0,
            service_answered: false,
        }
    }

    pub(super) fn next_due(&self, settings: &ConfigurationSettings, now: Timestamp) -> Timestamp {
        let spread_deadline = self.started_at + settings.spread_within;
        if now < spread_deadline { self.next_ask_at.min(spread_deadline) } else { self.next_ask_at }
    }

    /// Whether a majority of the asked peers have replied.
    fn has_quorum(&self) -> bool {
        let Some(asked) = &self.peers_to_ask else {
            return false;
        };
        let answered = asked.iter().filter(|peer| self.replies.contains_key(peer)).count();
        2 * answered > asked.len() || asked.is_empty()
    }

    /// The newest generation that a peer named.
    fn newest_reported(&self) -> Generation {
        self.replies.values().map(PeerReply::generation).max().unwrap_or_default()
    }
}

impl ConfigurationFollower {
    /// Chooses the peers to ask. Repeated whenever the list of peers changes during the startup.
    pub(super) fn choose_peers_to_ask(&mut self) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        let max_asked = self.settings.peers_asked as usize;
        let is_in_own_zone = |peer: &&Peer| peer.zone == self.zone;
        let (mut own_zone, mut other_zones): (Vec<&Peer>, Vec<&Peer>) =
            self.peers.iter().partition(is_in_own_zone);
        own_zone.shuffle(&mut self.random);
        other_zones.shuffle(&mut self.random);
        let (part, whole) = OWN_ZONE_SHARE;
        let other_zones_count =
            other_zones.len().min(max_asked - (max_asked * part / whole).min(own_zone.len()));
        let own_zone_count = own_zone.len().min(max_asked - other_zones_count);
        let chosen = own_zone[..own_zone_count].iter().chain(&other_zones[..other_zones_count]);
        startup.peers_to_ask = Some(chosen.map(|peer| peer.daemon).collect());
    }

    pub(super) fn record_reply(&mut self, from: DaemonId, reply: PeerReply) {
        if let Some(startup) = &mut self.startup {
            startup.replies.insert(from, reply);
        }
    }

    /// Asks the service and the peers for the newest generation, periodically until they answer.
    pub(super) fn ask_for_newest(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        let id = self.current_id();
        let Some(startup) = self.startup.as_mut().filter(|startup| now >= startup.next_ask_at)
        else {
            return;
        };
        startup.next_ask_at = now + self.settings.retry_pause;
        if !startup.service_answered && now >= startup.next_read_at {
            // Many daemons may start during an outage, so the pause between reads grows.
            let pause = self
                .settings
                .retry_pause
                .times(1 << startup.read_count.min(MAX_READ_PAUSE_DOUBLINGS));
            startup.next_read_at = now + pause;
            startup.read_count += 1;
            actions.push(FollowerAction::ReadService);
        }
        let own_generation = id.map_or(Generation(0), |id| id.generation);
        // A peer that named a newer generation than the current one is asked again, so that its
        // record is fetched again if it was lost.
        let is_settled = |peer: &&DaemonId| {
            let reply = startup.replies.get(*peer);
            reply.is_some_and(|reply| reply.generation() <= own_generation)
        };
        let to_ask = startup.peers_to_ask.iter().flatten();
        for peer in to_ask.filter(|peer| !is_settled(peer)) {
            let message = PeerMessage::Compare(id);
            actions.push(FollowerAction::Send { to: *peer, message });
        }
    }

    /// Ends the startup once its conditions hold.
    pub(super) fn finish_startup(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        let Some(startup) = &self.startup else {
            return;
        };
        let asks_peers = self.switches.is_on(Mechanism::AskPeers);
        if asks_peers && !(startup.has_quorum() && startup.newest_reported() <= self.generation()) {
            return;
        }
        let requires_wait = self.switches.is_on(Mechanism::SpreadWait);
        let spread_time_passed =
            !requires_wait || now >= startup.started_at + self.settings.spread_within;
        let no_peer_serves = !startup.replies.values().any(|reply| reply.is_serving);
        // Without an answer of the service, this daemon must have a record: a daemon without one
        // cannot tell whether a generation exists.
        let has_source = startup.service_answered || self.current.is_some();
        if !(has_source && (spread_time_passed || (no_peer_serves && startup.service_answered))) {
            return;
        }
        self.startup = None;
        actions.extend(self.current.clone().map(FollowerAction::Activate));
        actions.push(FollowerAction::Ready);
    }
}
