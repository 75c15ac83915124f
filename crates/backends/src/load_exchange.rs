//! Exchanges server loads with other daemons: reports this daemon's loads, and applies the loads
//! that others report.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::service_servers::ServiceServers;
use crate::{
    AttemptEnd, BackendId, Backends, EngineCapacity, LoadView, ServerLoad, ServiceName, TokenTimes,
    TurnSize,
};

/// The minimum time between two log lines about rejected loads.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Reported loads that were rejected.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RejectedLoads {
    /// Since the last log line.
    count: u64,
    logged_at: Option<Timestamp>,
}

impl Backends {
    /// Sets the capacity of the model servers of services. Only these services choose servers by
    /// the expected end of a request.
    pub fn set_engine_capacities(&mut self, engines: BTreeMap<ServiceName, EngineCapacity>) {
        self.engines = engines;
    }

    /// Records the times between tokens of one of this daemon's streams.
    pub fn record_token_times(&mut self, id: &BackendId, times: TokenTimes, now: Timestamp) {
        if let Some((servers, _)) = self.servers_of(id) {
            servers.record_token_times(id, times, now);
        }
    }

    /// Records how an attempt of this size ended.
    pub fn end_turn(&mut self, id: &BackendId, size: TurnSize, end: AttemptEnd, now: Timestamp) {
        if let Some((server, _)) = self.server_mut(id) {
            server.release(size);
        }
        self.end_attempt(id, end, now);
    }

    /// Returns the loads that this daemon causes, to be reported to other daemons: those of servers
    /// with attempts, and of servers whose tokens arrived since the last call.
    pub fn take_own_loads(&mut self, _now: Timestamp) -> Vec<ServerLoad> {
        let services = self.services.values_mut();
        let mut loads: Vec<ServerLoad> =
            services.flat_map(ServiceServers::take_own_loads).collect();
        loads.sort_unstable_by_key(|load| load.server);
        loads
    }

    /// Applies the loads that other daemons cause. Impossible figures are ignored.
    pub fn apply_load_view(&mut self, view: &LoadView, now: Timestamp) {
        let is_in_order = view.loads.windows(2).all(|pair| pair[0].server < pair[1].server);
        let is_in_range = view.loads.iter().all(|load| view.range.contains(&load.server));
        let reported = view.loads.len().max(1);
        if !is_in_order || !is_in_range || view.range.is_empty() {
            return self.record_rejected(reported, now);
        }
        if view.age > self.settings.view_bound() {
            return;
        }
        let measured_at = now - view.age;
        let mut applied = 0;
        for servers in self.services.values_mut() {
            applied += servers.apply_load_view(view, measured_at, now);
        }
        if applied < view.loads.len() {
            self.record_rejected(view.loads.len() - applied, now);
        }
    }

    fn record_rejected(&mut self, count: usize, now: Timestamp) {
        let rejected = &mut self.rejected_loads;
        rejected.count += count as u64;
        if rejected.logged_at.is_some_and(|logged| now.since(logged) < LOG_INTERVAL) {
            return;
        }
        log::warn!(
            target: "backends",
            loads = rejected.count;
            "Ignored server loads that other daemons reported: they are out of order, name an \
             unknown server, or exceed what a server can hold."
        );
        *rejected = RejectedLoads { count: 0, logged_at: Some(now) };
    }
}

impl ServiceServers {
    /// Applies the part of a view that covers these servers. Returns the number of loads applied.
    fn apply_load_view(
        &mut self,
        view: &LoadView,
        measured_at: Timestamp,
        now: Timestamp,
    ) -> usize {
        let mut loads = view.loads.iter().peekable();
        let mut applied = 0;
        for (digest, key) in self.keys_in(&view.range) {
            while loads.next_if(|load| load.server < digest).is_some() {}
            let report = loads.next_if(|load| load.server == digest);
            applied += usize::from(
                report.is_some_and(|load| self.apply_load_report(key, load, measured_at, now)),
            );
            if report.is_none() {
                self.apply_idle_report(key, measured_at);
            }
        }
        applied
    }
}
