//! The start of a daemon: what it has to hear before it serves.
//!
//! A daemon keeps nothing over a restart, and the service may be down or answer with older data.
//! It serves once a majority of the peers that it asked have answered, it holds the newest
//! generation that any of them or the service named, and the time is over in which a generation
//! reaches every daemon. Until then it refuses: to serve by a generation that may be older than
//! the one before the restart would be a revert. The wait falls away when the service answered and
//! no peer serves yet, as in the first start of a system.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{DaemonId, Generation, Timestamp};
use rand::seq::SliceRandom;

use super::{ConfigurationFollower, FollowerAction, Peer, PeerMessage};
use crate::{ConfigurationSettings, Mechanism, RecordId};

/// Two of three peers asked are of the own zone: they are near, and a cut leaves them reachable.
const OWN_ZONE_SHARE: (usize, usize) = (2, 3);

/// What a peer told.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer {
    pub(super) newest: Option<RecordId>,
    pub(super) serves: bool,
}

impl Answer {
    fn generation(&self) -> Generation {
        self.newest.map_or(Generation(0), |stamp| stamp.generation)
    }
}

/// How often the pause between reads of a service that does not answer doubles.
const MOST_DOUBLINGS: u32 = 6;

/// A start under way.
#[derive(Debug)]
pub(super) struct Start {
    began: Timestamp,
    /// Unknown until the driver passes the first list of peers.
    asked: Option<BTreeSet<DaemonId>>,
    answers: BTreeMap<DaemonId, Answer>,
    next_ask: Timestamp,
    next_read: Timestamp,
    reads: u32,
    pub(super) service_answered: bool,
}

impl Start {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            began: now,
            asked: None,
            answers: BTreeMap::new(),
            next_ask: now,
            next_read: now,
            reads: 0,
            service_answered: false,
        }
    }

    pub(super) fn next_due(&self, settings: &ConfigurationSettings, now: Timestamp) -> Timestamp {
        let waited = self.began + settings.spread_within;
        if now < waited { self.next_ask.min(waited) } else { self.next_ask }
    }

    /// Whether a majority of the peers asked have answered.
    fn has_quorum(&self) -> bool {
        let Some(asked) = &self.asked else {
            return false;
        };
        let answered = asked.iter().filter(|peer| self.answers.contains_key(peer)).count();
        2 * answered > asked.len() || asked.is_empty()
    }

    fn newest_told(&self) -> Generation {
        self.answers.values().map(Answer::generation).max().unwrap_or_default()
    }
}

impl ConfigurationFollower {
    /// Chooses whom to ask, again whenever the list of peers changes during the start.
    pub(super) fn choose_asked(&mut self) {
        let Some(start) = &mut self.start else {
            return;
        };
        let most = self.settings.peers_asked as usize;
        let is_near = |peer: &&Peer| peer.zone == self.zone;
        let (mut near, mut far): (Vec<&Peer>, Vec<&Peer>) = self.peers.iter().partition(is_near);
        near.shuffle(&mut self.random);
        far.shuffle(&mut self.random);
        let (part, whole) = OWN_ZONE_SHARE;
        let far_count = far.len().min(most - (most * part / whole).min(near.len()));
        let near_count = near.len().min(most - far_count);
        let chosen = near[..near_count].iter().chain(&far[..far_count]);
        start.asked = Some(chosen.map(|peer| peer.daemon).collect());
    }

    pub(super) fn note_answer(&mut self, from: DaemonId, answer: Answer) {
        if let Some(start) = &mut self.start {
            start.answers.insert(from, answer);
        }
    }

    /// Asks peers that have not answered, and the service, again and again.
    pub(super) fn ask(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        let stamp = self.current_id();
        let Some(start) = self.start.as_mut().filter(|start| now >= start.next_ask) else {
            return;
        };
        start.next_ask = now + self.settings.retry_pause;
        if !start.service_answered && now >= start.next_read {
            // Many daemons may start in one outage: each reads more and more rarely.
            let pause = self.settings.retry_pause.times(1 << start.reads.min(MOST_DOUBLINGS));
            start.next_read = now + pause;
            start.reads += 1;
            actions.push(FollowerAction::ReadService);
        }
        let held = stamp.map_or(Generation(0), |stamp| stamp.generation);
        // A peer that named a newer generation than is held here is asked again, so that its
        // record is fetched once more if it was lost.
        let settled = |peer: &&DaemonId| {
            let answer = start.answers.get(*peer);
            answer.is_some_and(|told| told.generation() <= held)
        };
        let asked = start.asked.iter().flatten();
        for peer in asked.filter(|peer| !settled(peer)) {
            let message = PeerMessage::Compare(stamp);
            actions.push(FollowerAction::Send { to: *peer, message });
        }
    }

    /// Ends the start when enough is known.
    pub(super) fn try_to_serve(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        let Some(start) = &self.start else {
            return;
        };
        let asks = self.switches.is_on(Mechanism::AskPeers);
        if asks && !(start.has_quorum() && start.newest_told() <= self.generation()) {
            return;
        }
        let waits = self.switches.is_on(Mechanism::SpreadWait);
        let waited = !waits || now >= start.began + self.settings.spread_within;
        let is_first = !start.answers.values().any(|answer| answer.serves);
        // Without the service, somebody must know a generation: an empty daemon knows none.
        let knows_any = start.service_answered || self.current.is_some();
        if !(knows_any && (waited || (is_first && start.service_answered))) {
            return;
        }
        self.start = None;
        actions.extend(self.current.clone().map(FollowerAction::Activate));
        actions.push(FollowerAction::Ready);
    }
}
