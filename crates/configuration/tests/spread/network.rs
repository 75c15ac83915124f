//! Many followers in virtual time over a network with delay, loss and cuts, and a service that
//! has outages and answers with older data.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use dahlia_configuration::{
    ConfigurationFollower, ConfigurationRecord, ConfigurationSettings, FollowerAction,
    FollowerEvent, Mechanism, Peer, PeerMessage, ServiceUnavailable, ServingGeneration,
};
use dahlia_types::{DaemonId, Duration, Generation, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::Service;

const ONE_WAY_MILLIS: (u64, u64) = (1, 4);
const SERVICE_MILLIS: (u64, u64) = (2, 40);

enum Delivery {
    Message { from: DaemonId, message: PeerMessage },
    Service(Result<Option<Vec<u8>>, ServiceUnavailable>),
    Watched(Vec<u8>),
    WatchEnded,
    Tick,
}

struct Node {
    follower: ConfigurationFollower,
    zone: Zone,
    life: u32,
    /// The newest generation that this daemon ever had in force, over all its lives.
    highest: Generation,
    tick_at: Timestamp,
}

/// A daemon had a generation in force after a newer one.
#[derive(Debug, PartialEq)]
pub struct Revert {
    pub daemon: DaemonId,
    pub from: Generation,
    pub to: Generation,
}

pub struct Network {
    pub now: Timestamp,
    pub random: ChaCha8Rng,
    pub service: Service,
    /// The service does not answer and watches are broken.
    pub outage: bool,
    /// The service answers reads with data that is this many generations old.
    pub behind: usize,
    /// The zone that is cut off from the others.
    pub cut: Option<Zone>,
    /// Chance that a message between daemons is lost.
    pub loss: f64,
    pub messages: u64,
    pub service_reads: u64,
    settings: ConfigurationSettings,
    off: Option<Mechanism>,
    nodes: BTreeMap<DaemonId, Node>,
    watchers: BTreeSet<DaemonId>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    deliveries: BTreeMap<u64, (DaemonId, u32, Delivery)>,
    serial: u64,
}

impl Network {
    pub fn new(seed: u64, daemons: u32, zones: u32, off: Option<Mechanism>) -> Self {
        let mut network = Self {
            now: Timestamp::ZERO + Duration::from_secs(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            service: Service::default(),
            outage: false,
            behind: 0,
            cut: None,
            loss: 0.0,
            messages: 0,
            service_reads: 0,
            settings: ConfigurationSettings::default(),
            off,
            nodes: BTreeMap::new(),
            watchers: BTreeSet::new(),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            serial: 0,
        };
        for number in 0..daemons {
            let zone = Zone::new(format!("zone-{}", number % zones));
            let node = network.node(DaemonId(number), zone, 1);
            network.nodes.insert(DaemonId(number), node);
        }
        network
    }

    fn node(&mut self, daemon: DaemonId, zone: Zone, life: u32) -> Node {
        let (settings, seed) = (self.settings.clone(), self.random.random());
        let mut follower =
            ConfigurationFollower::new(daemon, zone.clone(), settings, None, seed, self.now);
        if let Some(mechanism) = self.off {
            follower.disable(mechanism);
        }
        Node { follower, zone, life, highest: Generation(0), tick_at: Timestamp(u64::MAX) }
    }

    pub fn daemons(&self) -> Vec<DaemonId> {
        self.nodes.keys().copied().collect()
    }

    pub fn zone_of(&self, daemon: DaemonId) -> Zone {
        self.nodes[&daemon].zone.clone()
    }

    /// Daemons that serve by exactly `generation`.
    pub fn serving(&self, generation: Generation) -> usize {
        let known = ServingGeneration::Known(generation);
        self.nodes.values().filter(|node| node.follower.serving_generation() == known).count()
    }

    /// Starts all daemons.
    pub fn start(&mut self) -> Result<(), Revert> {
        self.daemons().into_iter().try_for_each(|daemon| self.tell_peers(daemon))
    }

    /// Replaces a daemon by one with empty memory.
    pub fn restart(&mut self, daemon: DaemonId) -> Result<(), Revert> {
        let (zone, life) = (self.zone_of(daemon), self.nodes[&daemon].life + 1);
        let highest = self.nodes[&daemon].highest;
        let node = self.node(daemon, zone, life);
        self.nodes.insert(daemon, Node { highest, ..node });
        self.watchers.remove(&daemon);
        self.tell_peers(daemon)
    }

    fn tell_peers(&mut self, daemon: DaemonId) -> Result<(), Revert> {
        let all = self.nodes.iter();
        let peers = all.map(|(daemon, node)| Peer { daemon: *daemon, zone: node.zone.clone() });
        let peers = peers.collect();
        self.handle(daemon, FollowerEvent::Peers(peers))
    }

    /// An operator's change through `daemon`.
    pub fn accept(&mut self, daemon: DaemonId, document: &str) -> Result<Generation, Revert> {
        let record = self.service.accept(&format!("change-{}", self.serial), document);
        self.serial += 1;
        for watcher in self.watchers.clone() {
            let bytes = record.bytes().to_vec();
            self.schedule(watcher, SERVICE_MILLIS, Delivery::Watched(bytes));
        }
        let generation = record.generation();
        self.handle(daemon, FollowerEvent::Accepted(record))?;
        Ok(generation)
    }

    /// Begins an outage: watches break and nothing is answered until it ends.
    pub fn begin_outage(&mut self) {
        self.outage = true;
        for watcher in std::mem::take(&mut self.watchers) {
            self.schedule(watcher, SERVICE_MILLIS, Delivery::WatchEnded);
        }
        // What the watches had not delivered yet is lost with them.
        let is_watched =
            |(_, _, it): &(DaemonId, u32, Delivery)| matches!(it, Delivery::Watched(_));
        self.deliveries.retain(|_, delivery| !is_watched(delivery));
    }

    /// Lets `length` pass.
    pub fn run(&mut self, length: Duration) -> Result<(), Revert> {
        let end = self.now + length;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((to, life, delivery)) = self.deliveries.remove(&serial) {
                self.deliver(to, life, delivery)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn deliver(&mut self, to: DaemonId, life: u32, delivery: Delivery) -> Result<(), Revert> {
        if self.nodes[&to].life != life {
            return Ok(());
        }
        let event = match delivery {
            Delivery::Message { from, message } => FollowerEvent::Message { from, message },
            Delivery::Service(result) => FollowerEvent::ServiceRead(result),
            Delivery::Watched(bytes) => FollowerEvent::Watched(bytes),
            Delivery::WatchEnded => FollowerEvent::WatchEnded,
            Delivery::Tick if self.nodes[&to].tick_at > self.now => return Ok(()),
            Delivery::Tick => FollowerEvent::Tick,
        };
        self.handle(to, event)
    }

    fn handle(&mut self, daemon: DaemonId, event: FollowerEvent) -> Result<(), Revert> {
        let now = self.now;
        let node = self.nodes.get_mut(&daemon).expect("a daemon of this network");
        let actions = node.follower.handle(event, now);
        let next = node.follower.next_tick(now);
        if node.tick_at <= now || next < node.tick_at {
            node.tick_at = next;
            let life = node.life;
            self.push(next, daemon, life, Delivery::Tick);
        }
        actions.into_iter().try_for_each(|action| self.carry_out(daemon, action))
    }

    fn carry_out(&mut self, daemon: DaemonId, action: FollowerAction) -> Result<(), Revert> {
        match action {
            FollowerAction::Send { to, message } => self.send(daemon, to, message),
            FollowerAction::ReadService => {
                self.service_reads += 1;
                let result = self.read();
                self.schedule(daemon, SERVICE_MILLIS, Delivery::Service(result));
            }
            FollowerAction::OpenWatch if self.outage => {
                self.schedule(daemon, SERVICE_MILLIS, Delivery::WatchEnded);
            }
            FollowerAction::OpenWatch => {
                self.watchers.insert(daemon);
                if let Ok(Some(bytes)) = self.read() {
                    self.schedule(daemon, SERVICE_MILLIS, Delivery::Watched(bytes));
                }
            }
            FollowerAction::CloseWatch => {
                self.watchers.remove(&daemon);
            }
            FollowerAction::Activate(record) => self.in_force(daemon, &record)?,
            FollowerAction::Ready | FollowerAction::Report(_) => {}
        }
        Ok(())
    }

    fn in_force(&mut self, daemon: DaemonId, record: &ConfigurationRecord) -> Result<(), Revert> {
        let generation = record.generation();
        let node = self.nodes.get_mut(&daemon).expect("a daemon of this network");
        if generation < node.highest {
            return Err(Revert { daemon, from: node.highest, to: generation });
        }
        node.highest = generation;
        Ok(())
    }

    fn read(&self) -> Result<Option<Vec<u8>>, ServiceUnavailable> {
        if self.outage {
            return Err(ServiceUnavailable);
        }
        Ok(self.service.read_older(self.behind).map(|found| found.bytes))
    }

    fn send(&mut self, from: DaemonId, to: DaemonId, message: PeerMessage) {
        self.messages += 1;
        let (one, other) = (self.zone_of(from), self.zone_of(to));
        let is_cut =
            one != other && self.cut.as_ref().is_some_and(|cut| *cut == one || *cut == other);
        if is_cut || self.random.random_bool(self.loss) {
            return;
        }
        self.schedule(to, ONE_WAY_MILLIS, Delivery::Message { from, message });
    }

    fn schedule(&mut self, to: DaemonId, delay: (u64, u64), delivery: Delivery) {
        let millis = self.random.random_range(delay.0..=delay.1);
        let life = self.nodes[&to].life;
        self.push(self.now + Duration::from_millis(millis), to, life, delivery);
    }

    fn push(&mut self, at: Timestamp, to: DaemonId, life: u32, delivery: Delivery) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.deliveries.insert(self.serial, (to, life, delivery));
    }
}
