//! The servers of one service: found by identifier, and by zone in an order that all daemons share.
//!
//! Aggregates over all of them are updated with each change, so that no query iterates over
//! thousands of servers.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use dahlia_types::{Duration, Timestamp, Zone};

use crate::rendezvous::weight;
use crate::reported_load::ReportedLoad;
use crate::server::Server;
use crate::smoothed_count::SmoothedCount;
use crate::time_per_token::TimePerToken;
use crate::{
    AttemptEnd, BackendId, BackendRecord, BackendSettings, ServerDigest, ServerLoad, TokenTimes,
};

/// An index into the arena, valid until the server is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerKey(usize);

/// Ranks servers on their rings. The value is arbitrary but must be the same at all daemons.
const RING_SALT: u64 = 0;
/// The time over which this daemon's attempts are averaged. It is many times the interval between
/// two of its requests; in the largest fleets a daemon has one or two a second.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(10_000);

/// The servers of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceServers {
    arena: Vec<Option<Server>>,
    /// Keys that can be reused.
    free: Vec<ServerKey>,
    by_id: BTreeMap<BackendId, ServerKey>,
    by_digest: BTreeMap<ServerDigest, ServerKey>,
    zones: BTreeMap<Zone, ZoneServers>,
    /// Servers whose load must be reported to other daemons.
    to_report: BTreeSet<ServerKey>,
    /// The time per token over all servers.
    time_per_token: TimePerToken,
    /// Servers with a known latency.
    with_latency: BTreeSet<ServerKey>,
    /// This daemon's attempts that have not ended.
    in_flight: u32,
    /// `in_flight`, averaged over time.
    average_in_flight: SmoothedCount,
    /// The number of servers examined so far, which is the cost of all queries.
    servers_examined: Cell<u64>,
}

/// The servers of one zone.
#[derive(Debug, Default)]
struct ZoneServers {
    /// Ordered by the hash of their identifiers.
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

    /// Iterates in the order of identifiers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values().filter_map(|key| self.get_by_key(*key))
    }

    /// Iterates in no particular order.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers_examined.set(self.servers_examined.get() + self.by_id.len() as u64);
        self.arena.iter_mut().flatten()
    }

    pub(crate) fn get(&self, id: &BackendId) -> Option<&Server> {
        self.get_by_key(*self.by_id.get(id)?)
    }

    pub(crate) fn get_mut(&mut self, id: &BackendId) -> Option<&mut Server> {
        let ServerKey(index) = *self.by_id.get(id)?;
        self.arena.get_mut(index)?.as_mut()
    }

    /// Inserts or updates a record. Returns whether its server is new.
    pub(crate) fn put(&mut self, record: BackendRecord, now: Timestamp) -> bool {
        let Some(&key) = self.by_id.get(&record.id) else {
            self.insert(Server::new(record, now));
            return true;
        };
        self.remove_from_ring(key);
        if let Some(server) = self.arena[key.0].as_mut() {
            server.record = record;
            server.is_withdrawn = false;
        }
        self.add_to_ring(key);
        false
    }

    pub(crate) fn remove(&mut self, id: &BackendId) {
        let Some(&key) = self.by_id.get(id) else { return };
        self.remove_from_ring(key);
        self.by_id.remove(id);
        self.with_latency.remove(&key);
        self.to_report.remove(&key);
        self.free.push(key);
        if let Some(server) = self.arena[key.0].take() {
            self.by_digest.remove(&server.digest());
            self.in_flight -= server.in_flight;
        }
    }

    /// Records the start of an attempt at a server.
    pub(crate) fn begin_attempt(
        &mut self,
        id: &BackendId,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        let before = self.in_flight;
        let Some(server) = self.get_mut(id) else { return };
        server.begin_attempt(settings, now);
        self.average_in_flight.record(before, LOAD_TIME_CONSTANT, now);
        self.in_flight += 1;
        self.to_report.extend(self.by_id.get(id).copied());
    }

    /// Records the end of an attempt at a server.
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
        self.average_in_flight.record(before, LOAD_TIME_CONSTANT, now);
        self.in_flight -= ended;
    }

    /// Applies `record` to a server, which adds a sample of its latency.
    pub(crate) fn record_latency_sample(
        &mut self,
        id: &BackendId,
        settings: &BackendSettings,
        record: impl FnOnce(&mut Server),
    ) {
        let Some(&key) = self.by_id.get(id) else { return };
        let Some(server) = self.arena[key.0].as_mut() else { return };
        record(server);
        if server.latency(settings).is_some() {
            self.with_latency.insert(key);
        }
    }

    /// Records the times between tokens of one of this daemon's streams.
    pub(crate) fn record_token_times(&mut self, id: &BackendId, times: TokenTimes, now: Timestamp) {
        let Some(&key) = self.by_id.get(id) else { return };
        let Some(server) = self.arena[key.0].as_mut() else { return };
        server.record_token_times(times, now);
        self.time_per_token.record(times, now);
        self.to_report.insert(key);
    }

    /// Returns the mean microseconds per token over all servers, or `None` without samples.
    pub(crate) fn mean_token_micros(&self) -> Option<f64> {
        self.time_per_token.long_term_micros()
    }

    /// Returns this daemon's load of servers that have any, or whose tokens arrived since the last
    /// call.
    pub(crate) fn take_own_loads(&mut self) -> Vec<ServerLoad> {
        let mut loads = Vec::with_capacity(self.to_report.len());
        let arena = &mut self.arena;
        self.to_report.retain(|ServerKey(index)| {
            let Some(server) = arena[*index].as_mut() else { return false };
            loads.push(server.take_load_report());
            server.in_flight > 0
        });
        loads.retain(|load| load.in_flight > 0 || load.times != TokenTimes::default());
        loads
    }

    /// Returns the servers whose digests lie in a range, in the order of digests.
    pub(crate) fn keys_in(
        &self,
        range: &RangeInclusive<ServerDigest>,
    ) -> Vec<(ServerDigest, ServerKey)> {
        self.by_digest.range(range.clone()).map(|(digest, key)| (*digest, *key)).collect()
    }

    /// Applies a report of other daemons' load of a server. Returns `false` if the server cannot
    /// have that load.
    pub(crate) fn apply_load_report(
        &mut self,
        key: ServerKey,
        load: &ServerLoad,
        measured_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(server) = self.arena[key.0].as_mut() else { return false };
        let Some(reported) = ReportedLoad::from_report(load, server.record.slots, measured_at)
        else {
            return false;
        };
        server.record_reported_load(reported);
        if load.times.tokens > 0 {
            // Token times are reported once and without delay, so they are more recent than the
            // loads in the same view.
            server.time_per_token.record(load.times, now);
            self.time_per_token.record(load.times, now);
        }
        true
    }

    /// Records that other daemons had no attempts at a server.
    pub(crate) fn apply_idle_report(&mut self, key: ServerKey, measured_at: Timestamp) {
        if let Some(server) = self.arena[key.0].as_mut() {
            server.record_reported_load(ReportedLoad::idle(measured_at));
        }
    }

    /// Iterates over the servers with a known latency.
    pub(crate) fn servers_with_latency(&self) -> impl Iterator<Item = &Server> {
        self.with_latency.iter().filter_map(|key| self.get_by_key(*key))
    }

    /// Returns this daemon's attempts that have not ended.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns this daemon's attempts, averaged over time.
    pub(crate) fn average_in_flight(&self, now: Timestamp) -> f64 {
        self.average_in_flight.average_at(self.in_flight, LOAD_TIME_CONSTANT, now)
    }

    /// Iterates over the zones that have servers, with the sum of their slots.
    pub(crate) fn zones(&self) -> impl Iterator<Item = (&Zone, u64)> {
        self.zones.iter().map(|(zone, servers)| (zone, servers.slots))
    }

    /// Returns the number of servers examined so far, over all queries.
    pub(crate) fn servers_examined(&self) -> u64 {
        self.servers_examined.get()
    }

    /// Iterates once over the servers of a zone, starting at the position of a hash on the zone's
    /// ring. The order is the same at all daemons.
    pub(crate) fn ring_from(&self, zone: &Zone, hash: u64) -> impl Iterator<Item = &Server> {
        let ring = self.zones.get(zone).map(|servers| &servers.ring);
        let first = (hash, ServerKey(0));
        let after = ring.into_iter().flat_map(move |ring| ring.range(first..));
        let before = ring.into_iter().flat_map(move |ring| ring.range(..first));
        after.chain(before).filter_map(|(_, key)| self.get_by_key(*key))
    }

    fn get_by_key(&self, ServerKey(index): ServerKey) -> Option<&Server> {
        self.servers_examined.set(self.servers_examined.get() + 1);
        self.arena.get(index)?.as_ref()
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
        self.add_to_ring(key);
    }

    fn add_to_ring(&mut self, key: ServerKey) {
        let Some(server) = self.arena[key.0].as_ref() else { return };
        let position = (weight(RING_SALT, &server.record.id), key);
        let zone = self.zones.entry(server.record.zone.clone()).or_default();
        zone.ring.insert(position);
        zone.slots += u64::from(server.record.slots);
    }

    fn remove_from_ring(&mut self, key: ServerKey) {
        let Some(server) = self.arena[key.0].as_ref() else { return };
        let position = (weight(RING_SALT, &server.record.id), key);
        let Some(zone) = self.zones.get_mut(&server.record.zone) else { return };
        zone.ring.remove(&position);
        zone.slots -= u64::from(server.record.slots);
        if zone.ring.is_empty() {
            self.zones.remove(&server.record.zone);
        }
    }
}
