//! Settings of membership.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Settings of membership. All daemons of a deployment use the same values.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Milliseconds between probes. Each probe goes to one member.
    pub probe_interval_ms: u64,
    /// Milliseconds to wait for an acknowledgement before other members are asked to probe.
    pub probe_timeout_ms: u64,
    /// Members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The suspicion timeout is this many probe intervals, times the decimal logarithm of the
    /// number of members (at least 1).
    pub suspicion_factor: u64,
    /// Milliseconds between gossip rounds. A round without updates sends nothing.
    pub gossip_interval_ms: u64,
    /// Members that each gossip round sends to.
    pub gossip_fanout: usize,
    /// Each daemon transmits an update as often as the natural logarithm of the number of
    /// members, plus this number. With `k` transmissions, a share of about `exp(-k)` of the members
    /// misses the update until the next comparison (Demers and others 1987).
    pub extra_transmissions: u32,
    /// Transmissions of each load fact by each daemon. Few are enough, because the next fact
    /// follows soon.
    pub load_transmissions: u32,
    /// Most bytes per second for gossip, counting payload only.
    pub gossip_bytes_per_second: u64,
    /// Most bytes of one gossip message.
    pub max_message_bytes: usize,
    /// Milliseconds between comparisons with a random member. After its start, a daemon compares
    /// more often.
    pub sync_interval_ms: u64,
    /// Most bytes per second for answers to comparisons. The burst is twice this value: by default
    /// the tables of about 1,700 members, sent to a daemon that starts.
    pub sync_bytes_per_second: u64,
    /// Most bytes of one message that answers a comparison. The message and its envelope fit into a
    /// datagram, because a connection to every member that ever compared would mean thousands of
    /// connections.
    pub sync_chunk_bytes: usize,
    /// Share of comparisons with members of any zone, when the own zone has enough members.
    pub cross_zone_share: f64,
    /// Share of gossip and of comparisons that goes to other regions.
    pub cross_region_share: f64,
    /// Milliseconds after which dead members are removed from the table.
    pub forget_dead_after_ms: u64,
    /// Milliseconds after which a load fact without a newer version is dropped.
    pub load_fact_lifetime_ms: u64,
    /// Most bytes of one fact.
    pub max_fact_bytes: usize,
    /// Most bytes of one document. Documents spread by comparisons, over connections.
    pub max_document_bytes: usize,
    /// Most facts stored.
    pub max_facts: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 1_000,
            probe_timeout_ms: 300,
            indirect_probes: 3,
            suspicion_factor: 4,
            gossip_interval_ms: 200,
            gossip_fanout: 3,
            extra_transmissions: 5,
            load_transmissions: 3,
            gossip_bytes_per_second: 1_400,
            max_message_bytes: 1_200,
            sync_interval_ms: 30_000,
            sync_bytes_per_second: 64 * 1024,
            sync_chunk_bytes: 1_200,
            cross_zone_share: 0.2,
            cross_region_share: 0.05,
            forget_dead_after_ms: 3_600_000,
            load_fact_lifetime_ms: 30_000,
            max_fact_bytes: 512,
            max_document_bytes: 256 * 1024,
            max_facts: 1 << 16,
        }
    }
}

impl MembershipSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let probe = self.probe_interval_ms;
        check_range("membership.probe_interval_ms", probe, 100, 60_000)?;
        check_range("membership.probe_timeout_ms", self.probe_timeout_ms, 10, probe / 2)?;
        check_range("membership.indirect_probes", self.indirect_probes, 0, 16)?;
        check_range("membership.suspicion_factor", self.suspicion_factor, 1, 100)?;
        check_range("membership.gossip_interval_ms", self.gossip_interval_ms, 20, 60_000)?;
        check_range("membership.gossip_fanout", self.gossip_fanout, 1, 16)?;
        check_range("membership.extra_transmissions", self.extra_transmissions, 0, 64)?;
        check_range("membership.load_transmissions", self.load_transmissions, 1, 64)?;
        let rate = self.gossip_bytes_per_second;
        check_range("membership.gossip_bytes_per_second", rate, 100, 1 << 30)?;
        let smallest = self.max_fact_bytes + 400;
        check_range("membership.max_message_bytes", self.max_message_bytes, smallest, 60_000)?;
        check_range("membership.sync_interval_ms", self.sync_interval_ms, 100, 3_600_000)?;
        let rate = self.sync_bytes_per_second;
        check_range("membership.sync_bytes_per_second", rate, 1_000, 1 << 30)?;
        check_range("membership.cross_zone_share", self.cross_zone_share, 0.0, 1.0)?;
        check_range("membership.sync_chunk_bytes", self.sync_chunk_bytes, smallest, 1 << 20)?;
        check_range("membership.cross_region_share", self.cross_region_share, 0.0, 1.0)?;
        let forget = self.forget_dead_after_ms;
        check_range("membership.forget_dead_after_ms", forget, 1_000, 7 * 86_400_000)?;
        let lifetime = self.load_fact_lifetime_ms;
        check_range("membership.load_fact_lifetime_ms", lifetime, 100, 86_400_000)?;
        check_range("membership.max_fact_bytes", self.max_fact_bytes, 16, 32 * 1024)?;
        let document = self.max_document_bytes;
        check_range("membership.max_document_bytes", document, 16, 1 << 20)?;
        check_range("membership.max_facts", self.max_facts, 16, 1 << 24)
    }

    pub(super) fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_interval_ms)
    }

    pub(super) fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    pub(super) fn gossip_interval(&self) -> Duration {
        Duration::from_millis(self.gossip_interval_ms)
    }

    pub(super) fn sync_interval(&self) -> Duration {
        Duration::from_millis(self.sync_interval_ms)
    }

    /// The time within which a suspect among `members` must refute the suspicion.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = (members.max(1) as f64).log10().max(1.0);
        let intervals = self.suspicion_factor as f64 * scale;
        Duration::from_secs_f64(self.probe_interval().as_secs_f64() * intervals)
    }

    /// Transmissions of an update by each daemon among `members`.
    pub(super) fn transmissions(&self, members: usize) -> u32 {
        (members.max(2) as f64).ln().ceil() as u32 + self.extra_transmissions
    }
}
