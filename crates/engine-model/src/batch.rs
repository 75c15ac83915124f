//! The waiting queue and the running batch, both ordered by urgency and arrival.
//!
//! All decoding sequences advance by one token a step, so they share one decode clock. A step
//! therefore takes time logarithmic in the batch size instead of linear.

use std::collections::BTreeSet;
use std::ops::Bound;

use dahlia_types::AttemptId;

use crate::attempts::QueueKey;

/// The waiting, prefilling and decoding attempts of one engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub waiting: BTreeSet<QueueKey>,
    pub prefilling: BTreeSet<QueueKey>,
    /// Decoding attempts, ordered by the value of the decode clock at which they end.
    finishing: BTreeSet<(u64, QueueKey)>,
    decoding: BTreeSet<QueueKey>,
    /// The decode clock: decode steps taken so far.
    pub clock: u64,
    /// Tokens of context that a decode step reads.
    pub context: u64,
}

impl Batch {
    pub(crate) fn running(&self) -> usize {
        self.prefilling.len() + self.decoding.len()
    }

    pub(crate) fn decoding_count(&self) -> u64 {
        self.decoding.len() as u64
    }

    pub(crate) fn decoding(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.decoding.iter().map(|(_, _, id)| *id)
    }

    pub(crate) fn add_decoding(&mut self, key: QueueKey, finish: u64, context: u64) {
        self.decoding.insert(key);
        self.finishing.insert((finish, key));
        self.context += context;
    }

    pub(crate) fn remove_decoding(&mut self, key: QueueKey, finish: u64, context: u64) {
        self.decoding.remove(&key);
        self.finishing.remove(&(finish, key));
        self.context -= context;
    }

    /// Returns the number of steps until the next sequence ends.
    pub(crate) fn steps_to_next_finish(&self) -> Option<u64> {
        self.finishing.first().map(|(finish, _)| finish - self.clock)
    }

    /// Returns a sequence whose last token is generated, if there is one.
    pub(crate) fn next_finished(&self) -> Option<AttemptId> {
        let (finish, key) = self.finishing.first()?;
        (*finish <= self.clock).then_some(key.2)
    }

    /// Returns the attempt to preempt: the least urgent one, and of these the last to arrive (as
    /// in vLLM's priority scheduling).
    pub(crate) fn least_urgent(&self) -> Option<AttemptId> {
        let last = self.decoding.last().max(self.prefilling.last());
        last.map(|(_, _, id)| *id)
    }

    /// Returns the prefilling attempt that follows `last` in queue order.
    pub(crate) fn next_prefilling(&self, last: Option<QueueKey>) -> Option<QueueKey> {
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        self.prefilling.range((start, Bound::Unbounded)).next().copied()
    }

    /// Advances all decoding sequences by `steps` tokens.
    pub(crate) fn advance(&mut self, steps: u64) {
        self.clock += steps;
        self.context += self.decoding_count() * steps;
    }
}
