//! Brings each generation to this daemon: from the service's watch, from reads now and then, and
//! from other daemons. An older generation never replaces a newer one.

mod message;
mod spread;
mod start;

use std::collections::VecDeque;
use std::sync::Arc;

use dahlia_types::{DaemonId, Duration, Generation, Timestamp, Zone};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use message::{Anomaly, FollowerAction, FollowerEvent, Peer, PeerMessage};

use crate::switches::Switches;
use crate::{ConfigurationRecord, ConfigurationSettings, Mechanism, RecordId, ServiceUnavailable};
use spread::Spread;
use start::Start;

/// Whether a daemon knows which generation to serve by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingGeneration {
    /// It has started and cannot tell yet. It must not serve.
    Unknown,
    /// It serves by this generation; 0 when operators have not applied any.
    Known(Generation),
}

/// A daemon's part in spreading the configuration.
#[derive(Debug)]
pub struct ConfigurationFollower {
    daemon: DaemonId,
    zone: Zone,
    settings: ConfigurationSettings,
    random: ChaCha8Rng,
    peers: Vec<Peer>,
    current: Option<Arc<ConfigurationRecord>>,
    earlier: VecDeque<Arc<ConfigurationRecord>>,
    /// None once the daemon serves.
    start: Option<Start>,
    spread: Spread,
    switches: Switches,
}

impl ConfigurationFollower {
    /// A follower of a daemon that starts at `now`. `stored` is the last record that the daemon
    /// kept on a disk, if it has one. `seed` decides whom it talks to.
    pub fn new(
        daemon: DaemonId,
        zone: Zone,
        settings: ConfigurationSettings,
        stored: Option<Arc<ConfigurationRecord>>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let start = Some(Start::new(now));
        Self {
            daemon,
            zone,
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            peers: Vec::new(),
            current: stored,
            earlier: VecDeque::new(),
            start,
            spread: Spread::default(),
            switches: Switches::default(),
        }
    }

    /// Whether the daemon may serve, and by which generation.
    pub fn serving_generation(&self) -> ServingGeneration {
        match &self.start {
            Some(_) => ServingGeneration::Unknown,
            None => ServingGeneration::Known(self.generation()),
        }
    }

    /// The newest record, in force once the daemon serves.
    pub fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.current.as_ref()
    }

    /// Records that this daemon had in force before, newest first.
    pub fn previous_records(&self) -> impl Iterator<Item = &Arc<ConfigurationRecord>> {
        self.earlier.iter()
    }

    /// Switches a mechanism off, to show that a checker notices.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Takes an event and gives what the driver is to do, in order.
    pub fn handle(&mut self, event: FollowerEvent, now: Timestamp) -> Vec<FollowerAction> {
        let mut actions = Vec::new();
        match event {
            FollowerEvent::Peers(peers) => self.on_peers(peers, &mut actions),
            FollowerEvent::ServiceRead(result) => self.on_service(result, now, &mut actions),
            FollowerEvent::Watched(bytes) => self.on_value(&bytes, now, &mut actions),
            FollowerEvent::WatchEnded => self.on_watch_ended(now),
            FollowerEvent::Message { from, message } => {
                self.on_message(from, message, now, &mut actions);
            }
            FollowerEvent::Accepted(record) => {
                self.push(&record, &mut actions);
                self.learn(record, now, &mut actions);
            }
            FollowerEvent::Tick => {}
        }
        self.run_timers(now, &mut actions);
        self.try_to_serve(now, &mut actions);
        actions
    }

    fn generation(&self) -> Generation {
        self.current.as_ref().map_or(Generation(0), |record| record.generation())
    }

    fn current_id(&self) -> Option<RecordId> {
        self.current.as_ref().map(|record| record.id())
    }

    fn on_service(
        &mut self,
        result: Result<Option<Vec<u8>>, ServiceUnavailable>,
        now: Timestamp,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Ok(found) = result else {
            return;
        };
        if let Some(start) = &mut self.start {
            start.service_answered = true;
        }
        if let Some(bytes) = found {
            self.on_value(&bytes, now, actions);
        }
    }

    /// Most reads give what is held already; that is not decoded again.
    fn holds(&self, bytes: &[u8]) -> bool {
        self.current.as_ref().is_some_and(|record| record.bytes() == bytes)
    }

    /// A value of the service's key, perhaps an older one.
    fn on_value(&mut self, bytes: &[u8], now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if self.holds(bytes) {
            return;
        }
        let record = match ConfigurationRecord::decode(bytes) {
            Ok(record) => record,
            Err(error) => {
                actions.push(FollowerAction::Report(Anomaly::UnreadableRecord(error)));
                return;
            }
        };
        let (found, in_force) = (record.generation(), self.generation());
        if found < in_force {
            actions.push(FollowerAction::Report(Anomaly::StaleRead { found, in_force }));
        }
        self.learn(Arc::new(record), now, actions);
    }

    /// Takes a record over if it is newer than the one held.
    fn learn(
        &mut self,
        record: Arc<ConfigurationRecord>,
        now: Timestamp,
        actions: &mut Vec<FollowerAction>,
    ) {
        let held = self.current_id();
        let generation = record.generation();
        if held.is_some_and(|held| held.generation == generation && held != record.id()) {
            actions.push(FollowerAction::Report(Anomaly::RecordsDiffer { generation }));
        }
        let checked = self.switches.is_on(Mechanism::GenerationCheck);
        if checked && held.is_some_and(|held| held.generation >= generation) {
            return;
        }
        if held == Some(record.id()) {
            return;
        }
        if let Some(replaced) = self.current.replace(record.clone()) {
            self.earlier.push_front(replaced);
            self.earlier.truncate(self.settings.history as usize);
        }
        if self.start.is_none() {
            actions.push(FollowerAction::Activate(record));
        }
        self.spread.start_rounds(&self.settings, now);
    }

    /// When to pass the next [`FollowerEvent::Tick`] at the latest.
    pub fn next_tick(&self, now: Timestamp) -> Timestamp {
        let start = self.start.as_ref().map(|start| start.next_due(&self.settings, now));
        let due = self.spread.next_due().min(start.unwrap_or(Timestamp(u64::MAX)));
        due.max(now + Duration::from_millis(1))
    }
}
