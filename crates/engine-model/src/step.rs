//! A step of the engine, or a leap: several equal decode steps taken as one.

use dahlia_types::{AttemptId, Duration, Timestamp};

use crate::EngineParameters;

/// The part of a prompt that is computed in one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillChunk {
    pub attempt: AttemptId,
    /// Tokens computed.
    pub tokens: u64,
    /// Tokens of context before them.
    pub context: u64,
}

/// The steps in progress.
#[derive(Debug)]
pub(crate) struct Step {
    pub started: Timestamp,
    /// Duration of a single step.
    pub step_duration: Duration,
    /// Number of equal steps taken as one.
    pub count: u64,
    pub prefill: Vec<PrefillChunk>,
    /// Number of decoding sequences.
    pub decoding: u64,
    /// Memory reserved for the tokens that these steps generate, in tokens.
    pub reserved: u64,
}

impl Step {
    pub(crate) fn ends(&self) -> Timestamp {
        self.started + self.step_duration.times(self.count)
    }

    /// Ends the leap after the step that is in progress at `now`. Returns the memory, in tokens,
    /// that is no longer reserved.
    pub(crate) fn shorten(&mut self, now: Timestamp) -> u64 {
        let passed = now.since(self.started).as_micros();
        let needed = passed.div_ceil(self.step_duration.as_micros()).max(1);
        let saved = self.count.saturating_sub(needed);
        self.count -= saved;
        let memory = saved * self.decoding;
        self.reserved -= memory;
        memory
    }
}

/// Returns the duration of one step in microseconds (base + prefill + attention of the prefill +
/// decode + KV read).
pub(crate) fn step_micros(
    parameters: &EngineParameters,
    prefill: &[PrefillChunk],
    decoding: u64,
    context: u64,
) -> f64 {
    let prefill_micros: f64 = prefill
        .iter()
        .map(|chunk| {
            let tokens = chunk.tokens as f64;
            let attention = tokens * (chunk.context as f64 + tokens / 2.0);
            tokens * parameters.prefill_token_micros
                + attention * parameters.attention_nanos / 1000.0
        })
        .sum();
    parameters.step_base_micros
        + prefill_micros
        + decoding as f64 * parameters.decode_sequence_micros
        + context as f64 * parameters.kv_read_nanos / 1000.0
}
