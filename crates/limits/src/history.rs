//! A gateway's record of one tenant's recent requests and of the keeper that counted them.
//!
//! A keeper's count is in memory only. Its successor learns from the gateways what they admitted within
//! the window, so that both keepers together admit no more than one would.

use std::collections::VecDeque;

use dahlia_types::{Duration, Timestamp};

use crate::{KeeperTerm, PastRequests};

/// Requests that passed within this time are recorded as one batch.
const BATCH_DURATION: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct RequestBatch {
    at: Timestamp,
    requests: u32,
    counted_by: KeeperTerm,
}

/// Recent requests of one tenant at one gateway.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    batches: VecDeque<RequestBatch>,
}

impl RequestHistory {
    /// Records requests that a keeper has counted, and drops those that are older than the window.
    pub(crate) fn record(
        &mut self,
        requests: u32,
        counted_by: KeeperTerm,
        window: Duration,
        now: Timestamp,
    ) {
        while self.batches.front().is_some_and(|oldest| now.since(oldest.at) > window) {
            self.batches.pop_front();
        }
        // In a report, an entry without requests would be taken for a restart marker.
        if requests == 0 {
            return;
        }
        let newest = self.batches.back_mut();
        match newest.filter(|newest| {
            newest.counted_by == counted_by && now.since(newest.at) < BATCH_DURATION
        }) {
            Some(newest) => newest.requests += requests,
            None => self.batches.push_back(RequestBatch { at: now, requests, counted_by }),
        }
    }

    /// Records a request that passed some time ago and that a keeper has counted only now.
    pub(crate) fn record_late(&mut self, at: Timestamp, counted_by: KeeperTerm) {
        let index = self.batches.partition_point(|batch| batch.at <= at);
        self.batches.insert(index, RequestBatch { at, requests: 1, counted_by });
    }

    /// Whether any request passed within the last `time`.
    pub(crate) fn has_requests_within(&self, time: Duration, now: Timestamp) -> bool {
        self.batches.back().is_some_and(|newest| now.since(newest.at) < time)
    }

    /// Returns the requests that a keeper has not counted itself.
    pub(crate) fn not_counted_by(&self, keeper: KeeperTerm, now: Timestamp) -> Vec<PastRequests> {
        let others = self.batches.iter().filter(|batch| batch.counted_by != keeper);
        others
            .map(|batch| PastRequests { age: now.since(batch.at), requests: batch.requests })
            .collect()
    }
}
