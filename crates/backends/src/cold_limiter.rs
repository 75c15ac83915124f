//! Limits the requests to cold servers: a server that started recently can handle only few requests
//! a second, from all gateways together.
//!
//! Gateways do not coordinate before each request, and an idle server looks idle to all of them at
//! the same moment. Therefore a cold server is open to a few gateways only, the first ones by
//! rendezvous hashing over all known gateways, and each of these has a fixed share of what the
//! server can handle. A share is a whole number of requests per window, so that the shares add up
//! to the limit in any second, whenever it begins.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahlia_types::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::gateways::Gateways;
use crate::server::Server;
use crate::{BackendId, BackendSettings, ServiceName};

/// The part of a cold server's maximum that is distributed in shares. The rest is a reserve for
/// gateways that do not know some others and wrongly count themselves among the first, and for
/// gateways that have not learnt yet that the server is cold.
const DISTRIBUTED_PART: f64 = 0.75;
/// The window of a share: a second, plus the time by which the transit times of two requests may
/// differ.
const WINDOW: Duration = Duration::from_millis(1_250);
/// The maximum time for which a server counts as cold, so that a wrong figure cannot close it for
/// good.
const MAX_COLD: Duration = Duration::from_secs(600);

/// How long the servers of a service are cold, and what each of them can handle meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// How long a server is cold after a start.
    pub lasts: Duration,
    /// Requests a second that a cold server can handle, above 0.
    pub per_s: f64,
}

/// Statistics of cold servers, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdStats {
    /// Servers that are cold now.
    pub cold: usize,
    /// Requests that went elsewhere, or were refused, because a server was cold.
    pub turned_away: u64,
}

/// A server became cold, or is no longer cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdChange {
    /// The server.
    pub server: BackendId,
    /// Whether it is cold.
    pub is_cold: bool,
}

/// One gateway's share of the requests to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    /// The maximum number of requests in each window.
    max_requests: usize,
    window: Duration,
    /// The number of gateways per holder of a share. Each holder also stands in for gateways that
    /// have no share of this server.
    load_multiplier: f64,
}

impl Share {
    const NONE: Self = Self { max_requests: 0, window: WINDOW, load_multiplier: 0.0 };

    /// Computes this gateway's share of the server `id`.
    fn new(
        id: &BackendId,
        limit: ColdLimit,
        gateways: &Gateways,
        settings: &BackendSettings,
    ) -> Self {
        let max_per_s = limit.per_s * settings.cold_excess + settings.cold_slack;
        // The server must handle the shares for as long as it is cold, so they do not exceed what
        // it can handle in a window.
        let capacity = limit.per_s * WINDOW.as_secs_f64();
        let distributed = capacity.min(max_per_s * DISTRIBUTED_PART);
        let holders = gateways.count().min(distributed as usize).max(1);
        if !gateways.is_among_first(holders, id) {
            return Self::NONE;
        }
        let per_holder = distributed / holders as f64;
        // A share of less than one request per window becomes one request in a longer window.
        let stretch = (1.0 / per_holder).max(1.0);
        let window = Duration::from_secs_f64(WINDOW.as_secs_f64() * stretch);
        let load_multiplier = gateways.count() as f64 / holders as f64;
        Self { max_requests: (per_holder as usize).max(1), window, load_multiplier }
    }
}

/// Whether one server is cold, and the requests that this gateway sent to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdState {
    cold_until: Timestamp,
    /// Whether it was cold at the last call of [`Self::take_change`].
    was_cold: bool,
    /// `None` if cold servers of its service can handle as much as others.
    share: Option<Share>,
    /// When this gateway sent requests to it, within the last window.
    sent: VecDeque<Timestamp>,
}

impl ColdState {
    /// Records that the server reported to be cold for this time from now. An earlier report of a
    /// longer time stays in force, because reports may arrive out of order.
    pub(crate) fn record_cold_for(&mut self, cold_for: Duration, now: Timestamp) {
        self.cold_until = self.cold_until.max(now + cold_for.min(MAX_COLD));
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.share.is_some() && now < self.cold_until
    }

    /// Whether this gateway must not send to the server now because it is cold.
    pub(crate) fn is_closed(&self, now: Timestamp) -> bool {
        self.closed_for(now) > Duration::ZERO
    }

    /// Returns how long this gateway must not send to the server because it is cold.
    pub(crate) fn closed_for(&self, now: Timestamp) -> Duration {
        let Some(share) = self.share.filter(|_| self.is_cold(now)) else { return Duration::ZERO };
        let remaining = self.cold_until.since(now);
        if share.max_requests == 0 {
            return remaining;
        }
        let first_counted = self.sent.len().checked_sub(share.max_requests);
        let blocking = first_counted.and_then(|index| self.sent.get(index));
        let wait = blocking.map(|sent| (*sent + share.window).since(now));
        wait.unwrap_or_default().min(remaining)
    }

    /// Returns for how many gateways' requests this one stands in at the server, or `None` unless
    /// the server is cold and open to this gateway.
    pub(crate) fn load_multiplier(&self, now: Timestamp) -> Option<f64> {
        let is_open = self.is_cold(now) && !self.is_closed(now);
        self.share.filter(|_| is_open).map(|share| share.load_multiplier)
    }

    /// Records a request to the server. Warm servers are included because they may become cold at
    /// any moment.
    pub(crate) fn record_sent(&mut self, now: Timestamp) {
        let Some(share) = self.share else { return };
        while self.sent.front().is_some_and(|sent| *sent + share.window <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Returns whether the server is cold, if that changed since the last call.
    pub(crate) fn take_change(&mut self, now: Timestamp) -> Option<bool> {
        let is_cold = self.is_cold(now);
        let was_cold = std::mem::replace(&mut self.was_cold, is_cold);
        (is_cold != was_cold).then_some(is_cold)
    }
}

/// The limits of cold servers in all services, and the changes to report.
#[derive(Debug, Default)]
pub(crate) struct ColdLimiter {
    limits: BTreeMap<ServiceName, ColdLimit>,
    gateways: Gateways,
    turned_away: u64,
    /// Servers that were cold at the last check.
    known_cold: BTreeSet<BackendId>,
    changes: Vec<ColdChange>,
}

impl ColdLimiter {
    pub(crate) fn set_limits(&mut self, limits: BTreeMap<ServiceName, ColdLimit>) {
        self.limits = limits;
    }

    pub(crate) fn set_gateways(&mut self, gateways: Gateways) {
        self.gateways = gateways;
    }

    /// Returns how long a server of a service is cold after a start; zero if the service has no
    /// cold limit.
    pub(crate) fn cold_duration(&self, service: &ServiceName) -> Duration {
        self.limits.get(service).map(|limit| limit.lasts).unwrap_or_default()
    }

    /// Recomputes this gateway's share of a server.
    pub(crate) fn assign_share(
        &self,
        server: &mut Server,
        service: &ServiceName,
        settings: &BackendSettings,
    ) {
        let limit = self.limits.get(service);
        let id = &server.record.id;
        let share = limit.map(|limit| Share::new(id, *limit, &self.gateways, settings));
        server.cold_state.share = share;
    }

    /// Whether cold servers of a service can handle less than others.
    pub(crate) fn has_limit(&self, service: &ServiceName) -> bool {
        self.limits.contains_key(service)
    }

    /// Returns the number of known gateways.
    pub(crate) fn gateway_count(&self) -> usize {
        self.gateways.count()
    }

    pub(crate) fn count_turned_away(&mut self) {
        self.turned_away += 1;
    }

    pub(crate) fn turned_away(&self) -> u64 {
        self.turned_away
    }

    /// Whether a server of a service may have become cold or warm since the last check.
    pub(crate) fn may_change(&self, service: &ServiceName) -> bool {
        self.has_limit(service) || !self.known_cold.is_empty()
    }

    pub(crate) fn record_change(&mut self, server: &BackendId, is_cold: bool) {
        match is_cold {
            true => self.known_cold.insert(server.clone()),
            false => self.known_cold.remove(server),
        };
        self.changes.push(ColdChange { server: server.clone(), is_cold });
    }

    pub(crate) fn remove(&mut self, server: &BackendId) {
        self.known_cold.remove(server);
    }

    pub(crate) fn take_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.changes)
    }
}
