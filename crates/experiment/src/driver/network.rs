//! Zones and latencies.

use dahlia_types::{Duration, Zone};

use crate::workload::Deployment;

/// Latency inside a zone.
const SAME_ZONE: Duration = Duration::from_micros(100);

/// Where everything stands and how long a message takes.
#[derive(Debug)]
pub(super) struct Network {
    zones: Vec<Zone>,
    between_zones: Duration,
    to_client: Duration,
    pub report_lag: Duration,
    pub list_lag: Duration,
}

impl Network {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let millis = |value: f64| Duration::from_secs_f64(value / 1000.0);
        Self {
            zones: deployment.zones.iter().map(Zone::new).collect(),
            between_zones: millis(deployment.zone_latency_ms),
            to_client: millis(deployment.client_latency_ms),
            report_lag: millis(deployment.report_lag_ms),
            list_lag: millis(deployment.list_lag_ms),
        }
    }

    pub(super) fn zone(&self, machine: usize) -> Zone {
        self.zones[machine % self.zones.len()].clone()
    }

    /// One way between the machines of these numbers, each spread over the zones in turn.
    pub(super) fn between(&self, one: usize, other: usize) -> Duration {
        let zones = self.zones.len();
        if one % zones == other % zones { SAME_ZONE } else { self.between_zones }
    }

    /// One way between a caller and the owner of its program, through the gateway of `entry`.
    pub(super) fn client_to_owner(&self, entry: usize, owner: usize) -> Duration {
        add(self.to_client, self.between(entry, owner))
    }

    /// Time until an intent or a turn is durable: a majority over the zones has answered.
    pub(super) fn commit(&self) -> Duration {
        if self.zones.len() == 1 { SAME_ZONE.times(2) } else { self.between_zones.times(2) }
    }
}

pub(super) fn add(one: Duration, other: Duration) -> Duration {
    Duration::from_micros(one.as_micros() + other.as_micros())
}
