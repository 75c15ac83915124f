//! Parameters of an engine: speeds and sizes.

use dahlia_types::{Bytes, Duration, InvalidSetting, Tokens, check_range};
use serde::{Deserialize, Serialize};

/// Speeds and sizes of one engine (one server, all its accelerators together).
///
/// The defaults stand for a 70-billion-parameter model with grouped-query attention at 8 bits on
/// a server of 8 accelerators with 80 GB and 3.35 TB/s each (H100 data sheet):
/// - KV per token: 80 layers x 8 heads x 128 x 2 x 1 byte = 164 kB (Llama 3 paper, table 3), so
///   about 1.5 M tokens fit in 250 GB, half of what is left beside weights and activations.
/// - Reading the KV of one token takes 164 kB / 26.8 TB/s = 6 ns a step.
/// - Prefill at about 40,000 tokens a second (25 us a token): 140 GFLOP a token at 8 bits and
///   roughly a third of 8 x 2 PFLOP/s (Splitwise and DistServe report the same order).
/// - A decode step of 18 ms for a small batch, growing by 50 us a sequence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineParameters {
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: Tokens,
    /// Allocation unit of the KV cache, in tokens.
    pub block_tokens: Tokens,
    /// Maximum number of attempts in the batch.
    pub max_batch: u32,
    /// Maximum number of waiting attempts; further ones are refused as overloaded.
    pub max_waiting: u32,
    /// Maximum number of tokens prefilled in one step (chunked prefill, Sarathi-Serve 2024).
    pub prefill_chunk: Tokens,
    /// Fixed time of a step, in microseconds.
    pub step_base_micros: f64,
    /// Time for each token prefilled, in microseconds.
    pub prefill_token_micros: f64,
    /// Extra time for each token prefilled and each token of context before it, in nanoseconds.
    pub attention_nanos: f64,
    /// Time for each decoding sequence, in microseconds.
    pub decode_sequence_micros: f64,
    /// Time for each token of KV read in a decode step, in nanoseconds.
    pub kv_read_nanos: f64,
    /// Relative spread of a step's time, 0 to 0.5; drawn from a uniform distribution.
    pub step_jitter: f64,
    /// Size of one token's KV.
    pub kv_bytes_per_token: Bytes,
    /// Speed of KV export and import, in bytes a second. Transfers run one after another.
    pub transfer_bytes_per_second: f64,
    /// Fixed time of a transfer.
    pub transfer_setup: Duration,
    /// Time to load a model once its weights have arrived.
    pub model_load_time: Duration,
    /// Maximum number of decode steps taken as one while nothing else changes. With 1, each step
    /// has its own event.
    pub max_leap_steps: u64,
    /// Whether each step reports the tokens it generated. Otherwise only first tokens and ends are
    /// reported.
    pub report_progress: bool,
    /// How long records of ended attempts and tombstones are kept.
    pub record_retention: Duration,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            kv_capacity: Tokens(1_500_000),
            block_tokens: Tokens(16),
            max_batch: 256,
            max_waiting: 4096,
            prefill_chunk: Tokens(2048),
            step_base_micros: 18_000.0,
            prefill_token_micros: 25.0,
            attention_nanos: 0.1,
            decode_sequence_micros: 50.0,
            kv_read_nanos: 6.0,
            step_jitter: 0.0,
            kv_bytes_per_token: Bytes(164_000),
            transfer_bytes_per_second: 25e9,
            transfer_setup: Duration::from_millis(20),
            model_load_time: Duration::from_secs(20),
            max_leap_steps: 1,
            report_progress: true,
            record_retention: Duration::from_secs(600),
        }
    }
}

impl EngineParameters {
    /// Checks the ranges of the fields.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("engine.block_tokens", self.block_tokens.0, 1, 4096)?;
        check_range("engine.kv_capacity", self.kv_capacity.0, self.block_tokens.0, 1 << 40)?;
        check_range("engine.max_batch", self.max_batch, 1, 65_536)?;
        check_range("engine.max_waiting", self.max_waiting, 1, 1 << 24)?;
        check_range("engine.prefill_chunk", self.prefill_chunk.0, 1, 1 << 20)?;
        check_range("engine.step_base_micros", self.step_base_micros, 1.0, 1e7)?;
        check_range("engine.prefill_token_micros", self.prefill_token_micros, 0.0, 1e6)?;
        check_range("engine.attention_nanos", self.attention_nanos, 0.0, 1e6)?;
        check_range("engine.decode_sequence_micros", self.decode_sequence_micros, 0.0, 1e6)?;
        check_range("engine.kv_read_nanos", self.kv_read_nanos, 0.0, 1e6)?;
        check_range("engine.step_jitter", self.step_jitter, 0.0, 0.5)?;
        check_range("engine.transfer_bytes_per_second", self.transfer_bytes_per_second, 1.0, 1e15)?;
        check_range("engine.max_leap_steps", self.max_leap_steps, 1, 1 << 20)?;
        Ok(())
    }
}
