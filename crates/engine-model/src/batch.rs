//! Who waits, who is in the batch, and in which order.
//!
//! Sequences that decode all advance by one token a step, so one decode clock stands for all of
//! them: a step costs time logarithmic in the batch and not linear.

use std::collections::BTreeSet;
use std::ops::Bound;

use dahlia_types::AttemptId;

use crate::attempts::QueueKey;

/// The queues of one engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub waiting: BTreeSet<QueueKey>,
    pub prefilling: BTreeSet<QueueKey>,
    /// By the value of the decode clock at which they end.
    finishing: BTreeSet<(u64, QueueKey)>,
    decoding: BTreeSet<QueueKey>,
    /// Decode steps so far.
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

    /// Steps until the next sequence ends.
    pub(crate) fn steps_to_next_finish(&self) -> Option<u64> {
        self.finishing.first().map(|(finish, _)| finish - self.clock)
    }

    /// A sequence that has ended by the decode clock.
    pub(crate) fn next_finished(&self) -> Option<AttemptId> {
        let (finish, key) = self.finishing.first()?;
        (*finish <= self.clock).then_some(key.2)
    }

    /// The attempt to preempt: least urgent, last arrived (as vLLM's priority scheduling).
    pub(crate) fn least_urgent(&self) -> Option<AttemptId> {
        let last = self.decoding.last().max(self.prefilling.last());
        last.map(|(_, _, id)| *id)
    }

    /// The prefilling attempt after `last` in order.
    pub(crate) fn next_prefilling(&self, last: Option<QueueKey>) -> Option<QueueKey> {
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        self.prefilling.range((start, Bound::Unbounded)).next().copied()
    }

    /// Advances all decoding sequences.
    pub(crate) fn advance(&mut self, steps: u64) {
        self.clock += steps;
        self.context += self.decoding_count() * steps;
    }
}
