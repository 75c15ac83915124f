//! Loads that another daemon reported.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Incarnation, Timestamp};

use super::message::{ItemLoad, LoadPart};

/// Sequence of the parts of one daemon. A part that arrives late or twice is stale, and so are all parts of an
/// earlier incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PartSequence {
    incarnation: Incarnation,
    newest: u64,
}

/// Whether a part is newer than those before, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartFreshness {
    /// It arrived late or was received before.
    Stale,
    /// It is the newest of the current incarnation.
    Next,
    /// It is the first of a new incarnation: the loads of an earlier one are void.
    NewIncarnation,
}

impl PartSequence {
    pub(super) fn accept(&mut self, incarnation: Incarnation, number: u64) -> PartFreshness {
        if incarnation < self.incarnation
            || (incarnation == self.incarnation && number <= self.newest)
        {
            return PartFreshness::Stale;
        }
        let is_new_incarnation = incarnation != self.incarnation;
        *self = Self { incarnation, newest: number };
        if is_new_incarnation { PartFreshness::NewIncarnation } else { PartFreshness::Next }
    }
}

/// Effect of a part that is not stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Update {
    /// The loads are as before.
    Renewed,
    /// The loads are different.
    Changed,
}

/// The load of an item, with the times needed for its age and expiry.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    load: ItemLoad,
    /// When the load was measured.
    as_of: Timestamp,
    received_at: Timestamp,
}

/// The loads that another daemon reported.
#[derive(Debug, Default)]
pub(super) struct ReportedLoads {
    sequence: PartSequence,
    loads: BTreeMap<u64, ReportedLoad>,
    /// When the oldest of the loads was measured.
    oldest: Option<Timestamp>,
}

impl ReportedLoads {
    /// Applies a part, unless it is stale.
    pub(super) fn apply(
        &mut self,
        incarnation: Incarnation,
        part: &LoadPart,
        now: Timestamp,
    ) -> Option<Update> {
        let freshness = self.sequence.accept(incarnation, part.number);
        match freshness {
            PartFreshness::Stale => return None,
            PartFreshness::NewIncarnation => self.loads.clear(),
            PartFreshness::Next => {}
        }
        let known = |loads: &BTreeMap<u64, ReportedLoad>| -> Vec<ItemLoad> {
            loads.range(part.first..=part.last).map(|(_, reported)| reported.load).collect()
        };
        let before = known(&self.loads);
        self.loads.retain(|item, _| !(part.first..=part.last).contains(item));
        let reported = |load: &ItemLoad| {
            let load = load.without_times();
            (load.item, ReportedLoad { load, as_of: now - part.age, received_at: now })
        };
        self.loads.extend(part.loads.iter().filter(|load| load.is_loaded()).map(reported));
        self.update_oldest();
        let has_changed =
            freshness == PartFreshness::NewIncarnation || known(&self.loads) != before;
        Some(if has_changed { Update::Changed } else { Update::Renewed })
    }

    /// Drops loads received before `moment`. Returns whether there were any.
    pub(super) fn drop_before(&mut self, moment: Timestamp) -> bool {
        if self.loads.values().all(|reported| reported.received_at >= moment) {
            return false;
        }
        self.loads.retain(|_, reported| reported.received_at >= moment);
        self.update_oldest();
        true
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ItemLoad> {
        self.loads.values().map(|reported| &reported.load)
    }

    pub(super) fn get(&self, item: u64) -> Option<&ItemLoad> {
        self.loads.get(&item).map(|reported| &reported.load)
    }

    /// Age of the oldest figures.
    pub(super) fn age(&self, now: Timestamp) -> Duration {
        self.oldest.map_or(Duration::ZERO, |as_of| now.since(as_of))
    }

    fn update_oldest(&mut self) {
        self.oldest = self.loads.values().map(|reported| reported.as_of).min();
    }
}
