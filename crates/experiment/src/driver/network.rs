//! Zones and network delays.

use dahlia_types::{Duration, Zone};

use crate::workload::Deployment;

/// The one-way delay inside a zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);

/// The zones of machines and the delays of messages.
#[derive(Debug)]
pub(super) struct Network {
    zones: Vec<Zone>,
    cross_zone_delay: Duration,
    client_delay: Duration,
    pub report_delay: Duration,
    pub list_delay: Duration,
}

impl Network {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let millis = |value: f64| Duration::from_secs_f64(value / 1000.0);
        Self {
            zones: deployment.zones.iter().map(Zone::new).collect(),
            cross_zone_delay: millis(deployment.zone_latency_ms),
            client_delay: millis(deployment.client_latency_ms),
            report_delay: millis(deployment.report_lag_ms),
            list_delay: millis(deployment.list_lag_ms),
        }
    }

    pub(super) fn zone(&self, machine: usize) -> Zone {
        self.zones[machine % self.zones.len()].clone()
    }

    /// Returns the one-way delay between two machines, which are spread over the zones in turn by
    /// number.
    pub(super) fn one_way_delay(&self, one: usize, other: usize) -> Duration {
        let zones = self.zones.len();
        if one % zones == other % zones { SAME_ZONE_DELAY } else { self.cross_zone_delay }
    }

    /// Returns the one-way delay between a caller and the owner of its program, through the gateway
    /// in zone `entry`.
    pub(super) fn client_to_owner_delay(&self, entry: usize, owner: usize) -> Duration {
        sum(self.client_delay, self.one_way_delay(entry, owner))
    }

    /// Returns the time until an intent or a turn is durable, which takes acknowledgements from a
    /// majority over the zones.
    pub(super) fn commit_delay(&self) -> Duration {
        if self.zones.len() == 1 {
            SAME_ZONE_DELAY.times(2)
        } else {
            self.cross_zone_delay.times(2)
        }
    }
}

pub(super) fn sum(left: Duration, right: Duration) -> Duration {
    Duration::from_micros(left.as_micros() + right.as_micros())
}
