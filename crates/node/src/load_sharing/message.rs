//! What daemons say to each other of loads. Every message fits into a datagram and is whole by itself.

use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration};
use serde::{Deserialize, Serialize};

/// Bytes of a whole datagram, with the headers of UDP and IP.
pub(super) const DATAGRAM_BYTES: usize = 1_400;
/// Of these, what is not loads: sender, proof, addresses, the part's own fields.
pub(super) const ENVELOPE_BYTES: usize = 200;
/// Bytes of the loads in one part.
const PART_BYTES: usize = DATAGRAM_BYTES - ENVELOPE_BYTES;

/// The load of one item, as some daemons make it. All figures add up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemLoad {
    /// The item, by a number that all daemons agree on.
    pub item: u64,
    /// Attempts that have not ended.
    pub in_flight: u32,
    /// Tokens of their prompts and of what they may still generate.
    pub tokens: u32,
    /// Tokens that came since the load was told last, behind the first event of their stream.
    pub timed_tokens: u32,
    /// Microseconds of the pauses before them, in all.
    pub timed_micros: u32,
}

impl ItemLoad {
    /// An item without load.
    pub fn none(item: u64) -> Self {
        Self { item, ..Self::default() }
    }

    /// Whether there are attempts.
    pub fn is_loaded(&self) -> bool {
        self.in_flight > 0 || self.tokens > 0
    }

    /// Without the times of tokens.
    pub(super) fn untimed(self) -> Self {
        Self { timed_tokens: 0, timed_micros: 0, ..self }
    }

    /// With another load of the same item.
    pub(super) fn and(self, other: &Self) -> Self {
        Self {
            item: self.item,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            tokens: self.tokens.saturating_add(other.tokens),
            timed_tokens: self.timed_tokens.saturating_add(other.timed_tokens),
            timed_micros: self.timed_micros.saturating_add(other.timed_micros),
        }
    }

    /// Without the attempts that are part of it.
    pub(super) fn less(self, part: &Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_sub(part.in_flight),
            tokens: self.tokens.saturating_sub(part.tokens),
            ..self
        }
    }

    /// Bytes on the wire.
    fn wire_bytes(&self) -> usize {
        let figures = [self.in_flight, self.tokens, self.timed_tokens, self.timed_micros];
        varint_bytes(self.item)
            + figures.map(|figure| varint_bytes(figure.into())).iter().sum::<usize>()
    }
}

/// The loads of all items in a range. One that is not named has none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Rises with each part that the sender's life sends; an earlier one that comes later is no news.
    pub number: u64,
    /// The first item of the range.
    pub first: u64,
    /// The last one.
    pub last: u64,
    /// How long ago the oldest of the figures were true.
    pub age: Duration,
    /// In the order of their items, each once.
    pub loads: Vec<ItemLoad>,
}

/// What a daemon says of itself with its loads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReporterState {
    /// Whether it reaches owners of replica groups.
    pub reaches_groups: bool,
    /// It tells another daemon from now on, and is to be forgotten here.
    pub is_leaving: bool,
}

/// What daemons say to each other of loads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// The sender's own loads, to the daemon that adds up for it.
    Report {
        /// The loads.
        part: LoadPart,
        /// What else it says.
        state: ReporterState,
        /// Where the sums go.
        reply_to: SocketAddr,
    },
    /// What all daemons but the receiver make.
    View {
        /// The loads.
        part: LoadPart,
        /// Daemons of the zone that say they reach owners of replica groups: a few.
        reaching: Vec<DaemonId>,
    },
    /// What those daemons make that tell the sender, to others that add up.
    Sum {
        /// The loads.
        part: LoadPart,
        /// Where the sender listens.
        reply_to: SocketAddr,
    },
}

impl LoadMessage {
    /// The loads that it brings.
    pub(super) fn part(&self) -> &LoadPart {
        let (Self::Report { part, .. } | Self::View { part, .. } | Self::Sum { part, .. }) = self;
        part
    }

    pub(super) fn part_mut(&mut self) -> &mut LoadPart {
        let (Self::Report { part, .. } | Self::View { part, .. } | Self::Sum { part, .. }) = self;
        part
    }

    /// About its bytes in a datagram, with all headers.
    pub(super) fn bytes(&self) -> usize {
        ENVELOPE_BYTES + self.part().loads.iter().map(ItemLoad::wire_bytes).sum::<usize>()
    }
}

impl LoadPart {
    /// The part that begins with an item, from all loads of that item and later ones in their order. Its
    /// sender numbers it.
    pub(super) fn from(first: u64, loads: impl Iterator<Item = ItemLoad>, age: Duration) -> Self {
        let mut part = Self { number: 0, first, last: u64::MAX, age, loads: Vec::new() };
        let mut bytes = 0;
        for load in loads {
            bytes += load.wire_bytes();
            if bytes > PART_BYTES {
                // Nothing lies between the last one that fits and this one.
                part.last = load.item - 1;
                break;
            }
            part.loads.push(load);
        }
        part
    }

    /// Whether it is what its fields say: a range, and loads in it, in their order.
    pub(super) fn is_sound(&self) -> bool {
        let items = || self.loads.iter().map(|load| load.item);
        let is_in_range = items().all(|item| (self.first..=self.last).contains(&item));
        self.first <= self.last && is_in_range && items().is_sorted_by(|one, next| one < next)
    }

    /// Where the next part begins; none after the last one.
    pub(super) fn next(&self) -> Option<u64> {
        self.last.checked_add(1)
    }
}

/// Bytes of a number in the frames' encoding.
fn varint_bytes(number: u64) -> usize {
    match number {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
