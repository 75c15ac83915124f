//! All servers of all services, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Bound;

use dahlia_types::{Duration, Timestamp, Zone};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cold::ColdStart;
use crate::evacuated_zones::EvacuatedZones;
use crate::load_table::UnusedLoads;
use crate::nearness::Nearness;
use crate::overflow::Overflow;
use crate::pick::NO_BACKEND_RETRY;
use crate::server::Server;
use crate::service_servers::ServiceServers;
use crate::shares::PromptShares;
use crate::silent_zones::SilentZones;
use crate::topology::Topology;
use crate::{
    AttemptEnd, BackendAddress, BackendId, BackendRecord, BackendSettings, Choice, ChoiceRequest,
    Distance, EngineCapacity, EvacuatedZone, Regions, ServiceName,
};

/// Told of each attempt of this daemon that a server failed while it was not suspect.
pub type FailureListener = Box<dyn Fn(&BackendId) + Send>;

/// All servers that this daemon knows.
pub struct Backends {
    pub(crate) settings: BackendSettings,
    pub(crate) topology: Topology,
    pub(crate) random: ChaCha8Rng,
    pub(crate) services: BTreeMap<ServiceName, ServiceServers>,
    pub(crate) nearness: BTreeMap<ServiceName, Nearness>,
    pub(crate) overflow: BTreeMap<ServiceName, Overflow>,
    /// Where each server is listed, so that ends of attempts find it.
    pub(crate) listed: BTreeMap<BackendId, ServiceName>,
    pub(crate) shares: PromptShares,
    evacuated: EvacuatedZones,
    silent: SilentZones,
    pub(crate) cold: ColdStart,
    /// What the model servers of services have.
    pub(crate) engines: BTreeMap<ServiceName, EngineCapacity>,
    pub(crate) unused_loads: UnusedLoads,
    /// Tells this daemon from others where each is to decide another way.
    pub(crate) seed: u64,
    on_failure: Option<FailureListener>,
}

impl fmt::Debug for Backends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backends").field("services", &self.services).finish_non_exhaustive()
    }
}

impl Backends {
    /// A table without servers, for a daemon in `own_zone`.
    pub fn new(settings: BackendSettings, own_zone: Zone, seed: u64) -> Self {
        Self {
            settings,
            topology: Topology::new(own_zone, Regions::default()),
            random: ChaCha8Rng::seed_from_u64(seed),
            services: BTreeMap::new(),
            nearness: BTreeMap::new(),
            overflow: BTreeMap::new(),
            listed: BTreeMap::new(),
            shares: PromptShares::default(),
            evacuated: EvacuatedZones::default(),
            silent: SilentZones::default(),
            cold: ColdStart::default(),
            engines: BTreeMap::new(),
            unused_loads: UnusedLoads::default(),
            seed,
            on_failure: None,
        }
    }

    /// The same in a deployment of several regions.
    pub fn with_regions(mut self, regions: Regions) -> Self {
        self.topology = Topology::new(self.topology.own_zone().clone(), regions);
        self
    }

    /// Takes in what discovery says of a server. What this daemon learnt of that life stays; an
    /// earlier life is forgotten, and none comes after a later one.
    pub fn put(&mut self, record: BackendRecord, now: Timestamp) {
        let id = record.id.clone();
        if self.has_later_incarnation(&id) {
            return;
        }
        let listed = self.listed.insert(id.clone(), record.service.clone());
        if listed.is_some_and(|service| service != record.service) {
            self.take_out(&id);
        }
        self.forget_earlier_lives(&id);
        let servers = self.services.entry(record.service.clone()).or_default();
        let cold_for = record.cold_for;
        if servers.put(record, now) {
            self.join(&id, now);
        }
        self.heard_cold(&id, cold_for, now);
    }

    /// What discovery says of a server cannot be used: it gets no new work until it is put again. It
    /// has not ended, so what it may still be running counts.
    pub fn withdraw(&mut self, id: &BackendId) {
        if let Some((server, _)) = self.server_mut(id) {
            server.is_withdrawn = true;
        }
    }

    /// Whether a server is known to have started again since this life: whatever it had is lost.
    pub fn has_later_incarnation(&self, id: &BackendId) -> bool {
        let later = (Bound::Excluded(id), Bound::Unbounded);
        self.listed.range(later).next().is_some_and(|(next, _)| next.name == id.name)
    }

    /// Discovery no longer lists a server: it gets no new work.
    pub fn remove(&mut self, id: &BackendId, _now: Timestamp) {
        self.take_out(id);
        self.listed.remove(id);
    }

    /// Servers of these zones, now or later, get nothing further; those of all others may.
    pub fn evacuate(&mut self, zones: BTreeSet<Zone>) {
        self.evacuated.set(zones);
    }

    /// Nobody of these zones answers this daemon, and of all others somebody does: servers there get
    /// work only while no others take it, but for a request now and then, until one of them answers.
    pub fn set_silent_zones(&mut self, zones: BTreeSet<Zone>) {
        self.silent.set(zones);
    }

    /// Whether a server lies in a zone of which nobody answers, and is not to be tried now.
    pub(crate) fn is_in_silent_zone(&self, server: &Server, now: Timestamp) -> bool {
        self.silent.passes_over(&server.record, now)
    }

    /// Whether a server lies in a zone that is being emptied.
    pub fn is_evacuated(&self, id: &BackendId) -> bool {
        self.server(id).is_some_and(|server| self.evacuated.has(&server.record))
    }

    /// The zones that are being emptied, and what is left there.
    pub fn evacuations(&self) -> Vec<EvacuatedZone> {
        let servers = self.services.values().flat_map(ServiceServers::iter);
        self.evacuated.survey(servers.map(|server| (&server.record, server.in_flight)))
    }

    /// Whether a server, in this life, has ended or is about to: discovery or it itself said so.
    pub fn is_leaving_or_gone(&self, id: &BackendId) -> bool {
        self.server(id).is_none_or(Server::is_ending)
    }

    /// Whether a server failed so often of late that others are better.
    pub fn is_suspect(&self, id: &BackendId, now: Timestamp) -> bool {
        self.server(id).is_some_and(|server| server.is_suspect(&self.settings, now))
    }

    /// All servers listed, in the order of their identifiers.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.listed.keys()
    }

    /// Servers looked at so far, whatever was asked: what choices cost grows with these.
    pub fn servers_examined(&self) -> u64 {
        self.services.values().map(ServiceServers::servers_examined).sum()
    }

    /// Attempts of this daemon at a service that have not ended.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceServers::in_flight)
    }

    /// Chooses a server. On [`Choice::Use`] the attempt counts as begun.
    pub fn choose(&mut self, ask: &ChoiceRequest<'_>, now: Timestamp) -> Choice {
        self.settle_cold(ask, now);
        self.silent.look(now);
        let Some((id, basis)) = self.pick(ask, now) else {
            return self.refuse(ask, now);
        };
        let servers = self.services.get_mut(ask.service);
        let Some((servers, address)) = servers.and_then(|servers| {
            let record = &servers.get(&id)?.record;
            self.silent.sent(&record.zone, now);
            let address = record.address;
            Some((servers, address))
        }) else {
            return Choice::NoBackend { retry_after: NO_BACKEND_RETRY };
        };
        servers.begin_attempt(&id, &self.settings, now);
        if let Some(server) = ask.size.and_then(|size| Some((size, servers.get_mut(&id)?))) {
            let (size, server) = server;
            server.reserve(size);
        }
        Choice::Use { server: BackendAddress { id, address }, basis }
    }

    /// Sets who is told of failures, so that other daemons hear of them.
    pub fn on_failure(&mut self, listener: FailureListener) {
        self.on_failure = Some(listener);
    }

    /// Takes in that other daemons saw attempts at a server fail. They count as this daemon's own:
    /// with many daemons each meets a server rarely.
    pub fn add_reported_failures(&mut self, id: &BackendId, failures: u8, now: Timestamp) {
        if let Some((server, settings)) = self.server_mut(id) {
            server.add_failures(f64::from(failures), settings, now);
        }
    }

    /// Takes in how an attempt ended.
    pub fn end_attempt(&mut self, id: &BackendId, end: AttemptEnd, now: Timestamp) {
        if matches!(end, AttemptEnd::Broken | AttemptEnd::Failed) {
            self.tell_failure(id, now);
        }
        if end == AttemptEnd::Answered {
            self.note_answering_zone(id);
        }
        if let Some((servers, settings)) = self.servers_of(id) {
            servers.end_attempt(id, end, settings, now);
        }
    }

    /// Takes in how long a server took until its answer began.
    pub fn record_response_time(&mut self, id: &BackendId, time: Duration, now: Timestamp) {
        let Some((servers, settings)) = self.servers_of(id) else { return };
        servers.sample(id, settings, |server| server.record_response_time(time, settings, now));
        let Some(server) = self.server(id) else { return };
        let (service, zone) = (server.record.service.clone(), server.record.zone.clone());
        let distance = self.topology.distance(&zone);
        let overflow = self.overflow.entry(service.clone()).or_default();
        overflow.record_response_time(distance != Distance::OtherRegion, time, now);
        if distance != Distance::OtherRegion {
            let nearness = self.nearness.entry(service).or_default();
            nearness.record_response_time(distance == Distance::SameZone, time, now);
        }
    }

    /// Takes in that an attempt ended without an answer after this time.
    pub fn record_unanswered(&mut self, id: &BackendId, time: Duration, now: Timestamp) {
        if let Some((servers, settings)) = self.servers_of(id) {
            servers.sample(id, settings, |server| server.record_unanswered(time, settings, now));
        }
    }

    fn note_answering_zone(&mut self, id: &BackendId) {
        if let Some(zone) = self.server(id).map(|server| server.record.zone.clone()) {
            self.silent.heard(&zone);
        }
    }

    fn tell_failure(&self, id: &BackendId, now: Timestamp) {
        let server = self.server(id);
        // Others know of one that is suspect here, or soon will.
        let is_news = server.is_some_and(|server| !server.is_suspect(&self.settings, now));
        if let Some(listener) = self.on_failure.as_ref().filter(|_| is_news) {
            listener(id);
        }
    }

    pub(crate) fn servers_of(
        &mut self,
        id: &BackendId,
    ) -> Option<(&mut ServiceServers, &BackendSettings)> {
        let service = self.listed.get(id)?;
        Some((self.services.get_mut(service)?, &self.settings))
    }

    pub(crate) fn server_mut(&mut self, id: &BackendId) -> Option<(&mut Server, &BackendSettings)> {
        let (servers, settings) = self.servers_of(id)?;
        Some((servers.get_mut(id)?, settings))
    }

    fn server(&self, id: &BackendId) -> Option<&Server> {
        self.services.get(self.listed.get(id)?)?.get(id)
    }

    /// Whether a server takes new work, and its zone is not being emptied.
    pub(crate) fn takes_work(&self, server: &Server) -> bool {
        server.takes_work() && !self.evacuated.has(&server.record)
    }

    fn forget_earlier_lives(&mut self, id: &BackendId) {
        let first = BackendId::new(id.name.clone(), 0);
        let earlier: Vec<BackendId> =
            self.listed.range(first..id.clone()).map(|(earlier, _)| earlier.clone()).collect();
        for earlier in earlier {
            self.take_out(&earlier);
            self.listed.remove(&earlier);
        }
    }

    fn take_out(&mut self, id: &BackendId) {
        self.cold.forget(id);
        for servers in self.services.values_mut() {
            servers.remove(id);
        }
        self.services.retain(|_, servers| !servers.is_empty());
    }
}
