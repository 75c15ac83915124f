//! How a generation spreads: a few daemons watch the service, and all read it periodically. Each
//! daemon announces a generation that is new to it to a few others, and compares its newest
//! generation with one other daemon periodically.
//!
//! The load on the service does not grow with the number of daemons, and no daemon sends to all
//! others.

use dahlia_types::{DaemonId, Duration, Timestamp};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::startup::PeerReply;
use super::{ConfigurationFollower, FollowerAction, Peer, PeerMessage};
use crate::{Anomaly, ConfigurationRecord, ConfigurationSettings, Mechanism};

/// Timers of a follower's announcements, comparisons, reads and watch.
#[derive(Debug, Default)]
pub(super) struct SpreadTimers {
    rounds_left: u32,
    next_round_at: Timestamp,
    next_compare_at: Timestamp,
    next_read_at: Timestamp,
    wants_watch: bool,
    /// When to reopen a watch that broke.
    reopen_at: Option<Timestamp>,
}

impl SpreadTimers {
    /// Starts the announcements of a new generation.
    pub(super) fn start_rounds(&mut self, settings: &ConfigurationSettings, now: Timestamp) {
        self.rounds_left = settings.announce_rounds;
        self.next_round_at = now;
    }

    pub(super) fn next_due(&self) -> Timestamp {
        let next_round_at =
            if self.rounds_left > 0 { self.next_round_at } else { Timestamp(u64::MAX) };
        let reopen_at = self.reopen_at.unwrap_or(Timestamp(u64::MAX));
        next_round_at.min(self.next_compare_at).min(self.next_read_at).min(reopen_at)
    }
}

impl ConfigurationFollower {
    pub(super) fn on_peers(&mut self, peers: Vec<Peer>, actions: &mut Vec<FollowerAction>) {
        let daemon = self.daemon;
        self.peers = peers.into_iter().filter(|peer| peer.daemon != daemon).collect();
        self.peers.sort();
        self.choose_peers_to_ask();
        let wants_watch = self.is_watcher();
        if wants_watch && !self.spread.wants_watch {
            actions.push(FollowerAction::OpenWatch);
        }
        if !wants_watch && self.spread.wants_watch {
            actions.push(FollowerAction::CloseWatch);
            self.spread.reopen_at = None;
        }
        self.spread.wants_watch = wants_watch;
    }

    /// Whether this daemon should watch the service: those with the lowest numbers in each zone do.
    /// All daemons of a zone make the same choice from the same list. While their lists differ, a
    /// few more or fewer watch.
    fn is_watcher(&self) -> bool {
        let zone_peers = self.peers.iter().filter(|peer| peer.zone == self.zone);
        let lower_count = zone_peers.filter(|peer| peer.daemon < self.daemon).count();
        lower_count < self.settings.watchers_per_zone as usize
    }

    pub(super) fn on_watch_ended(&mut self, now: Timestamp) {
        if self.spread.wants_watch {
            self.spread.reopen_at = Some(now + self.jitter(self.settings.retry_pause.times(5)));
        }
    }

    pub(super) fn on_message(
        &mut self,
        from: DaemonId,
        message: PeerMessage,
        now: Timestamp,
        actions: &mut Vec<FollowerAction>,
    ) {
        let own_id = self.current_id();
        let is_serving = self.startup.is_none();
        let mut send = |message| actions.push(FollowerAction::Send { to: from, message });
        match message {
            PeerMessage::Compare(their_id) => {
                send(PeerMessage::CompareReply { newest: own_id, is_serving });
                if their_id.map(|it| it.generation) > own_id.map(|it| it.generation) {
                    send(PeerMessage::Fetch);
                }
            }
            PeerMessage::CompareReply { newest, is_serving } => {
                if newest.map(|it| it.generation) > own_id.map(|it| it.generation) {
                    send(PeerMessage::Fetch);
                }
                self.record_reply(from, PeerReply { newest, is_serving });
            }
            PeerMessage::Announce(their_id) => {
                if own_id.is_none_or(|own_id| their_id.generation > own_id.generation) {
                    send(PeerMessage::Fetch);
                }
            }
            PeerMessage::Fetch => {
                if let Some(record) = &self.current {
                    send(PeerMessage::Record(record.bytes().to_vec()));
                }
            }
            PeerMessage::Record(bytes) if self.is_current(&bytes) => {}
            PeerMessage::Record(bytes) => match ConfigurationRecord::decode(&bytes) {
                Ok(record) => self.adopt(record.into(), now, actions),
                Err(error) => {
                    actions.push(FollowerAction::Report(Anomaly::UnreadableRecord(error)))
                }
            },
        }
    }

    pub(super) fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        self.ask_for_newest(now, actions);
        self.announce(now, actions);
        self.compare(now, actions);
        self.read_service(now, actions);
        if self.spread.reopen_at.is_some_and(|at| now >= at) {
            self.spread.reopen_at = None;
            actions.push(FollowerAction::OpenWatch);
        }
    }

    /// Sends the record of a change that this daemon wrote to a few others at once. If this daemon
    /// failed after an announcement alone while the service is down, no other daemon could get the
    /// record.
    pub(super) fn push_record(
        &mut self,
        record: &ConfigurationRecord,
        actions: &mut Vec<FollowerAction>,
    ) {
        let count = self.settings.fanout as usize;
        let chosen = self.peers.choose_multiple(&mut self.random, count);
        let message = PeerMessage::Record(record.bytes().to_vec());
        actions.extend(
            chosen.map(|peer| FollowerAction::Send { to: peer.daemon, message: message.clone() }),
        );
    }

    fn announce(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if self.spread.rounds_left == 0 || now < self.spread.next_round_at {
            return;
        }
        self.spread.rounds_left -= 1;
        self.spread.next_round_at = now + self.jitter(self.settings.announce_interval);
        let Some(id) = self.current_id() else {
            return;
        };
        if !self.switches.is_on(Mechanism::Announcements) {
            return;
        }
        let count = self.settings.fanout as usize;
        let chosen = self.peers.choose_multiple(&mut self.random, count);
        let message = PeerMessage::Announce(id);
        actions.extend(
            chosen.map(|peer| FollowerAction::Send { to: peer.daemon, message: message.clone() }),
        );
    }

    fn compare(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if now < self.spread.next_compare_at {
            return;
        }
        self.spread.next_compare_at = now + self.jitter(self.settings.compare_interval);
        if !self.switches.is_on(Mechanism::Comparison) {
            return;
        }
        if let Some(peer) = self.peers.choose(&mut self.random) {
            let message = PeerMessage::Compare(self.current_id());
            actions.push(FollowerAction::Send { to: peer.daemon, message });
        }
    }

    fn read_service(&mut self, now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if now < self.spread.next_read_at {
            return;
        }
        // The interval grows with the number of daemons so that the load on the service does not.
        let daemons = self.peers.len() as u64 + 1;
        let interval = self.settings.read_interval.times(daemons);
        if self.spread.next_read_at == Timestamp::ZERO {
            // Daemons that start together must not read at the same time.
            let delay = self.random.random_range(0..=interval.as_micros());
            self.spread.next_read_at = now + Duration(delay);
            return;
        }
        self.spread.next_read_at = now + self.jitter(interval);
        actions.push(FollowerAction::ReadService);
    }

    /// Returns a random duration of 0.5 to 1.5 times `interval`, so that daemons don't act in step.
    fn jitter(&mut self, interval: Duration) -> Duration {
        let micros = interval.as_micros();
        Duration(micros / 2 + self.random.random_range(0..=micros))
    }
}
