//! Log of token times. Each sample is sent once to each receiver, and old samples are not sent.

use std::collections::{BTreeMap, VecDeque};

use dahlia_types::{DaemonId, Timestamp};

use super::message::ItemLoad;

/// Maximum number of samples kept for receivers. A large zone makes that many in some seconds.
const MAX_SAMPLES: usize = 16_384;

/// Where a sample comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A follower of this daemon, or this daemon itself.
    Follower(DaemonId),
    /// The followers of another aggregator.
    OtherAggregator(DaemonId),
}

#[derive(Debug)]
struct Sample {
    origin: Origin,
    received_at: Timestamp,
    /// Only its token times are used.
    load: ItemLoad,
}

/// Recent samples in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct TokenTimesLog {
    samples: VecDeque<Sample>,
    /// Number of samples dropped before the first one.
    dropped: u64,
}

impl TokenTimesLog {
    /// Position after the last sample.
    pub(super) fn end(&self) -> u64 {
        self.dropped + self.samples.len() as u64
    }

    pub(super) fn add(&mut self, origin: Origin, loads: &[ItemLoad], now: Timestamp) {
        let timed = loads.iter().filter(|load| load.timed_tokens > 0);
        self.samples.extend(timed.map(|load| {
            let load = ItemLoad { in_flight: 0, tokens: 0, ..*load };
            Sample { origin, received_at: now, load }
        }));
        while self.samples.len() > MAX_SAMPLES {
            self.drop_first();
        }
    }

    /// Drops the samples that arrived before `moment`.
    pub(super) fn drop_before(&mut self, moment: Timestamp) {
        while self.samples.front().is_some_and(|sample| sample.received_at < moment) {
            self.drop_first();
        }
    }

    /// Sums per item of the samples between two positions whose origin `is_wanted`.
    pub(super) fn between(
        &self,
        from: u64,
        to: u64,
        is_wanted: impl Fn(Origin) -> bool,
    ) -> BTreeMap<u64, ItemLoad> {
        let index = |position: u64| (position.max(self.dropped) - self.dropped) as usize;
        let end = index(to).min(self.samples.len());
        let samples = self.samples.range(index(from).min(end)..end);
        let mut sums: BTreeMap<u64, ItemLoad> = BTreeMap::new();
        for Sample { load, .. } in samples.filter(|sample| is_wanted(sample.origin)) {
            let sum = sums.entry(load.item).or_insert(ItemLoad::none(load.item));
            *sum = sum.plus(load);
        }
        sums
    }

    fn drop_first(&mut self) {
        self.dropped += u64::from(self.samples.pop_front().is_some());
    }
}
