//! Simulated daemons with membership only, in virtual time, with byte counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use dahlia_replication::membership::{
    Action, Envelope, Event, FactKey, Health, MemberInfo, MemberState, Membership,
    MembershipSettings,
};
use dahlia_types::{DaemonId, Duration, Incarnation, Region, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CONFIG: bincode::config::Configuration = bincode::config::standard();
const PORT: u16 = 7_000;
/// Milliseconds since 1970 at the start of a run, so that incarnations have a realistic encoded size.
const START_MS: u64 = 1_800_000_000_000;

/// The number of daemons, of regions, and of zones in each region.
#[derive(Debug, Clone, Copy)]
pub struct Topology {
    pub daemons: u32,
    pub regions: u32,
    pub zones_per_region: u32,
}

pub struct Node {
    pub membership: Membership,
    pub is_running: bool,
    pub paused_until: Timestamp,
    pub superseded: bool,
    pub bytes_sent: u64,
    pub messages_sent: u64,
}

enum SimulationEvent {
    Deliver(DaemonId, Envelope),
    Tick(DaemonId),
}

pub struct MembershipCluster {
    pub now: Timestamp,
    pub nodes: BTreeMap<DaemonId, Node>,
    pub loss: f64,
    pub cuts: BTreeSet<(DaemonId, DaemonId)>,
    pub largest_message: usize,
    /// Bytes sent to daemons in other zones.
    pub cross_zone_bytes: u64,
    /// The number of sent messages with documents.
    pub documents_sent: u64,
    /// The additional latency of messages with documents.
    pub document_delay: Duration,
    /// How often a daemon started to suspect another one.
    pub suspicions: u64,
    /// Whether sent messages are also recorded.
    pub records_messages: bool,
    pub recorded_messages: Vec<Envelope>,
    settings: MembershipSettings,
    holds_groups: fn(DaemonId) -> bool,
    topology: Topology,
    random: ChaCha8Rng,
    events: BTreeMap<(Timestamp, u64), SimulationEvent>,
    next_event: u64,
    incarnations_started: u64,
}

impl MembershipCluster {
    pub fn new(topology: Topology, settings: MembershipSettings, seed: u64) -> Self {
        Self::with_holders(topology, settings, seed, |_| true)
    }

    /// Like [`Self::new`], but only some daemons hold groups.
    pub fn with_holders(
        topology: Topology,
        settings: MembershipSettings,
        seed: u64,
        holds_groups: fn(DaemonId) -> bool,
    ) -> Self {
        let mut cluster = Self {
            holds_groups,
            now: Timestamp(START_MS * 1_000),
            nodes: BTreeMap::new(),
            loss: 0.0,
            cuts: BTreeSet::new(),
            largest_message: 0,
            cross_zone_bytes: 0,
            documents_sent: 0,
            document_delay: Duration::ZERO,
            suspicions: 0,
            records_messages: false,
            recorded_messages: Vec::new(),
            settings,
            topology,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_event: 0,
            incarnations_started: 0,
        };
        for daemon in 1..=topology.daemons {
            cluster.start(DaemonId(daemon));
        }
        cluster
    }

    pub fn info(&self, daemon: DaemonId, incarnation: u64) -> MemberInfo {
        let region = daemon.0 % self.topology.regions;
        let zone = daemon.0 / self.topology.regions % self.topology.zones_per_region;
        MemberInfo {
            daemon,
            incarnation: Incarnation(START_MS + incarnation),
            address: address(daemon),
            zone: Zone(format!("zone-{region}-{zone}")),
            region: Region(format!("region-{region}")),
            state: MemberState::Live,
            holds_groups: (self.holds_groups)(daemon),
        }
    }

    /// Starts a daemon, or restarts it as a new incarnation.
    pub fn start(&mut self, daemon: DaemonId) {
        self.incarnations_started += 1;
        let own = self.info(daemon, self.incarnations_started);
        self.start_as(own, 0);
    }

    /// Restarts a daemon that kept its disk, and so its incarnation.
    pub fn start_with_disk(&mut self, daemon: DaemonId, start_count: u32) {
        let own = self.nodes[&daemon].membership.own().clone();
        self.start_as(own, start_count);
    }

    fn start_as(&mut self, own: MemberInfo, start_count: u32) {
        let daemon = own.daemon;
        let seeds = (1..=3).map(|seed| address(DaemonId(seed))).collect();
        let mut membership =
            Membership::new(own, seeds, self.settings.clone(), self.incarnations_started, self.now);
        membership.set_start_count(start_count);
        let node = Node {
            membership,
            is_running: true,
            paused_until: Timestamp::ZERO,
            superseded: false,
            bytes_sent: 0,
            messages_sent: 0,
        };
        self.nodes.insert(daemon, node);
        let jitter = Duration(self.random.random_range(0..1_000_000));
        self.schedule(self.now + jitter, SimulationEvent::Tick(daemon));
    }

    /// Makes a daemon contact the addresses of all, as if it had stored them before its restart.
    pub fn contact_all_previous_peers(&mut self, daemon: DaemonId) {
        let all: Vec<SocketAddr> = self.nodes.keys().map(|daemon| address(*daemon)).collect();
        self.node_mut(daemon.0).membership.contact_previous_peers(all);
    }

    pub fn kill(&mut self, daemon: DaemonId) {
        self.nodes.get_mut(&daemon).expect("daemon exists").is_running = false;
    }

    /// Cuts all links between two sets of daemons, both ways.
    pub fn cut(&mut self, is_inside: impl Fn(&MemberInfo) -> bool) {
        let infos: Vec<MemberInfo> =
            self.nodes.values().map(|node| node.membership.own().clone()).collect();
        for one in &infos {
            for other in &infos {
                if is_inside(one) != is_inside(other) {
                    self.cuts.insert((one.daemon, other.daemon));
                }
            }
        }
    }

    pub fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > end {
                break;
            }
            let ((at, _), event) = self.events.pop_first().expect("the queue is not empty");
            self.now = at;
            match event {
                SimulationEvent::Deliver(daemon, message) => self.deliver(daemon, message),
                SimulationEvent::Tick(daemon) => self.tick(daemon),
            }
        }
        self.now = end;
    }

    /// Runs until `condition` holds; returns how long it took.
    pub fn run_until_holds(
        &mut self,
        max_wait: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < max_wait {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Duration::from_millis(100));
        }
        condition(self).then_some(max_wait)
    }

    fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn deliver(&mut self, daemon: DaemonId, message: Envelope) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&daemon).filter(|node| node.is_running) else {
            return;
        };
        if node.paused_until > now {
            let until = node.paused_until;
            self.schedule(until, SimulationEvent::Deliver(daemon, message));
            return;
        }
        let actions = node.membership.handle(Event::Received(message), now);
        self.carry_out(daemon, actions);
    }

    fn tick(&mut self, daemon: DaemonId) {
        let now = self.now;
        let node = self.nodes.get_mut(&daemon).expect("daemon exists");
        if !node.is_running {
            return;
        }
        if node.paused_until > now {
            let until = node.paused_until;
            self.schedule(until, SimulationEvent::Tick(daemon));
            return;
        }
        let actions = node.membership.handle(Event::Tick, now);
        let next = node.membership.next_deadline().max(now + Duration::from_millis(10));
        // Updates that arrive in the meantime must not wait for a distant deadline.
        let next = next.min(now + Duration::from_millis(100));
        self.schedule(next, SimulationEvent::Tick(daemon));
        self.carry_out(daemon, actions);
    }

    pub fn carry_out(&mut self, daemon: DaemonId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(daemon, to, message),
                Action::Superseded { .. } => {
                    self.nodes.get_mut(&daemon).expect("daemon exists").superseded = true;
                }
                Action::MemberChanged(record) => {
                    self.suspicions += u64::from(record.health == Health::Suspect);
                }
                Action::FactChanged(_) => {}
            }
        }
    }

    fn send(&mut self, from: DaemonId, to: SocketAddr, message: Envelope) {
        let bytes = bincode::serde::encode_to_vec(&message, CONFIG).expect("encodes").len();
        self.largest_message = self.largest_message.max(bytes);
        let node = self.nodes.get_mut(&from).expect("daemon exists");
        node.bytes_sent += bytes as u64;
        node.messages_sent += 1;
        if self.records_messages {
            self.recorded_messages.push(message.clone());
        }
        let to = daemon_at(to);
        let zone = |daemon: &DaemonId| {
            self.nodes.get(daemon).map(|node| node.membership.own().zone.clone())
        };
        if zone(&from) != zone(&to) {
            self.cross_zone_bytes += bytes as u64;
        }
        if self.cuts.contains(&(from, to)) || self.random.random_bool(self.loss) {
            return;
        }
        let is_far = from.0 % self.topology.regions != to.0 % self.topology.regions;
        let base = if is_far { 30_000 } else { 1_000 };
        let mut delay = Duration(base + self.random.random_range(0..1_000));
        if message.has_documents() {
            self.documents_sent += 1;
            delay = Duration(delay.0 + self.document_delay.0);
        }
        self.schedule(self.now + delay, SimulationEvent::Deliver(to, message));
    }

    pub fn node(&self, daemon: u32) -> &Node {
        &self.nodes[&DaemonId(daemon)]
    }

    pub fn node_mut(&mut self, daemon: u32) -> &mut Node {
        self.nodes.get_mut(&DaemonId(daemon)).expect("daemon exists")
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| node.is_running)
    }

    /// The health of a daemon in the view of each other running daemon.
    pub fn healths_seen_by_others(&self, daemon: u32) -> Vec<Option<Health>> {
        let others = self.running().filter(|node| node.membership.own().daemon.0 != daemon);
        others
            .map(|node| node.membership.member(DaemonId(daemon)).map(|member| member.record.health))
            .collect()
    }

    /// Whether every running daemon considers every other running one, in its present incarnation,
    /// alive.
    pub fn is_complete(&self) -> bool {
        let running: Vec<MemberInfo> =
            self.running().map(|node| node.membership.own().clone()).collect();
        self.running().all(|node| {
            running.iter().filter(|info| info.daemon != node.membership.own().daemon).all(|info| {
                node.membership.member(info.daemon).is_some_and(|member| {
                    member.record.health == Health::Alive
                        && member.record.info.incarnation == info.incarnation
                })
            })
        })
    }

    /// How often a running daemon considers another running daemon dead.
    pub fn count_wrongly_dead(&self) -> usize {
        let is_running = |daemon: &DaemonId| self.nodes[daemon].is_running;
        let views = self.running().flat_map(|node| node.membership.members());
        views
            .filter(|member| {
                member.record.health == Health::Dead && is_running(&member.record.info.daemon)
            })
            .count()
    }

    pub fn publish(&mut self, daemon: u32, key: FactKey, version: u64, bytes: usize) -> bool {
        let payload = vec![version as u8; bytes];
        self.node_mut(daemon).membership.publish(key, version, payload)
    }

    /// The number of running daemons that have a version of a fact.
    pub fn count_knowing(&self, key: &FactKey, version: u64) -> usize {
        let knows =
            |node: &&Node| node.membership.fact(key).is_some_and(|fact| fact.version == version);
        self.running().filter(knows).count()
    }

    pub fn reset_counters(&mut self) {
        for node in self.nodes.values_mut() {
            node.bytes_sent = 0;
            node.messages_sent = 0;
        }
    }
}

fn address(daemon: DaemonId) -> SocketAddr {
    let [_, _, high, low] = daemon.0.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), PORT))
}

fn daemon_at(address: SocketAddr) -> DaemonId {
    let SocketAddr::V4(address) = address else { panic!("only IPv4 here") };
    let [_, _, high, low] = address.ip().octets();
    DaemonId(u32::from_be_bytes([0, 0, high, low]))
}
