//! How a generation travels: a few daemons watch the service, all read it now and then, each
//! tells a few others of what is new to it, and each compares with one other now and then.
//!
//! The load on the service does not grow with the number of daemons, and no daemon sends to all.

use dahlia_types::{DaemonId, Duration, Timestamp};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::start::Answer;
use super::{ConfigurationFollower, FollowerAction, Peer, PeerMessage};
use crate::{Anomaly, ConfigurationRecord, ConfigurationSettings, Mechanism};

/// Timers and rounds of a follower.
#[derive(Debug, Default)]
pub(super) struct Spread {
    rounds_left: u32,
    next_round: Timestamp,
    next_compare: Timestamp,
    next_read: Timestamp,
    watches: bool,
    /// When to open a watch that is wanted and not open.
    reopen: Option<Timestamp>,
}

impl Spread {
    /// Starts telling others of a generation that is new here.
    pub(super) fn start_rounds(&mut self, settings: &ConfigurationSettings, now: Timestamp) {
        self.rounds_left = settings.announce_rounds;
        self.next_round = now;
    }

    pub(super) fn next_due(&self) -> Timestamp {
        let round = if self.rounds_left > 0 { self.next_round } else { Timestamp(u64::MAX) };
        let reopen = self.reopen.unwrap_or(Timestamp(u64::MAX));
        round.min(self.next_compare).min(self.next_read).min(reopen)
    }
}

impl ConfigurationFollower {
    pub(super) fn on_peers(&mut self, peers: Vec<Peer>, actions: &mut Vec<FollowerAction>) {
        let daemon = self.daemon;
        self.peers = peers.into_iter().filter(|peer| peer.daemon != daemon).collect();
        self.peers.sort();
        self.choose_asked();
        let wanted = self.is_watcher();
        if wanted && !self.spread.watches {
            actions.push(FollowerAction::OpenWatch);
        }
        if !wanted && self.spread.watches {
            actions.push(FollowerAction::CloseWatch);
            self.spread.reopen = None;
        }
        self.spread.watches = wanted;
    }

    /// The daemons with the lowest numbers of each zone watch. All daemons of a zone come to the
    /// same choice from the same list, and while lists differ a few more or less watch.
    fn is_watcher(&self) -> bool {
        let near = self.peers.iter().filter(|peer| peer.zone == self.zone);
        let before = near.filter(|peer| peer.daemon < self.daemon).count();
        before < self.settings.watchers_per_zone as usize
    }

    pub(super) fn on_watch_ended(&mut self, now: Timestamp) {
        if self.spread.watches {
            self.spread.reopen = Some(now + self.jittered(self.settings.retry_pause.times(5)));
        }
    }

    pub(super) fn on_message(
        &mut self,
        from: DaemonId,
        message: PeerMessage,
        now: Timestamp,
        actions: &mut Vec<FollowerAction>,
    ) {
        let mine = self.current_id();
        let is_serving = self.start.is_none();
        let mut send = |message| actions.push(FollowerAction::Send { to: from, message });
        match message {
            PeerMessage::Compare(theirs) => {
                send(PeerMessage::CompareReply { newest: mine, is_serving });
                if theirs.map(|it| it.generation) > mine.map(|it| it.generation) {
                    send(PeerMessage::Fetch);
                }
            }
            PeerMessage::CompareReply { newest, is_serving } => {
                if newest.map(|it| it.generation) > mine.map(|it| it.generation) {
                    send(PeerMessage::Fetch);
                }
                self.note_answer(from, Answer { newest, serves: is_serving });
            }
            PeerMessage::Announce(theirs) => {
                if mine.is_none_or(|mine| theirs.generation > mine.generation) {
                    send(PeerMessage::Fetch);
                }
            }
            PeerMessage::Fetch => {
                if let Some(record) = &self.current {
                    send(PeerMessage::Record(record.bytes().to_vec()));
                }
            }
            PeerMessage::Record(bytes) if self.holds(&bytes) => {}
            PeerMessage::Record(bytes) => match ConfigurationRecord::decode(&bytes) {
                Ok(record) => self.learn(record.into(), now, actions),
                Err(error) => {
                    actions.push(FollowerAction::Report(Anomaly::UnreadableRecord(error)))
                }
            },
        }
    }

    pub(super) fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        self.ask(now, actions);
        self.announce(now, actions);
        self.compare(now, actions);
        self.read(now, actions);
        if self.spread.reopen.is_some_and(|at| now >= at) {
            self.spread.reopen = None;
            actions.push(FollowerAction::OpenWatch);
        }
    }

    /// Sends a change that this daemon brought in to a few others at once. An announcement alone
    /// would be lost with this daemon, and with the service down nobody else could have it.
    pub(super) fn push(&mut self, record: &ConfigurationRecord, actions: &mut Vec<FollowerAction>) {
        let count = self.settings.fanout as usize;
        let chosen = self.peers.choose_multiple(&mut self.random, count);
        let message = PeerMessage::Record(record.bytes().to_vec());
        actions.extend(
            chosen.map(|peer| FollowerAction::Send { to: peer.daemon, message: message.clone() }),
        );
    }

    fn announce(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if self.spread.rounds_left == 0 || now < self.spread.next_round {
            return;
        }
        self.spread.rounds_left -= 1;
        self.spread.next_round = now + self.jittered(self.settings.announce_interval);
        let Some(stamp) = self.current_id() else {
            return;
        };
        if !self.switches.is_on(Mechanism::Announcements) {
            return;
        }
        let count = self.settings.fanout as usize;
        let chosen = self.peers.choose_multiple(&mut self.random, count);
        let message = PeerMessage::Announce(stamp);
        actions.extend(
            chosen.map(|peer| FollowerAction::Send { to: peer.daemon, message: message.clone() }),
        );
    }

    fn compare(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if now < self.spread.next_compare {
            return;
        }
        self.spread.next_compare = now + self.jittered(self.settings.compare_interval);
        if !self.switches.is_on(Mechanism::Comparison) {
            return;
        }
        if let Some(peer) = self.peers.choose(&mut self.random) {
            let message = PeerMessage::Compare(self.current_id());
            actions.push(FollowerAction::Send { to: peer.daemon, message });
        }
    }

    fn read(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if now < self.spread.next_read {
            return;
        }
        // The interval grows with the number of daemons, so that the service's load does not.
        let daemons = self.peers.len() as u64 + 1;
        let interval = self.settings.read_interval.times(daemons);
        if self.spread.next_read == Timestamp::ZERO {
            // Daemons that start together must not read together.
            let wait = self.random.random_range(0..=interval.as_micros());
            self.spread.next_read = now + Duration(wait);
            return;
        }
        self.spread.next_read = now + self.jittered(interval);
        actions.push(FollowerAction::ReadService);
    }

    /// Half to one and a half of `length`, so that daemons do not act in step.
    fn jittered(&mut self, length: Duration) -> Duration {
        let length = length.as_micros();
        Duration(length / 2 + self.random.random_range(0..=length))
    }
}
