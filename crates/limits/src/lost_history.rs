//! How much of what passed before a keeper started is unknown to the keeper and all gateways.
//!
//! A new keeper learns from the gateways what passed before it. Gateways that restarted recently cannot
//! report it. One restarted gateway of many matters little; after a stop of all processes, the whole
//! window may have been used up.

use std::collections::{HashMap, HashSet};

use dahlia_types::{DaemonId, Duration, Incarnation, Timestamp};

use crate::{PastRequests, TenantUsage, UsageReport};

/// Requests that may have passed before a keeper started and are not counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LostHistory {
    /// Their share of all requests that a window allows.
    pub(crate) share: f64,
    /// When the last of them has left the window.
    pub(crate) until: Timestamp,
}

/// Tracks which gateways restarted within the window before a keeper started.
#[derive(Debug)]
pub(crate) struct RestartTracker {
    keeper_started_at: Timestamp,
    window: Duration,
    /// Gateways that have reported, with the first incarnation that did. What passed in that incarnation
    /// and later ones, this keeper has counted.
    gateways: HashMap<DaemonId, Incarnation>,
    restarted: HashSet<DaemonId>,
    /// The latest restart among these.
    last_restart_at: Timestamp,
}

impl RestartTracker {
    /// Creates the tracker of a keeper that starts at `keeper_started_at`.
    pub(crate) fn new(keeper_started_at: Timestamp, window: Duration) -> Self {
        let (gateways, restarted) = (HashMap::new(), HashSet::new());
        Self { keeper_started_at, window, gateways, restarted, last_restart_at: Timestamp::ZERO }
    }

    /// Records a gateway's report. A gateway's first report may have been made for the previous keeper:
    /// the gateway sends its restart marker once it knows that there is a new one.
    pub(crate) fn record(&mut self, report: &UsageReport, now: Timestamp) {
        let first_incarnation = *self.gateways.entry(report.gateway).or_insert(report.incarnation);
        if now >= self.keeper_started_at + self.window || first_incarnation != report.incarnation {
            return;
        }
        let restarted_at =
            time_since_restart(report).map(|age| (now - age).min(self.keeper_started_at));
        if let Some(restarted_at) = restarted_at {
            self.restarted.insert(report.gateway);
            self.last_restart_at = self.last_restart_at.max(restarted_at);
        }
    }

    /// Returns what is unknown now. Until a gateway has reported, everything may be.
    pub(crate) fn lost_history(&self, now: Timestamp) -> Option<LostHistory> {
        let lost = if self.gateways.is_empty() {
            LostHistory { share: 1.0, until: self.keeper_started_at + self.window }
        } else {
            let share = self.restarted.len() as f64 / self.gateways.len() as f64;
            LostHistory { share, until: self.last_restart_at + self.window }
        };
        Some(lost).filter(|lost| lost.share > 0.0 && now < lost.until)
    }
}

/// Returns the time since the gateway restarted, if the report says that it did. The marker is the first
/// entry of each tenant; older builds send entries without requests in other positions.
fn time_since_restart(report: &UsageReport) -> Option<Duration> {
    let first =
        |usage: &TenantUsage| usage.past.first().copied().filter(PastRequests::is_restart_marker);
    let markers: Option<Vec<PastRequests>> = report.usage.iter().map(first).collect();
    markers?.into_iter().map(|marker| marker.age).max()
}
