//! Turns and token budgets of programs whose callers bring their own program names.
//!
//! Callers of a routed service name a program, its lines of turns and its budget in each request;
//! nobody creates the program beforehand. The ledger holds, for each such program, what its turns
//! may still generate and the text of the turns that a later turn may go on from. It is part of a
//! replica group's state: a command is applied on every replica alike, without I/O and without a
//! clock of its own.
//!
//! | module | job |
//! |---|---|
//! | `message` | what is asked of a ledger, and its answers |

mod message;

pub use message::{
    CloseTurn, LedgerCommand, LedgerReply, OpenTurn, OpenedTurn, ProgramName, TurnEnd, TurnId,
    TurnInput, TurnRefusal,
};
