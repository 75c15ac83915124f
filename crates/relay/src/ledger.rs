//! What the relay asks of the ledger. The daemon answers by the program's replica group.

use std::future::Future;

use dahlia_ledger::{LedgerCommand, LedgerReply};
use snafu::Snafu;

/// The owner of the program's group did not answer in time: nobody can say what was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the ledger did not answer: {reason}"))]
pub struct LedgerUnavailable {
    /// What was seen.
    pub reason: String,
}

/// The ledger of turns and budgets, wherever it is.
pub trait TurnLedger: Clone + Send + Sync + 'static {
    /// Puts a command to the owner of the program's group and waits until it is durable.
    ///
    /// # Errors
    /// [`LedgerUnavailable`]; the command may have been recorded, and may be repeated.
    fn ask(
        &self,
        command: LedgerCommand,
    ) -> impl Future<Output = Result<LedgerReply, LedgerUnavailable>> + Send;
}
