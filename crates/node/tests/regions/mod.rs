//! Daemons of a region that share loads, in virtual time, with links that lose and hold up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use dahlia_node::load_sharing::{
    ItemLoad, LoadAction, LoadMessage, LoadSharing, LoadSharingSettings, LoadSharingStatus,
    PeerLoads, SharingMembers,
};
use dahlia_types::{DaemonId, Duration, Incarnation, ReplicaId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// All daemons have an attempt there.
pub const SHARED_ITEM: u64 = 1 << 40;
/// Of servers' items, so that they are spread as hashes are.
const ITEM_HASH: u64 = 0x9e37_79b9_7f4a_7c15;
/// Servers at which one daemon has attempts.
const SERVERS_PER_DAEMON: u64 = 24;
const START: Timestamp = Timestamp(60_000_000);
const STEP: Duration = Duration::from_millis(10);
const SETTLED: Duration = Duration::from_secs(3);
/// Tokens that come at a daemon before it tells its loads.
const TOKENS: u32 = 3;

/// What strikes a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Dead,
    /// It does nothing, and takes in later what came meanwhile.
    Frozen,
    /// Its build drops messages about loads and sends none.
    Older,
    /// Nothing that it sends arrives anywhere, and nothing reaches it.
    CutOff,
    /// It tells no loads any more, and still receives messages.
    SwitchedOff,
}

/// What was sent and heard.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub messages: u64,
    pub bytes: u64,
    pub heard: u64,
}

/// The oldest that sound daemons knew of each other.
#[derive(Debug, Clone, Copy, Default)]
pub struct Oldest {
    pub in_zone: Duration,
    pub in_region: Duration,
}

struct Daemon {
    zone: u32,
    life: Incarnation,
    sharing: LoadSharing,
    fault: Fault,
    shared: u32,
    reaches_groups: bool,
    /// What it believes of others, by item.
    view: BTreeMap<u64, ItemLoad>,
    /// Since when it knows what it believes of another one's own item.
    known_as_of: BTreeMap<u32, Timestamp>,
    /// When it heard last of each server, in their order.
    covered: Vec<Timestamp>,
    dead: BTreeSet<u32>,
    frozen_inbox: VecDeque<(ReplicaId, LoadMessage)>,
    held_up: Option<Vec<(SocketAddr, LoadMessage, ReplicaId)>>,
    cost: Cost,
    tokens_told: u64,
    tokens_heard: u64,
    seen: Vec<LoadMessage>,
}

struct UnderWay {
    at: Timestamp,
    from: ReplicaId,
    to: u32,
    message: LoadMessage,
}

/// What links do to messages.
struct Disturbance {
    random: ChaCha8Rng,
    lost_percent: u32,
    doubled_percent: u32,
    late: Duration,
}

pub struct Region {
    now: Timestamp,
    settings: LoadSharingSettings,
    daemons: BTreeMap<u32, Daemon>,
    under_way: Vec<UnderWay>,
    cuts: BTreeSet<(u32, u32)>,
    cut_zones: BTreeSet<u32>,
    disturbance: Disturbance,
    servers: Vec<u64>,
    is_resting: bool,
    has_streams: bool,
    oldest: Oldest,
    oldest_server: Duration,
    longest_message: usize,
}

pub fn address(daemon: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 9))
}

fn number(address: SocketAddr) -> u32 {
    let SocketAddr::V4(address) = address else { unreachable!("all are") };
    let [.., high, low] = address.ip().octets();
    u32::from(high) << 8 | u32::from(low)
}

fn sharing(settings: &LoadSharingSettings, daemon: u32, life: Incarnation) -> LoadSharing {
    let own = ReplicaId { daemon: DaemonId(daemon), incarnation: life };
    LoadSharing::new(settings.clone(), own, address(daemon))
}

fn bytes(message: &LoadMessage) -> usize {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("plain fields").len()
}

impl Region {
    /// So many daemons in each of some zones, after the time in which they found each other.
    pub fn settled(zones: u32, daemons: u32) -> Self {
        let settings = LoadSharingSettings::default();
        let daemon = |number: u32| Daemon {
            zone: (number - 1) % zones,
            life: Incarnation(1),
            sharing: sharing(&settings, number, Incarnation(1)),
            fault: Fault::None,
            shared: 1,
            reaches_groups: false,
            view: BTreeMap::new(),
            known_as_of: BTreeMap::new(),
            covered: Vec::new(),
            dead: BTreeSet::new(),
            frozen_inbox: VecDeque::new(),
            held_up: None,
            cost: Cost::default(),
            tokens_told: 0,
            tokens_heard: 0,
            seen: Vec::new(),
        };
        let daemons = (1..=zones * daemons).map(|number| (number, daemon(number))).collect();
        let disturbance = Disturbance {
            random: ChaCha8Rng::seed_from_u64(0),
            lost_percent: 0,
            doubled_percent: 0,
            late: Duration::ZERO,
        };
        let mut region = Self {
            now: START,
            daemons,
            settings,
            under_way: Vec::new(),
            cuts: BTreeSet::new(),
            cut_zones: BTreeSet::new(),
            disturbance,
            servers: Vec::new(),
            is_resting: false,
            has_streams: false,
            oldest: Oldest::default(),
            oldest_server: Duration::ZERO,
            longest_message: 0,
        };
        region.pass(SETTLED);
        region.forget_ages();
        region
    }

    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for number in self.numbers() {
                let tell_ms = self.settings.tell_ms;
                // They began at different moments.
                let phase = u64::from(number) * 7 % tell_ms / 10 * 10;
                if self.now.0 / 1_000 % tell_ms == phase {
                    self.act(number);
                }
            }
            self.measure();
        }
    }

    pub fn settings(&self) -> &LoadSharingSettings {
        &self.settings
    }

    pub fn numbers(&self) -> Vec<u32> {
        self.daemons.keys().copied().collect()
    }

    pub fn sound(&self) -> Vec<u32> {
        let sound = self.daemons.iter().filter(|(_, daemon)| daemon.fault == Fault::None);
        sound.map(|(number, _)| *number).collect()
    }

    pub fn zone(&self, zone: u32) -> Vec<u32> {
        let of_zone = self.daemons.iter().filter(|(_, daemon)| daemon.zone == zone);
        of_zone.map(|(number, _)| *number).collect()
    }

    pub fn others(&self, but_for: u32) -> Vec<u32> {
        self.numbers().into_iter().filter(|number| *number != but_for).collect()
    }

    /// What a daemon believes that others make of an item.
    pub fn believed(&self, daemon: u32, item: u64) -> ItemLoad {
        self.daemons[&daemon].view.get(&item).copied().unwrap_or(ItemLoad::none(item))
    }

    /// Who adds up for a daemon; none when it does so itself.
    pub fn aggregator(&self, daemon: u32) -> Option<u32> {
        self.daemons[&daemon].sharing.status(self.now).aggregator.map(|daemon| daemon.0)
    }

    pub fn aggregator_of_zone(&self, zone: u32) -> u32 {
        let adds = |number: &u32| self.aggregator(*number).is_none();
        self.zone(zone).into_iter().find(adds).expect("one adds up")
    }

    /// How many of a zone add up for others.
    pub fn aggregators(&self, zone: u32) -> usize {
        let followers = |number: u32| self.daemons[&number].sharing.status(self.now).followers;
        self.zone(zone).into_iter().filter(|number| followers(*number) > 0).count()
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

    pub fn strike(&mut self, daemon: u32, fault: Fault) {
        self.daemon(daemon).fault = fault;
    }

    /// Sharing is switched off in the settings of a daemon; its driver may miss to say so.
    pub fn switch_off(&mut self, number: u32, says_so: bool) {
        let daemon = self.daemon(number);
        daemon.fault = Fault::SwitchedOff;
        if says_so {
            daemon.sharing.stop();
        }
        self.carry_out(number);
    }

    pub fn status(&self, daemon: u32) -> LoadSharingStatus {
        self.daemons[&daemon].sharing.status(self.now)
    }

    pub fn heal(&mut self, number: u32) {
        self.daemon(number).fault = Fault::None;
        while let Some((from, message)) = self.daemon(number).frozen_inbox.pop_front() {
            self.hear(number, from, message);
        }
    }

    /// All others hold it for dead from now on.
    pub fn hold_for_dead(&mut self, dead: u32) {
        for (_, daemon) in self.daemons.iter_mut().filter(|(number, _)| **number != dead) {
            daemon.dead.insert(dead);
        }
    }

    pub fn hold_for_live(&mut self, live: u32) {
        for daemon in self.daemons.values_mut() {
            daemon.dead.remove(&live);
        }
    }

    /// One holds another one for dead that is not.
    pub fn misbelieve(&mut self, daemon: u32, dead: u32) {
        self.daemon(daemon).dead.insert(dead);
    }

    pub fn cut(&mut self, one: u32, other: u32) {
        self.cuts.extend([(one, other), (other, one)]);
    }

    pub fn mend(&mut self, one: u32, other: u32) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    pub fn cut_zone(&mut self, zone: u32) {
        self.cut_zones.insert(zone);
    }

    pub fn mend_zone(&mut self, zone: u32) {
        self.cut_zones.remove(&zone);
    }

    /// What a daemon sends waits until it is let go.
    pub fn hold_up(&mut self, daemon: u32) {
        self.daemon(daemon).held_up = Some(Vec::new());
    }

    /// Begins another life. What the earlier one sent and is held up stays on its way.
    pub fn restart(&mut self, number: u32) {
        let settings = self.settings.clone();
        let daemon = self.daemon(number);
        daemon.life = Incarnation(daemon.life.0 + 1);
        daemon.sharing = sharing(&settings, number, daemon.life);
        daemon.view.clear();
        let held_up = daemon.held_up.take().unwrap_or_default();
        // It arrives after what the new life says.
        let at = self.now + Duration::from_millis(400);
        for (to, message, from) in held_up {
            self.under_way.push(UnderWay { at, from, to: self::number(to), message });
        }
    }

    pub fn set_shared(&mut self, daemon: u32, in_flight: u32) {
        self.daemon(daemon).shared = in_flight;
    }

    /// What links do from now on.
    pub fn disturb(&mut self, seed: u64, lost_percent: u32, doubled_percent: u32, late: Duration) {
        let random = ChaCha8Rng::seed_from_u64(seed);
        self.disturbance = Disturbance { random, lost_percent, doubled_percent, late };
    }

    /// No daemon has load any more.
    pub fn rest(&mut self) {
        self.is_resting = true;
    }

    /// Each daemon has attempts at some of so many servers too.
    pub fn load_servers(&mut self, servers: u64) {
        self.servers = (1..=servers).map(|server| server.wrapping_mul(ITEM_HASH)).collect();
        self.servers.sort_unstable();
        let covered = vec![self.now; self.servers.len()];
        self.daemons.values_mut().for_each(|daemon| daemon.covered = covered.clone());
    }

    /// Whether tokens come.
    pub fn stream_tokens(&mut self, has_streams: bool) {
        self.has_streams = has_streams;
        if has_streams {
            let none = |daemon: &mut Daemon| (daemon.tokens_told, daemon.tokens_heard) = (0, 0);
            self.daemons.values_mut().for_each(none);
        }
    }

    pub fn tokens_told(&self, daemon: u32) -> u64 {
        self.daemons[&daemon].tokens_told
    }

    pub fn tokens_heard(&self, daemon: u32) -> u64 {
        self.daemons[&daemon].tokens_heard
    }

    pub fn forget_ages(&mut self) {
        self.oldest = Oldest::default();
        self.oldest_server = Duration::ZERO;
    }

    pub fn oldest(&self) -> Oldest {
        self.oldest
    }

    /// The longest that a daemon did not hear of some server.
    pub fn oldest_server(&self) -> Duration {
        self.oldest_server
    }

    pub fn forget_costs(&mut self) {
        self.daemons.values_mut().for_each(|daemon| daemon.cost = Cost::default());
    }

    pub fn cost(&self, daemon: u32) -> Cost {
        self.daemons[&daemon].cost
    }

    /// Bytes of the longest message so far.
    pub fn longest_message(&self) -> usize {
        self.longest_message
    }

    /// A message of another daemon, made up by a test, comes at once.
    pub fn receive(&mut self, to: u32, from: u32, message: LoadMessage) {
        let incarnation = self.daemons[&from].life;
        self.hear(to, ReplicaId { daemon: DaemonId(from), incarnation }, message);
    }

    /// Messages that some daemon heard which does not add up.
    pub fn messages_seen(&self, is_wanted: impl Fn(&LoadMessage) -> bool) -> Vec<LoadMessage> {
        let follows = |number: &u32| self.aggregator(*number).is_some();
        let number = self.numbers().into_iter().find(follows).expect("one follows");
        let seen = self.daemons[&number].seen.iter();
        seen.filter(|message| is_wanted(message)).cloned().collect()
    }

    fn daemon(&mut self, number: u32) -> &mut Daemon {
        self.daemons.get_mut(&number).expect("it exists")
    }

    fn act(&mut self, number: u32) {
        if matches!(
            self.daemons[&number].fault,
            Fault::Dead | Fault::Frozen | Fault::Older | Fault::SwitchedOff
        ) {
            return;
        }
        let now = self.now;
        let loads = self.loads(number);
        let members = self.members(number);
        let daemon = self.daemon(number);
        daemon.tokens_told += loads.iter().map(|load| u64::from(load.timed_tokens)).sum::<u64>();
        if daemon.sharing.is_review_due(now) {
            daemon.sharing.review(members, now);
        }
        daemon.sharing.update_own_loads(&loads, now);
        self.carry_out(number);
    }

    fn loads(&self, number: u32) -> Vec<ItemLoad> {
        if self.is_resting {
            return Vec::new();
        }
        let daemon = &self.daemons[&number];
        let timed_tokens = if self.has_streams { TOKENS } else { 0 };
        let times = ItemLoad { timed_tokens, timed_micros: 1_000, ..ItemLoad::default() };
        let millis = (self.now.0 / 1_000) as u32;
        let own = ItemLoad { item: number.into(), in_flight: 1, tokens: millis, ..times };
        let shared = ItemLoad { item: SHARED_ITEM, in_flight: daemon.shared, tokens: 100, ..times };
        let server = |place: u64| {
            let place = u64::from(number) * SERVERS_PER_DAEMON + place * 11;
            let item = self.servers[(place % self.servers.len() as u64) as usize];
            ItemLoad { item, in_flight: 3, tokens: 10_000 + millis % 1_000, ..times }
        };
        let places = 0..SERVERS_PER_DAEMON.min(self.servers.len() as u64);
        let servers: BTreeMap<u64, ItemLoad> =
            places.map(server).map(|load| (load.item, load)).collect();
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

    fn carry_out(&mut self, number: u32) {
        let now = self.now;
        for action in self.daemon(number).sharing.take_actions() {
            match action {
                LoadAction::PeerLoads(heard) => self.take_view(number, heard),
                LoadAction::Send { to, message } => {
                    let bytes = bytes(&message);
                    self.longest_message = self.longest_message.max(bytes);
                    let daemon = self.daemon(number);
                    daemon.cost.messages += 1;
                    daemon.cost.bytes += bytes as u64;
                    let from = ReplicaId { daemon: DaemonId(number), incarnation: daemon.life };
                    match &mut daemon.held_up {
                        Some(held_up) => held_up.push((to, message, from)),
                        None => self.send(from, self::number(to), message, now),
                    }
                }
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: u32, message: LoadMessage, now: Timestamp) {
        let Disturbance { random, lost_percent, doubled_percent, late } = &mut self.disturbance;
        if random.random_range(0..100) < *lost_percent {
            return;
        }
        let copies = if random.random_range(0..100) < *doubled_percent { 2 } else { 1 };
        for _ in 0..copies {
            let late = Duration::from_micros(random.random_range(0..=late.as_micros()));
            let at = now + Duration::from_millis(1) + late;
            self.under_way.push(UnderWay { at, from, to, message: message.clone() });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<UnderWay>, Vec<UnderWay>) =
            std::mem::take(&mut self.under_way).into_iter().partition(|it| it.at <= now);
        self.under_way = later;
        due.sort_by_key(|it| it.at);
        for UnderWay { from, to, message, .. } in due {
            if self.is_connected(from.daemon.0, to) {
                self.hear(to, from, message);
            }
        }
    }

    fn is_connected(&self, one: u32, other: u32) -> bool {
        let (zone, other_zone) = (self.daemons[&one].zone, self.daemons[&other].zone);
        let is_cut_zone = |zone: u32| self.cut_zones.contains(&zone);
        let crosses_cut = zone != other_zone && (is_cut_zone(zone) || is_cut_zone(other_zone));
        let is_cut_off = |number: u32| self.daemons[&number].fault == Fault::CutOff;
        !crosses_cut && !is_cut_off(one) && !is_cut_off(other) && !self.cuts.contains(&(one, other))
    }

    fn hear(&mut self, number: u32, from: ReplicaId, message: LoadMessage) {
        let now = self.now;
        let daemon = self.daemon(number);
        match daemon.fault {
            Fault::Dead | Fault::Older => return,
            Fault::Frozen => return daemon.frozen_inbox.push_back((from, message)),
            Fault::None | Fault::CutOff | Fault::SwitchedOff => {}
        }
        daemon.cost.heard += 1;
        daemon.seen.push(message.clone());
        daemon.sharing.receive(from, message, now);
        self.carry_out(number);
    }

    fn take_view(&mut self, number: u32, heard: PeerLoads) {
        let PeerLoads { first, last, loads, .. } = heard;
        let now = self.now;
        let from = self.servers.partition_point(|server| *server < first);
        let to = self.servers.partition_point(|server| *server <= last);
        let daemon = self.daemon(number);
        daemon.view.retain(|item, _| !(first..=last).contains(item));
        daemon.view.extend(loads.iter().map(|load| (load.item, *load)));
        daemon.tokens_heard += loads.iter().map(|load| u64::from(load.timed_tokens)).sum::<u64>();
        let covered = &mut daemon.covered[from..to];
        let oldest = covered.iter().min().map_or(Duration::ZERO, |oldest| now.since(*oldest));
        covered.fill(now);
        for load in &loads {
            let other = u32::try_from(load.item).ok().filter(|_| load.tokens > 0);
            let as_of = Timestamp(u64::from(load.tokens) * 1_000);
            if let Some(other) = other {
                daemon.known_as_of.insert(other, as_of);
            }
        }
        self.oldest_server = self.oldest_server.max(oldest);
    }

    fn measure(&mut self) {
        if self.is_resting {
            return;
        }
        let mut oldest = self.oldest;
        let sound = self.sound();
        for number in &sound {
            let daemon = &self.daemons[number];
            for other in sound.iter().filter(|other| *other != number) {
                let zone = self.daemons[other].zone;
                let is_near = zone == daemon.zone;
                let is_cut =
                    self.cut_zones.contains(&zone) || self.cut_zones.contains(&daemon.zone);
                if is_cut && !is_near {
                    continue;
                }
                let known = daemon.known_as_of.get(other).copied().unwrap_or(START);
                let age = self.now.since(known);
                if is_near {
                    oldest.in_zone = oldest.in_zone.max(age);
                }
                oldest.in_region = oldest.in_region.max(age);
            }
        }
        self.oldest = oldest;
    }
}
