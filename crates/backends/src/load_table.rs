//! Loads of servers in the table of all: what this daemon tells of its own, and what it hears of others'.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::service_servers::ServiceServers;
use crate::{
    AttemptEnd, BackendId, Backends, EngineCapacity, LoadView, ServerLoad, ServiceName, TokenTimes,
    TurnSize,
};

/// Figures that cannot be are told of in the log this often at most.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// What was heard and could not be used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UnusedLoads {
    /// Since the last line of the log.
    count: u64,
    logged_at: Option<Timestamp>,
}

impl Backends {
    /// Sets what the model servers of services have. Only these are chosen by the expected end of a
    /// request.
    pub fn set_engine_capacities(&mut self, engines: BTreeMap<ServiceName, EngineCapacity>) {
        self.engines = engines;
    }

    /// Takes in how soon tokens of a stream of this daemon came.
    pub fn record_token_times(&mut self, id: &BackendId, times: TokenTimes, now: Timestamp) {
        if let Some((servers, _)) = self.servers_of(id) {
            servers.record_token_times(id, times, now);
        }
    }

    /// Takes in how an attempt of this size ended.
    pub fn end_turn(&mut self, id: &BackendId, size: TurnSize, end: AttemptEnd, now: Timestamp) {
        if let Some((server, _)) = self.server_mut(id) {
            server.release(size);
        }
        self.end_attempt(id, end, now);
    }

    /// This daemon's own load of servers, for other daemons: those with attempts, and those whose tokens
    /// came since it was asked last.
    pub fn take_own_loads(&mut self, _now: Timestamp) -> Vec<ServerLoad> {
        let services = self.services.values_mut();
        let mut loads: Vec<ServerLoad> =
            services.flat_map(ServiceServers::take_own_loads).collect();
        loads.sort_unstable_by_key(|load| load.server);
        loads
    }

    /// Takes in the loads of servers as other daemons make them. Figures that cannot be change nothing.
    pub fn apply_load_view(&mut self, view: &LoadView, now: Timestamp) {
        let is_in_order = view.loads.windows(2).all(|pair| pair[0].server < pair[1].server);
        let is_in_range = view.loads.iter().all(|load| view.range.contains(&load.server));
        let told = view.loads.len().max(1);
        if !is_in_order || !is_in_range || view.range.is_empty() {
            return self.note_unused(told, now);
        }
        if view.age > self.settings.view_bound() {
            return;
        }
        let at = now - view.age;
        let mut used = 0;
        for servers in self.services.values_mut() {
            used += servers.apply_load_view(view, at, now);
        }
        if used < view.loads.len() {
            self.note_unused(view.loads.len() - used, now);
        }
    }

    fn note_unused(&mut self, count: usize, now: Timestamp) {
        let unused = &mut self.unused_loads;
        unused.count += count as u64;
        if unused.logged_at.is_some_and(|logged| now.since(logged) < LOG_PAUSE) {
            return;
        }
        log::warn!(
            target: "backends",
            loads = unused.count;
            "Loads of servers that other daemons told are not used: out of order, of no known server, \
             or more than a server could hold."
        );
        *unused = UnusedLoads { count: 0, logged_at: Some(now) };
    }
}

impl ServiceServers {
    /// Takes in the part of a view that is about these servers. Returns how many of its loads were used.
    fn apply_load_view(&mut self, view: &LoadView, at: Timestamp, now: Timestamp) -> usize {
        let mut loads = view.loads.iter().peekable();
        let mut used = 0;
        for (digest, key) in self.keys_in(&view.range) {
            while loads.next_if(|load| load.server < digest).is_some() {}
            let told = loads.next_if(|load| load.server == digest);
            used += usize::from(told.is_some_and(|load| self.heard_load(key, load, at, now)));
            if told.is_none() {
                self.heard_none(key, at);
            }
        }
        used
    }
}
