//! The interface of the relay to the ledger. The daemon implements it with the program's replica
//! group.

use std::future::Future;

use dahlia_ledger::{LedgerCommand, LedgerReply};
use dahlia_types::Duration;
use snafu::Snafu;

/// The owner of the program's group did not answer in time. Whether it recorded the command is
/// unknown.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the ledger did not answer: {reason}"))]
pub struct LedgerUnavailable {
    /// What was observed.
    pub reason: String,
    /// When to retry, if that is known.
    pub retry_after: Option<Duration>,
    /// The command was never submitted, so there is nothing to undo.
    pub was_not_submitted: bool,
}

/// The ledger of turns and budgets.
pub trait TurnLedger: Clone + Send + Sync + 'static {
    /// Submits a command to the owner of the program's group and waits until it is durable, for
    /// `timeout` at most. The ledger may give up earlier, so that the caller can retry in time,
    /// except on ends of turns.
    ///
    /// # Errors
    /// [`LedgerUnavailable`]; the command may have been recorded, and may be submitted again.
    fn submit(
        &self,
        command: LedgerCommand,
        timeout: Duration,
    ) -> impl Future<Output = Result<LedgerReply, LedgerUnavailable>> + Send;

    /// Does the same for a turn whose text is retained, which the ledger may store near this
    /// daemon. All commands on one turn must use the same method.
    ///
    /// # Errors
    /// As [`Self::submit`].
    fn submit_for_retained_turn(
        &self,
        command: LedgerCommand,
        timeout: Duration,
    ) -> impl Future<Output = Result<LedgerReply, LedgerUnavailable>> + Send {
        self.submit(command, timeout)
    }
}
