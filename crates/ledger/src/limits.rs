//! Limits of what a ledger holds, and for how long. They are part of the replicated state: replicas
//! that checked a command against different limits would diverge.

use std::fmt;

use dahlia_types::{Bytes, Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Shortest retention of a program's charge that is allowed.
const SHORTEST_PROGRAM_RETENTION: Duration = Duration::from_secs(600);

/// Limits of one ledger. The output of an open turn is always accepted, so texts may exceed their
/// limits by the outputs of the turns that were open when a limit was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerLimits {
    /// Number of programs, including those without a turn whose charge is still kept.
    pub programs: u64,
    /// Number of turns: open ones, kept ones, and recently ended ones whose name is kept.
    pub turns: u64,
    /// Bytes of all texts.
    pub text_bytes: Bytes,
    /// Bytes of the texts of one chain, from its oldest turn to its newest.
    pub chain_bytes: Bytes,
    /// Number of turns of one chain.
    pub chain_turns: u64,
    /// How long a program's charge is kept after its last activity.
    pub program_retention: Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            programs: 50_000,
            turns: 100_000,
            text_bytes: Bytes(24 << 20),
            chain_bytes: Bytes(4 << 20),
            chain_turns: 1_024,
            program_retention: SHORTEST_PROGRAM_RETENTION,
        }
    }
}

impl LedgerLimits {
    /// Checks that every limit is at least one, and that charges are kept for long enough.
    ///
    /// # Errors
    /// [`InvalidSetting`] with the name of the field.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        const MAX_COUNT: u64 = u32::MAX as u64;
        let shortest = SHORTEST_PROGRAM_RETENTION.as_micros();
        let retention = self.program_retention.as_micros();
        check_range("programs.limits.ledger.programs", self.programs, 1, MAX_COUNT)?;
        check_range("programs.limits.ledger.turns", self.turns, 1, MAX_COUNT)?;
        check_range("programs.limits.ledger.text_bytes", self.text_bytes.0, 1, u64::MAX)?;
        check_range("programs.limits.ledger.chain_bytes", self.chain_bytes.0, 1, u64::MAX)?;
        check_range("programs.limits.ledger.chain_turns", self.chain_turns, 1, MAX_COUNT)?;
        check_range("programs.limits.ledger.program_retention", retention, shortest, u64::MAX)
    }
}

/// A limited quantity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Limit {
    /// Length of a program's or a turn's name.
    NameBytes,
    /// [`LedgerLimits::programs`].
    Programs,
    /// [`LedgerLimits::turns`].
    Turns,
    /// [`LedgerLimits::text_bytes`].
    TextBytes,
    /// [`LedgerLimits::chain_bytes`].
    ChainBytes,
    /// [`LedgerLimits::chain_turns`].
    ChainTurns,
}

impl fmt::Display for Limit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NameBytes => "name_bytes",
            Self::Programs => "programs",
            Self::Turns => "turns",
            Self::TextBytes => "text_bytes",
            Self::ChainBytes => "chain_bytes",
            Self::ChainTurns => "chain_turns",
        })
    }
}
