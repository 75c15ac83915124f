//! The first layout of groups: written once to the key-value service by compare-and-swap.
//!
//! Every daemon reads the key until it is there. The daemon that sees enough live members and
//! no layout writes one. Whoever loses the race reads the winner's. A daemon bootstraps a replica
//! only if the layout names it in exactly its present incarnation.

use dahlia_types::{Duration, GroupId, ReplicaId, Timestamp, Zone};
use serde::{Deserialize, Serialize};

use crate::members::Announcement;

/// The key of the layout.
pub const LAYOUT_KEY: &str = "groups/layout";

/// How often the key is read while it is missing.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// One step with the key-value service, asked or answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LayoutStep {
    /// Asked: read the key. Answered: it is missing.
    Read,
    /// Asked: create the key with this value if it is missing. Answered: its value.
    Value(Vec<u8>),
    /// Answered: the service did not say. Asked again later.
    Failed,
}

/// Progress of the first layout on this daemon.
#[derive(Debug, Default)]
pub(crate) struct Bootstrap {
    done: bool,
    missing: bool,
    next_read: Timestamp,
}

impl Bootstrap {
    /// Whether the layout is known here.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the service said that no layout exists.
    pub(crate) fn is_missing(&self) -> bool {
        self.missing && !self.done
    }

    /// Whether the key should be read now.
    pub(crate) fn read_due(&mut self, now: Timestamp) -> bool {
        if self.done || now < self.next_read {
            return false;
        }
        self.next_read = now + READ_INTERVAL;
        true
    }

    /// Notes that the key is missing.
    pub(crate) fn note_missing(&mut self) {
        self.missing = true;
    }

    /// Notes that the layout is known.
    pub(crate) fn finish(&mut self) {
        self.done = true;
    }
}

/// The first voters of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupLayout {
    /// The group.
    pub(crate) group: GroupId,
    /// Its first voters.
    pub(crate) voters: Vec<ReplicaId>,
}

/// Chooses the voters of each group, spread over zones, and encodes the layout.
pub(crate) fn choose_layout(live: &[&Announcement], groups: u32, replicas: u32) -> Vec<u8> {
    let mut order: Vec<&Announcement> = live.to_vec();
    order.sort_by_key(|announcement| announcement.replica);
    let mut layout = Vec::new();
    for group in 0..groups {
        let mut voters: Vec<ReplicaId> = Vec::new();
        let mut zones: Vec<&Zone> = Vec::new();
        // Two passes: first one daemon from each zone, then whatever is left.
        for spread in [true, false] {
            for step in 0..order.len() {
                let candidate = order[(group as usize + step) % order.len()];
                let taken = voters.contains(&candidate.replica);
                let same_zone = zones.contains(&&candidate.zone);
                if voters.len() == replicas as usize || taken || (spread && same_zone) {
                    continue;
                }
                voters.push(candidate.replica);
                zones.push(&candidate.zone);
            }
        }
        layout.push(GroupLayout { group: GroupId(group), voters });
    }
    let encoded = bincode::serde::encode_to_vec(&layout, bincode::config::standard());
    encoded.expect("a layout has only plain fields")
}

/// Decodes a layout.
pub(crate) fn decode_layout(bytes: &[u8]) -> Option<Vec<GroupLayout>> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(layout, _)| layout)
}
