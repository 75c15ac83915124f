//! Sums of the loads that followers report here and that other aggregators send.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};

use super::LoadSharingSettings;
use super::message::{ItemLoad, LoadMessage, LoadPart, ReporterState};
use super::reported::{ReportedLoads, Update};
use super::token_times::{Origin, TokenTimesLog};
use crate::zone_choice::Candidate;

/// Maximum number of daemons reaching owners of replica groups that a view names.
const MAX_NAMED_REACHING: usize = 3;

/// Progress of sending the current sums to one receiver, part by part.
#[derive(Debug, Clone, Default)]
struct SendProgress {
    /// When the first part was sent; none if nothing has been sent yet.
    started_at: Option<Timestamp>,
    /// First item of the next part; none when all parts have been sent.
    next_item: Option<u64>,
    /// Version of the sums when the first part was sent.
    version: u64,
    /// Token times that accompany the sums, added up once for all parts.
    times: BTreeMap<u64, ItemLoad>,
    /// End of these in the log of token times.
    times_sent_up_to: u64,
    /// Whether the sums were empty when the first part was sent.
    was_empty: bool,
    last_part_at: Timestamp,
}

impl SendProgress {
    /// Creates the progress of a receiver that gets the token times recorded from now on.
    fn new(log: &TokenTimesLog) -> Self {
        Self { times_sent_up_to: log.end(), was_empty: true, ..Self::default() }
    }

    /// Whether a part is due: the next of a started series, changed sums after the interval, or a renewal.
    fn is_due(&self, version: u64, interval: Duration, renewal: Duration, now: Timestamp) -> bool {
        let Some(started_at) = self.started_at else { return true };
        let since = now.since(started_at);
        self.next_item.is_some()
            || (version != self.version && since >= interval)
            || since >= renewal
    }

    /// Returns the first item of the part to send now. If it is the first part, collects the token times to
    /// send along: those whose origin `is_wanted`.
    fn begin_part(
        &mut self,
        version: u64,
        log: &TokenTimesLog,
        is_wanted: impl Fn(Origin) -> bool,
        is_empty: bool,
        now: Timestamp,
    ) -> u64 {
        self.last_part_at = now;
        if let Some(next_item) = self.next_item {
            return next_item;
        }
        self.started_at = Some(now);
        self.version = version;
        self.times = log.between(self.times_sent_up_to, log.end(), is_wanted);
        self.times_sent_up_to = log.end();
        self.was_empty = is_empty;
        0
    }
}

/// A daemon that reports its loads here.
#[derive(Debug)]
struct Follower {
    address: SocketAddr,
    expires_at: Timestamp,
    state: ReporterState,
    reported: ReportedLoads,
    progress: SendProgress,
}

/// Another aggregator.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Whether it is in the zone of this daemon.
    is_near: bool,
    /// Whether it should aggregate according to the members known here.
    is_expected: bool,
    /// A peer that is not expected to aggregate is dropped then, unless another sum arrives.
    expires_at: Timestamp,
    reported: ReportedLoads,
    progress: SendProgress,
}

/// The sums kept by an aggregator.
#[derive(Debug)]
pub(super) struct Aggregation {
    own: DaemonId,
    own_address: SocketAddr,
    /// Whether this daemon's own loads are summed here instead of being reported to another aggregator.
    includes_own: bool,
    own_loads: BTreeMap<u64, ItemLoad>,
    own_reaches_groups: bool,
    own_progress: SendProgress,
    followers: BTreeMap<DaemonId, Follower>,
    peers: BTreeMap<DaemonId, Peer>,
    times: TokenTimesLog,
    /// Increases whenever loads change.
    version: u64,
    /// Version that the sums below include.
    summed_version: u64,
    /// Sum of the loads of followers and this daemon.
    zone_sum: BTreeMap<u64, ItemLoad>,
    /// Sum of the loads of all daemons.
    total_sum: BTreeMap<u64, ItemLoad>,
}

/// Receiver of a message.
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
            includes_own: false,
            own_loads: BTreeMap::new(),
            own_reaches_groups: false,
            own_progress: SendProgress { was_empty: true, ..SendProgress::default() },
            followers: BTreeMap::new(),
            peers: BTreeMap::new(),
            times: TokenTimesLog::default(),
            version: 1,
            summed_version: 0,
            zone_sum: BTreeMap::new(),
            total_sum: BTreeMap::new(),
        }
    }

    /// Number of followers that have neither left nor timed out.
    pub(super) fn followers(&self, now: Timestamp) -> usize {
        let is_live =
            |follower: &&Follower| !follower.state.is_leaving && now < follower.expires_at;
        self.followers.values().filter(is_live).count()
    }

    /// Sets which other daemons should aggregate, in this zone and in others of the region.
    pub(super) fn set_peers(&mut self, near: &[Candidate], far: &[Candidate], now: Timestamp) {
        self.peers.values_mut().for_each(|peer| peer.is_expected = false);
        let chosen =
            near.iter().map(|peer| (peer, true)).chain(far.iter().map(|peer| (peer, false)));
        for ((daemon, address), is_near) in chosen.filter(|((daemon, _), _)| *daemon != self.own) {
            let peer = peer_entry(&mut self.peers, &self.times, *daemon, *address, is_near, now);
            peer.is_expected = true;
        }
    }

    /// Handles a report of a follower.
    pub(super) fn receive_report(
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
            expires_at: now,
            state,
            reported: ReportedLoads::default(),
            progress: SendProgress::new(&self.times),
        });
        let Some(update) = follower.reported.apply(from.incarnation, part, now) else { return };
        // A follower that left is kept without load until it expires, so that a late message does not add its
        // loads again.
        follower.expires_at = now + settings.idle_expiry();
        follower.address = address;
        follower.state = state;
        self.version += u64::from(update == Update::Changed);
        self.times.add(Origin::Follower(from.daemon), &part.loads, now);
    }

    /// Handles the sum of another aggregator.
    pub(super) fn receive_sum(
        &mut self,
        from: ReplicaId,
        part: &LoadPart,
        address: SocketAddr,
        is_near: bool,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) {
        let peer = peer_entry(&mut self.peers, &self.times, from.daemon, address, is_near, now);
        let Some(update) = peer.reported.apply(from.incarnation, part, now) else { return };
        peer.expires_at = now + settings.idle_expiry();
        self.version += u64::from(update == Update::Changed);
        self.times.add(Origin::OtherAggregator(from.daemon), &part.loads, now);
    }

    /// Includes this daemon's own loads and token `times` in the sums.
    pub(super) fn set_own_loads(
        &mut self,
        own: &[ItemLoad],
        times: &[ItemLoad],
        reaches_groups: bool,
        now: Timestamp,
    ) {
        let loaded = own.iter().filter(|load| load.is_loaded());
        let loads: BTreeMap<u64, ItemLoad> =
            loaded.map(|load| (load.item, load.without_times())).collect();
        self.own_reaches_groups = reaches_groups;
        if !self.includes_own || loads != self.own_loads {
            self.version += 1;
        }
        self.includes_own = true;
        self.own_loads = loads;
        self.times.add(Origin::Follower(self.own), times, now);
    }

    /// Removes this daemon's own loads from the sums: they are reported to another aggregator.
    pub(super) fn remove_own_loads(&mut self) {
        if std::mem::take(&mut self.includes_own) {
            self.own_loads.clear();
            self.version += 1;
        }
    }

    /// Drops loads that were not renewed.
    pub(super) fn expire(&mut self, settings: &LoadSharingSettings, now: Timestamp) {
        let oldest = now - settings.expiry();
        let followers = self.followers.values_mut().map(|follower| &mut follower.reported);
        for reported in followers.chain(self.peers.values_mut().map(|peer| &mut peer.reported)) {
            if reported.drop_before(oldest) {
                self.version += 1;
            }
        }
        self.followers.retain(|_, follower| now < follower.expires_at);
        self.peers.retain(|_, peer| peer.is_expected || now < peer.expires_at);
        self.times.drop_before(oldest);
    }

    /// Next message that is due. The receiver that has waited longest comes first.
    pub(super) fn next_message(
        &mut self,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) -> Option<(SocketAddr, LoadMessage)> {
        self.sum_up();
        match self.next_receiver(settings, now)? {
            Receiver::Follower(daemon) => self.build_view(daemon, now),
            Receiver::Peer(daemon) => self.build_sum(daemon, now),
        }
    }

    /// The view of all other daemons' loads for this daemon itself, if it is due.
    pub(super) fn own_view(
        &mut self,
        settings: &LoadSharingSettings,
        now: Timestamp,
    ) -> Option<LoadPart> {
        self.sum_up();
        let (interval, renewal) =
            (settings.view_interval(), settings.renewal(self.total_sum.is_empty()));
        if !self.own_progress.is_due(self.version, interval, renewal, now) {
            return None;
        }
        let own = Origin::Follower(self.own);
        let is_other = |origin| origin != own;
        self.own_progress.begin_part(self.version, &self.times, is_other, false, now);
        let loads = subtract(&self.total_sum, 0, |item| self.own_loads.get(&item));
        let loads = with_token_times(loads, &self.own_progress.times, 0).collect();
        let age = self.age(Some(self.own), now);
        Some(LoadPart { number: 0, first: 0, last: u64::MAX, age, loads })
    }

    /// A few daemons that report that they reach owners of replica groups, without `excluded`.
    pub(super) fn reaching(&self, excluded: DaemonId) -> Vec<DaemonId> {
        let own = (self.includes_own && self.own_reaches_groups).then_some(self.own);
        let reaches =
            |follower: &Follower| follower.state.reaches_groups && !follower.state.is_leaving;
        let others = self.followers.iter().filter(|(_, follower)| reaches(follower));
        let all = own.into_iter().chain(others.map(|(daemon, _)| *daemon));
        all.filter(|daemon| *daemon != excluded).take(MAX_NAMED_REACHING).collect()
    }

    fn next_receiver(&self, settings: &LoadSharingSettings, now: Timestamp) -> Option<Receiver> {
        let renewal = settings.renewal(self.total_sum.is_empty());
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

    /// Whether a sum is due to a peer. An empty sum is sent once and not renewed: the sums sent before expire
    /// at the receiver.
    fn is_peer_due(&self, peer: &Peer, settings: &LoadSharingSettings, now: Timestamp) -> bool {
        let is_aggregating = self.includes_own || !self.followers.is_empty();
        let is_needed = !self.zone_sum.is_empty() || !peer.progress.was_empty;
        let interval = match peer.is_near {
            true => settings.view_interval(),
            false => settings.between_zones(),
        };
        let renewal = settings.renewal(false);
        let is_due = || peer.progress.is_due(self.version, interval, renewal, now);
        is_aggregating && is_needed && is_due()
    }

    fn build_view(
        &mut self,
        daemon: DaemonId,
        now: Timestamp,
    ) -> Option<(SocketAddr, LoadMessage)> {
        let age = self.age(Some(daemon), now);
        let reaching = self.reaching(daemon);
        let follower = self.followers.get_mut(&daemon)?;
        let progress = &mut follower.progress;
        let is_other = |origin| origin != Origin::Follower(daemon);
        let is_empty = self.total_sum.is_empty();
        let first = progress.begin_part(self.version, &self.times, is_other, is_empty, now);
        let reported = &follower.reported;
        let loads = subtract(&self.total_sum, first, |item| reported.get(item));
        let part = LoadPart::from(first, with_token_times(loads, &progress.times, first), age);
        progress.next_item = part.next();
        Some((follower.address, LoadMessage::View { part, reaching }))
    }

    fn build_sum(&mut self, daemon: DaemonId, now: Timestamp) -> Option<(SocketAddr, LoadMessage)> {
        let age = self.zone_age(None, now);
        let reply_to = self.own_address;
        let peer = self.peers.get_mut(&daemon)?;
        let progress = &mut peer.progress;
        let is_own = |origin| matches!(origin, Origin::Follower(_));
        let is_empty = self.zone_sum.is_empty();
        let first = progress.begin_part(self.version, &self.times, is_own, is_empty, now);
        let loads = subtract(&self.zone_sum, first, |_| None);
        let part = LoadPart::from(first, with_token_times(loads, &progress.times, first), age);
        progress.next_item = part.next();
        Some((peer.address, LoadMessage::Sum { part, reply_to }))
    }

    /// Age of the oldest figures, without those of the `excluded` daemon.
    fn age(&self, excluded: Option<DaemonId>, now: Timestamp) -> Duration {
        let peers = self.peers.values().map(|peer| peer.reported.age(now)).max();
        self.zone_age(excluded, now).max(peers.unwrap_or_default())
    }

    fn zone_age(&self, excluded: Option<DaemonId>, now: Timestamp) -> Duration {
        let others = self.followers.iter().filter(|(daemon, _)| Some(**daemon) != excluded);
        others.map(|(_, follower)| follower.reported.age(now)).max().unwrap_or_default()
    }

    fn sum_up(&mut self) {
        if self.summed_version == self.version {
            return;
        }
        self.summed_version = self.version;
        let own = self.own_loads.values().filter(|_| self.includes_own);
        let followers = self.followers.values().flat_map(|follower| follower.reported.iter());
        self.zone_sum = sum(own.chain(followers));
        let peers = self.peers.values().flat_map(|peer| peer.reported.iter());
        self.total_sum = sum(self.zone_sum.values().chain(peers));
    }
}

/// Returns the entry of another aggregator, updated to its current address.
fn peer_entry<'a>(
    peers: &'a mut BTreeMap<DaemonId, Peer>,
    times: &TokenTimesLog,
    daemon: DaemonId,
    address: SocketAddr,
    is_near: bool,
    now: Timestamp,
) -> &'a mut Peer {
    let peer = peers.entry(daemon).or_insert_with(|| Peer {
        address,
        is_near,
        is_expected: false,
        expires_at: now,
        reported: ReportedLoads::default(),
        progress: SendProgress::new(times),
    });
    (peer.address, peer.is_near) = (address, is_near);
    peer
}

fn sum<'a>(loads: impl Iterator<Item = &'a ItemLoad>) -> BTreeMap<u64, ItemLoad> {
    let mut sums = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(load.item).or_insert(ItemLoad::none(load.item));
        *sum = sum.plus(load);
    }
    sums
}

/// Subtracts `part` from the loads, beginning with the item `first`.
fn subtract<'a>(
    loads: &'a BTreeMap<u64, ItemLoad>,
    first: u64,
    part: impl Fn(u64) -> Option<&'a ItemLoad> + 'a,
) -> impl Iterator<Item = ItemLoad> + 'a {
    let rest = loads
        .range(first..)
        .map(move |(item, load)| part(*item).map_or(*load, |part| load.minus(part)));
    rest.filter(ItemLoad::is_loaded)
}

/// Merges loads with the token times of their items, beginning with the item `first`.
fn with_token_times<'a>(
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
        Some(load.plus(&time))
    })
}
