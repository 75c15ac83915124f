//! What a gateway's requests of one tenant came to of late, and which keeper counted them.
//!
//! A keeper's count is in its memory only. One that comes after it learns from the gateways what they
//! let pass within the window, so that two lives together let pass no more than one.

use std::collections::VecDeque;

use dahlia_types::{Duration, Timestamp};

use crate::{KeeperTerm, PastRequests};

/// Requests that passed within so long are told in one figure.
const PART: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Passed {
    at: Timestamp,
    requests: u32,
    counted_by: KeeperTerm,
}

/// Requests of one tenant at one gateway.
#[derive(Debug, Default)]
pub(crate) struct History {
    passed: VecDeque<Passed>,
}

impl History {
    /// Requests passed that a keeper has counted. Those that no window holds any more are forgotten.
    pub(crate) fn note(
        &mut self,
        requests: u32,
        counted_by: KeeperTerm,
        window: Duration,
        now: Timestamp,
    ) {
        while self.passed.front().is_some_and(|oldest| now.since(oldest.at) > window) {
            self.passed.pop_front();
        }
        // Told to a keeper, an entry of none says that more may be forgotten.
        if requests == 0 {
            return;
        }
        let newest = self.passed.back_mut();
        match newest.filter(|newest| newest.counted_by == counted_by && now.since(newest.at) < PART)
        {
            Some(newest) => newest.requests += requests,
            None => self.passed.push_back(Passed { at: now, requests, counted_by }),
        }
    }

    /// A request passed some time ago that a keeper has counted only now.
    pub(crate) fn note_late(&mut self, at: Timestamp, counted_by: KeeperTerm) {
        let place = self.passed.partition_point(|passed| passed.at <= at);
        self.passed.insert(place, Passed { at, requests: 1, counted_by });
    }

    /// Whether anything passed within a time.
    pub(crate) fn is_within(&self, time: Duration, now: Timestamp) -> bool {
        self.passed.back().is_some_and(|newest| now.since(newest.at) < time)
    }

    /// What a keeper has not counted itself.
    pub(crate) fn unknown_to(&self, keeper: KeeperTerm, now: Timestamp) -> Vec<PastRequests> {
        let others = self.passed.iter().filter(|passed| passed.counted_by != keeper);
        others
            .map(|passed| PastRequests { age: now.since(passed.at), requests: passed.requests })
            .collect()
    }
}
