//! Orders to evacuate zones, merged from several observers of one source.
//!
//! An order exists or does not, and has no version of its own. What an observer reports therefore
//! comes with the source's revision up to which the observer knows everything: a zone that it does
//! not name had no order at that revision. So a withdrawal needs no record of its own. An observer
//! that lags can neither make an order that it has not seen yet look withdrawn, nor bring back one
//! that was withdrawn.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::Zone;
use serde::{Deserialize, Serialize};

/// One observer's knowledge of all orders. Merging is commutative and idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrders {
    /// All orders and withdrawals up to this revision are known.
    known_to: u64,
    /// The orders in force, with the revision of each order's last change.
    orders: BTreeMap<Zone, u64>,
}

impl EvacuationOrders {
    /// Creates a view that is complete as of a revision, such as a listing. It may contain newer
    /// orders that appeared while the listing was read.
    pub fn new(known_to: u64, orders: impl IntoIterator<Item = (Zone, u64)>) -> Self {
        Self { known_to, orders: orders.into_iter().collect() }
    }

    /// Records that a zone was ordered to be evacuated at `revision`.
    pub fn record_order(&mut self, zone: Zone, revision: u64) {
        if revision > self.known_to {
            let known = self.orders.entry(zone).or_default();
            *known = revision.max(*known);
        }
    }

    /// Records that the order for a zone was withdrawn at `revision`.
    pub fn record_withdrawal(&mut self, zone: &Zone, revision: u64) {
        if revision > self.known_to && self.orders.get(zone).is_some_and(|known| *known < revision)
        {
            self.orders.remove(zone);
        }
    }

    /// Records that all changes up to `revision` are known.
    pub fn mark_complete_to(&mut self, revision: u64) {
        self.known_to = self.known_to.max(revision);
    }

    /// Merges what another observer knows. If only one of the two has an order, the other either
    /// does not know it yet or knows that it was withdrawn; the other's revision tells which.
    pub fn merge(&mut self, other: &Self) {
        self.orders
            .retain(|zone, known| other.orders.contains_key(zone) || *known > other.known_to);
        for (zone, revision) in &other.orders {
            match self.orders.get_mut(zone) {
                Some(known) => *known = (*known).max(*revision),
                None => self.record_order(zone.clone(), *revision),
            }
        }
        self.mark_complete_to(other.known_to);
    }

    /// Returns the revision up to which everything is known.
    pub fn known_revision(&self) -> u64 {
        self.known_to
    }

    /// Whether no order is newer than the known revision. Only then does a single revision state
    /// how recent the whole view is.
    pub fn is_complete(&self) -> bool {
        self.orders.values().all(|revision| *revision <= self.known_to)
    }

    /// Returns the zones that are to be evacuated.
    pub fn zones(&self) -> BTreeSet<Zone> {
        self.orders.keys().cloned().collect()
    }
}
