//! What the relay asks of the ledger. The daemon answers by the program's replica group.

use std::future::Future;

use dahlia_ledger::{LedgerCommand, LedgerReply};
use dahlia_types::Duration;
use snafu::Snafu;

/// The owner of the program's group did not answer in time: nobody can say what was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the ledger did not answer: {reason}"))]
pub struct LedgerUnavailable {
    /// What was seen.
    pub reason: String,
    /// When it is worth coming back, if that is known.
    pub retry_after: Option<Duration>,
    /// The command was not put to the ledger at all: there is nothing to undo.
    pub was_not_submitted: bool,
}

/// The ledger of turns and budgets, wherever it is.
pub trait TurnLedger: Clone + Send + Sync + 'static {
    /// Puts a command to the owner of the program's group and waits until it is durable. The
    /// asker waits `patience` at most; the ledger may give up earlier so that the caller can come
    /// back in time, except on ends of turns.
    ///
    /// # Errors
    /// [`LedgerUnavailable`]; the command may have been recorded, and may be repeated.
    fn submit(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> impl Future<Output = Result<LedgerReply, LedgerUnavailable>> + Send;

    /// The same for a turn whose text is kept, which its ledger may want to hold near this daemon. All
    /// commands on one turn have to come the same way.
    ///
    /// # Errors
    /// As [`Self::submit`].
    fn submit_for_retained_turn(
        &self,
        command: LedgerCommand,
        patience: Duration,
    ) -> impl Future<Output = Result<LedgerReply, LedgerUnavailable>> + Send {
        self.submit(command, patience)
    }
}
