//! How much of what passed before a keeper began is forgotten by everybody.
//!
//! A keeper's successor learns what passed from the gateways. Those that have begun a new life of late
//! cannot tell it. One of many matters little; after a stop of all, the whole window may have been used.

use std::collections::{HashMap, HashSet};

use dahlia_types::{DaemonId, Duration, Incarnation, Timestamp};

use crate::{PastRequests, TenantUsage, UsageReport};

/// What may have passed before a keeper began and is not counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Forgotten {
    /// The share of all that a window allows.
    pub(crate) share: f64,
    /// From then on no window holds any of it.
    pub(crate) until: Timestamp,
}

/// What gateways remember of the window before a keeper began.
#[derive(Debug)]
pub(crate) struct Memories {
    since: Timestamp,
    window: Duration,
    /// Those that have reported. The first life that reports counts:
    /// what passed in it and after it, this keeper has counted.
    gateways: HashMap<DaemonId, Incarnation>,
    forgetful: HashSet<DaemonId>,
    /// When the last of these began its life.
    forgot_at: Timestamp,
}

impl Memories {
    /// Of a keeper that begins at a moment.
    pub(crate) fn new(since: Timestamp, window: Duration) -> Self {
        let (gateways, forgetful) = (HashMap::new(), HashSet::new());
        Self { since, window, gateways, forgetful, forgot_at: Timestamp::ZERO }
    }

    /// A gateway has reported. Its first report here may have been made for the keeper before: it says
    /// what it has forgotten once it knows that there is another one.
    pub(crate) fn note(&mut self, report: &UsageReport, now: Timestamp) {
        let first_life = *self.gateways.entry(report.gateway).or_insert(report.incarnation);
        if now >= self.since + self.window || first_life != report.incarnation {
            return;
        }
        let began = forgotten_ago(report).map(|ago| (now - ago).min(self.since));
        if let Some(began) = began {
            self.forgetful.insert(report.gateway);
            self.forgot_at = self.forgot_at.max(began);
        }
    }

    /// What is forgotten at a moment. Before any gateway has reported, everything may be.
    pub(crate) fn forgotten(&self, now: Timestamp) -> Option<Forgotten> {
        let forgotten = if self.gateways.is_empty() {
            Forgotten { share: 1.0, until: self.since + self.window }
        } else {
            let share = self.forgetful.len() as f64 / self.gateways.len() as f64;
            Forgotten { share, until: self.forgot_at + self.window }
        };
        Some(forgotten).filter(|forgotten| forgotten.share > 0.0 && now < forgotten.until)
    }
}

/// How long ago the gateway began its life, if it says that it has forgotten what passed before. It says
/// so first of each tenant; older builds tell of parts of time without requests in other places.
fn forgotten_ago(report: &UsageReport) -> Option<Duration> {
    let first =
        |usage: &TenantUsage| usage.past.first().copied().filter(PastRequests::is_forgotten);
    let forgotten: Option<Vec<PastRequests>> = report.usage.iter().map(first).collect();
    forgotten?.into_iter().map(|earlier| earlier.age).max()
}
