//! The first layout of groups: written once to the key-value service by compare-and-swap.
//!
//! Every daemon reads the key until it is there. The daemon that sees enough live members and
//! no layout writes one. Whoever loses the race reads the winner's. A daemon bootstraps a replica
//! only if the layout names it in exactly its present incarnation.

use dahlia_replication::directory::{GroupDescription, initial_layout};
use dahlia_replication::membership::MemberInfo;
use dahlia_types::{Duration, Timestamp};

/// The key of the layout.
pub const LAYOUT_KEY: &str = "groups/layout";

/// How often the key is read while it is missing.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// What each live daemon adds to the interval: together they read about 100 times a second.
const READ_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

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

    /// Spreads the reads of many daemons.
    pub(crate) fn share_reads(&mut self, live_daemons: usize, now: Timestamp) {
        let shared = READ_INTERVAL_PER_DAEMON.times(live_daemons as u64);
        self.next_read = self.next_read.max(now + shared);
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

/// Chooses the first voters of each group and encodes the layout.
pub(crate) fn choose_layout(live: &[MemberInfo], groups: u32, replicas: u32) -> Vec<u8> {
    let layout = initial_layout(live, groups, replicas as usize);
    let encoded = bincode::serde::encode_to_vec(&layout, bincode::config::standard());
    encoded.expect("a layout has only plain fields")
}

/// Decodes a layout.
pub(crate) fn decode_layout(bytes: &[u8]) -> Option<Vec<GroupDescription>> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(layout, _)| layout)
}
