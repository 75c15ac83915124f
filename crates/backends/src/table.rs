//! All servers of all services, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Bound;

use dahlia_types::{Duration, Timestamp, Zone};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cold_limiter::ColdLimiter;
use crate::departures::{Departure, Departures};
use crate::evacuated_zones::EvacuatedZones;
use crate::load_exchange::RejectedLoads;
use crate::prompt_shares::PromptShares;
use crate::region_overflow::RegionOverflow;
use crate::selection::NO_BACKEND_RETRY;
use crate::server::Server;
use crate::service_servers::ServiceServers;
use crate::silent_zones::SilentZones;
use crate::topology::Topology;
use crate::version::VersionHistory;
use crate::zone_preference::ZonePreference;
use crate::{
    AttemptEnd, BackendAddress, BackendId, BackendRecord, BackendSettings, BackendState, Choice,
    ChoiceBasis, ChoiceRequest, Distance, EngineCapacity, EvacuatedZone, Regions, ServiceName,
    VersionView,
};

/// Called with the server of each of this daemon's failed attempts, unless the server was already
/// suspect.
pub type FailureListener = Box<dyn Fn(&BackendId) + Send>;

/// All servers that this daemon knows.
pub struct Backends {
    pub(crate) settings: BackendSettings,
    pub(crate) topology: Topology,
    pub(crate) random: ChaCha8Rng,
    pub(crate) services: BTreeMap<ServiceName, ServiceServers>,
    pub(crate) zone_preferences: BTreeMap<ServiceName, ZonePreference>,
    pub(crate) region_overflows: BTreeMap<ServiceName, RegionOverflow>,
    /// The service that lists each server, to find the server when an attempt ends.
    pub(crate) service_by_id: BTreeMap<BackendId, ServiceName>,
    pub(crate) prompt_shares: PromptShares,
    evacuated_zones: EvacuatedZones,
    silent_zones: SilentZones,
    pub(crate) departures: Departures,
    /// Until when servers that appear may have left before this daemon started.
    pub(crate) departures_unknown_until: Timestamp,
    /// The end of the latest probation.
    pub(crate) probations_end_at: Timestamp,
    pub(crate) cold_limiter: ColdLimiter,
    /// The capacity of the model servers of each service.
    pub(crate) engines: BTreeMap<ServiceName, EngineCapacity>,
    /// The versions that each service had, also of services without servers.
    versions: BTreeMap<ServiceName, VersionHistory>,
    pub(crate) rejected_loads: RejectedLoads,
    /// The time as of which discovery's list of servers is complete here.
    pub(crate) complete_as_of: Option<Timestamp>,
    /// Differs between daemons, for choices that should differ between them.
    pub(crate) seed: u64,
    on_failure: Option<FailureListener>,
}

impl fmt::Debug for Backends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backends").field("services", &self.services).finish_non_exhaustive()
    }
}

impl Backends {
    /// Creates a table without servers, for a daemon in `own_zone`.
    pub fn new(settings: BackendSettings, own_zone: Zone, seed: u64) -> Self {
        Self {
            settings,
            topology: Topology::new(own_zone, Regions::default()),
            random: ChaCha8Rng::seed_from_u64(seed),
            services: BTreeMap::new(),
            zone_preferences: BTreeMap::new(),
            region_overflows: BTreeMap::new(),
            service_by_id: BTreeMap::new(),
            prompt_shares: PromptShares::default(),
            evacuated_zones: EvacuatedZones::default(),
            silent_zones: SilentZones::default(),
            departures: Departures::default(),
            departures_unknown_until: Timestamp::ZERO,
            probations_end_at: Timestamp::ZERO,
            cold_limiter: ColdLimiter::default(),
            engines: BTreeMap::new(),
            versions: BTreeMap::new(),
            rejected_loads: RejectedLoads::default(),
            complete_as_of: None,
            seed,
            on_failure: None,
        }
    }

    /// Sets the regions, for a deployment of several regions.
    pub fn with_regions(mut self, regions: Regions) -> Self {
        self.topology = Topology::new(self.topology.own_zone().clone(), regions);
        self
    }

    /// Applies a record from discovery. What this daemon learnt about that incarnation is kept;
    /// earlier incarnations are removed. A record of an earlier incarnation than the known one is
    /// ignored. An incarnation that announced that it leaves is leaving whatever the record says, and one that had
    /// disappeared is on probation, as is one after which a later incarnation left.
    pub fn put(&mut self, mut record: BackendRecord, now: Timestamp) {
        let id = record.id.clone();
        if self.has_later_incarnation(&id) {
            return;
        }
        let departure = self.departures.get(&id);
        // An incarnation after a known one has just begun.
        let may_have_left = now < self.departures_unknown_until
            && departure.is_none()
            && !self.knows_earlier_incarnation(&id);
        if departure == Some(Departure::Announced) {
            record.state = BackendState::Draining;
        }
        if record.state == BackendState::Draining {
            self.departures.record(&id, Departure::Announced);
        }
        self.record_version(&record, now);
        let previous = self.service_by_id.insert(id.clone(), record.service.clone());
        if previous.is_some_and(|service| service != record.service) {
            self.remove_from_services(&id);
        }
        self.remove_earlier_incarnations(&id, now);
        let service = record.service.clone();
        let servers = self.services.entry(service.clone()).or_default();
        let cold_for = record.cold_for;
        if servers.put(record, now) {
            self.assume_initial_load(&id, now);
            match departure == Some(Departure::Unannounced) || may_have_left {
                true => self.begin_probation_of_returned(&id, &service, now),
                false => self.begin_probation_after_later_incarnation(&id, now),
            }
        }
        self.record_cold_for(&id, cold_for, now);
    }

    /// Records that all changes of the list of servers up to a time are applied.
    pub fn record_complete_as_of(&mut self, as_of: Timestamp) {
        if let Some(before) = self.complete_as_of {
            self.extend_probations(before, as_of);
        }
        self.complete_as_of = self.complete_as_of.max(Some(as_of));
    }

    /// Returns the time as of which the list of servers is complete; none if that was never known.
    pub fn complete_as_of(&self) -> Option<Timestamp> {
        self.complete_as_of
    }

    /// Returns when an attempt at a listed server last began.
    pub fn last_sent_at(&self, id: &BackendId) -> Option<Timestamp> {
        self.server(id)?.last_sent_at
    }

    /// Suspends a server whose record from discovery cannot be used: it gets no new work until the
    /// next [`Self::put`]. It has not ended, so attempts that it may still be running count.
    pub fn withdraw(&mut self, id: &BackendId) {
        if let Some((server, _)) = self.server_mut(id) {
            server.is_withdrawn = true;
        }
    }

    /// Whether a later incarnation of the server is known. Everything that this incarnation held is
    /// lost then.
    pub fn has_later_incarnation(&self, id: &BackendId) -> bool {
        let later = (Bound::Excluded(id), Bound::Unbounded);
        self.service_by_id.range(later).next().is_some_and(|(next, _)| next.name == id.name)
    }

    /// Returns how an incarnation of a server has left; none if it has not, or so long ago that it is forgotten.
    pub fn departure(&self, id: &BackendId) -> Option<Departure> {
        self.departures.get(id)
    }

    /// Removes a server that discovery no longer lists: it gets no new work.
    pub fn remove(&mut self, id: &BackendId, now: Timestamp) {
        let departure = match self.server(id).is_some_and(Server::is_ending) {
            true => Departure::Announced,
            false => Departure::Unannounced,
        };
        self.departures.record(id, departure);
        self.forget_version(id, now);
        self.remove_from_services(id);
        self.service_by_id.remove(id);
    }

    /// Sets the evacuated zones. Their servers, including those added later, get no new requests;
    /// servers of all other zones may get them again.
    pub fn evacuate(&mut self, zones: BTreeSet<Zone>) {
        self.evacuated_zones.set(zones);
    }

    /// Sets the silent zones: no daemon there answers this one, while every other zone has one that
    /// does. Servers there get work only while no other server takes it, except for an occasional
    /// probe, until one of them answers.
    pub fn set_silent_zones(&mut self, zones: BTreeSet<Zone>) {
        self.silent_zones.set(zones);
    }

    /// Whether a server lies in a silent zone whose next probe is not due.
    pub(crate) fn is_in_silent_zone(&self, server: &Server, now: Timestamp) -> bool {
        self.silent_zones.excludes(&server.record, now)
    }

    /// Whether a server lies in an evacuated zone.
    pub fn is_evacuated(&self, id: &BackendId) -> bool {
        self.server(id).is_some_and(|server| self.evacuated_zones.contains(&server.record))
    }

    /// Returns the evacuated zones with their remaining attempts.
    pub fn evacuations(&self) -> Vec<EvacuatedZone> {
        let servers = self.services.values().flat_map(ServiceServers::iter);
        self.evacuated_zones.progress(servers.map(|server| (&server.record, server.in_flight)))
    }

    /// Whether this incarnation of a server has ended or is about to, as reported by discovery or
    /// by the server itself.
    pub fn is_leaving_or_gone(&self, id: &BackendId) -> bool {
        self.server(id).is_none_or(Server::is_ending)
    }

    /// Whether a server has announced that it leaves.
    pub fn is_draining(&self, id: &BackendId) -> bool {
        self.server(id).is_some_and(|server| server.record.state == BackendState::Draining)
    }

    /// Whether another incarnation or another server has taken the place of a server, which has ended then.
    pub fn has_successor(&self, id: &BackendId, address: SocketAddr) -> bool {
        let has_its_place = |record: &BackendRecord| record.address == address && record.id != *id;
        let mut records = self.services.values().flat_map(ServiceServers::iter);
        self.has_later_incarnation(id) || records.any(|it| has_its_place(&it.record))
    }

    /// Whether a server failed so often recently that others are better.
    pub fn is_suspect(&self, id: &BackendId, now: Timestamp) -> bool {
        self.server(id).is_some_and(|server| server.is_suspect(&self.settings, now))
    }

    /// Iterates over all listed servers, in the order of their identifiers.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.service_by_id.keys()
    }

    /// Returns the number of servers examined so far, over all calls. The cost of choices grows
    /// with it.
    pub fn servers_examined(&self) -> u64 {
        self.services.values().map(ServiceServers::servers_examined).sum()
    }

    /// Returns the software versions that a service has, or had until recently.
    pub fn versions(&self, service: &ServiceName, now: Timestamp) -> VersionView {
        self.versions.get(service).map_or(VersionView::Nothing, |versions| versions.view(now))
    }

    /// Returns the software versions of all services.
    pub fn all_versions(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ServiceName, VersionView)> {
        self.versions.iter().map(move |(service, versions)| (service, versions.view(now)))
    }

    /// Returns this daemon's attempts at a service that have not ended.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceServers::in_flight)
    }

    /// Chooses a server. On [`Choice::Use`] the attempt counts as begun.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>, now: Timestamp) -> Choice {
        self.update_cold_state(request, now);
        self.silent_zones.schedule_probes(now);
        let selected = match self.select(request, now) {
            None if self.review_probations(request.service, now) => self.select(request, now),
            selected => selected,
        };
        let Some((id, basis)) = selected else {
            return self.refuse(request, now);
        };
        let list_age = self.complete_as_of.map(|as_of| now.since(as_of));
        let listed_again = self.server(&id).and_then(|server| server.listed_again_at);
        let listed_again = listed_again.map(|at| now.since(at));
        let basis = ChoiceBasis { list_age, listed_again, ..basis };
        let servers = self.services.get_mut(request.service);
        let Some((servers, address)) = servers.and_then(|servers| {
            let record = &servers.get(&id)?.record;
            self.silent_zones.record_sent(&record.zone, now);
            let address = BackendAddress {
                id: id.clone(),
                address: record.address,
                version: record.version.clone(),
            };
            Some((servers, address))
        }) else {
            return Choice::NoBackend { retry_after: NO_BACKEND_RETRY };
        };
        servers.begin_attempt(&id, &self.settings, now);
        if let Some(server) = request.size.and_then(|size| Some((size, servers.get_mut(&id)?))) {
            let (size, server) = server;
            server.reserve(size);
        }
        Choice::Use { server: address, basis }
    }

    /// Sets the listener for failures, which reports them to other daemons.
    pub fn on_failure(&mut self, listener: FailureListener) {
        self.on_failure = Some(listener);
    }

    /// Adds failures that other daemons reported. They count like this daemon's own, because with
    /// many daemons each one rarely uses a given server.
    pub fn add_reported_failures(&mut self, id: &BackendId, failures: u8, now: Timestamp) {
        if let Some((server, settings)) = self.server_mut(id) {
            server.add_failures(f64::from(failures), settings, now);
        }
    }

    /// Records how an attempt ended.
    pub fn end_attempt(&mut self, id: &BackendId, end: AttemptEnd, now: Timestamp) {
        if matches!(end, AttemptEnd::Broken | AttemptEnd::Failed) {
            self.report_failure(id, now);
        }
        if end == AttemptEnd::Answered {
            self.record_zone_answer(id);
        }
        if let Some((servers, settings)) = self.servers_of(id) {
            servers.end_attempt(id, end, settings, now);
        }
    }

    /// Records the time until a server's answer began.
    pub fn record_response_time(&mut self, id: &BackendId, time: Duration, now: Timestamp) {
        let Some((servers, settings)) = self.servers_of(id) else { return };
        servers.record_latency_sample(id, settings, |server| {
            server.record_response_time(time, settings, now)
        });
        let Some(server) = self.server(id) else { return };
        let (service, zone) = (server.record.service.clone(), server.record.zone.clone());
        let distance = self.topology.distance(&zone);
        let overflow = self.region_overflows.entry(service.clone()).or_default();
        overflow.record_response_time(distance != Distance::OtherRegion, time, now);
        if distance != Distance::OtherRegion {
            let zone_preference = self.zone_preferences.entry(service).or_default();
            zone_preference.record_response_time(distance == Distance::SameZone, time, now);
        }
    }

    /// Records that an attempt ended without an answer after this time.
    pub fn record_unanswered(&mut self, id: &BackendId, time: Duration, now: Timestamp) {
        if let Some((servers, settings)) = self.servers_of(id) {
            servers.record_latency_sample(id, settings, |server| {
                server.record_unanswered(time, settings, now)
            });
        }
    }

    fn record_zone_answer(&mut self, id: &BackendId) {
        if let Some(zone) = self.server(id).map(|server| server.record.zone.clone()) {
            self.silent_zones.record_answer(&zone);
        }
    }

    fn report_failure(&self, id: &BackendId, now: Timestamp) {
        let server = self.server(id);
        // If the server is suspect here, other daemons know of it already or soon will.
        let is_new = server.is_some_and(|server| !server.is_suspect(&self.settings, now));
        if let Some(listener) = self.on_failure.as_ref().filter(|_| is_new) {
            listener(id);
        }
    }

    pub(crate) fn servers_of(
        &mut self,
        id: &BackendId,
    ) -> Option<(&mut ServiceServers, &BackendSettings)> {
        let service = self.service_by_id.get(id)?;
        Some((self.services.get_mut(service)?, &self.settings))
    }

    pub(crate) fn server_mut(&mut self, id: &BackendId) -> Option<(&mut Server, &BackendSettings)> {
        let (servers, settings) = self.servers_of(id)?;
        Some((servers.get_mut(id)?, settings))
    }

    pub(crate) fn server(&self, id: &BackendId) -> Option<&Server> {
        self.services.get(self.service_by_id.get(id)?)?.get(id)
    }

    /// Whether a server takes new work and its zone is not evacuated.
    pub(crate) fn takes_work(&self, server: &Server) -> bool {
        server.takes_work() && !self.evacuated_zones.contains(&server.record)
    }

    fn remove_earlier_incarnations(&mut self, id: &BackendId, now: Timestamp) {
        let first = BackendId::new(id.name.clone(), 0);
        let earlier: Vec<BackendId> = self
            .service_by_id
            .range(first..id.clone())
            .map(|(earlier, _)| earlier.clone())
            .collect();
        for earlier in earlier {
            self.forget_version(&earlier, now);
            self.remove_from_services(&earlier);
            self.service_by_id.remove(&earlier);
        }
    }

    /// Counts a record among its service's versions, in place of the known one of the same server.
    fn record_version(&mut self, record: &BackendRecord, now: Timestamp) {
        let known = self.server(&record.id).filter(|it| it.record.service == record.service);
        let before = known.map(|known| known.record.version.clone());
        if before.is_none() {
            self.forget_version(&record.id, now);
        }
        let versions = self.versions.entry(record.service.clone()).or_default();
        match before {
            Some(before) => versions.replace(&before, &record.version, now),
            None => versions.add(&record.version),
        }
    }

    /// Counts the known record of a server, if there is one, no more among its service's versions.
    fn forget_version(&mut self, id: &BackendId, now: Timestamp) {
        let Some(server) = self.server(id) else { return };
        let (service, version) = (server.record.service.clone(), server.record.version.clone());
        if let Some(versions) = self.versions.get_mut(&service) {
            versions.remove(&version, now);
        }
    }

    fn remove_from_services(&mut self, id: &BackendId) {
        self.cold_limiter.remove(id);
        for servers in self.services.values_mut() {
            servers.remove(id);
        }
        self.services.retain(|_, servers| !servers.is_empty());
    }
}
