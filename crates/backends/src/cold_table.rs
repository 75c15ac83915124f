//! Cold servers in the table of all: who is told what, and how one takes its place among the others.

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
    /// Sets what cold servers bear, for the services where that matters.
    pub fn set_cold_limits(&mut self, limits: BTreeMap<ServiceName, ColdLimit>) {
        self.cold.set_limits(limits);
        self.share_out();
    }

    /// Sets who shares out what cold servers bear. Before the first call this daemon has no share.
    pub fn set_gateways(&mut self, gateways: Gateways) {
        self.cold.set_gateways(gateways);
        self.share_out();
    }

    /// Takes the servers of a zone for cold that may have turned so while nothing was sent there.
    pub fn presume_cold(&mut self, zone: &Zone, now: Timestamp) {
        for (service, servers) in &mut self.services {
            let lasts = self.cold.lasts(service);
            let there = servers.iter_mut().filter(|server| server.record.zone == *zone);
            there.for_each(|server| server.warmth.told(lasts, now));
        }
    }

    /// Figures for metrics.
    pub fn cold_stats(&self, now: Timestamp) -> ColdStats {
        let servers = self.services.values().flat_map(ServiceServers::iter);
        ColdStats {
            cold: servers.filter(|server| server.warmth.is_cold(now)).count(),
            turned_away: self.cold.turned_away(),
        }
    }

    /// Servers that turned cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Timestamp) -> Vec<ColdChange> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        services.iter().for_each(|service| self.note_warmth(service, now));
        self.cold.take_changes()
    }

    pub(crate) fn heard_cold(&mut self, id: &BackendId, cold_for: Duration, now: Timestamp) {
        let Some(service) = self.listed.get(id) else { return };
        let servers = self.services.get_mut(service);
        let Some(server) = servers.and_then(|servers| servers.get_mut(id)) else { return };
        self.cold.share_out(server, service, &self.settings);
        server.warmth.told(cold_for, now);
    }

    /// Before a choice: who turned warm takes its place, and who is turned away is counted.
    pub(crate) fn settle_cold(&mut self, ask: &ChoiceRequest<'_>, now: Timestamp) {
        self.note_warmth(ask.service, now);
        let Some(servers) = self.services.get(ask.service) else { return };
        let is_closed = |server: &Server| self.takes_work(server) && server.warmth.is_closed(now);
        let preferred = ask.preferred.and_then(|preferred| servers.get(preferred));
        let is_turned_away = match preferred {
            Some(preferred) => is_closed(preferred),
            None => !servers.is_empty() && servers.iter().all(is_closed),
        };
        if is_turned_away {
            self.cold.count_turned_away();
        }
    }

    /// Keeps only cold servers among the candidates for as many requests as these would get if they
    /// were open to all gateways. Else they would idle while others wait. Not for a request that is
    /// better served at few servers of its own. `compared` servers could have been candidates.
    pub(crate) fn prefer_cold_share(
        &self,
        candidates: &mut Vec<&Server>,
        ask: &ChoiceRequest<'_>,
        compared: usize,
        draw: u64,
        now: Timestamp,
    ) {
        let is_bound = match ask.affinity {
            None => false,
            Some(Affinity::SharedPrompt(prompt)) => {
                prompt.tokens >= self.settings.long_prompt_tokens
            }
            Some(Affinity::Program(_) | Affinity::Object(_)) => true,
        };
        let is_kept = |server: &&Server| Some(&server.record.id) == ask.preferred;
        let open = |server: &&&Server| server.warmth.load_multiplier(now).is_some();
        let Some(first) = candidates.iter().find(open) else { return };
        if is_bound || candidates.iter().any(is_kept) {
            return;
        }
        let load_multiplier: f64 =
            candidates.iter().filter_map(|server| server.warmth.load_multiplier(now)).sum();
        let drawn = weight(draw, &first.record.id) as f64 / u64::MAX as f64;
        if drawn < load_multiplier / compared.max(1) as f64 {
            candidates.retain(|server| server.warmth.load_multiplier(now).is_some());
        }
    }

    /// Lets a server that is new to this daemon, or was closed to it, take a place among the others
    /// that differs from daemon to daemon.
    pub(crate) fn join(&mut self, id: &BackendId, now: Timestamp) {
        let Some(servers) = self.listed.get(id).and_then(|service| self.services.get_mut(service))
        else {
            return;
        };
        let place = weight(self.seed, id);
        let zones: Vec<&Zone> = servers.zones().map(|(zone, _)| zone).collect();
        let Some(zone) = zones.get(place as usize % zones.len().max(1)) else { return };
        let drawn = servers.from(zone, place).find(|server| server.record.id != *id);
        let Some(load) = drawn.map(|server| server.usual_attempts(&self.settings, now)) else {
            return;
        };
        if let Some(server) = servers.get_mut(id) {
            server.join_with(load, now);
        }
    }

    fn note_warmth(&mut self, service: &ServiceName, now: Timestamp) {
        // Where nobody is ever cold, thousands of servers need not be looked at for each request.
        if !self.cold.may_change(service) {
            return;
        }
        let Some(servers) = self.services.get_mut(service) else { return };
        let mut warmed = Vec::new();
        for server in servers.iter_mut() {
            let Some(is_cold) = server.warmth.changed(now) else { continue };
            let id = &server.record.id;
            self.cold.note_change(id, is_cold);
            if !is_cold {
                warmed.push(id.clone());
            }
        }
        warmed.iter().for_each(|id| self.join(id, now));
    }

    fn share_out(&mut self) {
        for (service, servers) in &mut self.services {
            for server in servers.iter_mut() {
                self.cold.share_out(server, service, &self.settings);
            }
        }
    }
}
