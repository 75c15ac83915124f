//! Which zones are ordered to be emptied, as several observers of one source of orders know it.
//!
//! An order is there or gone and has no version of its own. What an observer says therefore comes with
//! the source's revision up to which it knows everything: a zone that it does not name had no order
//! then. So a withdrawal needs no record, and one that is behind cannot pass off an order that it has
//! not seen yet as withdrawn, nor bring back one that is withdrawn.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::Zone;
use serde::{Deserialize, Serialize};

/// One observer's knowledge of all orders. Merges commute, and repeats change nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrders {
    /// All orders and withdrawals up to this revision are known.
    known_to: u64,
    /// The orders in force, by the revisions of their last change.
    orders: BTreeMap<Zone, u64>,
}

impl EvacuationOrders {
    /// A complete view as of a revision, such as a list. It may hold orders that are newer, which
    /// were met while it was read.
    pub fn new(known_to: u64, orders: impl IntoIterator<Item = (Zone, u64)>) -> Self {
        Self { known_to, orders: orders.into_iter().collect() }
    }

    /// A zone is ordered to be emptied since `revision`.
    pub fn record_order(&mut self, zone: Zone, revision: u64) {
        if revision > self.known_to {
            let held = self.orders.entry(zone).or_default();
            *held = revision.max(*held);
        }
    }

    /// The order for a zone was withdrawn at `revision`.
    pub fn record_withdrawal(&mut self, zone: &Zone, revision: u64) {
        if revision > self.known_to && self.orders.get(zone).is_some_and(|held| *held < revision) {
            self.orders.remove(zone);
        }
    }

    /// All changes up to `revision` have been taken in.
    pub fn mark_complete_to(&mut self, revision: u64) {
        self.known_to = self.known_to.max(revision);
    }

    /// Takes in what another observer knows. Of an order that only one of the two holds, the other
    /// knows either nothing yet, or that it is withdrawn; which one, its revision tells.
    pub fn merge(&mut self, other: &Self) {
        self.orders.retain(|zone, held| other.orders.contains_key(zone) || *held > other.known_to);
        for (zone, revision) in &other.orders {
            match self.orders.get_mut(zone) {
                Some(held) => *held = (*held).max(*revision),
                None => self.record_order(zone.clone(), *revision),
            }
        }
        self.mark_complete_to(other.known_to);
    }

    /// The revision up to which everything is known.
    pub fn known_revision(&self) -> u64 {
        self.known_to
    }

    /// Whether no order is newer than what is known in full. Only then is one revision enough to say
    /// how new all of it is.
    pub fn is_complete(&self) -> bool {
        self.orders.values().all(|revision| *revision <= self.known_to)
    }

    /// The zones that are to be emptied.
    pub fn zones(&self) -> BTreeSet<Zone> {
        self.orders.keys().cloned().collect()
    }
}
