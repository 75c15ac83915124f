//! Zones that are presumed cut off, because none of their daemons answers.
//!
//! Servers of a silent zone are chosen only when no other server takes the request, like servers
//! that failed recently. The exception is a probe: one request now and then goes there. A zone that
//! lost only its daemons has healthy servers, and one that answers shows that its zone can be
//! reached, whatever the state of its daemons.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, Timestamp, Zone};

use crate::BackendRecord;

/// The time between two probes of a silent zone. It is long enough that a cut costs few callers a
/// second attempt, and short enough that other zones soon stop carrying the load of a healthy zone.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The zones none of whose daemons answers, each with the time of its next probe. The time is
/// `None` until the next choice.
#[derive(Debug, Default)]
pub(crate) struct SilentZones(BTreeMap<Zone, Option<Timestamp>>);

impl SilentZones {
    /// Replaces all zones. Zones that were silent before keep the time of their next probe.
    pub(crate) fn set(&mut self, zones: BTreeSet<Zone>) {
        let mut before = std::mem::take(&mut self.0);
        let with_probe = |zone: Zone| {
            let probe_at = before.remove(&zone).flatten();
            (zone, probe_at)
        };
        self.0 = zones.into_iter().map(with_probe).collect();
    }

    /// Schedules the first probe of zones that have become silent since the last choice.
    pub(crate) fn schedule_probes(&mut self, now: Timestamp) {
        for probe_at in self.0.values_mut() {
            probe_at.get_or_insert(now + PROBE_INTERVAL);
        }
    }

    /// Whether a server lies in a silent zone whose next probe is not due.
    pub(crate) fn excludes(&self, server: &BackendRecord, now: Timestamp) -> bool {
        self.0
            .get(&server.zone)
            .is_some_and(|probe_at| probe_at.is_none_or(|probe_at| now < probe_at))
    }

    /// Records that a request is sent to a zone, which postpones the zone's next probe.
    pub(crate) fn record_sent(&mut self, zone: &Zone, now: Timestamp) {
        if let Some(probe_at) = self.0.get_mut(zone) {
            *probe_at = Some(now + PROBE_INTERVAL);
        }
    }

    /// Records that a server of a zone answered: the zone is no longer silent.
    pub(crate) fn record_answer(&mut self, zone: &Zone) {
        self.0.remove(zone);
    }
}
