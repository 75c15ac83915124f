//! Brings each generation to this daemon: from the service's watch, from periodic reads, and from
//! other daemons. An older generation never replaces a newer one.

mod message;
mod spread;
mod startup;

use std::collections::VecDeque;
use std::sync::Arc;

use dahlia_types::{DaemonId, Duration, Generation, Timestamp, Zone};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use message::{Anomaly, FollowerAction, FollowerEvent, Peer, PeerMessage};

use crate::switches::Switches;
use crate::{ConfigurationRecord, ConfigurationSettings, Mechanism, RecordId, ServiceUnavailable};
use spread::SpreadTimers;
use startup::Startup;

/// The generation by which a daemon serves, if it knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingGeneration {
    /// The daemon is starting and does not know the newest generation yet. It must not serve.
    Unknown,
    /// The daemon serves by this generation; 0 if operators have not applied any.
    Known(Generation),
}

/// Keeps a daemon's generation of the configuration up to date and spreads it to other daemons.
#[derive(Debug)]
pub struct ConfigurationFollower {
    daemon: DaemonId,
    zone: Zone,
    settings: ConfigurationSettings,
    random: ChaCha8Rng,
    peers: Vec<Peer>,
    current: Option<Arc<ConfigurationRecord>>,
    previous: VecDeque<Arc<ConfigurationRecord>>,
    /// The startup in progress; none once the daemon serves.
    startup: Option<Startup>,
    spread: SpreadTimers,
    switches: Switches,
}

impl ConfigurationFollower {
    /// Creates the follower of a daemon that starts at `now`. `stored` is the last record that the
    /// daemon has on its disk, if any. `seed` determines the random choice of peers.
    pub fn new(
        daemon: DaemonId,
        zone: Zone,
        settings: ConfigurationSettings,
        stored: Option<Arc<ConfigurationRecord>>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let startup = Some(Startup::new(now));
        Self {
            daemon,
            zone,
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            peers: Vec::new(),
            current: stored,
            previous: VecDeque::new(),
            startup,
            spread: SpreadTimers::default(),
            switches: Switches::default(),
        }
    }

    /// The generation by which the daemon may serve.
    pub fn serving_generation(&self) -> ServingGeneration {
        match &self.startup {
            Some(_) => ServingGeneration::Unknown,
            None => ServingGeneration::Known(self.generation()),
        }
    }

    /// The newest record. It is in force once the daemon serves.
    pub fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.current.as_ref()
    }

    /// Earlier records, newest first.
    pub fn previous_records(&self) -> impl Iterator<Item = &Arc<ConfigurationRecord>> {
        self.previous.iter()
    }

    /// Switches a mechanism off, to show that a test fails without it.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Handles an event and returns the driver's actions in order.
    pub fn handle(&mut self, event: FollowerEvent, now: Timestamp) -> Vec<FollowerAction> {
        let mut actions = Vec::new();
        match event {
            FollowerEvent::Peers(peers) => self.on_peers(peers, &mut actions),
            FollowerEvent::ServiceRead(result) => self.on_service_read(result, now, &mut actions),
            FollowerEvent::Watched(bytes) => self.on_value(&bytes, now, &mut actions),
            FollowerEvent::WatchEnded => self.on_watch_ended(now),
            FollowerEvent::Message { from, message } => {
                self.on_message(from, message, now, &mut actions);
            }
            FollowerEvent::Accepted(record) => {
                self.push_record(&record, &mut actions);
                self.adopt(record, now, &mut actions);
            }
            FollowerEvent::Tick => {}
        }
        self.run_timers(now, &mut actions);
        self.finish_startup(now, &mut actions);
        actions
    }

    fn generation(&self) -> Generation {
        self.current.as_ref().map_or(Generation(0), |record| record.generation())
    }

    fn current_id(&self) -> Option<RecordId> {
        self.current.as_ref().map(|record| record.id())
    }

    fn on_service_read(
        &mut self,
        result: Result<Option<Vec<u8>>, ServiceUnavailable>,
        now: Timestamp,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Ok(found) = result else {
            return;
        };
        if let Some(startup) = &mut self.startup {
            startup.service_answered = true;
        }
        if let Some(bytes) = found {
            self.on_value(&bytes, now, actions);
        }
    }

    /// Whether `bytes` are the current record. Most reads return it, so it is not decoded again.
    fn is_current(&self, bytes: &[u8]) -> bool {
        self.current.as_ref().is_some_and(|record| record.bytes() == bytes)
    }

    /// Handles a value of the service's key, which may be stale.
    fn on_value(&mut self, bytes: &[u8], now: Timestamp, actions: &mut Vec<FollowerAction>) {
        if self.is_current(bytes) {
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
        self.adopt(Arc::new(record), now, actions);
    }

    /// Adopts a record if it is newer than the current one.
    fn adopt(
        &mut self,
        record: Arc<ConfigurationRecord>,
        now: Timestamp,
        actions: &mut Vec<FollowerAction>,
    ) {
        let current_id = self.current_id();
        let generation = record.generation();
        if current_id.is_some_and(|id| id.generation == generation && id != record.id()) {
            actions.push(FollowerAction::Report(Anomaly::RecordsDiffer { generation }));
        }
        let checks_generation = self.switches.is_on(Mechanism::GenerationCheck);
        if checks_generation && current_id.is_some_and(|id| id.generation >= generation) {
            return;
        }
        if current_id == Some(record.id()) {
            return;
        }
        if let Some(replaced) = self.current.replace(record.clone()) {
            self.previous.push_front(replaced);
            self.previous.truncate(self.settings.history as usize);
        }
        if self.startup.is_none() {
            actions.push(FollowerAction::Activate(record));
        }
        self.spread.start_rounds(&self.settings, now);
    }

    /// The latest time for the next [`FollowerEvent::Tick`].
    pub fn next_tick(&self, now: Timestamp) -> Timestamp {
        let startup_due =
            self.startup.as_ref().map(|startup| startup.next_due(&self.settings, now));
        let due = self.spread.next_due().min(startup_due.unwrap_or(Timestamp(u64::MAX)));
        due.max(now + Duration::from_millis(1))
    }
}
