//! Simulation of the daemons of a region that share loads, in virtual time, with links that lose, duplicate and
//! delay messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use dahlia_node::load_sharing::{
    ItemLoad, LoadAction, LoadMessage, LoadSharing, LoadSharingSettings, LoadSharingStatus,
    PeerLoads, SharingMembers,
};
use dahlia_types::{DaemonId, Duration, Incarnation, ReplicaId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An item at which every daemon has an attempt.
pub const SHARED_ITEM: u64 = 1 << 40;
/// Multiplier that spreads the numbers of servers like hashes.
const ITEM_HASH: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of servers at which one daemon has attempts.
const SERVERS_PER_DAEMON: u64 = 24;
const START: Timestamp = Timestamp(60_000_000);
const STEP: Duration = Duration::from_millis(10);
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Tokens that arrive at a daemon between two of its reports, for each item.
const TOKENS_PER_REPORT: u32 = 3;

/// A fault of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Dead,
    /// It does nothing, and handles the messages that arrived meanwhile once it runs again.
    Frozen,
    /// Its build is older: it drops messages about loads and sends none.
    OlderBuild,
    /// All messages from it and to it are lost.
    CutOff,
    /// It no longer reports loads, and still receives messages.
    SwitchedOff,
}

/// Messages sent and received by a daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub messages_sent: u64,
    pub bytes_sent: u64,
    pub messages_received: u64,
}

/// Maximum age of the loads that healthy daemons have known of each other.
#[derive(Debug, Clone, Copy, Default)]
pub struct MaxAge {
    pub in_zone: Duration,
    pub in_region: Duration,
}

struct Daemon {
    zone: u32,
    incarnation: Incarnation,
    sharing: LoadSharing,
    fault: Fault,
    shared_attempts: u32,
    reaches_groups: bool,
    /// The loads of other daemons as it knows them, by item.
    view: BTreeMap<u64, ItemLoad>,
    /// When the load that it knows of another daemon's own item was measured.
    known_as_of: BTreeMap<u32, Timestamp>,
    /// When its view last covered each server, in the order of servers.
    server_updated_at: Vec<Timestamp>,
    dead: BTreeSet<u32>,
    frozen_inbox: VecDeque<(ReplicaId, LoadMessage)>,
    held_back: Option<Vec<(SocketAddr, LoadMessage, ReplicaId)>>,
    cost: Cost,
    tokens_reported: u64,
    tokens_received: u64,
    received: Vec<LoadMessage>,
}

struct InTransit {
    arrives_at: Timestamp,
    from: ReplicaId,
    to: u32,
    message: LoadMessage,
}

/// Faults that links inject into messages.
struct LinkFaults {
    random: ChaCha8Rng,
    lost_percent: u32,
    duplicated_percent: u32,
    max_delay: Duration,
}

/// Daemons of some zones of one region, with the links between them.
pub struct Region {
    now: Timestamp,
    settings: LoadSharingSettings,
    daemons: BTreeMap<u32, Daemon>,
    in_transit: Vec<InTransit>,
    cuts: BTreeSet<(u32, u32)>,
    isolated_zones: BTreeSet<u32>,
    link_faults: LinkFaults,
    servers: Vec<u64>,
    is_idle: bool,
    has_streams: bool,
    max_age: MaxAge,
    max_server_age: Duration,
    longest_message: usize,
}

pub fn address(daemon: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 9))
}

fn daemon_number(address: SocketAddr) -> u32 {
    let SocketAddr::V4(address) = address else { unreachable!("all are") };
    let [.., high, low] = address.ip().octets();
    u32::from(high) << 8 | u32::from(low)
}

fn sharing(settings: &LoadSharingSettings, daemon: u32, incarnation: Incarnation) -> LoadSharing {
    let own = ReplicaId { daemon: DaemonId(daemon), incarnation };
    LoadSharing::new(settings.clone(), own, address(daemon))
}

fn bytes(message: &LoadMessage) -> usize {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("plain fields").len()
}

impl Region {
    /// Creates `zones` zones of `daemons` daemons each, and lets them settle.
    pub fn settled(zones: u32, daemons: u32) -> Self {
        let settings = LoadSharingSettings::default();
        let daemon = |number: u32| Daemon {
            zone: (number - 1) % zones,
            incarnation: Incarnation(1),
            sharing: sharing(&settings, number, Incarnation(1)),
            fault: Fault::None,
            shared_attempts: 1,
            reaches_groups: false,
            view: BTreeMap::new(),
            known_as_of: BTreeMap::new(),
            server_updated_at: Vec::new(),
            dead: BTreeSet::new(),
            frozen_inbox: VecDeque::new(),
            held_back: None,
            cost: Cost::default(),
            tokens_reported: 0,
            tokens_received: 0,
            received: Vec::new(),
        };
        let daemons = (1..=zones * daemons).map(|number| (number, daemon(number))).collect();
        let link_faults = LinkFaults {
            random: ChaCha8Rng::seed_from_u64(0),
            lost_percent: 0,
            duplicated_percent: 0,
            max_delay: Duration::ZERO,
        };
        let mut region = Self {
            now: START,
            daemons,
            settings,
            in_transit: Vec::new(),
            cuts: BTreeSet::new(),
            isolated_zones: BTreeSet::new(),
            link_faults,
            servers: Vec::new(),
            is_idle: false,
            has_streams: false,
            max_age: MaxAge::default(),
            max_server_age: Duration::ZERO,
            longest_message: 0,
        };
        region.pass(SETTLING_TIME);
        region.reset_max_ages();
        region
    }

    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for number in self.all_daemons() {
                let tell_ms = self.settings.tell_ms;
                // Daemons start at different phases of the report interval.
                let phase = u64::from(number) * 7 % tell_ms / 10 * 10;
                if self.now.0 / 1_000 % tell_ms == phase {
                    self.report_loads(number);
                }
            }
            self.update_max_ages();
        }
    }

    pub fn settings(&self) -> &LoadSharingSettings {
        &self.settings
    }

    pub fn all_daemons(&self) -> Vec<u32> {
        self.daemons.keys().copied().collect()
    }

    pub fn healthy_daemons(&self) -> Vec<u32> {
        let healthy = self.daemons.iter().filter(|(_, daemon)| daemon.fault == Fault::None);
        healthy.map(|(number, _)| *number).collect()
    }

    pub fn daemons_of_zone(&self, zone: u32) -> Vec<u32> {
        let of_zone = self.daemons.iter().filter(|(_, daemon)| daemon.zone == zone);
        of_zone.map(|(number, _)| *number).collect()
    }

    pub fn other_daemons(&self, excluded: u32) -> Vec<u32> {
        self.all_daemons().into_iter().filter(|number| *number != excluded).collect()
    }

    /// The load of other daemons at an item, as a daemon knows it.
    pub fn known_load(&self, daemon: u32, item: u64) -> ItemLoad {
        self.daemons[&daemon].view.get(&item).copied().unwrap_or(ItemLoad::none(item))
    }

    /// Aggregator of a daemon; none if it aggregates for itself.
    pub fn aggregator(&self, daemon: u32) -> Option<u32> {
        self.daemons[&daemon].sharing.status(self.now).aggregator.map(|daemon| daemon.0)
    }

    pub fn aggregator_of_zone(&self, zone: u32) -> u32 {
        let is_aggregator = |number: &u32| self.aggregator(*number).is_none();
        self.daemons_of_zone(zone)
            .into_iter()
            .find(is_aggregator)
            .expect("a zone has an aggregator")
    }

    /// Number of daemons of a zone that have followers.
    pub fn aggregator_count(&self, zone: u32) -> usize {
        let followers = |number: u32| self.daemons[&number].sharing.status(self.now).followers;
        self.daemons_of_zone(zone).into_iter().filter(|number| followers(*number) > 0).count()
    }

    pub fn reaching(&self, daemon: u32) -> BTreeSet<u32> {
        let status = self.daemons[&daemon].sharing.status(self.now);
        status.reaching.iter().map(|daemon| daemon.0).collect()
    }

    pub fn set_reaching(&mut self, reaching: &BTreeSet<u32>) {
        for (number, daemon) in &mut self.daemons {
            daemon.reaches_groups = reaching.contains(number);
        }
    }

    pub fn inject_fault(&mut self, daemon: u32, fault: Fault) {
        self.daemon(daemon).fault = fault;
    }

    /// Switches sharing off in the settings of a daemon. Without `stops`, the driver fails to stop it.
    pub fn switch_off(&mut self, number: u32, stops: bool) {
        let daemon = self.daemon(number);
        daemon.fault = Fault::SwitchedOff;
        if stops {
            daemon.sharing.stop();
        }
        self.run_actions(number);
    }

    pub fn status(&self, daemon: u32) -> LoadSharingStatus {
        self.daemons[&daemon].sharing.status(self.now)
    }

    pub fn clear_fault(&mut self, number: u32) {
        self.daemon(number).fault = Fault::None;
        while let Some((from, message)) = self.daemon(number).frozen_inbox.pop_front() {
            self.receive(number, from, message);
        }
    }

    /// Marks a daemon as dead in the membership of all others.
    pub fn mark_dead(&mut self, dead: u32) {
        for (_, daemon) in self.daemons.iter_mut().filter(|(number, _)| **number != dead) {
            daemon.dead.insert(dead);
        }
    }

    pub fn mark_live(&mut self, live: u32) {
        for daemon in self.daemons.values_mut() {
            daemon.dead.remove(&live);
        }
    }

    /// Marks a daemon as dead in the membership of one other daemon.
    pub fn mark_dead_at(&mut self, daemon: u32, dead: u32) {
        self.daemon(daemon).dead.insert(dead);
    }

    pub fn cut_link(&mut self, one: u32, other: u32) {
        self.cuts.extend([(one, other), (other, one)]);
    }

    pub fn restore_link(&mut self, one: u32, other: u32) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    pub fn isolate_zone(&mut self, zone: u32) {
        self.isolated_zones.insert(zone);
    }

    pub fn reconnect_zone(&mut self, zone: u32) {
        self.isolated_zones.remove(&zone);
    }

    /// Holds back the messages that a daemon sends until it restarts.
    pub fn hold_back(&mut self, daemon: u32) {
        self.daemon(daemon).held_back = Some(Vec::new());
    }

    /// Restarts a daemon with a new incarnation. Messages held back of the previous one are still delivered.
    pub fn restart(&mut self, number: u32) {
        let settings = self.settings.clone();
        let daemon = self.daemon(number);
        daemon.incarnation = Incarnation(daemon.incarnation.0 + 1);
        daemon.sharing = sharing(&settings, number, daemon.incarnation);
        daemon.view.clear();
        let held_back = daemon.held_back.take().unwrap_or_default();
        // They arrive after messages of the new incarnation.
        let arrives_at = self.now + Duration::from_millis(400);
        for (to, message, from) in held_back {
            self.in_transit.push(InTransit { arrives_at, from, to: daemon_number(to), message });
        }
    }

    pub fn set_shared_attempts(&mut self, daemon: u32, in_flight: u32) {
        self.daemon(daemon).shared_attempts = in_flight;
    }

    /// Sets the faults of all links from now on.
    pub fn set_link_faults(
        &mut self,
        seed: u64,
        lost_percent: u32,
        duplicated_percent: u32,
        max_delay: Duration,
    ) {
        let random = ChaCha8Rng::seed_from_u64(seed);
        self.link_faults = LinkFaults { random, lost_percent, duplicated_percent, max_delay };
    }

    /// Removes the load of all daemons.
    pub fn remove_loads(&mut self) {
        self.is_idle = true;
    }

    /// Adds attempts of each daemon at some of `servers` servers.
    pub fn add_server_loads(&mut self, servers: u64) {
        self.servers = (1..=servers).map(|server| server.wrapping_mul(ITEM_HASH)).collect();
        self.servers.sort_unstable();
        let server_updated_at = vec![self.now; self.servers.len()];
        self.daemons
            .values_mut()
            .for_each(|daemon| daemon.server_updated_at = server_updated_at.clone());
    }

    /// Sets whether tokens arrive. Starting resets the counts of tokens.
    pub fn set_streaming(&mut self, has_streams: bool) {
        self.has_streams = has_streams;
        if has_streams {
            let reset =
                |daemon: &mut Daemon| (daemon.tokens_reported, daemon.tokens_received) = (0, 0);
            self.daemons.values_mut().for_each(reset);
        }
    }

    pub fn tokens_reported(&self, daemon: u32) -> u64 {
        self.daemons[&daemon].tokens_reported
    }

    pub fn tokens_received(&self, daemon: u32) -> u64 {
        self.daemons[&daemon].tokens_received
    }

    pub fn reset_max_ages(&mut self) {
        self.max_age = MaxAge::default();
        self.max_server_age = Duration::ZERO;
    }

    pub fn max_age(&self) -> MaxAge {
        self.max_age
    }

    /// Maximum time between two updates of a server in the view of a daemon.
    pub fn max_server_age(&self) -> Duration {
        self.max_server_age
    }

    pub fn reset_costs(&mut self) {
        self.daemons.values_mut().for_each(|daemon| daemon.cost = Cost::default());
    }

    pub fn cost(&self, daemon: u32) -> Cost {
        self.daemons[&daemon].cost
    }

    /// Size of the longest message so far, in bytes.
    pub fn longest_message(&self) -> usize {
        self.longest_message
    }

    /// Delivers a message made up by a test at once.
    pub fn inject(&mut self, to: u32, from: u32, message: LoadMessage) {
        let incarnation = self.daemons[&from].incarnation;
        self.receive(to, ReplicaId { daemon: DaemonId(from), incarnation }, message);
    }

    /// Messages received by some follower.
    pub fn messages_received_by_follower(
        &self,
        is_wanted: impl Fn(&LoadMessage) -> bool,
    ) -> Vec<LoadMessage> {
        let follows = |number: &u32| self.aggregator(*number).is_some();
        let number = self.all_daemons().into_iter().find(follows).expect("there is a follower");
        let received = self.daemons[&number].received.iter();
        received.filter(|message| is_wanted(message)).cloned().collect()
    }

    fn daemon(&mut self, number: u32) -> &mut Daemon {
        self.daemons.get_mut(&number).expect("it exists")
    }

    fn report_loads(&mut self, number: u32) {
        if matches!(
            self.daemons[&number].fault,
            Fault::Dead | Fault::Frozen | Fault::OlderBuild | Fault::SwitchedOff
        ) {
            return;
        }
        let now = self.now;
        let loads = self.loads(number);
        let members = self.members(number);
        let daemon = self.daemon(number);
        daemon.tokens_reported +=
            loads.iter().map(|load| u64::from(load.timed_tokens)).sum::<u64>();
        if daemon.sharing.is_review_due(now) {
            daemon.sharing.review(members, now);
        }
        daemon.sharing.update_own_loads(&loads, now);
        self.run_actions(number);
    }

    fn loads(&self, number: u32) -> Vec<ItemLoad> {
        if self.is_idle {
            return Vec::new();
        }
        let daemon = &self.daemons[&number];
        let timed_tokens = if self.has_streams { TOKENS_PER_REPORT } else { 0 };
        let times = ItemLoad { timed_tokens, timed_micros: 1_000, ..ItemLoad::default() };
        let millis = (self.now.0 / 1_000) as u32;
        let own = ItemLoad { item: number.into(), in_flight: 1, tokens: millis, ..times };
        let shared =
            ItemLoad { item: SHARED_ITEM, in_flight: daemon.shared_attempts, tokens: 100, ..times };
        let server = |index: u64| {
            let index = u64::from(number) * SERVERS_PER_DAEMON + index * 11;
            let item = self.servers[(index % self.servers.len() as u64) as usize];
            ItemLoad { item, in_flight: 3, tokens: 10_000 + millis % 1_000, ..times }
        };
        let indices = 0..SERVERS_PER_DAEMON.min(self.servers.len() as u64);
        let servers: BTreeMap<u64, ItemLoad> =
            indices.map(server).map(|load| (load.item, load)).collect();
        [own, shared].into_iter().chain(servers.into_values()).collect()
    }

    fn members(&self, number: u32) -> SharingMembers {
        let own = &self.daemons[&number];
        let mut zones: BTreeMap<u32, Vec<(DaemonId, SocketAddr)>> = BTreeMap::new();
        for (other, daemon) in self.daemons.iter().filter(|(other, _)| !own.dead.contains(other)) {
            zones.entry(daemon.zone).or_default().push((DaemonId(*other), address(*other)));
        }
        let zone = zones.remove(&own.zone).unwrap_or_default();
        let others = zones.into_values().collect();
        SharingMembers { zone, others, reaches_groups: own.reaches_groups }
    }

    fn run_actions(&mut self, number: u32) {
        let now = self.now;
        for action in self.daemon(number).sharing.take_actions() {
            match action {
                LoadAction::Apply(loads) => self.apply_view(number, loads),
                LoadAction::Send { to, message } => {
                    let bytes = bytes(&message);
                    self.longest_message = self.longest_message.max(bytes);
                    let daemon = self.daemon(number);
                    daemon.cost.messages_sent += 1;
                    daemon.cost.bytes_sent += bytes as u64;
                    let from =
                        ReplicaId { daemon: DaemonId(number), incarnation: daemon.incarnation };
                    match &mut daemon.held_back {
                        Some(held_back) => held_back.push((to, message, from)),
                        None => self.send(from, daemon_number(to), message, now),
                    }
                }
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: u32, message: LoadMessage, now: Timestamp) {
        let LinkFaults { random, lost_percent, duplicated_percent, max_delay } =
            &mut self.link_faults;
        if random.random_range(0..100) < *lost_percent {
            return;
        }
        let copies = if random.random_range(0..100) < *duplicated_percent { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_micros(random.random_range(0..=max_delay.as_micros()));
            let arrives_at = now + Duration::from_millis(1) + delay;
            self.in_transit.push(InTransit { arrives_at, from, to, message: message.clone() });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<InTransit>, Vec<InTransit>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|it| it.arrives_at <= now);
        self.in_transit = later;
        due.sort_by_key(|it| it.arrives_at);
        for InTransit { from, to, message, .. } in due {
            if self.is_connected(from.daemon.0, to) {
                self.receive(to, from, message);
            }
        }
    }

    fn is_connected(&self, one: u32, other: u32) -> bool {
        let (zone, other_zone) = (self.daemons[&one].zone, self.daemons[&other].zone);
        let is_cut_zone = |zone: u32| self.isolated_zones.contains(&zone);
        let crosses_cut = zone != other_zone && (is_cut_zone(zone) || is_cut_zone(other_zone));
        let is_cut_off = |number: u32| self.daemons[&number].fault == Fault::CutOff;
        !crosses_cut && !is_cut_off(one) && !is_cut_off(other) && !self.cuts.contains(&(one, other))
    }

    fn receive(&mut self, number: u32, from: ReplicaId, message: LoadMessage) {
        let now = self.now;
        let daemon = self.daemon(number);
        match daemon.fault {
            Fault::Dead | Fault::OlderBuild => return,
            Fault::Frozen => return daemon.frozen_inbox.push_back((from, message)),
            Fault::None | Fault::CutOff | Fault::SwitchedOff => {}
        }
        daemon.cost.messages_received += 1;
        daemon.received.push(message.clone());
        daemon.sharing.receive(from, message, now);
        self.run_actions(number);
    }

    fn apply_view(&mut self, number: u32, loads: PeerLoads) {
        let PeerLoads { first, last, loads, .. } = loads;
        let now = self.now;
        let from = self.servers.partition_point(|server| *server < first);
        let to = self.servers.partition_point(|server| *server <= last);
        let daemon = self.daemon(number);
        daemon.view.retain(|item, _| !(first..=last).contains(item));
        daemon.view.extend(loads.iter().map(|load| (load.item, *load)));
        daemon.tokens_received +=
            loads.iter().map(|load| u64::from(load.timed_tokens)).sum::<u64>();
        let server_updated_at = &mut daemon.server_updated_at[from..to];
        let oldest =
            server_updated_at.iter().min().map_or(Duration::ZERO, |oldest| now.since(*oldest));
        server_updated_at.fill(now);
        for load in &loads {
            let other = u32::try_from(load.item).ok().filter(|_| load.tokens > 0);
            let as_of = Timestamp(u64::from(load.tokens) * 1_000);
            if let Some(other) = other {
                daemon.known_as_of.insert(other, as_of);
            }
        }
        self.max_server_age = self.max_server_age.max(oldest);
    }

    fn update_max_ages(&mut self) {
        if self.is_idle {
            return;
        }
        let mut max_age = self.max_age;
        let healthy = self.healthy_daemons();
        for number in &healthy {
            let daemon = &self.daemons[number];
            for other in healthy.iter().filter(|other| *other != number) {
                let zone = self.daemons[other].zone;
                let is_near = zone == daemon.zone;
                let is_cut = self.isolated_zones.contains(&zone)
                    || self.isolated_zones.contains(&daemon.zone);
                if is_cut && !is_near {
                    continue;
                }
                let known = daemon.known_as_of.get(other).copied().unwrap_or(START);
                let age = self.now.since(known);
                if is_near {
                    max_age.in_zone = max_age.in_zone.max(age);
                }
                max_age.in_region = max_age.in_region.max(age);
            }
        }
        self.max_age = max_age;
    }
}
