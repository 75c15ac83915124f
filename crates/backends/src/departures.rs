//! Servers that have left, so that late news does not bring them back.
//!
//! A record may arrive long after it was written, and after later ones: a server's own call to discovery may take effect
//! seconds later, and lists come from several sources. A server that announced that it leaves never serves again as the same
//! incarnation. One that only disappeared may live: it may have been cut off from discovery. It has to stay listed for a
//! while before it gets work, since the record of a server that has ended is not renewed. A daemon that has just started does not
//! know which servers have left, so the same holds for servers that appear soon after its first list.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use dahlia_types::Duration;

use crate::BackendId;

/// How long a server that had disappeared has to be listed before it gets work. Records that are not renewed lapse after
/// 3.6 s on all deployments seen, and a change takes up to 2 s to arrive.
pub(crate) const PROBATION: Duration = Duration::from_millis(6_000);
/// The age that the list of servers reaches while discovery answers.
pub(crate) const MAX_LIST_AGE: Duration = Duration::from_millis(2_000);
/// How long after its first complete list a daemon that has just started takes servers that appear for ones that may have left
/// before: a server's own call to discovery may take effect seconds after its record went.
pub(crate) const UNKNOWN_DEPARTURES_TIME: Duration = Duration::from_millis(10_000);
/// The least servers of a zone that come back in numbers. A zone may have one or two.
pub(crate) const MIN_RETURNED_IN_ZONE: usize = 3;
/// The most departures that are remembered. Late news is seconds late, so the most recent ones are enough.
const MAX_DEPARTURES: usize = 1_024;

/// How a server left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It announced that it leaves, to discovery or in an answer.
    Announced,
    /// Discovery no longer listed it.
    Unannounced,
}

/// The servers that take work, by whether they are on probation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbationCount {
    pub(crate) on_probation: usize,
    others: usize,
}

impl ProbationCount {
    pub(crate) fn add(&mut self, is_on_probation: bool) {
        match is_on_probation {
            true => self.on_probation += 1,
            false => self.others += 1,
        }
    }

    /// Whether most of them are on probation.
    pub(crate) fn are_most(self) -> bool {
        self.on_probation > self.others
    }
}

/// The most recent departures.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    by_id: BTreeMap<BackendId, Departure>,
    /// In the order in which they were first recorded.
    order: VecDeque<BackendId>,
}

impl Departures {
    pub(crate) fn get(&self, id: &BackendId) -> Option<Departure> {
        self.by_id.get(id).copied()
    }

    /// Whether an earlier incarnation of the server has departed.
    pub(crate) fn includes_earlier_incarnation(&self, id: &BackendId) -> bool {
        let earlier = self.by_id.range(..id).next_back();
        earlier.is_some_and(|(earlier, _)| earlier.name == id.name)
    }

    /// Whether a later incarnation of the server has departed.
    pub(crate) fn includes_later_incarnation(&self, id: &BackendId) -> bool {
        let later = (Bound::Excluded(id), Bound::Unbounded);
        self.by_id.range(later).next().is_some_and(|(later, _)| later.name == id.name)
    }

    /// Records a departure. One that was announced stays so.
    pub(crate) fn record(&mut self, id: &BackendId, departure: Departure) {
        if self.get(id) == Some(Departure::Announced) {
            return;
        }
        if self.by_id.insert(id.clone(), departure).is_some() {
            return;
        }
        self.order.push_back(id.clone());
        while self.order.len() > MAX_DEPARTURES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.by_id.remove(&oldest);
        }
    }
}
