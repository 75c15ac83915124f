//! Cold servers among all servers: who may send to them, and how a server that becomes warm joins
//! the others.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp, Zone};

use crate::rendezvous::weight;
use crate::server::Server;
use crate::service_servers::ServiceServers;
use crate::{
    Affinity, BackendId, Backends, ChoiceRequest, ColdChange, ColdLimit, ColdStats, Gateways,
    ServiceName,
};

impl Backends {
    /// Sets the limits of cold servers, for the services that have one.
    pub fn set_cold_limits(&mut self, limits: BTreeMap<ServiceName, ColdLimit>) {
        self.cold_limiter.set_limits(limits);
        self.assign_cold_shares();
    }

    /// Sets the gateways that share the limits of cold servers. Before the first call this daemon
    /// has no share.
    pub fn set_gateways(&mut self, gateways: Gateways) {
        self.cold_limiter.set_gateways(gateways);
        self.assign_cold_shares();
    }

    /// Assumes that all servers of a zone are cold, because they may have become so while no
    /// requests were sent there.
    pub fn presume_cold(&mut self, zone: &Zone, now: Timestamp) {
        for (service, servers) in &mut self.services {
            let cold_for = self.cold_limiter.cold_duration(service);
            let in_zone = servers.iter_mut().filter(|server| server.record.zone == *zone);
            in_zone.for_each(|server| server.cold_state.record_cold_for(cold_for, now));
        }
    }

    /// Returns the statistics of cold servers, for metrics.
    pub fn cold_stats(&self, now: Timestamp) -> ColdStats {
        let servers = self.services.values().flat_map(ServiceServers::iter);
        ColdStats {
            cold: servers.filter(|server| server.cold_state.is_cold(now)).count(),
            turned_away: self.cold_limiter.turned_away(),
        }
    }

    /// Returns the servers that became cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Timestamp) -> Vec<ColdChange> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        services.iter().for_each(|service| self.record_cold_changes(service, now));
        self.cold_limiter.take_changes()
    }

    pub(crate) fn record_cold_for(&mut self, id: &BackendId, cold_for: Duration, now: Timestamp) {
        let Some(service) = self.service_by_id.get(id) else { return };
        let servers = self.services.get_mut(service);
        let Some(server) = servers.and_then(|servers| servers.get_mut(id)) else { return };
        self.cold_limiter.assign_share(server, service, &self.settings);
        server.cold_state.record_cold_for(cold_for, now);
    }

    /// Updates the cold state of a service's servers before a choice, and counts the request if a
    /// cold server turns it away.
    pub(crate) fn update_cold_state(&mut self, request: &ChoiceRequest<'_>, now: Timestamp) {
        self.record_cold_changes(request.service, now);
        let Some(servers) = self.services.get(request.service) else { return };
        let is_closed =
            |server: &Server| self.takes_work(server) && server.cold_state.is_closed(now);
        let preferred = request.preferred.and_then(|preferred| servers.get(preferred));
        let is_turned_away = match preferred {
            Some(preferred) => is_closed(preferred),
            None => !servers.is_empty() && servers.iter().all(is_closed),
        };
        if is_turned_away {
            self.cold_limiter.count_turned_away();
        }
    }

    /// Keeps only cold servers among the candidates for as many requests as these servers would
    /// receive if they were open to all gateways. Otherwise they would idle while requests wait
    /// elsewhere. Does not apply to a request that is better served by the few servers of its
    /// affinity. `compared` is the number of servers that could have been candidates.
    pub(crate) fn prefer_cold_share(
        &self,
        candidates: &mut Vec<&Server>,
        request: &ChoiceRequest<'_>,
        compared: usize,
        draw: u64,
        now: Timestamp,
    ) {
        let is_bound = match request.affinity {
            None => false,
            Some(Affinity::SharedPrompt(prompt)) => {
                prompt.tokens >= self.settings.long_prompt_tokens
            }
            Some(Affinity::Program(_) | Affinity::Object(_)) => true,
        };
        let is_preferred = |server: &&Server| Some(&server.record.id) == request.preferred;
        let is_open_cold = |server: &&&Server| server.cold_state.load_multiplier(now).is_some();
        let Some(first) = candidates.iter().find(is_open_cold) else { return };
        if is_bound || candidates.iter().any(is_preferred) {
            return;
        }
        let load_multiplier: f64 =
            candidates.iter().filter_map(|server| server.cold_state.load_multiplier(now)).sum();
        let drawn = weight(draw, &first.record.id) as f64 / u64::MAX as f64;
        if drawn < load_multiplier / compared.max(1) as f64 {
            candidates.retain(|server| server.cold_state.load_multiplier(now).is_some());
        }
    }

    /// Gives a server that is new to this daemon, or was closed to it, the average load of another
    /// server as its initial average. The other server differs between daemons, so that the new one
    /// does not look idle to all of them at once.
    pub(crate) fn assume_initial_load(&mut self, id: &BackendId, now: Timestamp) {
        let Some(servers) =
            self.service_by_id.get(id).and_then(|service| self.services.get_mut(service))
        else {
            return;
        };
        let hash = weight(self.seed, id);
        let zones: Vec<&Zone> = servers.zones().map(|(zone, _)| zone).collect();
        let Some(zone) = zones.get(hash as usize % zones.len().max(1)) else { return };
        let drawn = servers.ring_from(zone, hash).find(|server| server.record.id != *id);
        let Some(load) = drawn.map(|server| server.average_attempts(&self.settings, now)) else {
            return;
        };
        if let Some(server) = servers.get_mut(id) {
            server.assume_average_load(load, now);
        }
    }

    fn record_cold_changes(&mut self, service: &ServiceName, now: Timestamp) {
        // Services without cold limits must not examine thousands of servers for each request.
        if !self.cold_limiter.may_change(service) {
            return;
        }
        let Some(servers) = self.services.get_mut(service) else { return };
        let mut warmed = Vec::new();
        for server in servers.iter_mut() {
            let Some(is_cold) = server.cold_state.take_change(now) else { continue };
            let id = &server.record.id;
            self.cold_limiter.record_change(id, is_cold);
            if !is_cold {
                warmed.push(id.clone());
            }
        }
        warmed.iter().for_each(|id| self.assume_initial_load(id, now));
    }

    fn assign_cold_shares(&mut self) {
        for (service, servers) in &mut self.services {
            for server in servers.iter_mut() {
                self.cold_limiter.assign_share(server, service, &self.settings);
            }
        }
    }
}
