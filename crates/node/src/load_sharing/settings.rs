//! Settings of load sharing.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

use super::message::DATAGRAM_BYTES;
use crate::zone_choice::DAEMONS_PER_CHOSEN;

/// Number of consecutive renewals that may be lost before figures expire.
const MISSED_RENEWALS: u64 = 3;
/// Number of messages that an aggregator must be able to send to each follower within the time after which
/// the follower passes it over as silent.
const MESSAGES_WITHIN_EXPIRY: u64 = 2;

/// Settings of load sharing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSharingSettings {
    /// Milliseconds between reports of a daemon's own loads while they change.
    pub tell_ms: u64,
    /// Milliseconds between sums while they change, within a zone.
    pub view_ms: u64,
    /// Milliseconds between sums sent to other zones while they change: bytes between zones cost more.
    pub between_zones_ms: u64,
    /// Milliseconds between renewals of loads or sums that have not changed.
    pub renewal_ms: u64,
    /// Milliseconds between messages of a daemon without load.
    pub idle_renewal_ms: u64,
    /// Milliseconds after which figures that were not renewed expire and a silent aggregator is passed over.
    pub expiry_ms: u64,
    /// Bytes per second that a daemon sends for load sharing in total. If that is too little, sums are sent
    /// less often.
    pub most_bytes_per_second: u64,
    /// Number of items up to which loads are shared at all. With more, the figures would be too old to use.
    pub most_items: usize,
}

impl Default for LoadSharingSettings {
    fn default() -> Self {
        Self {
            tell_ms: 50,
            view_ms: 100,
            between_zones_ms: 200,
            renewal_ms: 250,
            idle_renewal_ms: 1_000,
            expiry_ms: 1_000,
            most_bytes_per_second: 200_000,
            most_items: 400,
        }
    }
}

impl LoadSharingSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("load_sharing.tell_ms", self.tell_ms, 10, 10_000)?;
        check_range("load_sharing.view_ms", self.view_ms, self.tell_ms, 10_000)?;
        let between_zones = self.between_zones_ms;
        check_range("load_sharing.between_zones_ms", between_zones, self.view_ms, 10_000)?;
        check_range("load_sharing.renewal_ms", self.renewal_ms, between_zones, 60_000)?;
        let idle = self.idle_renewal_ms;
        check_range("load_sharing.idle_renewal_ms", idle, self.renewal_ms, 60_000)?;
        let least = self.renewal_ms * MISSED_RENEWALS;
        check_range("load_sharing.expiry_ms", self.expiry_ms, least, 60_000)?;
        let round_bytes = (DAEMONS_PER_CHOSEN * DATAGRAM_BYTES) as u64;
        let least = round_bytes * MESSAGES_WITHIN_EXPIRY * 1_000 / self.expiry_ms;
        let most_bytes = self.most_bytes_per_second;
        check_range("load_sharing.most_bytes_per_second", most_bytes, least, 1_000_000_000)?;
        check_range("load_sharing.most_items", self.most_items, 1, 1_000_000)
    }

    /// Interval between reports of a daemon's own loads while they change.
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.tell_ms)
    }

    pub(super) fn view_interval(&self) -> Duration {
        Duration::from_millis(self.view_ms)
    }

    pub(super) fn between_zones(&self) -> Duration {
        Duration::from_millis(self.between_zones_ms)
    }

    pub(super) fn renewal(&self, is_idle: bool) -> Duration {
        Duration::from_millis(if is_idle { self.idle_renewal_ms } else { self.renewal_ms })
    }

    pub(super) fn expiry(&self) -> Duration {
        Duration::from_millis(self.expiry_ms)
    }

    /// How long a daemon without load may stay silent.
    pub(super) fn idle_expiry(&self) -> Duration {
        let renewals = Duration::from_millis(self.idle_renewal_ms).times(MISSED_RENEWALS);
        renewals.max(self.expiry())
    }
}
