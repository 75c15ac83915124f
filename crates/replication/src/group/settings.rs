//! Settings of replica groups.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

use super::faults::Faults;

/// Settings of a replica group. All replicas of a deployment use the same values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// Milliseconds between heartbeats. Heartbeats of all groups of a daemon are sent at multiples
    /// of this interval, so that they can be merged.
    pub heartbeat_interval_ms: u64,
    /// Milliseconds without a leader before an election. The delay is random, from one to two times
    /// this value.
    pub election_timeout_ms: u64,
    /// Milliseconds after which an unanswered append or snapshot chunk is sent again.
    pub retransmit_timeout_ms: u64,
    /// Most entries in one append.
    pub max_append_entries: usize,
    /// Most payload bytes in one append, except that one entry always fits.
    pub max_append_bytes: usize,
    /// Most unanswered appends to one peer.
    pub max_in_flight_appends: usize,
    /// Most bytes in one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Applied entries retained for lagging peers. A peer that lags more gets a snapshot.
    pub retained_entries: usize,
    /// Payload bytes of applied entries retained for lagging peers.
    pub retained_bytes: usize,
    /// Largest payload of one proposal in bytes.
    pub max_payload_bytes: usize,
    /// Uncommitted payload bytes above which a leader rejects proposals.
    pub max_uncommitted_bytes: usize,
    /// Most entries that a learner may lag when it is promoted.
    pub promotion_lag_entries: u64,
    /// Whether replicas record durable changes. Set by a driver that has a disk.
    #[serde(skip)]
    pub is_durable: bool,
    /// Safety mechanisms that tests switch off.
    #[doc(hidden)]
    #[serde(skip)]
    pub faults: Faults,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 200,
            election_timeout_ms: 1_000,
            retransmit_timeout_ms: 300,
            max_append_entries: 256,
            max_append_bytes: 256 * 1024,
            max_in_flight_appends: 16,
            snapshot_chunk_bytes: 256 * 1024,
            retained_entries: 512,
            retained_bytes: 1024 * 1024,
            max_payload_bytes: 16 * 1024 * 1024,
            max_uncommitted_bytes: 32 * 1024 * 1024,
            promotion_lag_entries: 64,
            is_durable: false,
            faults: Faults::default(),
        }
    }
}

impl GroupSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("groups.heartbeat_interval_ms", self.heartbeat_interval_ms, 10, 10_000)?;
        // A follower must miss at least two heartbeats before it starts an election.
        let shortest = self.heartbeat_interval_ms.saturating_mul(3);
        check_range("groups.election_timeout_ms", self.election_timeout_ms, shortest, 60_000)?;
        let longest = self.election_timeout_ms;
        check_range("groups.retransmit_timeout_ms", self.retransmit_timeout_ms, 10, longest)?;
        check_range("groups.max_append_entries", self.max_append_entries, 1, 1 << 16)?;
        check_range("groups.max_append_bytes", self.max_append_bytes, 1, 1 << 26)?;
        check_range("groups.max_in_flight_appends", self.max_in_flight_appends, 1, 1 << 10)?;
        check_range("groups.snapshot_chunk_bytes", self.snapshot_chunk_bytes, 1, 1 << 26)?;
        check_range("groups.retained_entries", self.retained_entries, 0, 1 << 24)?;
        check_range("groups.retained_bytes", self.retained_bytes, 0, 1 << 30)?;
        check_range("groups.max_payload_bytes", self.max_payload_bytes, 1, 1 << 28)?;
        let smallest = self.max_payload_bytes;
        check_range("groups.max_uncommitted_bytes", self.max_uncommitted_bytes, smallest, 1 << 30)?;
        check_range("groups.promotion_lag_entries", self.promotion_lag_entries, 0, 1 << 20)
    }

    /// Time between heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval_ms)
    }

    /// Shortest time without a leader before an election.
    pub fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.election_timeout_ms)
    }

    /// Time after which an unanswered message is sent again.
    pub fn retransmit_timeout(&self) -> Duration {
        Duration::from_millis(self.retransmit_timeout_ms)
    }
}
