//! The streams whose origin is known, until their callers' deadlines.

use std::collections::{BTreeMap, VecDeque};

use dahlia_types::Timestamp;

use super::{Origin, StreamKey};

/// The most streams that are kept, at some 100 bytes each. At the target's rate a daemon is told of some forty a
/// second, each for some seconds.
const MAX_RECORDS: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Record {
    origin: Origin,
    expires_at: Timestamp,
    /// The record's number in [`Records::by_age`].
    number: u64,
}

#[derive(Debug, Default)]
pub(super) struct Records {
    by_stream: BTreeMap<StreamKey, Record>,
    /// Oldest first. Numbers that a stream no longer has belong to records that were renewed.
    by_age: VecDeque<(u64, StreamKey)>,
    next_number: u64,
}

impl Records {
    pub(super) fn len(&self) -> usize {
        self.by_stream.len()
    }

    pub(super) fn get(&self, stream: StreamKey, now: Timestamp) -> Option<Origin> {
        let record = self.by_stream.get(&stream)?;
        (now < record.expires_at).then_some(record.origin)
    }

    /// Adds or renews a record, and drops the oldest ones that have expired or are too many: a caller with a long
    /// deadline must not crowd out others. Returns how many of them had not expired.
    pub(super) fn put(
        &mut self,
        stream: StreamKey,
        origin: Origin,
        expires_at: Timestamp,
        now: Timestamp,
    ) -> usize {
        let number = self.next_number;
        self.next_number += 1;
        self.by_stream.insert(stream, Record { origin, expires_at, number });
        self.by_age.push_back((number, stream));
        let mut dropped = 0;
        while let Some(&(number, stream)) = self.by_age.front() {
            let record = self.by_stream.get(&stream).filter(|record| record.number == number);
            let is_current = record.is_some_and(|record| now < record.expires_at);
            if is_current && self.by_age.len() <= MAX_RECORDS {
                break;
            }
            self.by_age.pop_front();
            if record.is_some() {
                self.by_stream.remove(&stream);
            }
            dropped += usize::from(is_current);
        }
        dropped
    }
}
