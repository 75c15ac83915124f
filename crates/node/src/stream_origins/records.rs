//! The streams whose origin is known, until their callers' deadlines.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::Timestamp;

use super::{Origin, StreamKey};

/// The most streams that are kept, at some 100 bytes each. At the target's rate a daemon is told of some forty a
/// second, each for some seconds.
const MAX_RECORDS: usize = 16_384;

#[derive(Debug, Default)]
pub(super) struct Records {
    by_stream: BTreeMap<StreamKey, (Origin, Timestamp)>,
    by_expiry: BTreeSet<(Timestamp, StreamKey)>,
}

impl Records {
    pub(super) fn len(&self) -> usize {
        self.by_stream.len()
    }

    pub(super) fn get(&self, stream: StreamKey, now: Timestamp) -> Option<Origin> {
        let (origin, expires_at) = self.by_stream.get(&stream)?;
        (now < *expires_at).then_some(*origin)
    }

    /// Adds or renews a record, and drops those that have expired. Returns how many others had to be dropped for want
    /// of room: those that would have expired first.
    pub(super) fn put(
        &mut self,
        stream: StreamKey,
        origin: Origin,
        expires_at: Timestamp,
        now: Timestamp,
    ) -> usize {
        if let Some((_, before)) = self.by_stream.insert(stream, (origin, expires_at)) {
            self.by_expiry.remove(&(before, stream));
        }
        self.by_expiry.insert((expires_at, stream));
        let mut dropped = 0;
        while let Some(&(first, stream)) = self.by_expiry.first() {
            let has_expired = first <= now;
            if !has_expired && self.by_expiry.len() <= MAX_RECORDS {
                break;
            }
            self.by_expiry.pop_first();
            self.by_stream.remove(&stream);
            dropped += usize::from(!has_expired);
        }
        dropped
    }
}
