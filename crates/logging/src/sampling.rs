//! Selects the requests whose routine lines are kept when there are too many.
//!
//! The choice depends only on the request's identifier. Lines of a request are therefore kept or
//! dropped together, also across processes that have the same share.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The largest number of halvings; the share of sampled requests is `1 / 2^halvings`.
const MAX_HALVINGS: u32 = 8;

/// The share of requests whose routine lines are kept. It is halved when lines were dropped because
/// the buffer was full, and doubled when the buffer has enough space again.
#[derive(Debug, Default)]
pub struct RequestSampling {
    halvings: u32,
}

impl RequestSampling {
    /// Creates a sampling that keeps every request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the routine lines of this request are kept.
    pub fn keeps(&self, request: &str) -> bool {
        if self.halvings == 0 {
            return true;
        }
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        hasher.finish().is_multiple_of(1 << self.halvings)
    }

    /// Halves the share, after lines were dropped because the buffer was full.
    pub fn halve(&mut self) {
        self.halvings = (self.halvings + 1).min(MAX_HALVINGS);
    }

    /// Doubles the share, when the buffer has enough space.
    pub fn double(&mut self) {
        self.halvings = self.halvings.saturating_sub(1);
    }

    /// One in this many requests is kept.
    pub fn one_in(&self) -> u32 {
        1 << self.halvings
    }
}
