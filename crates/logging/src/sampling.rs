//! Of which requests the plain lines are kept when there are too many.
//!
//! The choice rests on the request's identifier alone, so that a request's lines stay or go
//! together, and in all processes that have the same share.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The share of requests is `1 / 2^halvings`.
const MOST_HALVINGS: u32 = 8;

/// The share of requests whose plain lines are kept. It is halved when lines were dropped for want
/// of room, and doubled when there is plenty again.
#[derive(Debug, Default)]
pub struct RequestSampling {
    halvings: u32,
}

impl RequestSampling {
    /// Keeps every request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the plain lines of this request are kept.
    pub fn keeps(&self, request: &str) -> bool {
        if self.halvings == 0 {
            return true;
        }
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        hasher.finish().is_multiple_of(1 << self.halvings)
    }

    /// Lines were dropped for want of room.
    pub fn halve(&mut self) {
        self.halvings = (self.halvings + 1).min(MOST_HALVINGS);
    }

    /// There is plenty of room.
    pub fn double(&mut self) {
        self.halvings = self.halvings.saturating_sub(1);
    }

    /// One of so many requests is kept.
    pub fn one_in(&self) -> u32 {
        1 << self.halvings
    }
}
