//! Limits of programs. They are part of the replicated state: replicas that checked a command
//! against different limits would diverge.

use dahlia_ledger::LedgerLimits;
use dahlia_types::{Bytes, Duration, InvalidSetting, Tokens, check_range};
use serde::{Deserialize, Serialize};

/// Limits of the programs of one group. A running group changes them only by [`crate::SetLimits`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProgramLimits {
    /// Programs of one group, including ended ones while their records are kept.
    pub programs: u64,
    /// Open calls of one program, over all chains.
    pub open_calls: u64,
    /// Chains of one program, including the main one.
    pub chains: u64,
    /// Calls of one program, over all chains. Ended calls count, because their records are kept.
    pub calls: u64,
    /// Turns of one program's history, over all chains.
    pub turns: u64,
    /// Bytes of one program's history, over all chains, including open calls.
    pub history_bytes: Bytes,
    /// Tokens of one prompt.
    pub history_tokens: Tokens,
    /// How long an ended program is kept for attempts whose outcome stays unknown. After this time
    /// the program is removed as if they had been settled.
    pub keep_unknown: Duration,
    /// Limits of the group's ledger of programs that are named by callers.
    pub ledger: LedgerLimits,
}

impl Default for ProgramLimits {
    fn default() -> Self {
        Self {
            programs: 100_000,
            open_calls: 64,
            chains: 64,
            calls: 4_096,
            turns: 512,
            history_bytes: Bytes(8 << 20),
            history_tokens: Tokens(600_000),
            keep_unknown: Duration::from_secs(7 * 24 * 3_600),
            ledger: LedgerLimits::default(),
        }
    }
}

impl ProgramLimits {
    /// Checks that every limit is at least one.
    ///
    /// # Errors
    /// [`InvalidSetting`] with the name of the field.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        const MAX_COUNT: u64 = u32::MAX as u64;
        check_range("programs.limits.programs", self.programs, 1, MAX_COUNT)?;
        check_range("programs.limits.open_calls", self.open_calls, 1, MAX_COUNT)?;
        check_range("programs.limits.chains", self.chains, 1, MAX_COUNT)?;
        check_range("programs.limits.calls", self.calls, 1, MAX_COUNT)?;
        check_range("programs.limits.turns", self.turns, 1, MAX_COUNT)?;
        check_range("programs.limits.history_bytes", self.history_bytes.0, 1, u64::MAX)?;
        check_range("programs.limits.history_tokens", self.history_tokens.0, 1, u64::MAX)?;
        self.ledger.check()
    }
}
