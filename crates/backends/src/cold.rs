//! Cold servers: one that started of late bears only few requests a second, from all gateways
//! together.
//!
//! Gateways do not ask each other before each request, and a server that looks empty looks so to all
//! of them at the same moment. So a cold server is open to a few gateways only, the first by
//! rendezvous hashing over all that are known, and each of these has a fixed share of what the server
//! bears. Shares are whole requests in a window, so that they add up in any second, whenever it begins.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahlia_types::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::gateways::Gateways;
use crate::server::Server;
use crate::{BackendId, BackendSettings, ServiceName};

/// Part of the most that a cold server may get which is given out in shares. The rest is for
/// gateways that do not know of some others and take themselves for one of the first, and for
/// those that have not heard yet that the server is cold.
const GIVEN_OUT: f64 = 0.75;
/// What a share is counted over: a second, and the time by which one request may be longer on its way
/// than the next one.
const WINDOW: Duration = Duration::from_millis(1_250);
/// The longest time that a server is taken to be cold: a wrong figure must not close it for good.
const LONGEST_COLD: Duration = Duration::from_secs(600);

/// How long the servers of a service are cold, and what one of them bears meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// How long a server is cold after a start.
    pub lasts: Duration,
    /// Requests a second that a cold server bears, above 0.
    pub per_s: f64,
}

/// What cold servers are and did, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdStats {
    /// Servers that are cold now.
    pub cold: usize,
    /// Requests that went elsewhere, or were refused, because a server was cold.
    pub turned_away: u64,
}

/// A server turned cold, or is cold no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdChange {
    /// The server.
    pub server: BackendId,
    /// Whether it is cold.
    pub is_cold: bool,
}

/// What one gateway may send to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    /// Requests in each window.
    most: usize,
    window: Duration,
    /// Gateways whose requests it makes up for: those that have no share here.
    load_multiplier: f64,
}

impl Share {
    const NONE: Self = Self { most: 0, window: WINDOW, load_multiplier: 0.0 };

    /// The own gateway's share of the server `id`.
    fn of(
        id: &BackendId,
        limit: ColdLimit,
        gateways: &Gateways,
        settings: &BackendSettings,
    ) -> Self {
        let bound = limit.per_s * settings.cold_excess + settings.cold_slack;
        // What it bears in a window, so that it bears the shares for as long as it is cold.
        let borne = limit.per_s * WINDOW.as_secs_f64();
        let given_out = borne.min(bound * GIVEN_OUT);
        let holders = gateways.count().min(given_out as usize).max(1);
        if !gateways.is_among_first(holders, id) {
            return Self::NONE;
        }
        let each = given_out / holders as f64;
        // Less than one request a second is one in a longer time.
        let stretch = (1.0 / each).max(1.0);
        let window = Duration::from_secs_f64(WINDOW.as_secs_f64() * stretch);
        let load_multiplier = gateways.count() as f64 / holders as f64;
        Self { most: (each as usize).max(1), window, load_multiplier }
    }
}

/// Whether one server is cold, and what this gateway sent to it meanwhile.
#[derive(Debug, Clone, Default)]
pub(crate) struct Warmth {
    cold_until: Timestamp,
    /// It was cold when last looked at.
    was_cold: bool,
    /// None where cold servers of its service bear as much as others.
    share: Option<Share>,
    /// When this gateway sent to it; those of the last window.
    sent: VecDeque<Timestamp>,
}

impl Warmth {
    /// It says that it is cold for this time from now. What was heard before is not taken back: a
    /// word on its way may be older.
    pub(crate) fn told(&mut self, cold_for: Duration, now: Timestamp) {
        self.cold_until = self.cold_until.max(now + cold_for.min(LONGEST_COLD));
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.share.is_some() && now < self.cold_until
    }

    /// Whether this gateway must not send to it now, since it is cold.
    pub(crate) fn is_closed(&self, now: Timestamp) -> bool {
        self.wait(now) > Duration::ZERO
    }

    /// How long this gateway must not send to it, since it is cold.
    pub(crate) fn wait(&self, now: Timestamp) -> Duration {
        let Some(share) = self.share.filter(|_| self.is_cold(now)) else { return Duration::ZERO };
        let left = self.cold_until.since(now);
        if share.most == 0 {
            return left;
        }
        let newest = self.sent.len().checked_sub(share.most);
        let blocking = newest.and_then(|place| self.sent.get(place));
        let wait = blocking.map(|sent| (*sent + share.window).since(now));
        wait.unwrap_or_default().min(left)
    }

    /// How many gateways' requests this one makes up for at the server; none unless it is cold and open
    /// to this gateway.
    pub(crate) fn load_multiplier(&self, now: Timestamp) -> Option<f64> {
        let is_open = self.is_cold(now) && !self.is_closed(now);
        self.share.filter(|_| is_open).map(|share| share.load_multiplier)
    }

    /// A request is sent to it. Noted while it is warm too: it may turn cold at any moment.
    pub(crate) fn note_sent(&mut self, now: Timestamp) {
        let Some(share) = self.share else { return };
        while self.sent.front().is_some_and(|sent| *sent + share.window <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Whether it turned cold or warm since the last call.
    pub(crate) fn changed(&mut self, now: Timestamp) -> Option<bool> {
        let is_cold = self.is_cold(now);
        let was_cold = std::mem::replace(&mut self.was_cold, is_cold);
        (is_cold != was_cold).then_some(is_cold)
    }
}

/// What all cold servers have in common.
#[derive(Debug, Default)]
pub(crate) struct ColdStart {
    limits: BTreeMap<ServiceName, ColdLimit>,
    gateways: Gateways,
    turned_away: u64,
    /// Servers that were cold when last looked at.
    noted: BTreeSet<BackendId>,
    changes: Vec<ColdChange>,
}

impl ColdStart {
    pub(crate) fn set_limits(&mut self, limits: BTreeMap<ServiceName, ColdLimit>) {
        self.limits = limits;
    }

    pub(crate) fn set_gateways(&mut self, gateways: Gateways) {
        self.gateways = gateways;
    }

    /// How long a server of a service is cold after a start; zero where that does not matter.
    pub(crate) fn lasts(&self, service: &ServiceName) -> Duration {
        self.limits.get(service).map(|limit| limit.lasts).unwrap_or_default()
    }

    /// Gives a server its share anew.
    pub(crate) fn share_out(
        &self,
        server: &mut Server,
        service: &ServiceName,
        settings: &BackendSettings,
    ) {
        let limit = self.limits.get(service);
        let id = &server.record.id;
        let share = limit.map(|limit| Share::of(id, *limit, &self.gateways, settings));
        server.warmth.share = share;
    }

    /// Whether cold servers of a service bear less than others.
    pub(crate) fn has_limit(&self, service: &ServiceName) -> bool {
        self.limits.contains_key(service)
    }

    /// How many gateways are known.
    pub(crate) fn gateways(&self) -> usize {
        self.gateways.count()
    }

    pub(crate) fn count_turned_away(&mut self) {
        self.turned_away += 1;
    }

    pub(crate) fn turned_away(&self) -> u64 {
        self.turned_away
    }

    /// Whether a server of a service may have turned cold, or warm, unnoted.
    pub(crate) fn may_change(&self, service: &ServiceName) -> bool {
        self.has_limit(service) || !self.noted.is_empty()
    }

    pub(crate) fn note_change(&mut self, server: &BackendId, is_cold: bool) {
        match is_cold {
            true => self.noted.insert(server.clone()),
            false => self.noted.remove(server),
        };
        self.changes.push(ColdChange { server: server.clone(), is_cold });
    }

    pub(crate) fn forget(&mut self, server: &BackendId) {
        self.noted.remove(server);
    }

    pub(crate) fn take_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.changes)
    }
}
