//! Simulates many followers in virtual time, over a network with delay, loss and partitions and
//! with a service that has outages and stale reads.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use dahlia_configuration::{
    ConfigurationFollower, ConfigurationRecord, ConfigurationSettings, FollowerAction,
    FollowerEvent, Mechanism, Peer, PeerMessage, ServiceUnavailable, ServingGeneration,
};
use dahlia_types::{DaemonId, Duration, Generation, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::FakeKeyValueService;

const ONE_WAY_DELAY_MILLIS: (u64, u64) = (1, 4);
const SERVICE_DELAY_MILLIS: (u64, u64) = (2, 40);

/// An event in flight to a daemon.
enum Delivery {
    Message { from: DaemonId, message: PeerMessage },
    ServiceRead(Result<Option<Vec<u8>>, ServiceUnavailable>),
    Watched(Vec<u8>),
    WatchEnded,
    Tick,
}

struct SimulatedDaemon {
    follower: ConfigurationFollower,
    zone: Zone,
    incarnation: u32,
    /// The newest generation that this daemon has had in force, over all its incarnations.
    highest_generation: Generation,
    next_tick_at: Timestamp,
}

/// A daemon replaced a generation in force by an older one.
#[derive(Debug, PartialEq)]
pub struct Revert {
    pub daemon: DaemonId,
    pub from: Generation,
    pub to: Generation,
}

pub struct Network {
    pub now: Timestamp,
    pub random: ChaCha8Rng,
    pub service: FakeKeyValueService,
    /// Whether the service does not answer and watches are broken.
    pub outage: bool,
    /// How many versions old the service's answers to reads are.
    pub versions_behind: usize,
    /// The zone that is partitioned from the others.
    pub partitioned_zone: Option<Zone>,
    /// Probability that a message between daemons is lost.
    pub loss: f64,
    pub messages: u64,
    pub service_reads: u64,
    settings: ConfigurationSettings,
    disabled: Option<Mechanism>,
    nodes: BTreeMap<DaemonId, SimulatedDaemon>,
    watchers: BTreeSet<DaemonId>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    deliveries: BTreeMap<u64, (DaemonId, u32, Delivery)>,
    serial: u64,
}

impl Network {
    pub fn new(seed: u64, daemons: u32, zones: u32, disabled: Option<Mechanism>) -> Self {
        let mut network = Self {
            now: Timestamp::ZERO + Duration::from_secs(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            service: FakeKeyValueService::default(),
            outage: false,
            versions_behind: 0,
            partitioned_zone: None,
            loss: 0.0,
            messages: 0,
            service_reads: 0,
            settings: ConfigurationSettings::default(),
            disabled,
            nodes: BTreeMap::new(),
            watchers: BTreeSet::new(),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            serial: 0,
        };
        for number in 0..daemons {
            let zone = Zone::new(format!("zone-{}", number % zones));
            let node = network.new_daemon(DaemonId(number), zone, 1);
            network.nodes.insert(DaemonId(number), node);
        }
        network
    }

    fn new_daemon(&mut self, daemon: DaemonId, zone: Zone, incarnation: u32) -> SimulatedDaemon {
        let (settings, seed) = (self.settings.clone(), self.random.random());
        let mut follower =
            ConfigurationFollower::new(daemon, zone.clone(), settings, None, seed, self.now);
        if let Some(mechanism) = self.disabled {
            follower.disable(mechanism);
        }
        SimulatedDaemon {
            follower,
            zone,
            incarnation,
            highest_generation: Generation(0),
            next_tick_at: Timestamp(u64::MAX),
        }
    }

    pub fn daemons(&self) -> Vec<DaemonId> {
        self.nodes.keys().copied().collect()
    }

    pub fn zone_of(&self, daemon: DaemonId) -> Zone {
        self.nodes[&daemon].zone.clone()
    }

    /// Number of daemons that serve by exactly `generation`.
    pub fn serving(&self, generation: Generation) -> usize {
        let known = ServingGeneration::Known(generation);
        self.nodes.values().filter(|node| node.follower.serving_generation() == known).count()
    }

    /// Starts all daemons.
    pub fn start(&mut self) -> Result<(), Revert> {
        self.daemons().into_iter().try_for_each(|daemon| self.send_peer_list(daemon))
    }

    /// Restarts a daemon with empty memory.
    pub fn restart(&mut self, daemon: DaemonId) -> Result<(), Revert> {
        let (zone, incarnation) = (self.zone_of(daemon), self.nodes[&daemon].incarnation + 1);
        let highest_generation = self.nodes[&daemon].highest_generation;
        let node = self.new_daemon(daemon, zone, incarnation);
        self.nodes.insert(daemon, SimulatedDaemon { highest_generation, ..node });
        self.watchers.remove(&daemon);
        self.send_peer_list(daemon)
    }

    fn send_peer_list(&mut self, daemon: DaemonId) -> Result<(), Revert> {
        let all = self.nodes.iter();
        let peers = all.map(|(daemon, node)| Peer { daemon: *daemon, zone: node.zone.clone() });
        let peers = peers.collect();
        self.handle(daemon, FollowerEvent::Peers(peers))
    }

    /// Writes an operator's change through `daemon`.
    pub fn accept_change(
        &mut self,
        daemon: DaemonId,
        document: &str,
    ) -> Result<Generation, Revert> {
        let record = self.service.accept(&format!("change-{}", self.serial), document);
        self.serial += 1;
        for watcher in self.watchers.clone() {
            let bytes = record.bytes().to_vec();
            self.schedule(watcher, SERVICE_DELAY_MILLIS, Delivery::Watched(bytes));
        }
        let generation = record.generation();
        self.handle(daemon, FollowerEvent::Accepted(record))?;
        Ok(generation)
    }

    /// Begins an outage: watches break and nothing is answered until it ends.
    pub fn begin_outage(&mut self) {
        self.outage = true;
        for watcher in std::mem::take(&mut self.watchers) {
            self.schedule(watcher, SERVICE_DELAY_MILLIS, Delivery::WatchEnded);
        }
        // Values that the watches have not delivered yet are lost with them.
        let is_watched =
            |(_, _, it): &(DaemonId, u32, Delivery)| matches!(it, Delivery::Watched(_));
        self.deliveries.retain(|_, delivery| !is_watched(delivery));
    }

    /// Runs the simulation for `length`.
    pub fn run(&mut self, length: Duration) -> Result<(), Revert> {
        let end = self.now + length;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((to, incarnation, delivery)) = self.deliveries.remove(&serial) {
                self.deliver(to, incarnation, delivery)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn deliver(
        &mut self,
        to: DaemonId,
        incarnation: u32,
        delivery: Delivery,
    ) -> Result<(), Revert> {
        if self.nodes[&to].incarnation != incarnation {
            return Ok(());
        }
        let event = match delivery {
            Delivery::Message { from, message } => FollowerEvent::Message { from, message },
            Delivery::ServiceRead(result) => FollowerEvent::ServiceRead(result),
            Delivery::Watched(bytes) => FollowerEvent::Watched(bytes),
            Delivery::WatchEnded => FollowerEvent::WatchEnded,
            Delivery::Tick if self.nodes[&to].next_tick_at > self.now => return Ok(()),
            Delivery::Tick => FollowerEvent::Tick,
        };
        self.handle(to, event)
    }

    fn handle(&mut self, daemon: DaemonId, event: FollowerEvent) -> Result<(), Revert> {
        let now = self.now;
        let node = self.nodes.get_mut(&daemon).expect("a daemon of this network");
        let actions = node.follower.handle(event, now);
        let next = node.follower.next_tick(now);
        if node.next_tick_at <= now || next < node.next_tick_at {
            node.next_tick_at = next;
            let incarnation = node.incarnation;
            self.push(next, daemon, incarnation, Delivery::Tick);
        }
        actions.into_iter().try_for_each(|action| self.carry_out(daemon, action))
    }

    fn carry_out(&mut self, daemon: DaemonId, action: FollowerAction) -> Result<(), Revert> {
        match action {
            FollowerAction::Send { to, message } => self.send(daemon, to, message),
            FollowerAction::ReadService => {
                self.service_reads += 1;
                let result = self.read();
                self.schedule(daemon, SERVICE_DELAY_MILLIS, Delivery::ServiceRead(result));
            }
            FollowerAction::OpenWatch if self.outage => {
                self.schedule(daemon, SERVICE_DELAY_MILLIS, Delivery::WatchEnded);
            }
            FollowerAction::OpenWatch => {
                self.watchers.insert(daemon);
                if let Ok(Some(bytes)) = self.read() {
                    self.schedule(daemon, SERVICE_DELAY_MILLIS, Delivery::Watched(bytes));
                }
            }
            FollowerAction::CloseWatch => {
                self.watchers.remove(&daemon);
            }
            FollowerAction::Activate(record) => self.record_activation(daemon, &record)?,
            FollowerAction::Ready | FollowerAction::Report(_) => {}
        }
        Ok(())
    }

    fn record_activation(
        &mut self,
        daemon: DaemonId,
        record: &ConfigurationRecord,
    ) -> Result<(), Revert> {
        let generation = record.generation();
        let node = self.nodes.get_mut(&daemon).expect("a daemon of this network");
        if generation < node.highest_generation {
            return Err(Revert { daemon, from: node.highest_generation, to: generation });
        }
        node.highest_generation = generation;
        Ok(())
    }

    fn read(&self) -> Result<Option<Vec<u8>>, ServiceUnavailable> {
        if self.outage {
            return Err(ServiceUnavailable);
        }
        Ok(self.service.read_stale(self.versions_behind).map(|found| found.bytes))
    }

    fn send(&mut self, from: DaemonId, to: DaemonId, message: PeerMessage) {
        self.messages += 1;
        let (one, other) = (self.zone_of(from), self.zone_of(to));
        let is_partitioned = one != other
            && self.partitioned_zone.as_ref().is_some_and(|zone| *zone == one || *zone == other);
        if is_partitioned || self.random.random_bool(self.loss) {
            return;
        }
        self.schedule(to, ONE_WAY_DELAY_MILLIS, Delivery::Message { from, message });
    }

    fn schedule(&mut self, to: DaemonId, delay: (u64, u64), delivery: Delivery) {
        let millis = self.random.random_range(delay.0..=delay.1);
        let incarnation = self.nodes[&to].incarnation;
        self.push(self.now + Duration::from_millis(millis), to, incarnation, delivery);
    }

    fn push(&mut self, at: Timestamp, to: DaemonId, incarnation: u32, delivery: Delivery) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.deliveries.insert(self.serial, (to, incarnation, delivery));
    }
}
