//! Aggregation of the loads of those daemons that tell this one, and of other zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};

use super::LoadSharingSettings;
use super::message::{ItemLoad, LoadMessage, LoadPart, ReporterState};
use super::token_times::{Origin, TimesLog};
use super::told::{Taken, ToldLoads};
use crate::zone_choice::Candidate;

/// Daemons that reach owners of replica groups and are named to others.
const MOST_REACHING: usize = 3;

/// How far a receiver has been sent the present sums.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// When the first of the parts went, or nothing has gone yet.
    began_at: Option<Timestamp>,
    /// Where the next part begins; none when all have gone.
    next: Option<u64>,
    /// Sums were so new then.
    version: u64,
    /// Times of tokens that go with them, summed once for all parts.
    times: BTreeMap<u64, ItemLoad>,
    /// The place in the log behind these.
    times_end: u64,
    was_empty: bool,
    last_part_at: Timestamp,
}

impl Progress {
    /// For a receiver that is told the times of tokens from now on.
    fn starting(log: &TimesLog) -> Self {
        Self { times_end: log.end(), was_empty: true, ..Self::default() }
    }

    fn is_due(&self, version: u64, interval: Duration, renewal: Duration, now: Timestamp) -> bool {
        let Some(began_at) = self.began_at else { return true };
        let since = now.since(began_at);
        self.next.is_some() || (version != self.version && since >= interval) || since >= renewal
    }

    /// Where the part that goes now begins. With the first one go the times whose origin `is_wanted`.
    fn begin(
        &mut self,
        version: u64,
        log: &TimesLog,
        is_wanted: impl Fn(Origin) -> bool,
        is_empty: bool,
        now: Timestamp,
    ) -> u64 {
        self.last_part_at = now;
        if let Some(next) = self.next {
            return next;
        }
        self.began_at = Some(now);
        self.version = version;
        self.times = log.between(self.times_end, log.end(), is_wanted);
        self.times_end = log.end();
        self.was_empty = is_empty;
        0
    }
}

/// A daemon that tells its loads here.
#[derive(Debug)]
struct Follower {
    address: SocketAddr,
    until: Timestamp,
    state: ReporterState,
    told: ToldLoads,
    progress: Progress,
}

/// Another daemon that adds up.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    is_near: bool,
    /// Whether it is one that should add up, as far as known here.
    is_chosen: bool,
    /// Another one is a peer for so long since it was heard of.
    until: Timestamp,
    told: ToldLoads,
    progress: Progress,
}

/// The sums of a daemon.
#[derive(Debug)]
pub(super) struct Aggregation {
    own: DaemonId,
    own_address: SocketAddr,
    /// Whether this daemon's own loads are added here, and not told to another one.
    counts_own: bool,
    own_loads: BTreeMap<u64, ItemLoad>,
    own_reaches_groups: bool,
    own_progress: Progress,
    followers: BTreeMap<DaemonId, Follower>,
    peers: BTreeMap<DaemonId, Peer>,
    times: TimesLog,
    /// Rises when loads change.
    version: u64,
    summed: u64,
    /// What those make that tell this daemon, and what all do.
    zone: BTreeMap<u64, ItemLoad>,
    all: BTreeMap<u64, ItemLoad>,
}

/// Who a message goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receiver {
    Follower(DaemonId),
    Peer(DaemonId),
}

impl Aggregation {
    pub(super) fn new(own: DaemonId, own_address: SocketAddr) -> Self {
        Self {
            own,
            own_address,
            counts_own: false,
            own_loads: BTreeMap::new(),
            own_reaches_groups: false,
            own_progress: Progress { was_empty: true, ..Progress::default() },
            followers: BTreeMap::new(),
            peers: BTreeMap::new(),
            times: TimesLog::default(),
            version: 1,
            summed: 0,
            zone: BTreeMap::new(),
            all: BTreeMap::new(),
        }
    }

    /// Daemons that tell this one, without those that left or fell silent.
    pub(super) fn followers(&self, now: Timestamp) -> usize {
        let is_live = |follower: &&Follower| !follower.state.is_leaving && now < follower.until;
        self.followers.values().filter(is_live).count()
    }

    /// Takes in who else should add up, in this zone and in others of the region.
    pub(super) fn set_peers(&mut self, near: &[Candidate], far: &[Candidate], now: Timestamp) {
        self.peers.values_mut().for_each(|peer| peer.is_chosen = false);
        let chosen =
            near.iter().map(|peer| (peer, true)).chain(far.iter().map(|peer| (peer, false)));
        for ((daemon, address), is_near) in chosen.filter(|((daemon, _), _)| *daemon != self.own) {
            let peer = peer_entry(&mut self.peers, &self.times, *daemon, *address, is_near, now);
            peer.is_chosen = true;
        }
    }

    /// A daemon tells its own loads.
    pub(super) fn told(
        &mut self,
        from: ReplicaId,
        part: &LoadPart,
        state: ReporterState,
        address: SocketAddr,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) {
        let follower = self.followers.entry(from.daemon).or_insert_with(|| Follower {
            address,
            until: now,
            state,
            told: ToldLoads::default(),
            progress: Progress::starting(&self.times),
        });
        let Some(taken) = follower.told.take(from.incarnation, part, now) else { return };
        // One that left stays for a while without load, so that a late message does not bring it back.
        follower.until = now + settings.idle_expiry();
        follower.address = address;
        follower.state = state;
        self.version += u64::from(taken == Taken::Changed);
        self.times.add(Origin::Follower(from.daemon), &part.loads, now);
    }

    /// Another daemon that adds up tells what its followers make.
    pub(super) fn sum_told(
        &mut self,
        from: ReplicaId,
        part: &LoadPart,
        address: SocketAddr,
        is_near: bool,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) {
        let peer = peer_entry(&mut self.peers, &self.times, from.daemon, address, is_near, now);
        let Some(taken) = peer.told.take(from.incarnation, part, now) else { return };
        peer.until = now + settings.idle_expiry();
        self.version += u64::from(taken == Taken::Changed);
        self.times.add(Origin::Elsewhere(from.daemon), &part.loads, now);
    }

    /// This daemon's own loads belong to the sums here, and so do the `times` of its tokens.
    pub(super) fn take_own(
        &mut self,
        own: &[ItemLoad],
        times: &[ItemLoad],
        reaches_groups: bool,
        now: Timestamp,
    ) {
        let loaded = own.iter().filter(|load| load.is_loaded());
        let loads: BTreeMap<u64, ItemLoad> =
            loaded.map(|load| (load.item, load.untimed())).collect();
        self.own_reaches_groups = reaches_groups;
        if !self.counts_own || loads != self.own_loads {
            self.version += 1;
        }
        self.counts_own = true;
        self.own_loads = loads;
        self.times.add(Origin::Follower(self.own), times, now);
    }

    /// This daemon's own loads are told to another one.
    pub(super) fn forget_own(&mut self) {
        if std::mem::take(&mut self.counts_own) {
            self.own_loads.clear();
            self.version += 1;
        }
    }

    /// Drops what was not renewed.
    pub(super) fn expire(&mut self, settings: &LoadSharingSettings, now: Timestamp) {
        let oldest = now - settings.expiry();
        let told = self.followers.values_mut().map(|follower| &mut follower.told);
        for told in told.chain(self.peers.values_mut().map(|peer| &mut peer.told)) {
            if told.drop_before(oldest) {
                self.version += 1;
            }
        }
        self.followers.retain(|_, follower| now < follower.until);
        self.peers.retain(|_, peer| peer.is_chosen || now < peer.until);
        self.times.drop_before(oldest);
    }

    /// The next message that is due to somebody; the one that has waited longest goes first.
    pub(super) fn next_message(
        &mut self,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) -> Option<(SocketAddr, LoadMessage)> {
        self.sum_up();
        match self.next_receiver(settings, now)? {
            Receiver::Follower(daemon) => self.view_for(daemon, now),
            Receiver::Peer(daemon) => self.sum_for(daemon, now),
        }
    }

    /// What all others make, for this daemon itself, when that is due.
    pub(super) fn own_view(
        &mut self,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) -> Option<LoadPart> {
        self.sum_up();
        let (interval, renewal) = (settings.view_interval(), settings.renewal(self.all.is_empty()));
        if !self.own_progress.is_due(self.version, interval, renewal, now) {
            return None;
        }
        let own = Origin::Follower(self.own);
        let is_other = |origin| origin != own;
        self.own_progress.begin(self.version, &self.times, is_other, false, now);
        let loads = less(&self.all, 0, |item| self.own_loads.get(&item));
        let loads = merged(loads, &self.own_progress.times, 0).collect();
        let age = self.age(Some(self.own), now);
        Some(LoadPart { number: 0, first: 0, last: u64::MAX, age, loads })
    }

    /// A few daemons that say they reach owners of replica groups, but for one.
    pub(super) fn reaching(&self, but_for: DaemonId) -> Vec<DaemonId> {
        let own = (self.counts_own && self.own_reaches_groups).then_some(self.own);
        let reaches =
            |follower: &Follower| follower.state.reaches_groups && !follower.state.is_leaving;
        let others = self.followers.iter().filter(|(_, follower)| reaches(follower));
        let all = own.into_iter().chain(others.map(|(daemon, _)| *daemon));
        all.filter(|daemon| *daemon != but_for).take(MOST_REACHING).collect()
    }

    fn next_receiver(&self, settings: &LoadSharingSettings, now: Timestamp) -> Option<Receiver> {
        let renewal = settings.renewal(self.all.is_empty());
        let is_due = |follower: &Follower| {
            let interval = settings.view_interval();
            let progress = &follower.progress;
            !follower.state.is_leaving && progress.is_due(self.version, interval, renewal, now)
        };
        let followers = self.followers.iter().filter(|(_, follower)| is_due(follower));
        let followers = followers.map(|(daemon, follower)| {
            (follower.progress.last_part_at, Receiver::Follower(*daemon))
        });
        let peers = self.peers.iter().filter(|(_, peer)| self.is_peer_due(peer, settings, now));
        let peers =
            peers.map(|(daemon, peer)| (peer.progress.last_part_at, Receiver::Peer(*daemon)));
        let all = followers.chain(peers);
        all.min_by_key(|(last_part_at, _)| *last_part_at).map(|(_, receiver)| receiver)
    }

    /// Sums without load are told once, and not renewed: they expire where they were told.
    fn is_peer_due(&self, peer: &Peer, settings: &LoadSharingSettings, now: Timestamp) -> bool {
        let is_aggregating = self.counts_own || !self.followers.is_empty();
        let is_news = !self.zone.is_empty() || !peer.progress.was_empty;
        let interval = match peer.is_near {
            true => settings.view_interval(),
            false => settings.between_zones(),
        };
        let renewal = settings.renewal(false);
        let is_due = || peer.progress.is_due(self.version, interval, renewal, now);
        is_aggregating && is_news && is_due()
    }

    fn view_for(&mut self, daemon: DaemonId, now: Timestamp) -> Option<(SocketAddr, LoadMessage)> {
        let age = self.age(Some(daemon), now);
        let reaching = self.reaching(daemon);
        let follower = self.followers.get_mut(&daemon)?;
        let progress = &mut follower.progress;
        let is_other = |origin| origin != Origin::Follower(daemon);
        let is_empty = self.all.is_empty();
        let first = progress.begin(self.version, &self.times, is_other, is_empty, now);
        let told = &follower.told;
        let loads = less(&self.all, first, |item| told.get(item));
        let part = LoadPart::from(first, merged(loads, &progress.times, first), age);
        progress.next = part.next();
        Some((follower.address, LoadMessage::View { part, reaching }))
    }

    fn sum_for(&mut self, daemon: DaemonId, now: Timestamp) -> Option<(SocketAddr, LoadMessage)> {
        let age = self.zone_age(None, now);
        let reply_to = self.own_address;
        let peer = self.peers.get_mut(&daemon)?;
        let progress = &mut peer.progress;
        let is_own = |origin| matches!(origin, Origin::Follower(_));
        let is_empty = self.zone.is_empty();
        let first = progress.begin(self.version, &self.times, is_own, is_empty, now);
        let loads = less(&self.zone, first, |_| None);
        let part = LoadPart::from(first, merged(loads, &progress.times, first), age);
        progress.next = part.next();
        Some((peer.address, LoadMessage::Sum { part, reply_to }))
    }

    /// How old the oldest figures are of those that do not come from one daemon.
    fn age(&self, but_for: Option<DaemonId>, now: Timestamp) -> Duration {
        let peers = self.peers.values().map(|peer| peer.told.age(now)).max();
        self.zone_age(but_for, now).max(peers.unwrap_or_default())
    }

    fn zone_age(&self, but_for: Option<DaemonId>, now: Timestamp) -> Duration {
        let others = self.followers.iter().filter(|(daemon, _)| Some(**daemon) != but_for);
        others.map(|(_, follower)| follower.told.age(now)).max().unwrap_or_default()
    }

    fn sum_up(&mut self) {
        if self.summed == self.version {
            return;
        }
        self.summed = self.version;
        let own = self.own_loads.values().filter(|_| self.counts_own);
        let followers = self.followers.values().flat_map(|follower| follower.told.iter());
        self.zone = sum(own.chain(followers));
        let peers = self.peers.values().flat_map(|peer| peer.told.iter());
        self.all = sum(self.zone.values().chain(peers));
    }
}

/// The entry of another daemon that adds up, as it is known now.
fn peer_entry<'a>(
    peers: &'a mut BTreeMap<DaemonId, Peer>,
    times: &TimesLog,
    daemon: DaemonId,
    address: SocketAddr,
    is_near: bool,
    now: Timestamp,
) -> &'a mut Peer {
    let peer = peers.entry(daemon).or_insert_with(|| Peer {
        address,
        is_near,
        is_chosen: false,
        until: now,
        told: ToldLoads::default(),
        progress: Progress::starting(times),
    });
    (peer.address, peer.is_near) = (address, is_near);
    peer
}

fn sum<'a>(loads: impl Iterator<Item = &'a ItemLoad>) -> BTreeMap<u64, ItemLoad> {
    let mut sums = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(load.item).or_insert(ItemLoad::none(load.item));
        *sum = sum.and(load);
    }
    sums
}

/// Loads from an item on, without a part of them.
fn less<'a>(
    loads: &'a BTreeMap<u64, ItemLoad>,
    first: u64,
    part: impl Fn(u64) -> Option<&'a ItemLoad> + 'a,
) -> impl Iterator<Item = ItemLoad> + 'a {
    let rest = loads
        .range(first..)
        .map(move |(item, load)| part(*item).map_or(*load, |part| load.less(part)));
    rest.filter(ItemLoad::is_loaded)
}

/// Loads with the times of tokens that belong to them, from an item on.
fn merged<'a>(
    loads: impl Iterator<Item = ItemLoad> + 'a,
    times: &'a BTreeMap<u64, ItemLoad>,
    first: u64,
) -> impl Iterator<Item = ItemLoad> + 'a {
    let mut loads = loads.peekable();
    let mut times = times.range(first..).map(|(_, time)| *time).peekable();
    std::iter::from_fn(move || {
        let next =
            [loads.peek(), times.peek()].into_iter().flatten().map(|load| load.item).min()?;
        let load = loads.next_if(|load| load.item == next).unwrap_or(ItemLoad::none(next));
        let time = times.next_if(|time| time.item == next).unwrap_or(ItemLoad::none(next));
        Some(load.and(&time))
    })
}
