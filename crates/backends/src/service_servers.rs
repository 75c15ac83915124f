//! The servers of one service: found by identifier, and by zone in an order that all daemons share.
//! What is asked about all of them together is counted as they change, so that no question walks
//! over thousands of servers.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use dahlia_types::{Duration, Timestamp, Zone};

use crate::heard_load::HeardLoad;
use crate::pace::Pace;
use crate::rendezvous::weight;
use crate::server::Server;
use crate::smoothed::SmoothedCount;
use crate::{
    AttemptEnd, BackendId, BackendRecord, BackendSettings, ServerDigest, ServerLoad, TokenTimes,
};

/// Where a server is kept; of use until the server is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerKey(usize);

/// Ranks servers on their rings. Any number does, the same at all daemons.
const RING_HASH: u64 = 0;
/// What this daemon has under way is averaged over this time before it is taken for its usual load:
/// many times the time between two of its requests, in the largest fleets one or two a second.
const LOAD_SPAN: Duration = Duration::from_millis(10_000);

/// The servers of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceServers {
    arena: Vec<Option<Server>>,
    /// Keys that are free to be used again.
    free: Vec<ServerKey>,
    by_id: BTreeMap<BackendId, ServerKey>,
    by_digest: BTreeMap<ServerDigest, ServerKey>,
    zones: BTreeMap<Zone, ZoneServers>,
    /// Servers whose load others are to be told.
    telling: BTreeSet<ServerKey>,
    /// How soon the tokens of all of them come.
    pace: Pace,
    /// Servers whose time to an answer is known.
    timed: BTreeSet<ServerKey>,
    /// Attempts of this daemon that have not ended.
    in_flight: u32,
    /// The same, averaged over the time before.
    usual: SmoothedCount,
    /// Servers looked at so far: what all questions cost.
    servers_examined: Cell<u64>,
}

/// The servers of one zone.
#[derive(Debug, Default)]
struct ZoneServers {
    /// By the hash of their identifiers.
    ring: BTreeSet<(u64, ServerKey)>,
    slots: u64,
}

impl ServiceServers {
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// In the order of their identifiers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values().filter_map(|key| self.at(*key))
    }

    /// In no order.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers_examined.set(self.servers_examined.get() + self.by_id.len() as u64);
        self.arena.iter_mut().flatten()
    }

    pub(crate) fn get(&self, id: &BackendId) -> Option<&Server> {
        self.at(*self.by_id.get(id)?)
    }

    pub(crate) fn get_mut(&mut self, id: &BackendId) -> Option<&mut Server> {
        let ServerKey(place) = *self.by_id.get(id)?;
        self.arena.get_mut(place)?.as_mut()
    }

    /// Takes a record in. Returns whether its server is new.
    pub(crate) fn put(&mut self, record: BackendRecord, now: Timestamp) -> bool {
        let Some(&key) = self.by_id.get(&record.id) else {
            self.insert(Server::new(record, now));
            return true;
        };
        self.leave_ring(key);
        if let Some(server) = self.arena[key.0].as_mut() {
            server.record = record;
            server.is_withdrawn = false;
        }
        self.join_ring(key);
        false
    }

    pub(crate) fn remove(&mut self, id: &BackendId) {
        let Some(&key) = self.by_id.get(id) else { return };
        self.leave_ring(key);
        self.by_id.remove(id);
        self.timed.remove(&key);
        self.telling.remove(&key);
        self.free.push(key);
        if let Some(server) = self.arena[key.0].take() {
            self.by_digest.remove(&server.digest());
            self.in_flight -= server.in_flight;
        }
    }

    /// An attempt begins at a server.
    pub(crate) fn begin_attempt(
        &mut self,
        id: &BackendId,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        let before = self.in_flight;
        let Some(server) = self.get_mut(id) else { return };
        server.begin_attempt(settings, now);
        self.usual.note(before, LOAD_SPAN, now);
        self.in_flight += 1;
        self.telling.extend(self.by_id.get(id).copied());
    }

    /// An attempt ended at a server.
    pub(crate) fn end_attempt(
        &mut self,
        id: &BackendId,
        end: AttemptEnd,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        let before = self.in_flight;
        let Some(server) = self.get_mut(id) else { return };
        let at_server = server.in_flight;
        server.end_attempt(end, settings, now);
        let ended = at_server - server.in_flight;
        self.usual.note(before, LOAD_SPAN, now);
        self.in_flight -= ended;
    }

    /// Takes in how a server's time to an answer was sampled.
    pub(crate) fn sample(
        &mut self,
        id: &BackendId,
        settings: &BackendSettings,
        take_in: impl FnOnce(&mut Server),
    ) {
        let Some(&key) = self.by_id.get(id) else { return };
        let Some(server) = self.arena[key.0].as_mut() else { return };
        take_in(server);
        if server.latency(settings).is_some() {
            self.timed.insert(key);
        }
    }

    /// Tokens of a stream of this daemon came.
    pub(crate) fn record_token_times(&mut self, id: &BackendId, times: TokenTimes, now: Timestamp) {
        let Some(&key) = self.by_id.get(id) else { return };
        let Some(server) = self.arena[key.0].as_mut() else { return };
        server.record_token_times(times, now);
        self.pace.add(times, now);
        self.telling.insert(key);
    }

    /// Microseconds a token at all of them; none while nothing is known.
    pub(crate) fn usual_pace(&self) -> Option<f64> {
        self.pace.general()
    }

    /// This daemon's load of those that have any, or whose tokens came since the last call.
    pub(crate) fn take_own_loads(&mut self) -> Vec<ServerLoad> {
        let mut loads = Vec::with_capacity(self.telling.len());
        let arena = &mut self.arena;
        self.telling.retain(|ServerKey(place)| {
            let Some(server) = arena[*place].as_mut() else { return false };
            loads.push(server.tell_load());
            server.in_flight > 0
        });
        loads.retain(|load| load.in_flight > 0 || load.times != TokenTimes::default());
        loads
    }

    /// The servers whose digests lie in a range, in their order.
    pub(crate) fn keys_in(
        &self,
        range: &RangeInclusive<ServerDigest>,
    ) -> Vec<(ServerDigest, ServerKey)> {
        self.by_digest.range(range.clone()).map(|(digest, key)| (*digest, *key)).collect()
    }

    /// Takes in others' load of a server as it was `at` a moment. Returns whether it could have it.
    pub(crate) fn heard_load(
        &mut self,
        key: ServerKey,
        load: &ServerLoad,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(server) = self.arena[key.0].as_mut() else { return false };
        let Some(heard) = HeardLoad::read(load, server.record.slots, at) else { return false };
        server.heard(heard);
        if load.times.tokens > 0 {
            // Times are told once and at once, so that they are younger than the loads beside them.
            server.pace.add(load.times, now);
            self.pace.add(load.times, now);
        }
        true
    }

    /// None of the others used a server at a moment.
    pub(crate) fn heard_none(&mut self, key: ServerKey, at: Timestamp) {
        if let Some(server) = self.arena[key.0].as_mut() {
            server.heard(HeardLoad::none(at));
        }
    }

    /// Servers whose time to an answer is known.
    pub(crate) fn all_timed(&self) -> impl Iterator<Item = &Server> {
        self.timed.iter().filter_map(|key| self.at(*key))
    }

    /// Attempts of this daemon that have not ended.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The same, averaged over the time before.
    pub(crate) fn usual_in_flight(&self, now: Timestamp) -> f64 {
        self.usual.at(self.in_flight, LOAD_SPAN, now)
    }

    /// Zones that have servers, with the slots of all servers there.
    pub(crate) fn zones(&self) -> impl Iterator<Item = (&Zone, u64)> {
        self.zones.iter().map(|(zone, servers)| (zone, servers.slots))
    }

    /// Servers looked at so far, over all questions.
    pub(crate) fn servers_examined(&self) -> u64 {
        self.servers_examined.get()
    }

    /// The servers of a zone, each once, from the place of a hash on. All daemons see the same order.
    pub(crate) fn from(&self, zone: &Zone, hash: u64) -> impl Iterator<Item = &Server> {
        let ring = self.zones.get(zone).map(|servers| &servers.ring);
        let first = (hash, ServerKey(0));
        let behind = ring.into_iter().flat_map(move |ring| ring.range(first..));
        let before = ring.into_iter().flat_map(move |ring| ring.range(..first));
        behind.chain(before).filter_map(|(_, key)| self.at(*key))
    }

    fn at(&self, ServerKey(place): ServerKey) -> Option<&Server> {
        self.servers_examined.set(self.servers_examined.get() + 1);
        self.arena.get(place)?.as_ref()
    }

    fn insert(&mut self, server: Server) {
        let id = server.record.id.clone();
        let digest = server.digest();
        let key = self.free.pop().unwrap_or_else(|| {
            self.arena.push(None);
            ServerKey(self.arena.len() - 1)
        });
        self.arena[key.0] = Some(server);
        self.by_id.insert(id, key);
        self.by_digest.insert(digest, key);
        self.join_ring(key);
    }

    fn join_ring(&mut self, key: ServerKey) {
        let Some(server) = self.arena[key.0].as_ref() else { return };
        let place = (weight(RING_HASH, &server.record.id), key);
        let zone = self.zones.entry(server.record.zone.clone()).or_default();
        zone.ring.insert(place);
        zone.slots += u64::from(server.record.slots);
    }

    fn leave_ring(&mut self, key: ServerKey) {
        let Some(server) = self.arena[key.0].as_ref() else { return };
        let place = (weight(RING_HASH, &server.record.id), key);
        let Some(zone) = self.zones.get_mut(&server.record.zone) else { return };
        zone.ring.remove(&place);
        zone.slots -= u64::from(server.record.slots);
        if zone.ring.is_empty() {
            self.zones.remove(&server.record.zone);
        }
    }
}
