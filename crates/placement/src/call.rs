//! A call as the scheduler keeps it, and the hashes of its prompt's prefixes.

use dahlia_types::{AttemptId, CallId, Duration, TenantId, Timestamp};

use crate::engine_table::EngineSlot;
use crate::{HistorySegment, ReadyCall};

/// A call that is ready and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub ready: ReadyCall,
    /// Hashes of every prefix of the history, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Length of each of these prefixes in tokens.
    pub prefix_lengths: Vec<u64>,
    /// Time that orders it among other calls, in microseconds; see [`crate::priority`].
    pub priority: u64,
    /// When it first became ready.
    pub ready_at: Timestamp,
    /// Longest expected wait with which it is still queued.
    pub wait_limit: Duration,
    /// Whether it is queued as its program's first call.
    pub is_first: bool,
}

impl Call {
    pub(crate) fn new(
        ready: ReadyCall,
        is_first: bool,
        wait_limit: Duration,
        now: Timestamp,
    ) -> Self {
        let prefix_hashes = prefix_hashes(&ready.tenant, &ready.history);
        let prefix_lengths = prefix_lengths(&ready.history);
        Self {
            ready,
            prefix_hashes,
            prefix_lengths,
            priority: 0,
            ready_at: now,
            wait_limit,
            is_first,
        }
    }

    pub(crate) fn id(&self) -> CallId {
        self.ready.call
    }

    /// The attempt to dispatch next.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId { call: self.ready.call, attempt: self.ready.attempt }
    }

    /// Length of the prompt in tokens.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.prefix_lengths.last().copied().unwrap_or(0)
    }
}

/// An attempt that was dispatched and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenAttempt {
    pub call: Call,
    pub slot: EngineSlot,
    pub is_answering: bool,
}

fn prefix_lengths(history: &[HistorySegment]) -> Vec<u64> {
    let lengths = history.iter().scan(0_u64, |length, segment| {
        *length = length.saturating_add(segment.tokens.0);
        Some(*length)
    });
    lengths.collect()
}

/// Hashes of all prefixes, salted by the tenant as the engines' caches are.
fn prefix_hashes(tenant: &TenantId, history: &[HistorySegment]) -> Vec<u64> {
    let salt = tenant.as_str().bytes().fold(0, |hash, byte| mix(hash, u64::from(byte)));
    let hashes = history.iter().scan(salt, |hash, segment| {
        *hash = mix(mix(*hash, segment.hash), segment.tokens.0);
        Some(*hash)
    });
    hashes.collect()
}

/// Two rounds of the finaliser of SplitMix64 (Steele, Lea and Flood 2014).
fn mix(hash: u64, value: u64) -> u64 {
    let mut mixed = hash.rotate_left(23) ^ value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
