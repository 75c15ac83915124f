//! Messages about loads between daemons. Each fits into a datagram and can be applied by itself.

use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram in bytes, with the headers of UDP and IP.
pub(super) const DATAGRAM_BYTES: usize = 1_400;
/// Bytes of a datagram that are not loads: sender, proof, addresses and the part's own fields.
pub(super) const ENVELOPE_BYTES: usize = 200;
/// Maximum size of the loads in one part, in bytes.
const PART_BYTES: usize = DATAGRAM_BYTES - ENVELOPE_BYTES;

/// The load that one or more daemons put on an item. All figures are additive.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemLoad {
    /// Number of the item, which all daemons agree on.
    pub item: u64,
    /// Attempts that have not ended.
    pub in_flight: u32,
    /// Tokens of their prompts and tokens that they may still generate.
    pub tokens: u32,
    /// Tokens that arrived since the last report, after the first event of their stream.
    pub timed_tokens: u32,
    /// Sum of the pauses before them, in microseconds.
    pub timed_micros: u32,
}

impl ItemLoad {
    /// Returns an item without load.
    pub fn none(item: u64) -> Self {
        Self { item, ..Self::default() }
    }

    /// Whether there are attempts.
    pub fn is_loaded(&self) -> bool {
        self.in_flight > 0 || self.tokens > 0
    }

    /// Returns the load without its token times.
    pub(super) fn without_times(self) -> Self {
        Self { timed_tokens: 0, timed_micros: 0, ..self }
    }

    /// Adds another load of the same item.
    pub(super) fn plus(self, other: &Self) -> Self {
        Self {
            item: self.item,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            tokens: self.tokens.saturating_add(other.tokens),
            timed_tokens: self.timed_tokens.saturating_add(other.timed_tokens),
            timed_micros: self.timed_micros.saturating_add(other.timed_micros),
        }
    }

    /// Subtracts the attempts of a part of this load; token times stay.
    pub(super) fn minus(self, part: &Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_sub(part.in_flight),
            tokens: self.tokens.saturating_sub(part.tokens),
            ..self
        }
    }

    /// Size of the encoding in bytes.
    fn encoded_bytes(&self) -> usize {
        let figures = [self.in_flight, self.tokens, self.timed_tokens, self.timed_micros];
        varint_bytes(self.item)
            + figures.map(|figure| varint_bytes(figure.into())).iter().sum::<usize>()
    }
}

/// The loads of all items in a range. An item that is not listed has no load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Increases with each part that an incarnation of the sender sends. A part with a number below the newest
    /// is stale.
    pub number: u64,
    /// The first item of the range.
    pub first: u64,
    /// The last item of the range.
    pub last: u64,
    /// Age of the oldest figures.
    pub age: Duration,
    /// Sorted by item, each item once.
    pub loads: Vec<ItemLoad>,
}

/// State of a daemon that is sent along with its loads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReporterState {
    /// Whether it reaches owners of replica groups.
    pub reaches_groups: bool,
    /// Whether it reports to another daemon from now on, so that the receiver should drop it.
    pub is_leaving: bool,
}

/// A message about loads between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// The sender's own loads, sent to its aggregator.
    Report {
        /// The loads.
        part: LoadPart,
        /// The state of the sender.
        state: ReporterState,
        /// Address to send views to.
        reply_to: SocketAddr,
    },
    /// The loads of all daemons except the receiver, sent to a follower.
    View {
        /// The loads.
        part: LoadPart,
        /// A few daemons of the zone that report that they reach owners of replica groups.
        reaching: Vec<DaemonId>,
    },
    /// The loads of the sender and its followers, sent to other aggregators.
    Sum {
        /// The loads.
        part: LoadPart,
        /// Address of the sender.
        reply_to: SocketAddr,
    },
}

impl LoadMessage {
    /// The loads in the message.
    pub(super) fn part(&self) -> &LoadPart {
        let (Self::Report { part, .. } | Self::View { part, .. } | Self::Sum { part, .. }) = self;
        part
    }

    pub(super) fn part_mut(&mut self) -> &mut LoadPart {
        let (Self::Report { part, .. } | Self::View { part, .. } | Self::Sum { part, .. }) = self;
        part
    }

    /// Approximate size of the datagram in bytes, with all headers.
    pub(super) fn bytes(&self) -> usize {
        ENVELOPE_BYTES + self.part().loads.iter().map(ItemLoad::encoded_bytes).sum::<usize>()
    }
}

impl LoadPart {
    /// Builds the part that begins with the item `first` from the sorted loads of that item and later ones. Its
    /// number is set when it is sent.
    pub(super) fn from(first: u64, loads: impl Iterator<Item = ItemLoad>, age: Duration) -> Self {
        let mut part = Self { number: 0, first, last: u64::MAX, age, loads: Vec::new() };
        let mut bytes = 0;
        for load in loads {
            bytes += load.encoded_bytes();
            if bytes > PART_BYTES {
                // There is no load between the last one that fits and this one.
                part.last = load.item - 1;
                break;
            }
            part.loads.push(load);
        }
        part
    }

    /// Whether the range is not empty and the loads lie in it, sorted by item without duplicates.
    pub(super) fn is_valid(&self) -> bool {
        let items = || self.loads.iter().map(|load| load.item);
        let is_in_range = items().all(|item| (self.first..=self.last).contains(&item));
        self.first <= self.last && is_in_range && items().is_sorted_by(|one, next| one < next)
    }

    /// First item of the next part; none after the last part.
    pub(super) fn next(&self) -> Option<u64> {
        self.last.checked_add(1)
    }
}

/// Size of a number in the frames' encoding, in bytes.
fn varint_bytes(number: u64) -> usize {
    match number {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
